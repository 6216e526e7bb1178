package region

import "github.com/fireflyfold/fireflyfold/model"

// needsPathCheck reports whether the run's worker must answer a call before the run is
// started there.
//
// The guard is against a latency-sensitive task that waits out lateCallWindow, and is
// worthless by then, because its start was sent to a worker that had just become
// unreachable. The call that is sent first has no effect, so that the task can be placed
// elsewhere at once if it gets no answer.
func (s *Scheduler) needsPathCheck(r *run) bool { return r.latencySensitive && !r.task.step.bound() }

// pathCheckID is the run that checkPath names: the one before, which has ended.
func (r *run) pathCheckID() model.RunID { return model.RunID{Task: r.task.id(), Run: r.number - 1} }

// checkPath sends a stop of the task's run before, which changes nothing.
func (s *Scheduler) checkPath(r *run) {
	s.outdateAcks(r.worker)
	r.worker.pendingCalls.sent(r.pathCheckID(), s.now)
	s.emit(Stop{Request: model.StopRequest{RunID: r.pathCheckID(), Worker: r.target(), Fence: s.fenceOf(r.worker)}})
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
		r.worker.pausedUntil = s.now + unhealthyPause
		s.abandon(r, "its worker did not answer")
	case CallOtherIncarnation:
		s.otherIncarnation(r.worker)
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
