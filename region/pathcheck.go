package region

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/model"
)

// needsPathCheck reports whether the run's worker must answer a call before the run is
// started there.
//
// The guard is against a latency-sensitive task that waits out lateCallWindow, and is
// worthless by then, because its start was sent to a worker that had just become
// unreachable. The call that is sent first has no effect, so that the task can be placed
// elsewhere at once if it gets no answer.
func (s *Scheduler) needsPathCheck(r *run) bool {
	return r.latencySensitive && r.task.step.defersEnds()
}

// pathCheckID is the run that checkPath names: the one before, which has ended.
func (r *run) pathCheckID() model.RunID { return model.RunID{Task: r.task.id(), Run: r.number - 1} }

// checkPath sends a stop of the task's run before, which changes nothing.
func (s *Scheduler) checkPath(r *run) {
	r.worker.pendingCalls.sent(r.pathCheckID(), s.now)
	s.pathChecks = append(s.pathChecks, r)
	s.emit(Stop{Request: model.StopRequest{RunID: r.pathCheckID(), Worker: r.target(), Fence: s.fenceOf(r.worker)}})
}

// expirePathChecks moves runs away from workers that do not answer a call of checkPath in
// the time in which workers usually do. The call has no effect, so there is no need to wait
// until it times out.
func (s *Scheduler) expirePathChecks() {
	before := s.overdueBefore()
	s.pathChecks = slices.DeleteFunc(s.pathChecks, func(r *run) bool {
		if r.task.run != r || !r.pathUnchecked {
			return true
		}
		if r.assigned >= before {
			return false
		}
		s.pathCheckFailed(r)
		return true
	})
}

// pathCheckFailed ends a run that was not started. Its worker gets no work until it answers
// another call.
func (s *Scheduler) pathCheckFailed(r *run) {
	r.worker.silent = true
	s.abandon(r, "its worker did not answer")
}

// pathCheckedRun returns the run that waits for the answer to a call of checkPath, or nil.
func (s *Scheduler) pathCheckedRun(call model.StopRequest) *run {
	t := s.findTask(call.Task)
	if t == nil || t.run == nil || !t.run.pathUnchecked || t.run.pathCheckID() != call.RunID || t.run.ref.ID != call.Worker.ID {
		return nil
	}
	return t.run
}

func (s *Scheduler) pathChecked(r *run, ev StopAnswered) {
	switch ev.Err {
	case CallNoAnswer, CallNotSent:
		s.pathCheckFailed(r)
	case CallOtherIncarnation:
		s.otherIncarnation(r.worker, ev.Request.Worker)
	case CallFenced:
		if ev.Request.Fence == s.fenceOf(r.worker) {
			s.emit(StepDown{Worker: r.ref.ID})
			return
		}
		s.checkPath(r)
	default:
		r.pathUnchecked = false
		s.sendFirst(r)
	}
}
