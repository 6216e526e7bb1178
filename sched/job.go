package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// job is a job that has not ended.
type job struct {
	item     queue.Item[*job]
	id       ident.JobID
	spec     work.Spec
	need     resource.Vector // of one task, slots and connections left out
	units    int64           // of the team's limit, of one task
	team     *team
	family   *family
	accepted time.Duration // on this process's clock; negative if before its start

	tasks   []task  // made when the first task starts
	fresh   int     // tasks below this index were attempted at least once
	last    int     // tasks from this index on will never be attempted
	ready   []int32 // attempted tasks that wait for another attempt
	later   []int32 // tasks displaced for urgent work; they wait behind the others, by time
	delayed int     // tasks that wait out a back-off
	open    int     // attempts that have not ended
	begun   int     // attempts that ran or may have run
	done    int     // tasks that succeeded
	failed  int     // tasks that failed for good

	closed    bool // cancelled or given up: nothing more of it starts
	broken    bool // a gang of which an attempt failed; its others are being stopped
	faulty    bool // with broken: the round counts as a failure
	uncertain bool // an attempt was stopped or lost, and is not tried again
	over      bool
	failures  int // of gangs: rounds that failed
	reason    string

	hold      *hold
	noHold    time.Duration // none before this time
	load      load          // of its tasks that wait
	predicted time.Duration // start, as predicted on arrival; zero if none was
	timers    int           // pending timers that name the job
}

// task is one task of a job after its first attempt.
type task struct {
	run       *attempt // the open attempt, or nil
	attempts  int32    // assigned so far
	failures  int32    // attempts that failed or were lost
	displaced int32
	last      place.Ref // worker of the last failure, or place.None
	done      bool
}

// gang reports whether all tasks of the job start together.
func (j *job) gang() bool { return j.spec.Kind == work.KindGang }

// waiting returns how many tasks could start now.
func (j *job) waiting() int {
	if j.over || j.closed || j.broken {
		return 0
	}
	return j.last - j.fresh + len(j.ready) + len(j.later)
}

func (j *job) shape() queue.Shape {
	shape := queue.Shape{Need: j.need, Units: j.startUnits(), Urgent: j.spec.Urgent, Pressing: j.pressing()}
	if j.gang() {
		shape.Gang = j.spec.Tasks
	}
	return shape
}

// take returns the index of the next task to start, which must be one that
// waits.
//
// Tasks that were displaced for urgent work come last. If they came first, the
// same few tasks would be displaced up to their bound and then run on, and
// urgent work would meet a zone in which nothing may be displaced while others
// that may be wait.
func (j *job) take() int {
	if n := len(j.ready); n > 0 {
		index := j.ready[n-1]
		j.ready = j.ready[:n-1]
		return int(index)
	}
	if j.fresh < j.last || len(j.later) == 0 {
		return j.takeFresh()
	}
	index := j.later[0]
	j.later = j.later[1:]
	return int(index)
}

// waitDisplaced lets the task of a displaced attempt wait for the next one.
func (j *job) waitDisplaced(a *attempt) {
	if a.requeueLast {
		j.later = append(j.later, int32(a.id.Index))
		return
	}
	j.ready = append(j.ready, int32(a.id.Index))
}

// takeFresh returns the index of the next task that was never taken.
func (j *job) takeFresh() int {
	if j.tasks == nil {
		j.tasks = make([]task, j.spec.Tasks)
		for i := range j.tasks {
			j.tasks[i].last = place.None
		}
	}
	j.fresh++
	return j.fresh - 1
}

// peekLast returns the worker on which the next task to start failed last.
func (j *job) peekLast() place.Ref {
	if n := len(j.ready); n > 0 {
		return j.tasks[j.ready[n-1]].last
	}
	if j.fresh == j.last && len(j.later) > 0 {
		return j.tasks[j.later[0]].last
	}
	return place.None
}

// maxAttempts returns how often a task of the job may be attempted.
func (s *Scheduler) maxAttempts(j *job) int {
	if j.spec.NonIdempotent {
		return 1
	}
	if j.spec.MaxAttempts <= 0 {
		return s.opts.MaxAttempts
	}
	return min(j.spec.MaxAttempts, s.opts.MaxAttempts)
}

// due returns the time that orders a job among those of its team.
func (s *Scheduler) due(j *job) time.Duration {
	if s.opts.FirstFit {
		return 0
	}
	patience := s.opts.Patience
	if j.spec.Urgent {
		patience = s.opts.UrgentPatience
	}
	if j.spec.Deadline > 0 {
		patience = min(patience, j.spec.Deadline)
	}
	return j.accepted + patience
}

// requeue puts a job into the order of waiting, or takes it out, so that it
// is there exactly while it has tasks to start.
func (s *Scheduler) requeue(j *job) {
	s.weigh(j)
	if waits := j.waiting() > 0; waits != j.item.Waiting() {
		if !waits {
			s.queue.Remove(&j.item)
			s.endHold(j.hold)
			return
		}
		s.queue.Push(j.team.Team, j.shape(), &j.item)
	}
	if j.waiting() == 0 || !s.mayStart(j.item.Class()) {
		return
	}
	if s.newest == nil {
		s.newest = j
		return
	}
	s.dirty = true
}
