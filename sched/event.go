package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Event is something that happened. The set of events is closed.
type Event interface{ isEvent() }

// WorkerAdded reports that the compute lease of a worker is held from now on.
// For a worker that is known already it updates size and rack, and ends a
// cordon and a planned removal; if the removal still stands, WorkerLeaving has
// to follow. A worker that shrank keeps what it runs and takes nothing new until
// it is within its size.
type WorkerAdded struct {
	Worker ident.WorkerID
	Rack   string
	Size   resource.Vector // slots and connections are ignored
}

// WorkerRemoved reports that nothing that was started on the worker can run
// any longer. Attempts on it that have not been reported as ended are lost:
// idempotent work is tried again, other work ends as OutcomeUnknown.
type WorkerRemoved struct {
	Worker ident.WorkerID
}

// WorkerLeaving reports a planned removal. The worker takes nothing new;
// service replicas are replaced elsewhere and then stopped, displaceable tasks
// are checkpointed, everything else runs to its end.
type WorkerLeaving struct {
	Worker ident.WorkerID
}

// WorkerCordoned starts or ends a cordon, for instance while the control lease
// is not held: the worker takes nothing new and keeps what it runs.
type WorkerCordoned struct {
	Worker   ident.WorkerID
	Cordoned bool
}

// JobAccepted reports a job that is in the log. Age is how long ago it was
// accepted.
type JobAccepted struct {
	Job  ident.JobID
	Spec work.Spec
	Age  time.Duration
}

// RestoredTask is what the log and the workers know of one task of a restored
// job. Tasks that were never attempted need no entry.
type RestoredTask struct {
	Index     int
	Attempts  int            // attempts assigned so far, the running one included
	Refused   int            // of these, attempts that truly did not run
	Displaced int            // of these, attempts that were displaced
	Done      bool           // it ended without failure
	Failed    bool           // its last attempt failed and no further one may follow
	Reason    string         // with Failed
	Running   bool           // the last attempt runs, or may run, on Worker
	Started   bool           // with Running: the worker has reported it as running
	Worker    ident.WorkerID // with Running
	Ran       time.Duration  // with Running: run time so far
}

// JobRestored reports a job found in the log after a takeover. Workers named
// in Tasks must have been added before. The limit units of running tasks must
// be in use in the Limits already; the scheduler gives them back when they end.
type JobRestored struct {
	Job   ident.JobID
	Spec  work.Spec
	Age   time.Duration
	Tasks []RestoredTask
}

// JobCancelled reports that a caller withdrew a job.
type JobCancelled struct {
	Job ident.JobID
}

// AttemptStarted reports that the worker runs the attempt.
type AttemptStarted struct {
	ID ident.AttemptID
}

// StartRefused reports that an attempt truly did not run: the worker refused
// it, or the call was never sent, or the record was not written. The task
// waits again and the attempt does not count.
type StartRefused struct {
	ID     ident.AttemptID
	Reason ports.Refusal // empty if the worker is not the cause
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID      ident.AttemptID
	Failed  bool // ended without success
	Stopped bool // stopped or checkpointed by a control, or by the worker
	Unknown bool // whether it ran at all, and how far, is not known
	Reason  string
	Ran     time.Duration
	Usage   resource.Vector // measured; zero if not known
}

// UsageReported is a measurement of a running attempt. It lags, and is used to
// rank workers and predict starts, never to admit more than is declared.
type UsageReported struct {
	ID    ident.AttemptID
	Ran   time.Duration
	Usage resource.Vector
}

// ServiceDeclared sets the wanted replicas of a service. Job numbers the
// replicas that this scheduler starts; it is minted by the engine and must be
// new when a service is first declared to this scheduler. A changed Need
// applies to replicas that start later.
type ServiceDeclared struct {
	Service  ident.ServiceID
	Job      ident.JobID
	Team     ident.TeamID
	Replicas int
	Need     resource.Vector
}

// ReplicaRestored reports a running replica of a declared service, found on a
// worker after a takeover. Its limit units must be in use already. A replica
// of a service that is not declared is stopped.
type ReplicaRestored struct {
	Service ident.ServiceID
	Team    ident.TeamID
	ID      ident.AttemptID
	Worker  ident.WorkerID
	Need    resource.Vector
}

// ServiceRemoved stops all replicas of a service.
type ServiceRemoved struct {
	Service ident.ServiceID
}

// Team is the share of a team and its upper limit. The limit is kept behind
// Limits; here it only serves to refuse work that is over it.
type Team struct {
	ID     ident.TeamID
	Weight int64 // of its share, at least one
	Limit  int64 // units over the fleet; zero for none
}

// TeamsChanged replaces the teams and their weights. Teams that are not listed
// count with weight one and without limit.
type TeamsChanged struct {
	Teams []Team
}

// LimitChanged reports that more units of a team may be available.
type LimitChanged struct {
	Team ident.TeamID
}

// Tick lets time pass: deadlines, back-off, quarantines and holds are due at
// the time that Next names. Every other event lets time pass as well.
type Tick struct{}

func (WorkerAdded) isEvent()     {}
func (WorkerRemoved) isEvent()   {}
func (WorkerLeaving) isEvent()   {}
func (WorkerCordoned) isEvent()  {}
func (JobAccepted) isEvent()     {}
func (JobRestored) isEvent()     {}
func (JobCancelled) isEvent()    {}
func (AttemptStarted) isEvent()  {}
func (StartRefused) isEvent()    {}
func (AttemptEnded) isEvent()    {}
func (UsageReported) isEvent()   {}
func (ServiceDeclared) isEvent() {}
func (ReplicaRestored) isEvent() {}
func (ServiceRemoved) isEvent()  {}
func (TeamsChanged) isEvent()    {}
func (LimitChanged) isEvent()    {}
func (Tick) isEvent()            {}
