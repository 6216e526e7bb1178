package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// abandon ends a run whose worker reported no end, or keeps it if a start call of it may be
// executed late. A run that is kept ends when a probe shows that it does not run, or when
// lateStartEnded reports that.
func (s *Scheduler) abandon(r *run, why string) {
	s.taskWaits(r)
	switch {
	case r.phase == phaseLateStart:
		s.setIdle(r, false) // the worker does not list its end any more; rememberDone keeps one as done
	case r.unsettled() || r.startedUnverified():
		s.awaitLateStart(r, why)
	default:
		s.markLost(r, why)
	}
}

// markLost ends a run whose worker reported no end. It does not count as an attempt.
func (s *Scheduler) markLost(r *run, why string) {
	t := r.task
	s.explain(t.step.job.rec.Id, "run lost", append([]Field{{"why", why}, {"worker", r.ref.ID}, {"born", r.ref.BornUnix},
		{"step", t.step.index}, {"task", t.index}, {"run", r.number},
		{"phase", int(r.phase)}, {"looked_ms_ago", r.worker.probeAge(s.now).Milliseconds()}}, r.worker.contactFields(s.now)...)...)
	if why == leaseOver {
		r.worker.noteGivenUp(s.now)
	}
	s.release(r)
	s.recordLost(r)
	s.stopOtherMembers(t, r.number)
	s.publish(t.step.job)
}

// recordEnd appends the end of a run to the log and applies it.
func (s *Scheduler) recordEnd(t *task, number int32, outcome record.Outcome, checkpoint string) {
	outcome = t.step.job.outcomeToRecord(outcome)
	s.appendEnd(&record.Ended{Task: t.id().Record(), Run: number, Outcome: outcome, Checkpoint: checkpoint})
	s.countEnd(t, number, outcome, checkpoint)
}

// recordLost records the end of a run that is lost, with what may show later that its worker
// has crashed.
func (s *Scheduler) recordLost(r *run) {
	end := &record.Ended{Task: r.task.id().Record(), Run: r.number, Outcome: record.Outcome_OUTCOME_LOST}
	if r.lost != nil && !r.task.done {
		end.Loss = s.recordOf(r.lost)
		s.addOpen(r.lost)
	}
	s.appendEnd(end)
	s.countEnd(r.task, r.number, end.Outcome, "")
}

func (s *Scheduler) appendEnd(e *record.Ended) {
	s.append(&record.Entry{Kind: &record.Entry_Ended{Ended: e}})
}

// isFinal reports whether the outcome completes the task. A long-running task is started
// again after any outcome.
func (t *task) isFinal(outcome record.Outcome) bool {
	return outcome == record.Outcome_OUTCOME_DONE && !t.step.rec.LongRunning
}

// Why an end that a worker lists is deferred.
const (
	deferredForCall     = "another start call of the run may be executed"
	deferredForLaterRun = "a later run of the task may start"
	// It is not an end of the incarnation whose ends are applied.
	deferredForIncarnation = "another incarnation lists it"
)

// runEnded applies an end that a worker lists, or returns why it is deferred.
func (s *Scheduler) runEnded(w *worker, e model.End) (deferred string) {
	t := s.findTask(e.Task)
	if t == nil && s.isOver(e.Task) {
		s.emit(Count{Name: "ends_of_past_occurrences"})
		s.explain(e.Task.Job, "end of a past occurrence", endFields(w.ref(), e)...)
		return ""
	}
	if t == nil {
		s.emit(Count{Name: "ends_of_unknown_jobs"})
		s.explain(e.Task.Job, "end of an unknown job", Field{"worker", w.entry.ID}, Field{"step", e.Task.Step}, Field{"task", e.Task.Index},
			Field{"run", e.Run}, Field{"outcome", e.Outcome.String()}, Field{"end", e.Number})
		return ""
	}
	r := t.run
	if r != nil && (r.number != e.Run || r.worker != w) {
		r = nil
	}
	if t.step.rec.Gang && e.Outcome == record.Outcome_OUTCOME_DONE {
		s.learnFromGang(t.step, e.Run)
	}
	if r != nil {
		if !r.idle { // else learned when its end was deferred
			s.learn(r, e.Outcome)
		}
		r.listed = true
		r.calls.runListed()
		if s.mayStartLate(r) && !s.keepsEndOf(r, e) {
			s.taskWaits(r)
			s.deferEnd(r)
			return deferredForCall
		}
		s.release(r)
	}
	if r == nil {
		s.reportGivenUp(w, t, e)
	}
	if t.isFinal(e.Outcome) && s.stopLaterRuns(t, e.Run) {
		return deferredForLaterRun
	}
	s.applyEnd(w, t, e)
	return ""
}

// reportDeferred reports an end that was read and is neither applied nor acknowledged yet.
func (s *Scheduler) reportDeferred(w model.WorkerRef, e model.End, why string) {
	s.emit(Count{Name: "ends_deferred", Why: why})
	s.explain(e.Task.Job, "end deferred", append(endFields(w, e), Field{"why", why})...)
}

// reportApplied reports that an end is applied which was deferred for the time waited.
func (s *Scheduler) reportApplied(w model.WorkerRef, e model.End, waited time.Duration) {
	s.emit(Count{Name: "ends_deferred_applied"})
	s.explain(e.Task.Job, "deferred end applied", append(endFields(w, e), Field{"deferred_ms", waited.Milliseconds()})...)
}

func endFields(w model.WorkerRef, e model.End) []Field {
	return []Field{{"worker", w.ID}, {"born", w.BornUnix}, {"occurrence", e.Task.Occurrence}, {"step", e.Task.Step},
		{"task", e.Task.Index}, {"run", e.Run}, {"outcome", e.Outcome.String()}, {"end", e.Number}}
}

// reportGivenUp reports an end as done of a run that was counted as lost: its task was, or would have
// been, started again. The line "run lost" of the same run has the reason.
func (s *Scheduler) reportGivenUp(w *worker, t *task, e model.End) {
	if e.Outcome != record.Outcome_OUTCOME_DONE || t.step.job.cancelled || t.done && e.Run >= t.endedRun {
		return
	}
	s.emit(Count{Name: "given_up_runs_done"})
	s.explain(e.Task.Job, "run done after it was given up", Field{"worker", w.entry.ID}, Field{"born", w.incarnation.BornUnix},
		Field{"step", e.Task.Step}, Field{"task", e.Task.Index}, Field{"run", e.Run}, Field{"newest_run", t.lastRun}, Field{"task_done", t.done},
		Field{"end", e.Number}, Field{"lost_ms_ago", msSince(w.givenUp.at, s.now)})
}

// stopLaterRuns stops later runs of a task, and of the other members of its gang, after an
// earlier run is done. It reports whether a start of one may still be executed, so that the
// task is not done yet.
func (s *Scheduler) stopLaterRuns(t *task, number int32) (mayStart bool) {
	tasks := []*task{t}
	if t.step.rec.Gang {
		tasks = t.step.tasks
	}
	for _, m := range tasks {
		if t.done || m.run == nil || m.run.number <= number {
			continue
		}
		mayStart = mayStart || s.mayStartLate(m.run)
		s.stopRun(m.run, "an earlier run is done")
	}
	return mayStart
}

// applyEnd applies an end to its task. The run that ended is no longer the task's.
func (s *Scheduler) applyEnd(w *worker, t *task, e model.End) {
	if e.Run <= t.endedRun && (!t.isFinal(e.Outcome) || t.done) {
		s.queueIfWaiting(t) // the end of its run has released it
		return
	}
	if t.isFinal(e.Outcome) {
		s.applyDone(t, e.Run, s.checkpointToKeep(w, t, e.RunID, e.Checkpoint))
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	s.recordEnd(t, e.Run, e.Outcome, s.checkpointToKeep(w, t, e.RunID, e.Checkpoint))
	if e.Outcome == record.Outcome_OUTCOME_FAILED {
		s.explain(e.Task.Job, "run failed", Field{"worker", w.entry.ID}, Field{"step", e.Task.Step},
			Field{"task", e.Task.Index}, Field{"run", e.Run}, Field{"attempts", t.attempts})
	}
	if e.GangTimedOut {
		s.explain(e.Task.Job, "gang member ended alone", Field{"step", e.Task.Step}, Field{"task", e.Task.Index}, Field{"run", e.Run})
	}
	s.stopOtherMembers(t, e.Run)
}

// applyDone completes a task, and the other members of its gang, with the end of a run.
func (s *Scheduler) applyDone(t *task, number int32, checkpoint string) {
	t.lastRun = max(t.lastRun, number)
	s.recordEnd(t, number, record.Outcome_OUTCOME_DONE, checkpoint)
	if t.run != nil {
		s.stopRun(t.run, "an earlier run is done")
	}
	s.gangDone(t, number)
}

// countEnd applies the end of a run to its task and job.
func (s *Scheduler) countEnd(t *task, number int32, outcome record.Outcome, checkpoint string) {
	first := number > t.endedRun
	t.endedRun = max(t.endedRun, number)
	s.saveCheckpoint(t, checkpoint)
	switch {
	case t.isFinal(outcome):
		s.taskDone(t)
	case outcome == record.Outcome_OUTCOME_FAILED && first:
		s.countFailure(t, number)
	}
	s.queueIfWaiting(t)
	s.dirty = true
}

// queueIfWaiting queues the step of a task that has yet to be assigned.
func (s *Scheduler) queueIfWaiting(t *task) {
	if t.waiting() && !t.step.job.ended() && t.step.ready {
		s.enqueue(t.step)
	}
}

// countFailure uses up an attempt for a run that has failed. The members of a gang share their
// attempts, and a run of it is one attempt, however many of them end as failed. A task that is known to be
// done uses up none: its later runs were started for nothing.
func (s *Scheduler) countFailure(t *task, number int32) {
	if t.step.rec.LongRunning || t.knownDone() {
		return
	}
	if t.step.rec.Gang {
		if number <= t.step.failedRun {
			return
		}
		t.step.failedRun = number
		t = t.step.tasks[0]
	}
	t.attempts++
	if t.attempts >= t.step.job.rec.Policy.GetMaxAttempts() {
		s.fail(t.step.job, t, failureAttempts)
	}
}
