package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// job is the state of a job that has not ended.
type job struct {
	item     queue.Item[*job]
	id       ident.JobID
	spec     work.Spec
	need     resource.Vector // of one task, without slots and connections
	units    int64           // units of the team's limit that one task uses
	team     *team
	family   *family
	accepted time.Duration // on this process's clock; negative if before the process started

	tasks     []task  // allocated when the first task is taken
	fresh     int     // index of the first task that was never taken for a start
	last      int     // tasks with this index or a higher one are never attempted
	ready     []int32 // tasks below fresh that wait for an attempt
	displaced []int32 // tasks displaced for urgent work, oldest first; they start after all others
	delayed   int     // tasks in backoff
	open      int     // attempts that have not ended
	executed  int     // attempts that ran or may have run
	done      int     // tasks that succeeded
	failed    int     // tasks that failed and are not retried

	closed    bool // cancelled or given up: no further task starts
	broken    bool // gang with a failed attempt; its other attempts are being stopped
	faulty    bool // with broken: the round counts toward failures
	uncertain bool // an attempt was stopped or lost and is not retried
	ended     bool
	failures  int // failed rounds of a gang
	reason    string

	hold      *hold
	noHold    time.Duration // no hold is made before this time
	load      load          // of its waiting tasks
	predicted time.Duration // start time predicted on arrival; zero if none was
	timers    int           // pending timers that refer to the job
}

// task is the state of one task of a job, kept from its first attempt on.
type task struct {
	run       *attempt  // the open attempt, or nil
	attempts  int32     // assigned so far
	failures  int32     // attempts that failed or were lost
	displaced int32     // attempts that were displaced
	last      place.Ref // worker of the last failure, or place.None
	done      bool
}

// gang reports whether all tasks of the job must start together.
func (j *job) gang() bool { return j.spec.Kind == work.KindGang }

// waiting returns the number of tasks that are ready to start.
func (j *job) waiting() int {
	if j.ended || j.closed || j.broken {
		return 0
	}
	return j.last - j.fresh + len(j.ready) + len(j.displaced)
}

func (j *job) shape() queue.Shape {
	shape := queue.Shape{Need: j.need, Units: j.startUnits(), Urgent: j.spec.Urgent, Pressing: j.pressing()}
	if j.gang() {
		shape.Gang = j.spec.Tasks
	}
	return shape
}

// take removes the next task to start from the waiting tasks and returns its
// index. At least one task must be waiting.
//
// Tasks displaced for urgent work come last. If they came first, the same few
// tasks would be displaced until they reach MaxDisplaced. They would then fill
// the zone and block urgent work, while tasks that may be displaced wait.
func (j *job) take() int {
	if n := len(j.ready); n > 0 {
		index := j.ready[n-1]
		j.ready = j.ready[:n-1]
		return int(index)
	}
	if j.fresh < j.last || len(j.displaced) == 0 {
		return j.takeFresh()
	}
	index := j.displaced[0]
	j.displaced = j.displaced[1:]
	return int(index)
}

// waitDisplaced queues the task of a displaced attempt for another attempt.
func (j *job) waitDisplaced(a *attempt) {
	if a.requeueLast {
		j.displaced = append(j.displaced, int32(a.id.Index))
		return
	}
	j.ready = append(j.ready, int32(a.id.Index))
}

// takeFresh returns the index of the next task that was never taken before.
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

// peekLast returns the worker on which the next task to start failed last, or
// place.None.
func (j *job) peekLast() place.Ref {
	if n := len(j.ready); n > 0 {
		return j.tasks[j.ready[n-1]].last
	}
	if j.fresh == j.last && len(j.displaced) > 0 {
		return j.tasks[j.displaced[0]].last
	}
	return place.None
}

// maxAttempts returns the limit on the failures of a task of the job; a gang
// counts failed rounds. It is one for work that is not idempotent.
func (s *Scheduler) maxAttempts(j *job) int {
	if j.spec.NonIdempotent {
		return 1
	}
	if j.spec.MaxAttempts <= 0 {
		return s.opts.MaxAttempts
	}
	return min(j.spec.MaxAttempts, s.opts.MaxAttempts)
}

// due returns the time by which the jobs of a team are ordered.
func (s *Scheduler) due(j *job) time.Duration {
	if s.opts.FirstFit {
		return 0
	}
	dueAfter := s.opts.DueAfter
	if j.spec.Urgent {
		dueAfter = s.opts.UrgentDueAfter
	}
	if j.spec.Deadline > 0 {
		dueAfter = min(dueAfter, j.spec.Deadline)
	}
	return j.accepted + dueAfter
}

// requeue adds the job to the queue if it has tasks to start, and removes it
// otherwise.
func (s *Scheduler) requeue(j *job) {
	s.updateLoad(j)
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
	if s.changedJob == nil {
		s.changedJob = j
		return
	}
	s.dirty = true
}
