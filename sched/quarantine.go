package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
)

// A worker that fails everything at once is always idle and, ranked by room
// alone, draws all waiting work of the zone until every job has used up its
// attempts. It is therefore set aside after failures of different jobs in a
// row, tried with one task after a while, and taken back when that succeeds.
//
// Failures that come from the work must not set workers aside, or one team's
// broken jobs would take the zone from all others: failures of work that
// mostly fails do not count, and at most a quarter of the workers is set aside.
const (
	mostSick       = 4           // one in so many workers may be set aside
	mostlyFails    = 0.5         // failure rate above which work is its own cause
	refusalBackoff = time.Second // after the first refusal, doubled each time
)

// judgeWorker draws conclusions about the worker from the end of an attempt.
func (s *Scheduler) judgeWorker(a *attempt, ev AttemptEnded) {
	h := s.host(a.worker)
	if ev.Stopped || ev.Unknown {
		s.cell.Unbar(a.worker, place.BarProbing)
		return
	}
	h.refusals = 0
	if !ev.Failed {
		s.workerSucceeded(a.worker, h)
		return
	}
	probing := s.cell.Worker(a.worker).Bars&place.BarProbing != 0
	if probing {
		s.quarantine(a.worker, h)
		return
	}
	if a.job != nil && a.job.family.failing > mostlyFails {
		return
	}
	if h.streak > 0 && h.failedJob == a.id.Job {
		return
	}
	h.failedJob = a.id.Job
	h.streak++
	if h.streak >= s.opts.QuarantineAfter && (s.sick+1)*mostSick <= max(s.cell.Len(), mostSick) {
		s.sick++
		s.quarantine(a.worker, h)
	}
}

func (s *Scheduler) workerSucceeded(ref place.Ref, h *host) {
	h.streak = 0
	if h.sentences == 0 {
		return
	}
	h.sentences = 0
	s.sick--
	s.cell.Unbar(ref, place.BarProbing|place.BarQuarantined)
	s.dirty = true
}

// quarantine sets a worker aside, each time for twice as long.
func (s *Scheduler) quarantine(ref place.Ref, h *host) {
	delay := exponentialBackoff(s.opts.QuarantineMin, s.opts.QuarantineMax, h.sentences)
	h.sentences++
	h.streak = 0
	h.returns = s.now + delay
	s.cell.Unbar(ref, place.BarProbing)
	s.cell.Bar(ref, place.BarQuarantined)
	s.after(timer{at: h.returns, kind: timerWorker, worker: ref, life: h.life})
}

// workerReturns ends a quarantine or the back-off after a refusal. A worker
// that comes back from a quarantine is barred again by the first task that is
// placed on it, until that task has ended.
func (s *Scheduler) workerReturns(ref place.Ref, life uint32) {
	h := s.host(ref)
	if h.life != life {
		return
	}
	if s.now >= h.accepts {
		s.cell.Unbar(ref, place.BarBackoff)
	}
	if s.now >= h.returns {
		s.cell.Unbar(ref, place.BarQuarantined)
	}
	s.dirty = true
}

// onTrial reports whether the next task on the worker is a trial.
func (h *host) onTrial() bool { return h.sentences > 0 }

// workerRefused keeps new work off a worker that just refused a start, so that
// the same decision is not taken again at once.
func (s *Scheduler) workerRefused(ref place.Ref, reason ports.Refusal) {
	s.cell.Unbar(ref, place.BarProbing)
	if reason == "" {
		return
	}
	h := s.host(ref)
	delay := exponentialBackoff(refusalBackoff, s.opts.QuarantineMin, h.refusals)
	h.refusals++
	h.accepts = s.now + delay
	s.cell.Bar(ref, place.BarBackoff)
	s.after(timer{at: h.accepts, kind: timerWorker, worker: ref, life: h.life})
}
