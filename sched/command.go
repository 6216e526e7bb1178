package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Command is something that the engine has to do. The set is closed.
type Command interface{ isCommand() }

// Assign starts an attempt on a worker. Room and limit units are reserved from
// now on. For a service replica Service is set and no record is needed.
type Assign struct {
	ID      ident.AttemptID
	Worker  ident.WorkerID
	Team    ident.TeamID
	Need    resource.Vector
	Run     time.Duration // as declared
	Limit   time.Duration
	Payload string
	Service ident.ServiceID
}

// Control applies a control to a running attempt.
type Control struct {
	ID      ident.AttemptID
	Worker  ident.WorkerID
	Control ports.Control
}

// JobEnded is the end of a job. With OutcomeNotRun nothing of it ever ran.
type JobEnded struct {
	Job     ident.JobID
	Outcome work.Outcome
	Failed  bool   // with OutcomeRan: it ran and did not succeed
	Reason  string // why it failed, did not run or is unknown; empty on success
}

// Want reports that a team could start more with more units of its limit.
type Want struct {
	Team  ident.TeamID
	Units int64 // what the first task in the order lacks at most
}

func (Assign) isCommand()   {}
func (Control) isCommand()  {}
func (JobEnded) isCommand() {}
func (Want) isCommand()     {}
