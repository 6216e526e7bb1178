package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Event is something that the scheduler is told.
type Event interface{ isEvent() }

// Command is something that the scheduler wants done.
type Command interface{ isCommand() }

// Events.
type (
	// IntakeRead holds records of the topic that every host appends to, in order.
	IntakeRead struct{ Records []*record.Intake }

	// EntriesRead holds records of earlier leaders, in order. They come only
	// before Lead.
	EntriesRead struct{ Entries []*record.Entry }

	// Lead begins leadership: everything written earlier has been read.
	Lead struct{ Fence int64 }

	// ConfigRead brings a configuration in force.
	ConfigRead struct{ Config *model.Config }

	// WorkerListed tells a new or changed entry of the host list.
	WorkerListed struct{ Entry model.WorkerEntry }

	// WorkerUnlisted tells that an entry is gone.
	WorkerUnlisted struct{ ID string }

	// Logged tells that all entries up to Seq are kept. SentAt is when the
	// append that proved it was sent.
	Logged struct {
		Seq    int64
		SentAt time.Duration
	}

	// Held is the answer to a Hold, which was sent at SentAt.
	Held struct {
		Order  model.HoldRequest
		SentAt time.Duration
		Hold   model.HoldResponse
		Err    CallError
	}

	// StartAnswered is the answer to a Start.
	StartAnswered struct {
		Order  model.StartRequest
		SentAt time.Duration
		Err    CallError
	}

	// StopAnswered is the answer to a Stop.
	StopAnswered struct {
		Order  model.StopRequest
		SentAt time.Duration
		Err    CallError
	}

	// Advised is the answer to an Advise.
	Advised struct {
		Order   Advise
		Tickets []model.Ticket
		At      time.Duration // when the answer came
		Failed  bool
		NotSent bool // it failed before it reached the service
	}

	// HostsSeen lists the hosts that can be asked for advice.
	HostsSeen struct{ Hosts []string }

	// Tick passes time. UnixMs is the time of day, Behind how late the driver came to
	// handle the tick: with a busy processor, every event waits as long. LinkLoad is the
	// share of the driver's link that is in use.
	Tick struct {
		UnixMs   int64
		Behind   time.Duration
		LinkLoad float64
	}

	// Schedule looks for room for what waits. The driver sends it when it has
	// no other event at hand.
	Schedule struct{}
)

func (IntakeRead) isEvent()     {}
func (EntriesRead) isEvent()    {}
func (Lead) isEvent()           {}
func (ConfigRead) isEvent()     {}
func (WorkerListed) isEvent()   {}
func (WorkerUnlisted) isEvent() {}
func (Logged) isEvent()         {}
func (Held) isEvent()           {}
func (StartAnswered) isEvent()  {}
func (StopAnswered) isEvent()   {}
func (Advised) isEvent()        {}
func (HostsSeen) isEvent()      {}
func (Tick) isEvent()           {}
func (Schedule) isEvent()       {}

// CallError tells how a call to a worker ended.
type CallError int

// Ends of a call to a worker.
const (
	CallOK        CallError = iota
	CallNotSent             // certainly not executed: no connection
	CallRefused             // certainly not executed: the worker said so
	CallFenced              // a higher fencing token was seen there
	CallOldRun              // the run was stopped or has ended there before
	CallLate                // the lease that the order grants is over
	CallNoRoom              // it does not fit there
	CallNoTicket            // the ticket does not hold there
	CallOtherLife           // another life of the worker answered
	CallNoAnswer            // may have been executed, or may be executed later
)

// Commands.
type (
	// Append keeps entries in the log, in order; the last has number Seq.
	Append struct {
		Entries []*record.Entry
		Seq     int64
	}

	// Start, Stop and Hold are calls to a worker.
	Start struct {
		Order model.StartRequest
		After time.Duration // wait before the call
	}
	// Stop asks a worker to stop a run.
	Stop struct {
		Order model.StopRequest
		After time.Duration
	}
	// Hold renews leases and looks.
	Hold struct {
		Order model.HoldRequest
		After time.Duration
	}

	// Advise asks the advice service from Host which workers may run a step.
	Advise struct {
		Host       string // "" for this host
		Job        string
		Occurrence int32
		Step       int32
		Workers    []string
		Expected   time.Duration // how long the service works on it
		Timeout    time.Duration // how long the answer may take, with what the service works on before
	}

	// Publish tells a job's state. An empty state forgets the job.
	Publish struct {
		Job       string
		Queue     string
		Workspace string
		State     State
		Timed     bool // runs at set times: not counted as waiting
	}

	// Deposed tells that a worker has seen a higher fencing token: another host
	// leads.
	Deposed struct{ Worker string }

	// Explain is a line for the log: a decision and its inputs.
	Explain struct {
		Job    string
		What   string
		Fields []Field
	}
)

// Field is one input of a decision.
type Field struct {
	Name  string
	Value any
}

func (Append) isCommand()  {}
func (Start) isCommand()   {}
func (Stop) isCommand()    {}
func (Hold) isCommand()    {}
func (Advise) isCommand()  {}
func (Publish) isCommand() {}
func (Deposed) isCommand() {}
func (Explain) isCommand() {}

// State of a job as its caller sees it.
type State int

// States of a job.
const (
	StateUnknown State = iota
	StateQueued
	StateRunning
	StateCompleted
	StateFailed
	StateCancelled
)
