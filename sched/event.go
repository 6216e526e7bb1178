package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Event is an input to the scheduler. The set of events is closed.
type Event interface{ isEvent() }

// WorkerAdded reports that the compute lease of a worker is now held. For a
// known worker it updates size and rack, and ends a cordon and a planned
// removal; if the removal is still planned, WorkerLeaving must follow. A worker
// whose size was reduced keeps its running attempts and gets no new ones until
// they fit the new size.
type WorkerAdded struct {
	Worker ident.WorkerID
	Rack   string
	Size   resource.Vector // slots and connections are ignored
}

// WorkerRemoved reports that no attempt on the worker can still be running.
// Attempts whose end was not reported are lost: idempotent work is retried,
// other work ends with OutcomeUnknown.
type WorkerRemoved struct {
	Worker ident.WorkerID
}

// WorkerLeaving reports a planned removal and drains the worker. It gets no new
// work; service replicas are stopped after a replacement has started on another
// worker, displaceable tasks are checkpointed, and all other tasks run to
// completion.
type WorkerLeaving struct {
	Worker ident.WorkerID
}

// WorkerCordoned starts or ends a cordon, for example while the control lease is
// not held. A cordoned worker gets no new work and keeps its running attempts.
type WorkerCordoned struct {
	Worker   ident.WorkerID
	Cordoned bool
}

// JobAccepted reports a new job in the log. Age is the time since it was
// accepted.
type JobAccepted struct {
	Job  ident.JobID
	Spec work.Spec
	Age  time.Duration
}

// RestoredTask is the state of one task of a restored job, from the log and the
// workers. Tasks that were never attempted need no entry.
type RestoredTask struct {
	Index     int
	Attempts  int            // attempts assigned so far, including the running one
	Refused   int            // of these, attempts that certainly did not run
	Displaced int            // of these, attempts that were displaced
	Done      bool           // it succeeded
	Failed    bool           // its last attempt failed and must not be retried
	Reason    string         // with Failed
	Running   bool           // the last attempt runs, or may still run, on Worker
	Started   bool           // with Running: the worker has reported it as running
	Worker    ident.WorkerID // with Running
	Ran       time.Duration  // with Running: run time so far
}

// JobRestored reports a job found in the log after a takeover of leadership. The
// workers named in Tasks must have been added before. The limit units of running
// tasks must already be in use in the Limits; the scheduler returns them when
// the tasks end.
type JobRestored struct {
	Job   ident.JobID
	Spec  work.Spec
	Age   time.Duration
	Tasks []RestoredTask
}

// JobCancelled reports that a caller cancelled a job.
type JobCancelled struct {
	Job ident.JobID
}

// AttemptStarted reports that the worker is running the attempt.
type AttemptStarted struct {
	ID ident.AttemptID
}

// StartRefused reports that an attempt certainly did not run: the worker refused
// it, the call was never sent, or the record was not written. The task is queued
// again and the attempt does not count.
type StartRefused struct {
	ID     ident.AttemptID
	Reason ports.Refusal // empty if the worker is not the cause
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	ID      ident.AttemptID
	Failed  bool // ended without success
	Stopped bool // stopped or checkpointed by a control, or by the worker
	Unknown bool // unknown whether and how far it ran
	Reason  string
	Ran     time.Duration
	Usage   resource.Vector // measured; zero if unknown
}

// UsageReported is a measurement of a running attempt. It arrives with a delay
// and is used for scoring workers and predicting starts, never to place more
// than the declared needs allow.
type UsageReported struct {
	ID    ident.AttemptID
	Ran   time.Duration
	Usage resource.Vector
}

// ServiceDeclared sets the desired number of replicas of a service. Job is the
// job ID of the replicas that this scheduler starts; the engine creates it, and
// it must be new when the service is first declared to this scheduler. A changed
// Need applies to replicas that start later.
type ServiceDeclared struct {
	Service  ident.ServiceID
	Job      ident.JobID
	Team     ident.TeamID
	Replicas int
	Need     resource.Vector
}

// ReplicaRestored reports a running replica of a declared service, found on a
// worker after a takeover of leadership. Its limit units must already be in use.
// A replica of an undeclared service is stopped.
type ReplicaRestored struct {
	Service ident.ServiceID
	Team    ident.TeamID
	ID      ident.AttemptID
	Worker  ident.WorkerID
	Need    resource.Vector
}

// ServiceRemoved reports that a service was removed. All its replicas are
// stopped.
type ServiceRemoved struct {
	Service ident.ServiceID
}

// Team is the weight of a team and its upper limit. Limits enforces the limit;
// here it only serves to refuse work that can never fit it.
type Team struct {
	ID     ident.TeamID
	Weight int64 // weight of its fair share, at least one
	Limit  int64 // units in the whole fleet; zero for no limit
}

// TeamsChanged replaces the weights and limits of all teams. Teams that are not
// listed have weight one and no limit.
type TeamsChanged struct {
	Teams []Team
}

// LimitChanged reports that more limit units of a team may be available.
type LimitChanged struct {
	Team ident.TeamID
}

// Tick advances the time. It is due at the time that Next returns, when a
// deadline, backoff, quarantine or hold ends. Every other event advances the
// time as well.
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
