package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/work"
)

// Event is an input of the engine: the passage of time, an answer to a Command,
// or a call of a caller, an operator or a peer.
type Event interface{ isEvent() }

// Tick makes the engine advance its timers.
type Tick struct {
	// Wall is the wall clock, in UTC. It is written into records for people to
	// read and decides when a snapshot is due. A restored job's age, which orders
	// the queue, is computed from it as well.
	Wall time.Time
}

// Listed is a successful read of the host list.
type Listed struct {
	Listing ports.Listing
}

// ListFailed reports that a read of the host list failed.
type ListFailed struct{}

// DigestReceived is a peer's digest.
type DigestReceived struct {
	Digest member.Digest
}

// PeerFailed reports that a call to a peer failed.
type PeerFailed struct {
	Host ident.HostID
}

// LeaseAnswered is the answer to a SendLease. Err is nil or an error of
// ports.Workers.
type LeaseAnswered struct {
	Key    lease.Key
	SentAt time.Duration
	Epoch  ports.Epoch // of the request; zero for an acquire
	Grant  ports.LeaseGrant
	Err    error
}

// ReleaseAnswered is the answer to a SendRelease.
type ReleaseAnswered struct {
	Key   lease.Key
	Epoch ports.Epoch
	Err   error
}

// RequestAdmitted passes in an authenticated request.
type RequestAdmitted struct {
	Request request.Admitted
	// Key is the caller's idempotency key if the request is to be claimed in
	// the log before it runs; empty otherwise.
	Key         string
	Fingerprint string // digest of the request; tells a repeat from other work with the same key
}

// RequestFinished reports how a CallWorker or ForwardCall ended.
type RequestFinished struct {
	Finished request.Finished
	// Refusal is the worker's refusal if the worker refused the call.
	Refusal ports.Refusal
	Worker  ident.WorkerID
	Epoch   ports.Epoch
}

// RequestCancelled reports that the caller of a request has disconnected.
type RequestCancelled struct {
	ID ident.TaskID
}

// StreamRead answers the ReadStream of the same stream and tag.
type StreamRead struct {
	Stream ports.Stream
	Tag    stream.Tag
	Page   ports.Page
}

// StreamFailed reports that the ReadStream of the same stream and tag failed.
type StreamFailed struct {
	Stream ports.Stream
	Tag    stream.Tag
}

// PeerConfig answers a ReadPeer. At most one of Page and State is set. Neither
// is set if the peer did not answer or has no configuration.
type PeerConfig struct {
	Host  ident.HostID
	Page  *ports.Page
	State *fleet.State // the whole configuration
	// Age is the time since the peer's configuration was known to be the newest,
	// at the time of this event.
	Age time.Duration
}

// Appended answers the AppendGroup of the same stream and tag. Err is nil or an
// error of ports.Log.
type Appended struct {
	Stream ports.Stream
	Tag    stream.Tag
	Err    error
}

// StartAnswered is the answer to a StartTask.
type StartAnswered struct {
	ID     ident.AttemptID
	Worker ident.WorkerID
	Epoch  ports.Epoch
	Err    error
}

// JobSubmitted passes in a durable job. Its specification must have been
// validated. The answer is a JobAnswered.
type JobSubmitted struct {
	Call        uint64 // returned in the answer
	ID          ident.JobID
	Key         string // the caller's idempotency key; empty for none
	Fingerprint string
	Spec        work.Spec
	Deadline    time.Duration // for the answer
}

// JobQueried asks for the state of a durable job of a team. An empty Team is an
// operator's query and matches every team. The answer is a JobAnswered.
type JobQueried struct {
	Call    uint64
	Job     ident.JobID
	Team    ident.TeamID
	Explain bool // also return why it waits or where it was placed
}

// JobCancelRequested cancels a durable job of a team. The answer is a
// JobAnswered.
type JobCancelRequested struct {
	Call     uint64
	Job      ident.JobID
	Team     ident.TeamID
	Deadline time.Duration
}

// UnitsAsked is a peer's request for units of a team's limit.
type UnitsAsked struct {
	From  ident.Holder
	Team  ident.TeamID
	Units int64
	Lack  int64  // total number of units that the peer lacks
	Seq   uint64 // increases with every such request of the peer
}

// PromiseAsked requests this host's promise not to hold the compute lease of a
// worker, or releases it from that promise. The answer is a PromiseReply.
type PromiseAsked struct {
	Call    uint64
	From    ident.Holder
	Order   uint64 // increases with every PromiseAsked of From
	Worker  ident.WorkerID
	Release bool
}

// PromiseAnswered answers an AskPromise.
type PromiseAnswered struct {
	From   ident.Holder
	Worker ident.WorkerID
	Seq    uint64 // of the AskPromise
	Given  bool
}

// LeasesAsked asks which leases this host holds. The answer is a LeasesReply.
type LeasesAsked struct {
	Call uint64
}

// LeasesAnswered answers an AskLeases.
type LeasesAnswered struct {
	Host   ident.HostID
	SentAt time.Duration // of the AskLeases
	Leases []ledger.LeaseSeen
}

// ConfigAsked asks for the configuration after an offset, for a peer that
// cannot reach the log. The answer is a ConfigReply.
type ConfigAsked struct {
	Call  uint64
	After ports.Offset
}

// AttemptsAsked is an earlier scheduler's request for the states of attempts
// that it started in this zone. The answer is an AttemptsReply.
type AttemptsAsked struct {
	Call     uint64
	From     ident.Holder
	Attempts []AskedAttempt
}

// AttemptsAnswered answers an AskAttempts. States has one entry for each of
// Attempts, in the same order.
type AttemptsAnswered struct {
	From     ident.Holder
	Attempts []AskedAttempt
	States   []AttemptState
}

// DrainRequested starts the planned stop of this host.
type DrainRequested struct{}

func (Tick) isEvent()               {}
func (Listed) isEvent()             {}
func (ListFailed) isEvent()         {}
func (DigestReceived) isEvent()     {}
func (PeerFailed) isEvent()         {}
func (LeaseAnswered) isEvent()      {}
func (ReleaseAnswered) isEvent()    {}
func (RequestAdmitted) isEvent()    {}
func (RequestFinished) isEvent()    {}
func (RequestCancelled) isEvent()   {}
func (StreamRead) isEvent()         {}
func (StreamFailed) isEvent()       {}
func (PeerConfig) isEvent()         {}
func (Appended) isEvent()           {}
func (StartAnswered) isEvent()      {}
func (JobSubmitted) isEvent()       {}
func (JobCancelRequested) isEvent() {}
func (JobQueried) isEvent()         {}
func (UnitsAsked) isEvent()         {}
func (DrainRequested) isEvent()     {}
func (AttemptsAsked) isEvent()      {}
func (AttemptsAnswered) isEvent()   {}
func (ConfigAsked) isEvent()        {}
func (PromiseAsked) isEvent()       {}
func (PromiseAnswered) isEvent()    {}
func (LeasesAsked) isEvent()        {}
func (LeasesAnswered) isEvent()     {}
