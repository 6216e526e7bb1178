package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Command is an action that the engine must execute. The set of commands is
// closed.
type Command interface{ isCommand() }

// Assign starts an attempt on a worker. Its capacity and limit units are
// reserved already. For a service replica, Service is set and no record is
// needed.
type Assign struct {
	ID      ident.AttemptID
	Worker  ident.WorkerID
	Team    ident.TeamID
	Need    resource.Vector
	Run     time.Duration // declared run time
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

// JobEnded reports the end of a job. OutcomeNotRun means that no part of it ran.
type JobEnded struct {
	Job     ident.JobID
	Outcome work.Outcome
	Failed  bool   // with OutcomeRan: it did not succeed
	Reason  string // why it failed, did not run or has an unknown outcome; empty on success
}

// Want reports that work of a team is blocked because its limit units ran out.
type Want struct {
	Team  ident.TeamID
	Units int64 // most that can be missing: the units of the blocked task or whole gang
}

func (Assign) isCommand()   {}
func (Control) isCommand()  {}
func (JobEnded) isCommand() {}
func (Want) isCommand()     {}
