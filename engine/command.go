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
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/work"
)

// Command is an output of the engine.
type Command interface{ isCommand() }

// SendLease asks a worker for a control lease, or renews it. The answer is a
// LeaseAnswered with the same Key and SentAt.
type SendLease struct {
	Key     lease.Key
	Addr    string
	SentAt  time.Duration
	Request ports.LeaseRequest
}

// SendRelease gives a control lease back. The answer is a ReleaseAnswered.
type SendRelease struct {
	Key   lease.Key
	Addr  string
	Epoch ports.Epoch
}

// CallWorker sends a request to a worker. The answer is a RequestFinished.
type CallWorker struct {
	ID     ident.TaskID
	Worker ident.WorkerID
	Addr   string
	Epoch  ports.Epoch
	Try    int
}

// ForwardCall sends a request to a peer. The answer is a RequestFinished.
type ForwardCall struct {
	ID   ident.TaskID
	Peer ident.HostID
	Addr string
	Try  int
}

// RequestDone ends a request. Cause is nil if its whole answer came.
type RequestDone struct {
	ID    ident.TaskID
	Cause *request.RejectedError
	// Claim is set if the caller's idempotency key decided the end.
	Claim *ClaimError
}

// SendDigest tells a peer of this host. Its answer is the peer's digest.
type SendDigest struct {
	Host   ident.HostID
	Addr   string
	Digest member.Digest
}

// AppendGroup adds a group of records to a stream. The answer is an Appended.
type AppendGroup struct {
	stream.Append
}

// ReadStream asks the log for the records after an offset. The answer is a
// StreamRead or a StreamFailed. At most one is open for each stream.
type ReadStream struct {
	stream.Read
}

// ReadPeer asks a peer for the configuration after an offset. The answer is a
// PeerConfig.
type ReadPeer struct {
	Host  ident.HostID
	Addr  string
	After ports.Offset
	Limit int
}

// ViewChanged publishes what the edges need to know of the other hosts.
type ViewChanged struct {
	View *View
}

// StartTask starts an attempt on a worker. The answer is a StartAnswered.
type StartTask struct {
	ID      ident.AttemptID
	Worker  ident.WorkerID
	Addr    string
	Request ports.StartRequest
}

// ControlTask controls a running attempt. Nothing answers it: the worker's
// next report shows its effect.
type ControlTask struct {
	Worker  ident.WorkerID
	Addr    string
	Request ports.ControlRequest
}

// JobAnswered ends a call of a caller about a job.
type JobAnswered struct {
	Call uint64
	Info JobInfo
	Err  error // nil, or one of the errors of this package
}

// JobInfo is how a durable job stands.
type JobInfo struct {
	Job     ident.JobID
	Spec    work.Spec
	State   JobState
	Outcome work.Outcome // valid once State is JobStateEnded
	Failed  bool         // with work.OutcomeRan: it ran and did not succeed
	Reason  string
	Explain *sched.Explanation
}

// JobState says where a job stands.
type JobState string

// The states of a job.
const (
	JobStateWaiting   JobState = "waiting"
	JobStateRunning   JobState = "running"
	JobStateCancelled JobState = "cancelled" // no further attempt; something may still run
	JobStateEnded     JobState = "ended"
)

// JobDone tells that a job reached its end, for callers that wait.
type JobDone struct {
	Job     ident.JobID
	Outcome work.Outcome
	Failed  bool
	Reason  string
}

// AskUnits asks a peer for units of a team's limit.
type AskUnits struct {
	Peer  ident.Holder
	Addr  string
	Team  ident.TeamID
	Units int64
	Lack  int64 // how short this host is altogether
	Seq   uint64
}

// AskPromise asks a peer not to hold the compute lease of a worker, or frees it
// from that promise. The answer is a PromiseAnswered, except to a release.
type AskPromise struct {
	Host    ident.HostID
	Addr    string
	Worker  ident.WorkerID
	Seq     uint64 // to be returned with the answer
	From    ident.Holder
	Order   uint64 // rises with every question of this host
	Release bool
}

// PromiseReply answers a PromiseAsked.
type PromiseReply struct {
	Call  uint64
	From  ident.Holder
	Given bool
}

// AskLeases asks a peer which leases it holds. The answer is a LeasesAnswered.
type AskLeases struct {
	Host   ident.HostID
	Addr   string
	SentAt time.Duration // to be returned with the answer
}

// LeasesReply answers a LeasesAsked.
type LeasesReply struct {
	Call   uint64
	Leases []ledger.LeaseSeen
}

// AskAttempts asks the zone's scheduler about attempts that this host started.
// The answer is an AttemptsAnswered.
type AskAttempts struct {
	Host     ident.HostID
	Addr     string
	Attempts []AskedAttempt
}

// AttemptsReply answers an AttemptsAsked, in its order.
type AttemptsReply struct {
	Call   uint64
	From   ident.Holder
	States []AttemptState
}

// ConfigReply answers a ConfigAsked with the records that follow, or with the
// whole configuration, or with neither if there is none.
type ConfigReply struct {
	Call  uint64
	Page  *ports.Page
	State *fleet.State
	Age   time.Duration
}

// ConfigFolded tells what became of a record of the configuration, for
// operators that wait for it.
type ConfigFolded struct {
	Result fleet.Result
}

// Drained tells that the planned stop is complete.
type Drained struct{}

// ConfigChanged publishes a newer configuration.
type ConfigChanged struct {
	State *fleet.State
}

// Noted is a change of state worth telling an operator.
type Noted struct {
	Kind   NoteKind
	Detail string
}

// NoteKind classifies what the system did by itself.
type NoteKind string

// The kinds of notes.
const (
	NoteLease        NoteKind = "lease"
	NoteScheduler    NoteKind = "scheduler"
	NoteQuarantine   NoteKind = "quarantine"
	NoteDisplacement NoteKind = "displacement"
	NoteUnits        NoteKind = "units"
	NoteConfig       NoteKind = "config"
	NoteDrain        NoteKind = "drain"
)

// Reincarnate tells the driver to stop, and to start anew under another
// incarnation: the units this life held were given to others.
type Reincarnate struct {
	Reason string
}

func (SendLease) isCommand()     {}
func (SendRelease) isCommand()   {}
func (CallWorker) isCommand()    {}
func (ForwardCall) isCommand()   {}
func (RequestDone) isCommand()   {}
func (SendDigest) isCommand()    {}
func (AppendGroup) isCommand()   {}
func (ViewChanged) isCommand()   {}
func (ReadStream) isCommand()    {}
func (ReadPeer) isCommand()      {}
func (StartTask) isCommand()     {}
func (ControlTask) isCommand()   {}
func (JobAnswered) isCommand()   {}
func (JobDone) isCommand()       {}
func (AskUnits) isCommand()      {}
func (ConfigChanged) isCommand() {}
func (Noted) isCommand()         {}
func (Reincarnate) isCommand()   {}
func (AskPromise) isCommand()    {}
func (PromiseReply) isCommand()  {}
func (AskLeases) isCommand()     {}
func (LeasesReply) isCommand()   {}
func (ConfigFolded) isCommand()  {}
func (Drained) isCommand()       {}
func (ConfigReply) isCommand()   {}
func (AskAttempts) isCommand()   {}
func (AttemptsReply) isCommand() {}
