package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// ProposalID names one proposal of this process; the process chooses it and
// never reuses it.
type ProposalID uint64

// Event is something that happened to the owner.
type Event = stream.Event

// The events that every machine on a stream takes.
type (
	Tick         = stream.Tick
	PageRead     = stream.PageRead
	ReadFailed   = stream.ReadFailed
	AppendDone   = stream.AppendDone
	AppendFailed = stream.AppendFailed
)

// WantOwnership says whether this host is to own the stream. It is a wish: the
// log decides.
type WantOwnership struct{ Want bool }

// Propose asks to write a record. Exactly one body is set, none of them a
// fence, a state or a mark; epoch and number are filled in by the owner.
type Propose struct {
	ID   ProposalID
	Body Record
	// Deadline is the time after which the proposal must not become effective;
	// zero for none.
	Deadline time.Duration
}

// Withdraw takes back a proposal. It is honoured as long as the proposal was
// never sent; afterwards it counts as a deadline that has passed.
type Withdraw struct{ ID ProposalID }

// StreamEvent marks an event.
func (WantOwnership) StreamEvent() {}

// StreamEvent marks an event.
func (Propose) StreamEvent() {}

// StreamEvent marks an event.
func (Withdraw) StreamEvent() {}

// Command is something that the owner wants done or known.
type Command = stream.Command

// The commands that every machine on a stream gives.
type (
	Append = stream.Append
	Read   = stream.Read
)

// Effective reports that the proposal's record is in the stream, in force. A
// Late proposal became effective after its deadline: the caller may have been
// told "unknown".
type Effective struct {
	ID     ProposalID
	Offset ports.Offset
	Epoch  Epoch
	Late   bool
}

// Existing answers a proposed acceptance whose idempotency key already has a
// job with the same fingerprint. Nothing new was accepted.
type Existing struct {
	ID  ProposalID
	Job ident.JobID
}

// Void reports that the proposal had no effect and never will.
type Void struct {
	ID     ProposalID
	Reason VoidReason
	Job    ident.JobID  // for VoidKeyConflict: the job that has the key
	Reject RejectReason // for VoidRejected
	// RetryAfter is when another try may succeed; zero if that is not known.
	RetryAfter time.Duration
}

// Undecided reports, once, that a proposal's deadline has passed while it may
// or may not be in the stream. A caller that cannot wait longer must be told
// "unknown". Effective, Existing or Void follows when the stream can be read.
//
// Final means that nothing follows: the records that would tell have expired
// before this host could read them.
type Undecided struct {
	ID    ProposalID
	Final bool
}

// BecameOwner reports that the host's fence is in force. Whole is false if
// records had expired before they were written again, so that jobs may be
// missing.
type BecameOwner struct {
	Epoch Epoch
	Whole bool
}

// LostOwnership reports that the epoch is over: all proposals were settled
// before it. Owner is who took over, zero if the host gave up ownership.
type LostOwnership struct {
	Epoch Epoch
	Owner ident.Holder
}

// StreamCommand marks a command.
func (Effective) StreamCommand() {}

// StreamCommand marks a command.
func (Existing) StreamCommand() {}

// StreamCommand marks a command.
func (Void) StreamCommand() {}

// StreamCommand marks a command.
func (Undecided) StreamCommand() {}

// StreamCommand marks a command.
func (BecameOwner) StreamCommand() {}

// StreamCommand marks a command.
func (LostOwnership) StreamCommand() {}

// VoidReason says why a proposal had no effect.
type VoidReason string

// The reasons of Void.
const (
	VoidNotOwner    VoidReason = "not-owner"    // this host does not own the stream
	VoidLost        VoidReason = "lost"         // another owner's fence came first
	VoidFull        VoidReason = "full"         // too many proposals wait already
	VoidTooLarge    VoidReason = "too-large"    // one record over the size of a group
	VoidExpired     VoidReason = "expired"      // the deadline passed
	VoidKeyConflict VoidReason = "key-conflict" // the key was used for another request
	VoidRejected    VoidReason = "rejected"     // the state of the job forbids the record
	VoidMalformed   VoidReason = "malformed"    // not exactly one allowed body
)
