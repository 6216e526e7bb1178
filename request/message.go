package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Event is an input of Router.Step.
type Event interface{ isEvent() }

// Admitted submits an authenticated request. If its idempotency key needs a
// claim, the claim is already in the log.
type Admitted struct {
	ID            ident.TaskID
	Team          ident.TeamID
	Service       ident.ServiceID
	Deadline      time.Duration // on the router's clock
	NonIdempotent bool
	Hops          int  // forwards before it reached this host
	Pinned        bool // must be dispatched by this host; never forwarded
}

// WorkerReady adds a worker whose slots lease this host holds, or updates it.
type WorkerReady struct {
	Worker      ident.WorkerID
	Rack        string
	Services    []ident.ServiceID
	Slots       int64
	Connections int64
	// Occupied is the number of slots in use by calls that an earlier holder
	// of the lease left running.
	Occupied int64
}

// WorkerOccupancy updates the number of slots in use by calls of an earlier
// lease holder.
type WorkerOccupancy struct {
	Worker   ident.WorkerID
	Occupied int64
}

// WorkerGone removes a worker whose slots lease was lost or released.
type WorkerGone struct {
	Worker ident.WorkerID
}

// WorkerLeaving stops new requests to a worker that is leaving or draining, or
// allows them again.
type WorkerLeaving struct {
	Worker  ident.WorkerID
	Leaving bool
}

// PeerSeen updates the reported state of a peer. Free is the number of free
// slots that the peer does not need for its own queue.
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

// TeamShare sets the fair-share weight of a team among the waiting requests.
type TeamShare struct {
	Team   ident.TeamID
	Weight int64
}

// Result is the result of a dispatch or forward.
type Result uint8

// The results.
const (
	ResultAnswered   Result = iota + 1 // the complete answer arrived
	ResultNotRun                       // the request certainly did not run here
	ResultFailed                       // ran and failed, or its answer was truncated; may be sent again only if idempotent
	ResultUncertain                    // sent, and no answer arrived
	ResultDeadline                     // stopped at its deadline after it was sent
	ResultCallerGone                   // the caller disconnected after it was sent
)

// MayStillRun reports whether the call may still be running on its worker: it
// was sent, and its end was not observed.
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
	// Committed is set when part of the answer was already sent to the caller,
	// which rules out another try.
	Committed  bool
	ServerFail bool          // the upstream answered with a server error
	Refused    bool          // the worker or peer refused it; not counted as the worker's failure
	RetryAfter time.Duration // from a peer's refusal; zero if none
	// PeerSilent is set when the peer did not answer before the request was
	// sent to it. It gets no request until it is seen again.
	PeerSilent bool
}

// Cancelled withdraws a waiting request whose caller disconnected.
type Cancelled struct {
	ID ident.TaskID
}

// DrainStarted makes the router reject new requests and finish those already
// admitted.
type DrainStarted struct{}

// Tick advances time and rejects waiting requests whose deadline has passed.
type Tick struct{}

func (Admitted) isEvent()        {}
func (WorkerReady) isEvent()     {}
func (WorkerOccupancy) isEvent() {}
func (WorkerGone) isEvent()      {}
func (WorkerLeaving) isEvent()   {}
func (PeerSeen) isEvent()        {}
func (PeerGone) isEvent()        {}
func (TeamShare) isEvent()       {}
func (Finished) isEvent()        {}
func (Cancelled) isEvent()       {}
func (DrainStarted) isEvent()    {}
func (Tick) isEvent()            {}

// Command is an output of Router.Step.
type Command interface{ isCommand() }

// Dispatch sends a request to a worker under the slots lease that this host
// holds.
type Dispatch struct {
	ID       ident.TaskID
	Worker   ident.WorkerID
	Team     ident.TeamID
	Deadline time.Duration // on the router's clock
	Try      int           // starts at 1
}

// Forward sends a request to a peer, which accepts each request ID at most
// once.
type Forward struct {
	ID   ident.TaskID
	Peer ident.HostID
	Try  int
}

// Complete ends a request whose complete answer arrived.
type Complete struct {
	ID ident.TaskID
}

// Reject ends a request without an answer. Cause holds the reason and the
// outcome.
type Reject struct {
	ID    ident.TaskID
	Cause *RejectedError
}

// NeedUnits asks for units of a team's limit that waiting requests need.
type NeedUnits struct {
	Team  ident.TeamID
	Units int64
}

func (Dispatch) isCommand()  {}
func (Forward) isCommand()   {}
func (Complete) isCommand()  {}
func (Reject) isCommand()    {}
func (NeedUnits) isCommand() {}
