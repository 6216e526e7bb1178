package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// lateCall is the longest time after its sending at which a call without an answer may
// still be carried out.
const lateCall = 8 * time.Second

// startCalls counts the calls that ask for the start of a run.
type startCalls struct {
	unanswered int           // under way, or without an answer for good
	executed   bool          // one of those has been carried out: the worker has listed the run
	confirmed  bool          // another one was answered: that the run is listed tells nothing of those
	until      time.Duration // when the newest of them is settled, whatever became of it
	unknown    bool          // an earlier leader made them and kept no record of their answers
	recorded   bool          // a record says that all of them are settled
}

func (c *startCalls) sent(at time.Duration) {
	c.unanswered++
	c.until = at + lateCall
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

// seen notes that the worker has listed the run.
func (c *startCalls) seen() {
	c.executed = !c.confirmed
	c.unknown = false
}

// settle notes that no call can be carried out any more.
func (c *startCalls) settle() { c.unanswered, c.unknown = 0, false }

func (c *startCalls) open(now time.Duration) bool {
	left := c.unanswered
	if c.executed {
		left--
	}
	return left > 0 && now < c.until
}

// inDoubt reports whether a start of the run may still be carried out, in this life of its
// worker or a later one.
//
// The guard is against a start that gets no answer and is carried out seconds later by the
// worker's next life, which has seen no fencing token of ours: an order names its worker by
// id alone. If the task had been started elsewhere meanwhile, it would run twice. Tickets
// hold in one life of a worker only, so that a late start with a ticket is refused, and
// copies of speculative tasks may run at the same time.
func (s *Scheduler) inDoubt(r *run) bool {
	st := r.task.step
	switch {
	case st.advised() || st.rec.Speculative:
		return false
	case r.calls.unknown:
		return !s.leading() || s.now < s.leadSince+lateCall
	}
	return r.calls.open(s.now)
}

// keepInDoubt holds a run that is over as far as its worker tells, while a start of it may
// still be carried out: its task waits, and its room in the workspace's cap is taken.
func (s *Scheduler) keepInDoubt(r *run, why string) {
	if r.phase == phaseInDoubt {
		return
	}
	r.phase = phaseInDoubt
	r.settledAt = 0
	delete(r.worker.orders, r.id())
	s.inDoubtRuns = append(s.inDoubtRuns, r)
	s.explain(r.task.step.job.rec.Id, "run in doubt", Field{"why", why}, Field{"worker", r.ref.ID},
		Field{"step", r.task.step.index}, Field{"task", r.task.index}, Field{"run", r.number},
		Field{"unanswered", r.calls.unanswered}, Field{"inherited", r.calls.unknown})
	s.stopOtherMembers(r.task, r.number)
	s.publish(r.task.step.job)
}

// resolveDoubts ends the runs in doubt that can begin no more.
func (s *Scheduler) resolveDoubts() {
	if len(s.inDoubtRuns) == 0 {
		return
	}
	held := slices.Clone(s.inDoubtRuns)
	s.inDoubtRuns = s.inDoubtRuns[:0]
	for _, r := range held {
		switch {
		case r.task.run != r || r.phase != phaseInDoubt:
		case s.inDoubt(r):
			s.inDoubtRuns = append(s.inDoubtRuns, r)
		default:
			s.lose(r, "no start of it can be carried out any more")
		}
	}
}

// adopt takes over a run in doubt that its worker lists: the start has been carried out in
// the worker's present life. A record of that keeps a successor from taking the run for over
// with the earlier life. A member of a gang is stopped, as the others are.
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

// recordSettled keeps that no start of a run is under way any more, so that a successor
// need not wait for one. Runs with tickets are never in doubt.
func (s *Scheduler) recordSettled(r *run) {
	st := r.task.step
	if r.calls.recorded || st.advised() || st.rec.Speculative || s.inDoubt(r) {
		return
	}
	r.calls.recorded = true
	s.append(&record.Entry{Kind: &record.Entry_Settled{Settled: &record.Settled{Task: r.task.id().Record(), Run: r.number}}})
}

// replaySettled applies such a record.
func (s *Scheduler) replaySettled(e *record.Settled) {
	t := s.find(model.TaskIDOf(e.Task))
	if t == nil || t.run == nil || t.run.number != e.Run {
		return
	}
	t.run.calls.settle()
	t.run.calls.recorded = true
}
