package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
)

// Scheduler decides for the durable work of one availability zone.
type Scheduler struct {
	opts   Options
	now    time.Duration
	out    []Command
	cell   *place.Cell
	placer *place.Placer
	asked  *place.Placer // for questions, which must not change decisions
	queue  *queue.Queue[*job]

	jobs      map[ident.JobID]*job
	hosts     []host // by place.Ref
	teams     map[ident.TeamID]*team
	teamList  []*team // in the order of their first event
	families  families
	services  map[ident.ServiceID]*service
	serviceOf map[ident.JobID]*service
	inOrder   []*service // in the order of declaration
	timers    timers
	holds     []*hold
	prediction

	seq         uint64 // of arrivals
	newest      *job   // the only job whose waiting changed, if nothing else is dirty
	dirty       bool   // something happened that could let work start
	planAt      timeOf // no planning before this time
	planner     planner
	making      []displacement
	displaceAt  timeOf                                           // no displacing before this time
	rebalanceAt timeOf                                           // no rebalancing before this time
	wakes       struct{ plan, displace, rebalance, look timeOf } // last wake-ups that were set
	sick        int                                              // quarantined workers
	openFunc    func(*queue.Class[*job]) bool
	gangRefs    []place.Ref // scratch
}

// New returns a scheduler that knows no worker and no job.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	cell := place.NewCell()
	s := &Scheduler{
		opts:      opts,
		cell:      cell,
		placer:    place.NewPlacer(cell),
		asked:     place.NewPlacer(cell),
		queue:     queue.New[*job](opts.UrgentOver),
		jobs:      map[ident.JobID]*job{},
		teams:     map[ident.TeamID]*team{},
		families:  newFamilies(),
		services:  map[ident.ServiceID]*service{},
		serviceOf: map[ident.JobID]*service{},
	}
	s.openFunc = s.mayStart
	return s
}

// Step takes one event at time now, on the process's own monotonic clock, and
// returns the commands that follow. The slice is valid until the next call.
func (s *Scheduler) Step(now time.Duration, ev Event) []Command {
	s.now = max(s.now, now)
	clear(s.out)
	s.out = s.out[:0]
	s.expire()
	s.handle(ev)
	s.expire() // a job may arrive after its deadline
	s.decide()
	return s.out
}

// decide starts what can start. If one job is all that changed, nothing else
// can, because the last decision left nothing that could.
func (s *Scheduler) decide() {
	newest := s.newest
	s.newest = nil
	if newest != nil && !s.dirty {
		s.startSameClass(newest)
		s.freeCapacity()
	}
	if s.dirty {
		s.dirty = false
		s.reconcileServices()
		s.dispatch()
	}
	s.newest = nil
}

func (s *Scheduler) handle(ev Event) {
	switch ev := ev.(type) {
	case WorkerAdded:
		s.workerAdded(ev)
	case WorkerRemoved:
		s.workerRemoved(ev.Worker)
	case WorkerLeaving:
		s.workerLeaving(ev.Worker)
	case WorkerCordoned:
		s.workerCordoned(ev)
	case JobAccepted:
		s.jobAccepted(ev)
	case JobRestored:
		s.jobRestored(ev)
	case JobCancelled:
		s.jobCancelled(ev.Job)
	case AttemptStarted:
		s.attemptStarted(ev.ID)
	case StartRefused:
		s.startRefused(ev)
	case AttemptEnded:
		s.attemptEnded(ev)
	case UsageReported:
		s.usageReported(ev)
	case ServiceDeclared:
		s.serviceDeclared(ev)
	case ReplicaRestored:
		s.replicaRestored(ev)
	case ServiceRemoved:
		s.serviceRemoved(ev.Service)
	case TeamsChanged:
		s.teamsChanged(ev.Teams)
	case LimitChanged:
		s.limitChanged(ev.Team)
	case Tick:
	}
}

func (s *Scheduler) emit(c Command) { s.out = append(s.out, c) }

// Next returns the time at which a Tick is due, and false if none is.
func (s *Scheduler) Next() (time.Duration, bool) {
	if len(s.timers.heap) == 0 {
		return 0, false
	}
	return s.timers.heap[0].at, true
}

// Waiting returns the number of jobs with tasks that wait to start.
func (s *Scheduler) Waiting() int { return s.queue.Len() }

// Accuracy returns how predicted starts compared with real ones.
func (s *Scheduler) Accuracy() Accuracy { return s.accuracy }

// Jobs returns the number of jobs that have not ended.
func (s *Scheduler) Jobs() int { return len(s.jobs) }
