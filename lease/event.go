package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Key identifies a control lease by worker and lease class.
type Key struct {
	Worker ident.WorkerID
	Class  ports.LeaseClass
}

// Event is an input of an Arbiter.
type Event interface{ isEvent() }

// Want sets whether this host should hold a lease. If the lease is held and no
// longer wanted, its handover begins.
type Want struct {
	Key
	Wanted bool
}

// Granted is a worker's grant. SentAt is copied from the command that it
// answers.
type Granted struct {
	Key
	SentAt time.Duration
	Grant  ports.LeaseGrant
}

// Refused is a worker's refusal of an Acquire or Renew.
type Refused struct {
	Key
	SentAt  time.Duration
	Epoch   ports.Epoch // of the command; zero for an Acquire
	Refusal ports.Refusal
	Left    time.Duration // of the other host's lease, for ports.RefusedHeld
}

// Failed reports that an Acquire or Renew was not sent or got no answer.
type Failed struct {
	Key
	SentAt time.Duration
}

// EpochRefused reports that a worker refused a start or control because its
// epoch was not current or its lease had expired.
type EpochRefused struct {
	Key
	Epoch ports.Epoch
}

// Acked reports that the holder has processed the ends of these tasks. The next
// requests pass the IDs on to the worker, which may then forget the tasks.
type Acked struct {
	Key
	IDs []string
}

// RenewBy moves the next renewal of a held lease, and with it the worker's
// report, forward to At if it is due later. The caller sends it when a task is
// expected to end by then.
type RenewBy struct {
	Key
	At time.Duration
}

// Idle reports that no start or control under this lease is in flight, so a
// handover may release it. Tasks may still be running.
type Idle struct {
	Key
}

// ReleaseDone is the result of a Release. Done is false if the Release may not
// have reached the worker.
type ReleaseDone struct {
	Key
	Epoch ports.Epoch
	Done  bool
}

// Drain starts the handover of every lease and stops all acquiring, for the
// planned stop of this host.
type Drain struct{}

// Tick advances the time: timed-out requests and expired leases end, and due
// requests are sent.
type Tick struct{}

func (Want) isEvent()         {}
func (Granted) isEvent()      {}
func (Refused) isEvent()      {}
func (Failed) isEvent()       {}
func (EpochRefused) isEvent() {}
func (Acked) isEvent()        {}
func (Idle) isEvent()         {}
func (RenewBy) isEvent()      {}
func (ReleaseDone) isEvent()  {}
func (Drain) isEvent()        {}
func (Tick) isEvent()         {}
