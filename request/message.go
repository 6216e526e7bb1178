package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Event is an input of the router.
type Event interface{ isEvent() }

// Admitted hands in a request that passed authentication and, if its caller's
// idempotency key needs a claim, whose claim is in the log.
type Admitted struct {
	ID            ident.TaskID
	Team          ident.TeamID
	Service       ident.ServiceID
	Deadline      time.Duration // on the router's clock
	NonIdempotent bool
	Hops          int  // times it was forwarded before it came here
	Pinned        bool // must run from this host; never forwarded
}

// WorkerReady adds a worker whose slots lease is held, or updates it.
type WorkerReady struct {
	Worker      ident.WorkerID
	Rack        string
	Services    []ident.ServiceID
	Slots       int64
	Connections int64
	// Occupied is the number of slots taken by calls that an earlier holder
	// of the lease left running.
	Occupied int64
}

// WorkerFreed reports the slots that calls of an earlier holder still take.
type WorkerFreed struct {
	Worker   ident.WorkerID
	Occupied int64
}

// WorkerGone removes a worker whose slots lease was lost or released.
type WorkerGone struct {
	Worker ident.WorkerID
}

// WorkerLeaving stops new requests to a worker that leaves or is drained, or
// allows them again.
type WorkerLeaving struct {
	Worker  ident.WorkerID
	Leaving bool
}

// PeerSeen updates what is known of a peer's room. Free slots are those not
// yet promised to its own queue.
type PeerSeen struct {
	Host     ident.HostID
	Zone     ident.Zone
	Free     int64
	Waiting  int64
	Services []ident.ServiceID
	Draining bool
}

// PeerGone removes a peer.
type PeerGone struct {
	Host ident.HostID
}

// TeamShare sets the weight of a team in the order of waiting requests.
type TeamShare struct {
	Team   ident.TeamID
	Weight int64
}

// Result is how a dispatched or forwarded request ended.
type Result uint8

// The results.
const (
	ResultAnswered  Result = iota + 1 // the whole answer came
	ResultNotRun                      // certain not to have run here
	ResultFailed                      // ran and failed, or its answer was cut; it may be sent again only if idempotent
	ResultUncertain                   // sent, and no answer
	ResultDeadline                    // stopped at its deadline after it was sent
	ResultAbandoned                   // the caller went away after it was sent
)

// MayStillRun reports whether the call may go on on its worker after this
// result: it was sent, and its end was not seen.
func (r Result) MayStillRun() bool {
	switch r {
	case ResultAnswered, ResultNotRun:
		return false
	}
	return true
}

// Finished reports the end of the Dispatch or Forward in flight for a request.
type Finished struct {
	ID     ident.TaskID
	Result Result
	// Committed tells that part of the answer already went to the caller, so
	// that no second try can be made.
	Committed  bool
	ServerFail bool          // the upstream answered with a server error
	Refused    bool          // the worker or peer decided against it; no sign of bad health
	RetryAfter time.Duration // of a peer's refusal; zero if none
}

// Cancelled withdraws a request that still waits; its caller went away.
type Cancelled struct {
	ID ident.TaskID
}

// DrainStarted makes the router refuse new requests and finish the others.
type DrainStarted struct{}

// Tick lets time pass.
type Tick struct{}

func (Admitted) isEvent()      {}
func (WorkerReady) isEvent()   {}
func (WorkerFreed) isEvent()   {}
func (WorkerGone) isEvent()    {}
func (WorkerLeaving) isEvent() {}
func (PeerSeen) isEvent()      {}
func (PeerGone) isEvent()      {}
func (TeamShare) isEvent()     {}
func (Finished) isEvent()      {}
func (Cancelled) isEvent()     {}
func (DrainStarted) isEvent()  {}
func (Tick) isEvent()          {}

// Command is an output of the router.
type Command interface{ isCommand() }

// Dispatch sends a request to a worker under the slots lease held for it.
type Dispatch struct {
	ID       ident.TaskID
	Worker   ident.WorkerID
	Team     ident.TeamID
	Deadline time.Duration // on the router's clock
	Try      int           // counts from one
}

// Forward sends a request to a peer, which takes its identifier at most once.
type Forward struct {
	ID   ident.TaskID
	Peer ident.HostID
	Try  int
}

// Complete ends a request whose whole answer came.
type Complete struct {
	ID ident.TaskID
}

// Reject ends a request without an answer. Cause says why; its outcome is
// fixed by the cause.
type Reject struct {
	ID    ident.TaskID
	Cause *RejectedError
}

// Want asks for units of a team's limit that waiting requests need.
type Want struct {
	Team  ident.TeamID
	Units int64
}

func (Dispatch) isCommand() {}
func (Forward) isCommand()  {}
func (Complete) isCommand() {}
func (Reject) isCommand()   {}
func (Want) isCommand()     {}
