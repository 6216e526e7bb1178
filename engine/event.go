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

// Event is an input of the engine.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct {
	// Wall is the wall clock, in UTC. It is written into records for people
	// and decides when a snapshot is due, nothing else.
	Wall time.Time
}

// Listed is an answer of the host list.
type Listed struct {
	Listing ports.Listing
}

// ListFailed reports that the host list did not answer.
type ListFailed struct{}

// DigestReceived is what a peer told of itself.
type DigestReceived struct {
	Digest member.Digest
}

// PeerFailed reports that a peer did not answer.
type PeerFailed struct {
	Host ident.HostID
}

// LeaseAnswered is the answer to a SendLease. Err is nil, or as the errors of
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

// RequestAdmitted hands in an authenticated request.
type RequestAdmitted struct {
	Request request.Admitted
	// Key is the caller's idempotency key if the request is to be claimed in
	// the log before it runs; empty otherwise.
	Key         string
	Fingerprint string // digest of the request, to tell a repeat from other work under one key
}

// RequestFinished reports how a CallWorker or ForwardCall ended.
type RequestFinished struct {
	Finished request.Finished
	// Refusal is the worker's refusal, if that is what ended the call.
	Refusal ports.Refusal
	Worker  ident.WorkerID
	Epoch   ports.Epoch
}

// RequestCancelled withdraws a request whose caller went away.
type RequestCancelled struct {
	ID ident.TaskID
}

// StreamRead answers the ReadStream of the same stream and tag.
type StreamRead struct {
	Stream ports.Stream
	Tag    stream.Tag
	Page   ports.Page
}

// StreamFailed reports that the ReadStream of the same stream and tag brought
// nothing.
type StreamFailed struct {
	Stream ports.Stream
	Tag    stream.Tag
}

// PeerConfig answers a ReadPeer. At most one of Page and State is set; none is
// if the peer did not answer.
type PeerConfig struct {
	Host  ident.HostID
	Page  *ports.Page
	State *fleet.State // the whole configuration
	// Age is how long ago the peer knew its configuration to be the newest, as
	// of now.
	Age time.Duration
}

// Appended answers the AppendGroup of the same stream and tag. Err is nil, or
// as the errors of ports.Log.
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

// JobSubmitted hands in a durable job. The specification is checked.
type JobSubmitted struct {
	Call        uint64 // names the answer
	ID          ident.JobID
	Key         string // the caller's idempotency key; empty for none
	Fingerprint string
	Spec        work.Spec
	Deadline    time.Duration // of the answer
}

// JobQueried asks how a durable job of a team stands.
type JobQueried struct {
	Call    uint64
	Job     ident.JobID
	Team    ident.TeamID
	Explain bool // also say why it waits or where it was placed
}

// JobCancelRequested withdraws a durable job of a team.
type JobCancelRequested struct {
	Call     uint64
	Job      ident.JobID
	Team     ident.TeamID
	Deadline time.Duration
}

// UnitsAsked is a peer's wish for units of a team's limit.
type UnitsAsked struct {
	From  ident.Holder
	Team  ident.TeamID
	Units int64
	Lack  int64  // how short the peer is altogether
	Seq   uint64 // rises with every wish of this peer
}

// PromiseAsked asks this host not to hold the compute lease of a worker, or
// frees it from that promise. The answer is a PromiseReply.
type PromiseAsked struct {
	Call    uint64
	From    ident.Holder
	Order   uint64 // rises with every question of From
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

// AttemptsAsked is the question of an earlier scheduler of the zone about
// attempts that it started. The answer is an AttemptsReply.
type AttemptsAsked struct {
	Call     uint64
	From     ident.Holder
	Attempts []AskedAttempt
}

// AttemptsAnswered answers an AskAttempts, in its order.
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
