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

// pendingOrders holds, for each run on a worker, the time of its oldest start or stop call
// without an answer.
//
// The guard is against placing work on a worker that is lost or unreachable. Probes detect
// that after a second; until then the worker appears healthy and increasingly idle. Each
// start sent there is stuck until its lease is over, and extends the lease of all runs
// there. The first call that is not answered in time shows it sooner.
type pendingOrders map[model.RunID]time.Duration

func (o pendingOrders) sent(id model.RunID, at time.Duration) {
	if _, out := o[id]; !out {
		o[id] = at
	}
}

// overdue reports whether a call that was sent before a time has no answer.
func (o pendingOrders) overdue(before time.Duration) bool {
	for _, at := range o {
		if at < before {
			return true
		}
	}
	return false
}

// orderAnswered removes a call that was answered from the pending ones. A call that timed
// out or was not sent stays, as only a worker that answers gets new work.
func (s *Scheduler) orderAnswered(ref model.WorkerRef, id model.RunID, err CallError) {
	w, known := s.workers[ref.ID]
	if !known || err == CallNoAnswer || err == CallNotSent {
		return
	}
	if at, out := w.pendingOrders[id]; out {
		s.usualAnswer += (s.now - at - s.usualAnswer) / answerSamples
		delete(w.pendingOrders, id)
	}
}

// overdueBefore returns the time such that calls sent before it without an answer are
// overdue.
func (s *Scheduler) overdueBefore() time.Duration {
	return s.now - max(minOverdue, overdueFactor*s.usualAnswer)
}
