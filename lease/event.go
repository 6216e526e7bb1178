package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Key names one control lease: a class of a worker.
type Key struct {
	Worker ident.WorkerID
	Class  ports.LeaseClass
}

// Event is something that a Manager is told.
type Event interface{ isEvent() }

// Want says whether this host should hold a lease. Not wanting a held lease
// starts its handover.
type Want struct {
	Key
	Wanted bool
}

// Granted is a worker's grant. SentAt is that of the command it answers.
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
	Left    time.Duration // for ports.RefusedHeld
}

// Failed says that an Acquire or Renew was not sent or got no answer.
type Failed struct {
	Key
	SentAt time.Duration
}

// EpochRefused says that a worker refused a start or control because its
// epoch was not current or its lease had lapsed.
type EpochRefused struct {
	Key
	Epoch ports.Epoch
}

// Acked says that the holder has dealt with these ended tasks, so that the
// worker may forget them.
type Acked struct {
	Key
	IDs []string
}

// Hasten asks for a report of the worker at a time, sooner than the next
// renewal would bring it: a task is expected to end by then.
type Hasten struct {
	Key
	At time.Duration
}

// Idle says that no start or control under this lease is on its way, so that
// a handover may release it. Tasks may still run.
type Idle struct {
	Key
}

// ReleaseDone is the result of a Release. Done is false if it may not have
// reached the worker.
type ReleaseDone struct {
	Key
	Epoch ports.Epoch
	Done  bool
}

// Drain starts the handover of every lease and ends all acquiring: the planned
// stop of this host.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (Want) isEvent()         {}
func (Granted) isEvent()      {}
func (Refused) isEvent()      {}
func (Failed) isEvent()       {}
func (EpochRefused) isEvent() {}
func (Acked) isEvent()        {}
func (Idle) isEvent()         {}
func (Hasten) isEvent()       {}
func (ReleaseDone) isEvent()  {}
func (Drain) isEvent()        {}
func (Tick) isEvent()         {}
