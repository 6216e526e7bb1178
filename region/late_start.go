package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// lateCallWindow is the longest time after sending at which a call without an answer may
// still be executed.
const lateCallWindow = 8 * time.Second

// startCalls tracks the start calls of a run.
type startCalls struct {
	unanswered int           // calls in flight or timed out
	executed   bool          // one of these was executed: the worker has listed the run
	confirmed  bool          // another call was answered, so a listed run does not show that one of these was executed
	expiresAt  time.Duration // when the newest call can no longer be executed
	inherited  bool          // an earlier leader sent them, and their outcome is not recorded
	recorded   bool          // the log has a record that all of them are settled
}

func (c *startCalls) sent(at time.Duration) {
	c.unanswered++
	c.expiresAt = at + lateCallWindow
}

func (c *startCalls) answered(err CallError) {
	if err == CallNoAnswer {
		return
	}
	c.unanswered--
	if err == CallOK {
		c.executed, c.confirmed = false, true
	}
}

// runListed records that the worker has listed the run.
func (c *startCalls) runListed() {
	c.executed = !c.confirmed
	c.inherited = false
}

// settle records that no call can be executed any more.
func (c *startCalls) settle() { c.unanswered, c.inherited = 0, false }

// mayExecute reports whether a call may still be executed.
func (c *startCalls) mayExecute(now time.Duration) bool {
	left := c.unanswered
	if c.executed {
		left--
	}
	return left > 0 && now < c.expiresAt
}

// mayStartLate reports whether a start call of the run may still be executed, in this
// incarnation of its worker or a later one.
//
// The guard is against a start call without an answer that the worker's next incarnation
// executes seconds later: the call names its worker by id alone, and that incarnation has
// not seen this leader's fencing token. If the task had been started elsewhere in the
// meantime, it would run twice. A ticket is valid in one incarnation only, so a late start
// with a ticket is refused. Copies of speculative tasks may run at the same time.
func (s *Scheduler) mayStartLate(r *run) bool {
	st := r.task.step
	switch {
	case st.needsAdvice() || st.rec.Speculative:
		return false
	case r.calls.inherited:
		return !s.leading() || s.now < s.leadSince+lateCallWindow
	}
	return r.calls.mayExecute(s.now)
}

// awaitLateStart defers the end of a run while a start call of it may still be executed. In
// that time the task is not started again, and the run counts towards the workspace's cap.
// Log messages call this state "in doubt".
func (s *Scheduler) awaitLateStart(r *run, why string) {
	if r.phase == phaseLateStart {
		return
	}
	r.phase = phaseLateStart
	r.settledAt = 0
	delete(r.worker.pendingCalls, r.id())
	s.lateStartRuns = append(s.lateStartRuns, r)
	s.explain(r.task.step.job.rec.Id, "run in doubt", Field{"why", why}, Field{"worker", r.ref.ID},
		Field{"step", r.task.step.index}, Field{"task", r.task.index}, Field{"run", r.number},
		Field{"unanswered", r.calls.unanswered}, Field{"inherited", r.calls.inherited})
	s.stopOtherMembers(r.task, r.number)
	s.publish(r.task.step.job)
}

// resolveLateStarts ends the runs of awaitLateStart that can no longer start.
func (s *Scheduler) resolveLateStarts() {
	if len(s.lateStartRuns) == 0 {
		return
	}
	waiting := slices.Clone(s.lateStartRuns)
	s.lateStartRuns = s.lateStartRuns[:0]
	for _, r := range waiting {
		switch {
		case r.task.run != r || r.phase != phaseLateStart:
		case s.mayStartLate(r):
			s.lateStartRuns = append(s.lateStartRuns, r)
		default:
			s.markLost(r, "no start of it can be carried out any more")
		}
	}
}

// adopt continues a run of awaitLateStart that its worker lists: the start call was executed
// in the worker's present incarnation. The incarnation is recorded, as a new leader would
// otherwise end the run together with the earlier one. A member of a gang is stopped like
// the other members.
func (s *Scheduler) adopt(r *run) {
	s.explain(r.task.step.job.rec.Id, "run in doubt began", Field{"worker", r.ref.ID}, Field{"run", r.number},
		Field{"step", r.task.step.index}, Field{"task", r.task.index})
	r.ref.BornUnix = r.worker.entry.BornUnix
	s.recordAssigned(r)
	s.confirm(r)
	if r.task.step.rec.Gang {
		s.stopRun(r, "its gang has ended")
	}
}

// recordSettled records that no start call of the run can be executed any more: a new
// leader need not wait for one. Runs with tickets never start late and need no record.
func (s *Scheduler) recordSettled(r *run) {
	st := r.task.step
	if r.calls.recorded || st.needsAdvice() || st.rec.Speculative || s.mayStartLate(r) {
		return
	}
	r.calls.recorded = true
	s.append(&record.Entry{Kind: &record.Entry_Settled{Settled: &record.Settled{Task: r.task.id().Record(), Run: r.number}}})
}

// replaySettled applies a record of recordSettled.
func (s *Scheduler) replaySettled(e *record.Settled) {
	t := s.findTask(model.TaskIDOf(e.Task))
	if t == nil || t.run == nil || t.run.number != e.Run {
		return
	}
	t.run.calls.settle()
	t.run.calls.recorded = true
}
