package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
)

// Scheduler schedules the durable work of one availability zone. It is not safe
// for concurrent use.
type Scheduler struct {
	opts        Options
	now         time.Duration
	commands    []Command
	cell        *place.Cell
	placer      *place.Placer
	queryPlacer *place.Placer // for queries, which must not change later placements
	queue       *queue.Queue[*job]

	jobs        map[ident.JobID]*job
	workers     []workerState // by place.Ref
	teams       map[ident.TeamID]*team
	teamList    []*team // in order of their first event
	families    families
	services    map[ident.ServiceID]*service
	serviceOf   map[ident.JobID]*service
	serviceList []*service // in order of declaration
	timers      timers
	holds       []*hold
	prediction

	seq           uint64        // sequence number of the last job that arrived
	changedJob    *job          // the only job with new waiting tasks, unless dirty is set
	dirty         bool          // a change may allow waiting work to start
	planAt        monotonicTime // time from which holds may be planned again
	planner       planner
	displacements []displacement
	displaceAt    monotonicTime                                             // time from which tasks may be displaced again
	rebalanceAt   monotonicTime                                             // time from which shares may be rebalanced again
	wakes         struct{ plan, displace, rebalance, rescan monotonicTime } // times of the last wake-ups set
	quarantined   int                                                       // quarantined workers
	openFunc      func(*queue.Class[*job]) bool
	gangRefs      []place.Ref // scratch
}

// New returns a scheduler without workers and jobs.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	cell := place.NewCell()
	s := &Scheduler{
		opts:        opts,
		cell:        cell,
		placer:      place.NewPlacer(cell),
		queryPlacer: place.NewPlacer(cell),
		queue:       queue.New[*job](opts.UrgentOver),
		jobs:        map[ident.JobID]*job{},
		teams:       map[ident.TeamID]*team{},
		families:    newFamilies(),
		services:    map[ident.ServiceID]*service{},
		serviceOf:   map[ident.JobID]*service{},
	}
	s.openFunc = s.mayStart
	return s
}

// Step handles one event at time now, on the process's own monotonic clock, and
// returns the resulting commands. The slice is valid until the next call.
func (s *Scheduler) Step(now time.Duration, ev Event) []Command {
	s.now = max(s.now, now)
	clear(s.commands)
	s.commands = s.commands[:0]
	s.fireDueTimers()
	s.handle(ev)
	s.fireDueTimers() // a job may arrive after its deadline
	s.decide()
	return s.commands
}

// decide starts the waiting work that fits. If only one job changed, it tries
// that job's class alone: the last decision left no other work that fits.
func (s *Scheduler) decide() {
	changed := s.changedJob
	s.changedJob = nil
	if changed != nil && !s.dirty {
		s.startSameClass(changed)
		s.freeCapacity()
	}
	if s.dirty {
		s.dirty = false
		s.reconcileServices()
		s.dispatch()
	}
	s.changedJob = nil
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

func (s *Scheduler) emit(c Command) { s.commands = append(s.commands, c) }

// Next returns the time at which a Tick is due. It reports false if no timer is
// set.
func (s *Scheduler) Next() (time.Duration, bool) {
	if len(s.timers.heap) == 0 {
		return 0, false
	}
	return s.timers.heap[0].at, true
}

// Waiting returns the number of jobs with tasks ready to start.
func (s *Scheduler) Waiting() int { return s.queue.Len() }

// Accuracy returns the error of the start times predicted so far.
func (s *Scheduler) Accuracy() Accuracy { return s.accuracy }

// Jobs returns the number of jobs that have not ended.
func (s *Scheduler) Jobs() int { return len(s.jobs) }
