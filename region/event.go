package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Event is an input of the scheduler, passed to Scheduler.Handle.
type Event interface{ isEvent() }

// Command is an action that the scheduler requests from its driver.
type Command interface{ isCommand() }

// Events that Handle accepts.
type (
	// IntakeRead holds records of the intake, the topic that every host appends to, in
	// log order. SentAt is when the read of the partition Part was sent that has reached its
	// end, and otherwise 0; the scheduler uses neither. Notified is set if the hosts that have
	// appended the records pass them on: a read of the log brings them again.
	IntakeRead struct {
		Records  []*record.Intake
		Part     int
		SentAt   time.Duration
		Notified bool
	}

	// EntriesRead holds entries of earlier leaders, in log order. It comes only before
	// Lead.
	EntriesRead struct{ Entries []*record.Entry }

	// Lead begins leadership with a fencing token. All earlier records have been read
	// by then. ProvenAt is when the appends that fenced off earlier leaders were sent, or a
	// later append that has succeeded.
	Lead struct {
		Fence    int64
		ProvenAt time.Duration
	}

	// ConfigRead puts a configuration into force.
	ConfigRead struct{ Config *model.Config }

	// ZoneDrainsRead reports which zones operators drain.
	ZoneDrainsRead struct{ Drains model.ZoneDrains }

	// WorkerListed reports a new or changed entry of the host list.
	WorkerListed struct{ Entry model.WorkerEntry }

	// WorkerUnlisted reports that a worker is no longer on the host list.
	WorkerUnlisted struct{ ID string }

	// Committed reports that all entries up to Seq are committed. SentAt is when the
	// append that proves it was sent.
	Committed struct {
		Seq    int64
		SentAt time.Duration
	}

	// ProbeAnswered is the answer to a Probe that was sent at SentAt. If it was not answered, the
	// response has at most the ends that the handshake of its connection listed.
	ProbeAnswered struct {
		Request  model.ProbeRequest
		Verify   bool // as in the Probe
		SentAt   time.Duration
		Response model.ProbeResponse
		Err      CallError
		Failure  model.CallFailure // why Err is not CallOK; only reported
	}

	// StartAnswered is the answer to a Start that was sent at SentAt.
	StartAnswered struct {
		Request model.StartRequest
		SentAt  time.Duration
		Err     CallError
	}

	// StopAnswered is the answer to a Stop that was sent at SentAt.
	StopAnswered struct {
		Request model.StopRequest
		SentAt  time.Duration
		Err     CallError
	}

	// AdviceAnswered is the answer to an Advise.
	AdviceAnswered struct {
		Request Advise
		Tickets []model.Ticket
		At      time.Duration // when the answer came
		Failed  bool
		NotSent bool // the call failed before it reached the service
	}

	// AdviceHostsChanged reports the new list of the hosts through which the advice
	// service can be called.
	AdviceHostsChanged struct{ Hosts []string }

	// Tick advances time. UnixMs is the time of day. LoopLag is how late the driver
	// handled the tick; on a busy processor every event waits as long. LinkLoad is the
	// share of the driver's link that is in use.
	Tick struct {
		UnixMs   int64
		LoopLag  time.Duration
		LinkLoad float64
	}

	// Schedule runs a placement pass. The driver sends it when no other event is
	// queued.
	Schedule struct{}
)

func (IntakeRead) isEvent()         {}
func (EntriesRead) isEvent()        {}
func (Lead) isEvent()               {}
func (ConfigRead) isEvent()         {}
func (ZoneDrainsRead) isEvent()     {}
func (WorkerListed) isEvent()       {}
func (WorkerUnlisted) isEvent()     {}
func (Committed) isEvent()          {}
func (ProbeAnswered) isEvent()      {}
func (StartAnswered) isEvent()      {}
func (StopAnswered) isEvent()       {}
func (AdviceAnswered) isEvent()     {}
func (AdviceHostsChanged) isEvent() {}
func (Tick) isEvent()               {}
func (Schedule) isEvent()           {}

// CallError is the outcome of a call to a worker.
type CallError int

// Outcomes of a call to a worker.
const (
	CallOK               CallError = iota // executed
	CallNotSent                           // certainly not executed: no connection
	CallRefused                           // certainly not executed: the worker rejected it
	CallFenced                            // the worker has seen a higher fencing token
	CallOldRun                            // the run was stopped or has ended there before
	CallLeaseExpired                      // the lease that the call grants has expired
	CallNoRoom                            // the worker has no room for it
	CallNoTicket                          // the ticket is not valid on the worker
	CallOtherIncarnation                  // another incarnation of the worker answered
	CallNoAnswer                          // may have been executed, or may be executed later
)

// Commands that Handle returns. A command with a field After is executed after that delay.
type (
	// Append writes entries to the log in order. Seq is the number of the last one.
	Append struct {
		Entries []*record.Entry
		Seq     int64
	}

	// Start asks a worker to start a run.
	Start struct {
		Request model.StartRequest
		After   time.Duration
	}
	// Stop asks a worker to stop a run.
	Stop struct {
		Request model.StopRequest
		After   time.Duration
	}
	// Probe renews the leases of a worker and reads which of its runs are running or
	// have ended.
	Probe struct {
		Request model.ProbeRequest
		After   time.Duration
		Verify  bool // only to verify an entry of the host list
	}

	// Advise asks the advice service, through Host, on which workers a step may run.
	Advise struct {
		Host       string // "" for this host
		Job        string
		Occurrence int32
		Step       int32
		Workers    []string
		Expected   time.Duration // how long the service is expected to work on the call
		Timeout    time.Duration // how long the answer may take, including the service's work on earlier calls
	}

	// Publish reports a job's state. StateUnknown removes the job.
	Publish struct {
		Job       string
		Queue     string
		Workspace string
		State     State
		Why       string // why the job failed
		Pending   bool   // no task of it is known to have begun, and it does not run at set times
	}

	// CrashCounted reports a crash of a worker that counts against a task, or that has been
	// replayed from the log. It is reported again if it does not count any more.
	CrashCounted struct {
		RunID  model.RunID
		Worker string
		Alone  bool // no other job ran on the worker
		Begun  bool // the worker is known to have started the run
		Outage bool // it does not count: the rack failed
	}

	// Count adds N to a counter, or 1 if N is 0. Why is its tag, or empty.
	Count struct {
		Name string
		Why  string
		N    int64
	}

	// StepDown ends the leadership, because Worker has seen a higher fencing token:
	// another host leads.
	StepDown struct{ Worker string }

	// Explain is a log line that records a decision and its inputs.
	Explain struct {
		Job     string
		Message string
		Fields  []Field
	}
)

// Field is one input of a logged decision.
type Field struct {
	Name  string
	Value any
}

func (Append) isCommand()       {}
func (Start) isCommand()        {}
func (Stop) isCommand()         {}
func (Probe) isCommand()        {}
func (Advise) isCommand()       {}
func (Publish) isCommand()      {}
func (Count) isCommand()        {}
func (CrashCounted) isCommand() {}
func (StepDown) isCommand()     {}
func (Explain) isCommand()      {}

// State is the state of a job as callers see it.
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
