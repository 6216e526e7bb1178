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

// Command is an output of the engine, to be executed by its driver.
type Command interface{ isCommand() }

// SendLease acquires a control lease from a worker, or renews it. The answer is
// a LeaseAnswered with the same Key and SentAt.
type SendLease struct {
	Key     lease.Key
	Addr    string
	SentAt  time.Duration
	Request ports.LeaseRequest
}

// SendRelease releases a control lease. The answer is a ReleaseAnswered.
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

// RequestDone ends a request. Cause and Claim are nil if its answer arrived
// completely.
type RequestDone struct {
	ID    ident.TaskID
	Cause *request.RejectedError
	// Claim is set if the request did not run because of the caller's
	// idempotency key.
	Claim *ClaimError
}

// SendDigest sends this host's digest to a peer. The answer is a
// DigestReceived with the peer's digest, or a PeerFailed.
type SendDigest struct {
	Host   ident.HostID
	Addr   string
	Digest member.Digest
}

// AppendGroup appends a group of records to a stream. The answer is an
// Appended.
type AppendGroup struct {
	stream.Append
}

// ReadStream reads the records after an offset from the log. The answer is a
// StreamRead or a StreamFailed. At most one read is in flight for each stream.
type ReadStream struct {
	stream.Read
}

// ReadPeer reads the configuration after an offset from a peer, at most Limit
// records. The answer is a PeerConfig.
type ReadPeer struct {
	Host  ident.HostID
	Addr  string
	After ports.Offset
	Limit int
}

// ViewChanged publishes a new view of the other hosts to the driver's request
// handlers.
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

// ControlTask controls a running attempt. It has no answer: the worker's next
// report shows its effect.
type ControlTask struct {
	Worker  ident.WorkerID
	Addr    string
	Request ports.ControlRequest
}

// JobAnswered answers a caller's JobSubmitted, JobQueried or
// JobCancelRequested.
type JobAnswered struct {
	Call uint64 // of the event that it answers
	Info JobInfo
	Err  error // nil, or one of the errors of this package
}

// JobInfo describes the state of a durable job.
type JobInfo struct {
	Job     ident.JobID
	Spec    work.Spec
	State   JobState
	Outcome work.Outcome // valid once State is JobStateEnded
	Failed  bool         // with work.OutcomeRan: it ran and did not succeed
	Reason  string
	Explain *sched.Explanation
}

// JobState is the state of a durable job.
type JobState string

// The states of a job.
const (
	JobStateWaiting   JobState = "waiting"
	JobStateRunning   JobState = "running"
	JobStateCancelled JobState = "cancelled" // no further attempt starts; one may still run
	JobStateEnded     JobState = "ended"
)

// JobDone reports that a job ended, for callers that wait for it.
type JobDone struct {
	Job     ident.JobID
	Outcome work.Outcome
	Failed  bool
	Reason  string
}

// AskUnits requests units of a team's limit from a peer.
type AskUnits struct {
	Peer  ident.Holder
	Addr  string
	Team  ident.TeamID
	Units int64
	Lack  int64 // total number of units that this host lacks
	Seq   uint64
}

// AskPromise requests a peer's promise not to hold the compute lease of a
// worker, or releases the peer from it. The answer is a PromiseAnswered; a
// release has none.
type AskPromise struct {
	Host    ident.HostID
	Addr    string
	Worker  ident.WorkerID
	Seq     uint64 // returned in the answer
	From    ident.Holder
	Order   uint64 // increases with every AskPromise of this host
	Release bool
}

// PromiseReply answers the PromiseAsked with the same Call.
type PromiseReply struct {
	Call  uint64
	From  ident.Holder
	Given bool
}

// AskLeases asks a peer which leases it holds. The answer is a LeasesAnswered.
type AskLeases struct {
	Host   ident.HostID
	Addr   string
	SentAt time.Duration // returned in the answer
}

// LeasesReply answers the LeasesAsked with the same Call.
type LeasesReply struct {
	Call   uint64
	Leases []ledger.LeaseSeen
}

// AskAttempts asks the zone's present scheduler for the states of attempts that
// this host started as an earlier scheduler. The answer is an AttemptsAnswered.
type AskAttempts struct {
	Host     ident.HostID
	Addr     string
	Attempts []AskedAttempt
}

// AttemptsReply answers the AttemptsAsked with the same Call. States has one
// entry for each of its Attempts, in the same order.
type AttemptsReply struct {
	Call   uint64
	From   ident.Holder
	States []AttemptState
}

// ConfigReply answers the ConfigAsked with the same Call. It has the records
// after the offset, or the whole configuration, or neither if this host has no
// configuration.
type ConfigReply struct {
	Call  uint64
	Page  *ports.Page
	State *fleet.State
	Age   time.Duration // time since this host's configuration was known to be the newest
}

// ConfigFolded reports whether a record of the configuration was applied or
// rejected, for operators that wait for it.
type ConfigFolded struct {
	Result fleet.Result
}

// Drained reports that the planned stop of this host is complete.
type Drained struct{}

// ConfigChanged publishes a newer configuration.
type ConfigChanged struct {
	State *fleet.State
}

// Noted reports a change of state to operators.
type Noted struct {
	Kind   NoteKind
	Detail string
}

// NoteKind classifies a Noted.
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

// Reincarnate makes the driver stop the engine and start a new one with the next
// incarnation, because other hosts have taken over this incarnation's units.
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
