package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// maxStartAttempts is how often a start is sent without an answer before the run is
	// stopped instead.
	maxStartAttempts = 4
	// startRetry is the pause before a start is sent again.
	startRetry = 30 * time.Millisecond
)

// sendStart sends the start of a run. A retry grants the lease of the first attempt: on a
// worker that does not answer, each longer lease would defer the time at which the run is
// known to have ended.
func (s *Scheduler) sendStart(r *run, after time.Duration) {
	if r.task.run != r || (r.phase != phaseLogging && r.phase != phaseSending) {
		return
	}
	if r.task.knownDone() {
		s.abortStart(r, "an earlier run is done")
		return
	}
	// The append may have taken longer than the ticket is valid, and the worker would
	// refuse the start.
	if r.phase == phaseLogging && !r.task.step.ticketHolds(r.worker, s.now) {
		s.abandon(r, "its ticket expired before its record was kept")
		return
	}
	if !s.leadershipConfirmed() {
		s.abortStart(r, "the log was not reached lately")
		return
	}
	if why := s.drainForbids(r.worker); why != "" {
		s.abortStart(r, why)
		return
	}
	if r.worker.entry.Draining {
		s.abortStart(r, "its worker drains")
		return
	}
	if !r.hasRoom() {
		s.abortStart(r, "its worker's capacity has shrunk")
		return
	}
	if r.leaseUntil == 0 {
		r.leaseUntil = s.grantLease(r.worker)
	}
	s.outdateCalls(r)
	r.phase = phaseSending
	r.startAttempts++
	r.calls.sent(s.now + after)
	if r.calls.fence == 0 {
		r.calls.fence = s.fenceOf(r.worker)
	}
	r.calls.newestFence = s.fenceOf(r.worker)
	s.addGrant(r.worker, lateGrant{r.calls.newestFence, s.startGrantsUntil(r, s.now+after)})
	r.worker.pendingCalls.sent(r.id(), s.now+after)
	s.emit(Start{After: after, Request: model.StartRequest{
		RunID:  r.id(),
		Worker: r.target(), Spec: r.task.step.job.rec.Spec, Checkpoint: r.task.checkpoint,
		Ticket: r.ticket, UntilMs: r.leaseUntil, Fence: s.fenceOf(r.worker),
	}})
}

// outdateCalls raises the worker's fencing token before a start that another incarnation than the
// named one may execute, if that incarnation must refuse calls which were sent before.
func (s *Scheduler) outdateCalls(r *run) {
	if r.task.step.rec.Speculative || r.ticketBound() {
		return
	}
	s.outdateAcks(r.worker)
	if r.task.step.needsAdvice() {
		s.outdateGrants(r)
	}
}

// hasRoom reports whether the runs on the worker, with this one, are still within its capacity,
// which may have shrunk since the run was assigned. Resources that the run does not need do not
// count.
func (r *run) hasRoom() bool {
	used, has := r.worker.used, r.worker.entry.Capacity
	return (r.demand.MilliCPU == 0 || used.MilliCPU <= has.MilliCPU) &&
		(r.demand.MemoryMiB == 0 || used.MemoryMiB <= has.MemoryMiB) &&
		(r.demand.Accelerators == 0 || used.Accelerators <= has.Accelerators)
}

// currentRun returns the run that an answer is about, or nil if it is no longer the task's
// run on that worker.
func (s *Scheduler) currentRun(id model.RunID, ref model.WorkerRef) *run {
	t := s.findTask(id.Task)
	if t == nil || t.run == nil || t.run.number != id.Run || t.run.ref.ID != ref.ID {
		return nil
	}
	return t.run
}

func (s *Scheduler) startAnswered(ev StartAnswered) {
	s.callAnswered(ev.Request.Worker, ev.Request.RunID, ev.Err)
	if ev.Err == CallNoAnswer {
		s.awaitStartGrant(ev.Request)
	}
	r := s.currentRun(ev.Request.RunID, ev.Request.Worker)
	if r == nil {
		return
	}
	if ev.Err == CallFenced && ev.Request.Fence == s.fenceOf(r.worker) {
		s.emit(StepDown{Worker: r.ref.ID})
		return
	}
	r.calls.answered(ev.Err, s.now)
	if r.phase != phaseSending {
		if (r.phase == phaseStopping || r.phase == phaseLateStart) && !r.begun && !r.listed && r.calls.neverExecuted() {
			r.lost = nil
			s.markLost(r, "its start was not executed")
			return
		}
		if ev.Err == CallOK && r.phase == phaseRunning {
			r.settledAt = s.now
			s.recordSettled(r)
		}
		return
	}
	switch ev.Err {
	case CallOK:
		s.confirm(r)
		r.settledAt = s.now
	case CallOldRun:
		r.settledAt = s.now
	case CallNoAnswer:
		r.startUnanswered = true
		s.startTimedOut(r)
	case CallNotSent, CallFenced:
		s.retryStart(r)
	case CallLeaseExpired:
		r.leaseUntil = 0
		s.retryStart(r)
	case CallOtherIncarnation:
		s.otherIncarnation(r.worker, ev.Request.Worker)
	case CallRefused:
		r.worker.pausedUntil = s.now + unhealthyPause
		r.worker.health.refused(s.now)
		s.abortStart(r, "its worker refused")
	case CallNoRoom:
		r.worker.pausedUntil = s.now + unhealthyPause
		s.abortStart(r, "its worker had no room")
	case CallNoTicket:
		r.task.step.advice.expire(r.worker)
		s.abortStart(r, "the ticket did not hold")
	}
}

// startTimedOut handles a start without an answer. A second call of a run defers its end
// (mayStartLate), so it is sent only if a probe does not list the run. One with a ticket waits for
// the incarnation that it names to answer: another one that has executed the first call would take
// the second one for a renewal of its lease, whatever its ticket.
func (s *Scheduler) startTimedOut(r *run) {
	if r.task.step.rec.Speculative && !r.task.step.needsAdvice() || r.ticketBound() {
		s.retryStart(r)
		return
	}
	s.explain(r.task.step.job.rec.Id, "start not answered", Field{"worker", r.ref.ID}, Field{"step", r.task.step.index},
		Field{"task", r.task.index}, Field{"run", r.number}, Field{"attempt", r.startAttempts})
	r.awaitsProbe = true
	s.probe(r.worker, 0)
}

// retryUnlisted sends the starts again that an answered probe has not shown to be executed.
// That of a gang member is aborted instead if it has no ticket, or if the probe got no answer: the
// other members wait, and a gang's end, which another worker may list, cannot be deferred.
func (s *Scheduler) retryUnlisted(w *worker, answered bool) {
	for _, r := range w.sortedRuns() {
		switch {
		case !r.awaitsProbe || r.phase != phaseSending:
		case r.task.step.rec.Gang && (!answered || r.task.step.defersEnds()):
			r.awaitsProbe = false
			s.abortStart(r, "its worker did not answer")
		case answered && (r.ticketBound() || r.task.step.defersEnds()):
			r.awaitsProbe = false
			s.retryStart(r)
		}
	}
}

func (s *Scheduler) retryStart(r *run) {
	if r.startAttempts < maxStartAttempts {
		s.sendRecorded(r, startRetry)
		return
	}
	r.worker.pausedUntil = s.now + unhealthyPause
	s.abortStart(r, "its worker did not answer")
}

// confirm marks the run as running on its worker.
func (s *Scheduler) confirm(r *run) {
	r.observeFromStart(s.now)
	r.phase = phaseRunning
	r.begun = true
	r.startedAt = s.now
	r.expectEnd(r.expectedEnd())
	r.progressedAt = s.now
	if r.settledAt == 0 {
		r.settledAt = s.now
	}
	s.recordSettled(r)
	j := r.task.step.job
	if !j.begun {
		j.begun = true
		s.publish(j)
	}
}

// abortStart ends a run that did not start. If a start call may still be executed, the run
// is stopped instead: after a stop, the worker refuses a late start of the run. The other
// members of a gang are stopped at once. Otherwise they would wait, and keep their room,
// until the stop is settled.
func (s *Scheduler) abortStart(r *run, why string) {
	if r.startUnanswered {
		s.stopRun(r, why)
		s.stopOtherMembers(r.task, r.number)
		return
	}
	s.abandon(r, why)
}
