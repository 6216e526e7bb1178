package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// minOverdue is the shortest time without an answer to a start or stop call after
	// which its worker gets no further work: ten times what a healthy worker takes.
	minOverdue = 50 * time.Millisecond
	// overdueFactor is the same time in multiples of the mean answer time: when the
	// leader's processor is busy, all answers are late.
	overdueFactor = 8
	// answerSamples is the number of answers in the running mean of the answer time.
	answerSamples = 32
)

// pendingCalls holds, for each run on a worker, the time of its oldest start or stop call
// without an answer.
//
// The guard is against placing work on a worker that is lost or unreachable. Probes detect
// that after a second; until then the worker appears healthy and increasingly idle. Each
// start sent there is stuck until its lease expires, and extends the lease of all runs
// there. The first call that is not answered in time shows it sooner.
type pendingCalls map[model.RunID]time.Duration

func (o pendingCalls) sent(id model.RunID, at time.Duration) {
	if _, pending := o[id]; !pending {
		o[id] = at
	}
}

// overdue reports whether a call that was sent before a time has no answer.
func (o pendingCalls) overdue(before time.Duration) bool {
	for _, at := range o {
		if at < before {
			return true
		}
	}
	return false
}

// callAnswered removes a call that was answered from the pending ones. A call that timed
// out or was not sent stays, as only a worker that answers gets new work.
func (s *Scheduler) callAnswered(ref model.WorkerRef, id model.RunID, err CallError) {
	w, known := s.workers[ref.ID]
	if !known || err == CallNoAnswer || err == CallNotSent {
		return
	}
	w.silent = false
	if at, pending := w.pendingCalls[id]; pending {
		s.meanAnswerTime += (s.now - at - s.meanAnswerTime) / answerSamples
		delete(w.pendingCalls, id)
	}
}

// overdueBefore returns the time such that calls sent before it without an answer are
// overdue.
func (s *Scheduler) overdueBefore() time.Duration {
	return s.now - max(minOverdue, overdueFactor*s.meanAnswerTime)
}
