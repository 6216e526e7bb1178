package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// attempt is an assigned attempt of a task, or a replica of a service, that
// has not ended. It occupies worker capacity and limit units and counts toward
// the share of its team.
type attempt struct {
	id      ident.AttemptID
	job     *job // nil for a replica
	service *service
	team    *team
	need    resource.Vector
	units   int64

	worker      place.Ref
	workerIndex int           // index in workerState.attempts
	since       monotonicTime // start of the run; before started is set, time of the assignment
	started     bool
	expected    time.Duration // run time
	excessCPU   int64         // measured milli-cpu above the need
	stopping    ports.Control
	stopAt      monotonicTime // time of the first control
	requeueLast bool          // displaced for urgent work or a service replica
	ended       bool
}

// ending is the result of an attempt.
type ending struct {
	refused bool // it did not run
	backoff bool // with refused: the worker is not the cause, so the retry waits for a backoff
	failed  bool
	stopped bool
	lost    bool // unknown whether and how far it ran
	reason  string
	ran     time.Duration
}

// newAttempt creates the open attempt of a task.
func (s *Scheduler) newAttempt(j *job, index int) *attempt {
	t := &j.tasks[index]
	a := &attempt{
		id:       ident.AttemptID{Job: j.id, Index: index, Attempt: int(t.attempts)},
		job:      j,
		team:     j.team,
		need:     j.need,
		units:    j.units,
		since:    s.now,
		expected: s.estimate(j),
	}
	t.run = a
	return a
}

// begin adds an attempt to its worker, team and job. Its capacity and units are
// already reserved.
func (s *Scheduler) begin(a *attempt, ref place.Ref) {
	h := s.workerState(ref)
	a.worker = ref
	a.workerIndex = len(h.attempts)
	h.attempts = append(h.attempts, a)
	if s.displaceable(a) {
		h.displaceable = h.displaceable.Add(a.need)
	}
	s.queue.Use(a.team.Team, a.need)
	if a.job != nil {
		a.job.open++
	}
}

// release removes an attempt from its worker, team and job and frees its
// capacity and units.
func (s *Scheduler) release(a *attempt) {
	a.ended = true
	h := s.workerState(a.worker)
	if s.displaceable(a) {
		h.displaceable = h.displaceable.Sub(a.need)
	}
	last := h.attempts[len(h.attempts)-1]
	h.attempts[a.workerIndex] = last
	last.workerIndex = a.workerIndex
	h.attempts[len(h.attempts)-1] = nil
	h.attempts = h.attempts[:len(h.attempts)-1]
	if a.stopping != "" {
		a.team.stopping = a.team.stopping.Sub(a.need)
	}
	s.cell.AddExcess(a.worker, -a.excessCPU)
	s.cell.Release(a.worker, a.need)
	s.queue.Release(a.team.Team, a.need)
	s.doneUnits(a.team, a.units)
	if a.job != nil {
		a.job.open--
	}
}

// find returns the open attempt with the ID, or nil.
func (s *Scheduler) find(id ident.AttemptID) *attempt {
	if j, ok := s.jobs[id.Job]; ok {
		if id.Index < 0 || id.Index >= len(j.tasks) {
			return nil
		}
		if a := j.tasks[id.Index].run; a != nil && a.id.Attempt == id.Attempt {
			return a
		}
		return nil
	}
	if svc, ok := s.serviceOf[id.Job]; ok {
		return svc.replicas[id]
	}
	return nil
}

func (s *Scheduler) attemptStarted(id ident.AttemptID) {
	a := s.find(id)
	if a == nil || a.started {
		return
	}
	a.started = true
	a.since = s.now
	if a.service != nil {
		s.dirty = true
	}
}

func (s *Scheduler) startRefused(ev StartRefused) {
	a := s.find(ev.ID)
	if a == nil {
		return
	}
	s.release(a)
	s.workerRefused(a.worker, ev.Reason)
	s.conclude(a, ending{refused: true, backoff: ev.Reason == ""})
}

func (s *Scheduler) attemptEnded(ev AttemptEnded) {
	a := s.find(ev.ID)
	if a == nil {
		return
	}
	s.release(a)
	s.judgeWorker(a, ev)
	s.conclude(a, ending{
		failed:  ev.Failed,
		stopped: ev.Stopped,
		lost:    ev.Unknown,
		reason:  ev.Reason,
		ran:     ev.Ran,
	})
}

// conclude updates the job or service of an attempt that ended: the task is
// done, retried or failed. The attempt must be released before.
func (s *Scheduler) conclude(a *attempt, e ending) {
	if a.service != nil {
		s.replicaEnded(a, e)
		return
	}
	j := a.job
	t := &j.tasks[a.id.Index]
	t.run = nil
	if !e.refused {
		j.executed++
	}
	s.learnRun(j, e)
	switch {
	case j.gang():
		s.concludeGang(a, e)
	case e.refused && e.backoff:
		s.requeueAfter(j, a.id.Index, s.opts.BackoffMin)
	case e.refused:
		j.ready = append(j.ready, int32(a.id.Index))
	case !e.failed && !e.stopped && !e.lost:
		t.done = true
		j.done++
	case j.closed:
		s.concludeClosed(j, e)
	case e.stopped && a.stopping == ports.ControlCheckpoint:
		t.displaced++
		j.waitDisplaced(a)
	default:
		s.taskFailed(a, e)
	}
	s.settle(j)
}

// concludeClosed counts an unsuccessful attempt of a job that was cancelled or
// has failed.
func (s *Scheduler) concludeClosed(j *job, e ending) {
	if e.stopped || e.lost {
		j.uncertain = true
	}
	j.failed++
}

// taskFailed retries a task after a backoff, or marks it as failed.
//
// A non-idempotent task is never retried: a stopped or lost attempt may have
// done part of its work, and a second attempt would repeat that part (for
// example a duplicate approval). The outcome is then unknown, not "not run".
func (s *Scheduler) taskFailed(a *attempt, e ending) {
	j := a.job
	t := &j.tasks[a.id.Index]
	t.failures++
	t.last = a.worker
	j.reason = e.reasonText()
	if int(t.failures) < s.maxAttempts(j) && !s.hitTimeLimit(j, e) {
		s.requeueAfter(j, a.id.Index, exponentialBackoff(s.opts.BackoffMin, s.opts.BackoffMax, int(t.failures)-1))
		return
	}
	j.failed++
	if e.stopped || e.lost {
		j.uncertain = true
	}
	if j.failed >= maxFailedTasks && j.failed > j.done {
		j.closed = true
	}
}

// maxFailedTasks is the number of finally failed tasks at which a job is closed
// and its other tasks are not started, unless at least as many have succeeded.
const maxFailedTasks = 3

// hitTimeLimit reports whether the task was stopped at its time limit. A retry
// would end in the same way.
func (s *Scheduler) hitTimeLimit(j *job, e ending) bool {
	return j.spec.Limit > 0 && e.stopped && e.ran >= j.spec.Limit
}

// reasonText returns the reason of an unsuccessful end.
func (e ending) reasonText() string {
	switch {
	case e.reason != "":
		return e.reason
	case e.lost:
		return reasonLost
	case e.stopped:
		return reasonStopped
	default:
		return "it failed without a reason"
	}
}

// requeueAfter queues a task, or a whole gang, again after the delay.
func (s *Scheduler) requeueAfter(j *job, index int, delay time.Duration) {
	j.delayed++
	s.setTimer(timer{at: s.now + delay, kind: timerBackoff, job: j, index: int32(index)})
}

// backoffPassed queues a task, or a whole gang, at the end of its backoff.
func (s *Scheduler) backoffPassed(j *job, index int) {
	j.delayed--
	switch {
	case j.closed:
		return
	case j.gang():
		s.readyGang(j)
	default:
		j.ready = append(j.ready, int32(index))
	}
	s.requeue(j)
}

// stop sends a control that ends an attempt. It does nothing if the same
// control, or ControlStop, was sent before.
func (s *Scheduler) stop(a *attempt, control ports.Control) {
	if a.stopping == control || a.stopping == ports.ControlStop {
		return
	}
	if s.displaceable(a) {
		h := s.workerState(a.worker)
		h.displaceable = h.displaceable.Sub(a.need)
	}
	if a.stopping == "" {
		a.team.stopping = a.team.stopping.Add(a.need)
	}
	alreadyStopping := a.stopping != ""
	a.stopping = control
	s.sendControl(a)
	if !alreadyStopping {
		a.stopAt = s.now
		s.setTimer(timer{at: s.now + controlResendInterval, kind: timerControl, attempt: a})
	}
}

// controlResendInterval is the interval at which a control is resent.
const controlResendInterval = 5 * time.Second

func (s *Scheduler) sendControl(a *attempt) {
	s.emit(Control{ID: a.id, Worker: s.cell.Worker(a.worker).ID, Control: a.stopping})
}

// repeatControl resends a control until the attempt has ended. A control can be
// lost in transit, or arrive while the lease of the worker is not held. Without
// a resend, a cancelled job would keep running and its caller would never get
// an answer. Controls are idempotent, so a duplicate has no effect.
func (s *Scheduler) repeatControl(a *attempt) {
	if a.ended {
		return
	}
	s.sendControl(a)
	s.setTimer(timer{at: s.now + controlResendInterval, kind: timerControl, attempt: a})
}

func (s *Scheduler) usageReported(ev UsageReported) {
	a := s.find(ev.ID)
	if a == nil {
		return
	}
	excess := max(ev.Usage.MilliCPU-a.need.MilliCPU, 0)
	s.cell.AddExcess(a.worker, excess-a.excessCPU)
	a.excessCPU = excess
	if ev.Ran > 0 {
		a.since = s.now - ev.Ran
	}
}
