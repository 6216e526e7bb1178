package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Command is something that a Manager asks of its caller, or tells it.
type Command interface{ isCommand() }

// Acquire asks the worker for a lease.
type Acquire struct {
	Key
	SentAt  time.Duration // to be returned with the answer
	Request ports.LeaseRequest
}

// Renew asks the worker to prolong a lease.
type Renew struct {
	Key
	SentAt  time.Duration // to be returned with the answer
	Request ports.LeaseRequest
}

// Release gives a lease back to the worker. Its tasks go on running.
type Release struct {
	Key
	Epoch ports.Epoch
}

// Gained says that starts may be sent under this epoch, and lists what the
// worker runs: all of it counts against the worker's size. A Gained for a
// lease that was not Lost replaces its epoch.
type Gained struct {
	Key
	Epoch  ports.Epoch
	SentAt time.Duration // Tasks is not older than this
	Boot   uint64        // as ports.LeaseGrant
	Size   resource.Vector
	Tasks  []ports.TaskReport
}

// Reported lists what the worker runs, as of some moment not before SentAt. A
// task whose start was under way at SentAt or later may be missing from it
// and run all the same.
type Reported struct {
	Key
	Epoch  ports.Epoch
	SentAt time.Duration
	Boot   uint64 // as ports.LeaseGrant
	Size   resource.Vector
	Tasks  []ports.TaskReport
}

// Quiesce says that no start may be sent any more, because the lease is about
// to be handed over. The caller answers with Idle.
type Quiesce struct {
	Key
	Epoch ports.Epoch
}

// Lost says that the lease is gone: it lapsed, was refused or was released.
// What was sent under it may have taken effect.
type Lost struct {
	Key
	Epoch ports.Epoch
}

func (Acquire) isCommand()  {}
func (Renew) isCommand()    {}
func (Release) isCommand()  {}
func (Gained) isCommand()   {}
func (Reported) isCommand() {}
func (Quiesce) isCommand()  {}
func (Lost) isCommand()     {}
