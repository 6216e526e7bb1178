package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Command is an action that an Arbiter asks of its caller, or a notification to
// it.
type Command interface{ isCommand() }

// Acquire requests a lease from the worker.
type Acquire struct {
	Key
	SentAt  time.Duration // to be returned with the answer
	Request ports.LeaseRequest
}

// Renew requests the extension of a lease from the worker.
type Renew struct {
	Key
	SentAt  time.Duration // to be returned with the answer
	Request ports.LeaseRequest
}

// Release gives up a lease at the worker. The worker's tasks keep running.
type Release struct {
	Key
	Epoch ports.Epoch
}

// Gained reports that starts may be sent under this epoch, and lists the tasks
// of the worker: all of them count against the worker's size. A Gained for a
// lease that was not Lost replaces its epoch.
type Gained struct {
	Key
	Epoch  ports.Epoch
	SentAt time.Duration // Tasks is at least as recent as this
	Boot   uint64        // as in ports.LeaseGrant
	Size   resource.Vector
	Tasks  []ports.TaskReport
}

// Reported lists the tasks of the worker, as of some moment not before SentAt.
// A task whose start was in flight at SentAt or later may be running and still
// be missing from the list.
type Reported struct {
	Key
	Epoch  ports.Epoch
	SentAt time.Duration
	Boot   uint64 // as in ports.LeaseGrant
	Size   resource.Vector
	Tasks  []ports.TaskReport
}

// Quiesce tells the caller to send no more starts, because the lease is about
// to be handed over. The caller answers with Idle.
type Quiesce struct {
	Key
	Epoch ports.Epoch
}

// Lost reports that the lease is no longer held: it expired, was refused or was
// released. Starts and controls sent under it may have taken effect.
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
