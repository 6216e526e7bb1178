package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// attempt is an assigned attempt of a task, or a replica of a service, that
// has not ended. It holds room, units and a part of its team's share.
type attempt struct {
	id      ident.AttemptID
	job     *job // nil for a replica
	service *service
	team    *team
	need    resource.Vector
	units   int64

	worker   place.Ref
	at       int // among the attempts of the worker
	since    timeOf
	started  bool
	expected time.Duration // run time
	excess   int64         // milli-processors measured above the need
	stopping ports.Control
	stopAt   timeOf // when the first control was sent
	yields   bool   // it was displaced for urgent work or a replica of a service
	over     bool
}

// ending is how an attempt ended.
type ending struct {
	refused bool // it did not run
	pause   bool // with refused: not for a reason that another worker avoids
	failed  bool
	stopped bool
	lost    bool // how far it ran is not known
	reason  string
	ran     time.Duration
}

// newAttempt makes the record of the latest attempt of a task.
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

// begin counts an attempt whose room and units were taken.
func (s *Scheduler) begin(a *attempt, ref place.Ref) {
	h := s.host(ref)
	a.worker = ref
	a.at = len(h.attempts)
	h.attempts = append(h.attempts, a)
	if s.displaceable(a) {
		h.displaceable = h.displaceable.Add(a.need)
	}
	s.queue.Use(a.team.Team, a.need)
	if a.job != nil {
		a.job.open++
	}
}

// release gives back what an attempt holds.
func (s *Scheduler) release(a *attempt) {
	a.over = true
	h := s.host(a.worker)
	if s.displaceable(a) {
		h.displaceable = h.displaceable.Sub(a.need)
	}
	last := h.attempts[len(h.attempts)-1]
	h.attempts[a.at] = last
	last.at = a.at
	h.attempts[len(h.attempts)-1] = nil
	h.attempts = h.attempts[:len(h.attempts)-1]
	if a.stopping != "" {
		a.team.stopping = a.team.stopping.Sub(a.need)
	}
	s.cell.AddExcess(a.worker, -a.excess)
	s.cell.Release(a.worker, a.need)
	s.queue.Release(a.team.Team, a.need)
	s.doneUnits(a.team, a.units)
	if a.job != nil {
		a.job.open--
	}
}

// find returns the open attempt with the identifier, or nil.
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
	s.conclude(a, ending{refused: true, pause: ev.Reason == ""})
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

// conclude decides what follows from the end of an attempt that was released.
func (s *Scheduler) conclude(a *attempt, e ending) {
	if a.service != nil {
		s.replicaEnded(a, e)
		return
	}
	j := a.job
	t := &j.tasks[a.id.Index]
	t.run = nil
	if !e.refused {
		j.begun++
	}
	s.learnRun(j, e)
	switch {
	case j.gang():
		s.concludeGang(a, e)
	case e.refused && e.pause:
		s.tryLater(j, a.id.Index, s.opts.BackoffMin)
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

// concludeClosed counts an attempt that ended after its job was cancelled or
// given up.
func (s *Scheduler) concludeClosed(j *job, e ending) {
	if e.stopped || e.lost {
		j.uncertain = true
	}
	j.failed++
}

// taskFailed tries a task again after a back-off, or gives it up.
//
// A task that is not idempotent is never tried again: one that was stopped or
// lost may have done part of its work, and a second attempt would do that part
// twice (a doubled approval). Its outcome is then unknown, not "not run".
func (s *Scheduler) taskFailed(a *attempt, e ending) {
	j := a.job
	t := &j.tasks[a.id.Index]
	t.failures++
	t.last = a.worker
	j.reason = e.words()
	if int(t.failures) < s.maxAttempts(j) && !s.ranIntoLimit(j, e) {
		s.tryLater(j, a.id.Index, doubled(s.opts.BackoffMin, s.opts.BackoffMax, int(t.failures)-1))
		return
	}
	j.failed++
	if e.stopped || e.lost {
		j.uncertain = true
	}
	if j.failed >= failedMost && j.failed > j.done {
		j.closed = true
	}
}

// failedMost is the number of tasks of a job that fail for good before the
// rest is given up, unless more have succeeded.
const failedMost = 3

// ranIntoLimit reports whether the worker stopped the task at its time limit,
// where another attempt would end in the same way.
func (s *Scheduler) ranIntoLimit(j *job, e ending) bool {
	return j.spec.Limit > 0 && e.stopped && e.ran >= j.spec.Limit
}

func (e ending) words() string {
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

// tryLater makes a task of a job, or a gang as a whole, wait out a back-off.
func (s *Scheduler) tryLater(j *job, index int, delay time.Duration) {
	j.delayed++
	s.after(timer{at: s.now + delay, kind: timerBackoff, job: j, index: int32(index)})
}

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

// stop sends a control that ends an attempt, once.
func (s *Scheduler) stop(a *attempt, control ports.Control) {
	if a.stopping == control || a.stopping == ports.ControlStop {
		return
	}
	if s.displaceable(a) {
		h := s.host(a.worker)
		h.displaceable = h.displaceable.Sub(a.need)
	}
	if a.stopping == "" {
		a.team.stopping = a.team.stopping.Add(a.need)
	}
	again := a.stopping != ""
	a.stopping = control
	s.sendControl(a)
	if !again {
		a.stopAt = s.now
		s.after(timer{at: s.now + controlEvery, kind: timerControl, attempt: a})
	}
}

// controlEvery is the time after which a control is sent again.
const controlEvery = 5 * time.Second

func (s *Scheduler) sendControl(a *attempt) {
	s.emit(Control{ID: a.id, Worker: s.cell.Worker(a.worker).ID, Control: a.stopping})
}

// repeatControl sends a control again until the attempt has ended. A control
// can be lost on its way, or meet a worker whose lease is not held at the
// moment; a cancelled job would then run on, and its caller never get an
// answer. Controls are idempotent, so one more does no harm.
func (s *Scheduler) repeatControl(a *attempt) {
	if a.over {
		return
	}
	s.sendControl(a)
	s.after(timer{at: s.now + controlEvery, kind: timerControl, attempt: a})
}

func (s *Scheduler) usageReported(ev UsageReported) {
	a := s.find(ev.ID)
	if a == nil {
		return
	}
	excess := max(ev.Usage.MilliCPU-a.need.MilliCPU, 0)
	s.cell.AddExcess(a.worker, excess-a.excess)
	a.excess = excess
	if ev.Ran > 0 {
		a.since = s.now - ev.Ran
	}
}
