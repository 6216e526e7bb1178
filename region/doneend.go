package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// doneEnd is an end as done that was read and cannot be applied yet.
type doneEnd struct {
	run    int32
	readAt time.Duration // when it was read, or replayed
}

// rememberDone keeps an end that completes its task and cannot be applied yet, and reports whether it was
// not kept before. Until it is applied, no run of the task is started, nor of its gang.
//
// The guard is against a task that runs again after it was done. While a later run may start, the end
// waits; that run may be listed as stopped, or be lost, before the worker lists the first end once more,
// and the worker may be gone by then. The record lets the next leader know of the end as well.
func (s *Scheduler) rememberDone(e model.End) (first bool) {
	t := s.findTask(e.Task)
	if t == nil || !t.isFinal(e.Outcome) || t.done || t.doneEnd != nil || t.step.job.ended() {
		return false
	}
	s.keepDone(t, doneEnd{run: e.Run, readAt: s.now})
	s.append(&record.Entry{Kind: &record.Entry_DoneRead{DoneRead: &record.DoneRead{Task: e.Task.Record(), Run: e.Run}}})
	return true
}

func (s *Scheduler) keepDone(t *task, e doneEnd) {
	t.doneEnd = &e
	t.step.doneEnds++
	s.doneEnds = append(s.doneEnds, t)
}

func (t *task) dropDone() {
	t.doneEnd = nil
	t.step.doneEnds--
}

// knownDone reports whether a run of the task, or of its gang, was read as done, whether that is applied or
// not.
func (t *task) knownDone() bool {
	return t.done || t.doneEnd != nil || t.step.rec.Gang && t.step.doneEnds > 0
}

// applyDoneEnds applies the ends of rememberDone for which nothing has to be waited for any more.
func (s *Scheduler) applyDoneEnds() {
	s.doneEnds = slices.DeleteFunc(s.doneEnds, func(t *task) bool {
		if t.done || t.step.job.ended() {
			t.dropDone()
			return true
		}
		if !s.mayApplyDone(t) {
			return false
		}
		e := t.doneEnd
		s.emit(Count{Name: "ends_remembered_applied"})
		s.explain(t.step.job.rec.Id, "remembered end applied", Field{"occurrence", t.step.occ.k}, Field{"step", t.step.index}, Field{"task", t.index},
			Field{"run", e.run}, Field{"newest_run", t.lastRun}, Field{"deferred_ms", (s.now - e.readAt).Milliseconds()})
		s.applyDone(t, e.run, "")
		t.dropDone()
		return true
	})
}

// mayApplyDone reports whether the remembered end of a task can be applied. The run itself is kept for as
// long as another start call of it may be executed.
func (s *Scheduler) mayApplyDone(t *task) bool {
	if t.run != nil && t.run.number == t.doneEnd.run {
		return false
	}
	return !s.stopLaterRuns(t, t.doneEnd.run)
}

// replayDoneRead applies a record of rememberDone.
func (s *Scheduler) replayDoneRead(e *record.DoneRead) {
	if t := s.findTask(model.TaskIDOf(e.Task)); t != nil && !t.done && t.doneEnd == nil {
		s.keepDone(t, doneEnd{run: e.Run, readAt: s.now})
	}
}
