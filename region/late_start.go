package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// defersEnds reports whether the end of a run of the step may have to wait for another start
// call of it. Copies of speculative tasks may run at the same time. An incarnation that has
// executed a start with a ticket is the only one that accepts the ticket.
func (st *step) defersEnds() bool { return !st.needsAdvice() && !st.rec.Speculative }

// unsettled reports whether a start call of the run is not known to have been executed or
// refused, and may be executed by another incarnation than the one that it names.
func (r *run) unsettled() bool {
	return !r.task.step.rec.Speculative && !r.ticketBound() && r.calls.unsettled()
}

// mayStartLate reports whether a start call of the run may still be executed, in this
// incarnation of its worker or a later one.
//
// The guard is against a start call without an answer that the worker's next incarnation
// executes seconds later: the call names its worker by id alone, and that incarnation has
// not seen this leader's fencing token. If the task had been started elsewhere or had ended
// in the meantime, it would run twice, or again after it was done.
//
// It holds because, until then, the run does not end for the scheduler: an end that the
// worker lists is neither applied nor acknowledged. Where the incarnation dies with that
// end, the task has not been done, and the late start is its run.
func (s *Scheduler) mayStartLate(r *run) bool {
	return r.unsettled() && (!s.leading() || r.calls.open(s.now, s.inheritedSince(r)))
}

// settleListed settles the start calls of a run that a probe sent at sentAt lists, if none
// could be executed any more by then.
func (s *Scheduler) settleListed(r *run, sentAt time.Duration) {
	if r.unsettled() && !r.calls.open(sentAt, s.inheritedSince(r)) {
		r.calls.settle()
		s.recordSettled(r)
	}
}

// lateStartPossible reports whether a start call to the worker may still be executed.
func (s *Scheduler) lateStartPossible(w *worker) bool {
	return slices.ContainsFunc(w.runs, s.mayStartLate)
}

// awaitLateStart keeps a run that has ended as far as is known while a start call of it may
// still be executed. In that time the task is not started again, and the run counts towards
// the workspace's cap. Log messages call this state "in doubt".
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
		Field{"unanswered", r.calls.unanswered}, Field{"inherited", r.calls.inherited}, Field{"ticket", r.calls.expireAt > 0},
		Field{"starts_for_ms", max(0, s.startsClosedAt(r)-s.now).Milliseconds()},
		Field{"waits_for_ms", (s.lateLeaseEnd(r, s.startsClosedAt(r)) - s.now).Milliseconds()})
	s.stopOtherMembers(r.task, r.number)
	s.publish(r.task.step.job)
}

// deferEnd keeps a run whose worker lists its end, because another start call of it may
// still be executed. The run does not use its worker's room any more.
func (s *Scheduler) deferEnd(r *run) {
	s.awaitLateStart(r, "its worker lists its end")
	r.endListedIn = r.worker.incarnation.BornUnix
	s.setIdle(r, true)
}

// setIdle sets whether a run uses no room on its worker. That is so while its end is
// deferred, until a later incarnation of the worker begins, which may execute a start of it.
func (s *Scheduler) setIdle(r *run, idle bool) {
	if r.idle == idle {
		return
	}
	r.idle = idle
	if idle {
		r.worker.idleRuns++
		s.freeRoom(r)
		return
	}
	r.worker.idleRuns--
	s.useRoom(r)
}

// lateStartRoom returns how many tasks of the step a worker has room for if its next
// incarnation executes all starts that may be late.
func (s *Scheduler) lateStartRoom(st *step, w *worker) int {
	if w.idleRuns == 0 || st.rec.Speculative {
		return len(st.tasks) // all such starts are within the room in use
	}
	left := w.entry.Capacity
	for _, r := range w.runs {
		if r.unsettled() || r.startedUnseen() || r.phase == phaseLogging && !r.task.step.rec.Speculative {
			left = left.Sub(r.demand)
		}
	}
	return timesIn(st.demand(), left)
}

// settleLateStarts lets the runs of awaitLateStart end that can no longer start: a probe
// sent from now on shows whether a late start was executed.
func (s *Scheduler) settleLateStarts() {
	s.lateStartRuns = slices.DeleteFunc(s.lateStartRuns, func(r *run) bool {
		if r.task.run != r || r.phase != phaseLateStart {
			return true
		}
		if s.mayStartLate(r) {
			return false
		}
		r.settledAt = max(1, s.startsClosedAt(r))
		return true
	})
}

// startsClosedAt returns from when on no start of the run can be executed any more: from now on if
// all were answered. For want of an answer, the time may lie before this leader's term.
func (s *Scheduler) startsClosedAt(r *run) time.Duration {
	if r.unsettled() {
		return r.calls.closedAt(s.inheritedSince(r))
	}
	return s.now
}

// lateStartEnded reports whether a run of awaitLateStart has ended although no probe shows
// it: its starts can no longer be executed, and a lease that a late call has granted in a
// later incarnation has expired.
func (s *Scheduler) lateStartEnded(r *run) bool {
	if r.settledAt == 0 {
		return false
	}
	return s.now > s.lateLeaseEnd(r, r.settledAt)
}

// lateLeaseEnd returns the end of the longest lease that an incarnation can have which may execute
// a start of the run until closedAt.
func (s *Scheduler) lateLeaseEnd(r *run, closedAt time.Duration) time.Duration {
	return max(closedAt, r.worker.grants.last(r.calls.fence)) + s.maxLease() + lapseMargin
}

// adopt continues a run of awaitLateStart that its worker lists: the start call was executed
// in the worker's present incarnation. The incarnation is recorded, as a new leader would
// otherwise end the run together with the earlier one. A member of a gang is stopped like
// the other members.
func (s *Scheduler) adopt(r *run) {
	s.explain(r.task.step.job.rec.Id, "run in doubt began", Field{"worker", r.ref.ID}, Field{"run", r.number},
		Field{"step", r.task.step.index}, Field{"task", r.task.index})
	s.setIdle(r, false)
	r.ref, r.assignedUnixMs = r.worker.ref(), s.unixMs
	s.recordAssigned(r)
	s.confirm(r)
	if r.task.step.rec.Gang {
		s.stopRun(r, "its gang has ended")
	}
}

// sendRecorded sends a start once the log has a record of the call, so that a new leader
// knows how many calls may be open. A call that was not executed leaves its record to the
// next one.
func (s *Scheduler) sendRecorded(r *run, after time.Duration) {
	if !r.task.step.defersEnds() || r.calls.logged > r.calls.unanswered {
		s.sendStart(r, after)
		return
	}
	r.calls.logged++
	sending := &record.Sending{Task: r.task.id().Record(), Run: r.number}
	s.afterCommit(s.append(&record.Entry{Kind: &record.Entry_Sending{Sending: sending}}), func() { s.sendStart(r, after) })
}

// recordSettled records that no start call of the run can be executed any more: a new
// leader need not wait for one.
func (s *Scheduler) recordSettled(r *run) {
	if r.calls.recorded || !r.task.step.defersEnds() || r.unsettled() {
		return
	}
	r.calls.recorded = true
	s.append(&record.Entry{Kind: &record.Entry_Settled{Settled: &record.Settled{Task: r.task.id().Record(), Run: r.number}}})
}

// replaySending applies a record of sendRecorded, written by the leader with the fencing token.
func (s *Scheduler) replaySending(e *record.Sending, fence int64) {
	if r := s.recordedRun(e.Task, e.Run); r != nil {
		r.calls.inherited++
		r.calls.inheritedFence = max(r.calls.inheritedFence, fence)
	}
}

// replaySettled applies a record of recordSettled.
func (s *Scheduler) replaySettled(e *record.Settled) {
	if r := s.recordedRun(e.Task, e.Run); r != nil {
		r.calls.settle()
		r.calls.recorded = true
	}
}

// recordedRun returns the run that a record is about, or nil if it is no longer the task's.
func (s *Scheduler) recordedRun(id *record.Task, number int32) *run {
	t := s.findTask(model.TaskIDOf(id))
	if t == nil || t.run == nil || t.run.number != number {
		return nil
	}
	return t.run
}
