package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
)

// A worker on which every task fails at once is always idle. Ranked by room
// alone, it attracts all waiting work of the zone until every job has used up
// its attempts. It is therefore quarantined after consecutive failures of
// different jobs, then probed with one task at a time, and used normally again
// after a success.
//
// Failures caused by the work must not quarantine workers, or one team's broken
// jobs would take the zone from all other teams. Failures of work that mostly
// fails are therefore not counted, and at most a quarter of the workers is
// quarantined.
const (
	mostSick       = 4           // at most 1/mostSick of the workers is quarantined
	mostlyFails    = 0.5         // failure rate above which failures are blamed on the work
	refusalBackoff = time.Second // backoff after the first refusal, doubled each time
)

// judgeWorker updates the failure state of the worker after the end of an
// attempt, and quarantines the worker if needed.
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

// quarantine bars a worker from new work, each time for twice as long, up to
// QuarantineMax.
func (s *Scheduler) quarantine(ref place.Ref, h *host) {
	delay := doubled(s.opts.QuarantineMin, s.opts.QuarantineMax, h.sentences)
	h.sentences++
	h.streak = 0
	h.returns = s.now + delay
	s.cell.Unbar(ref, place.BarProbing)
	s.cell.Bar(ref, place.BarQuarantined)
	s.after(timer{at: h.returns, kind: timerWorker, worker: ref, life: h.life})
}

// workerReturns ends a quarantine or the backoff after a refusal. After a
// quarantine the worker is probed: the first task placed on it bars it from
// further work until that task has ended.
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

// onTrial reports whether the next task on the worker is a probe.
func (h *host) onTrial() bool { return h.sentences > 0 }

// workerRefused bars a worker that refused a start for the backoff time.
// Otherwise the scheduler would choose the same worker again at once.
func (s *Scheduler) workerRefused(ref place.Ref, reason ports.Refusal) {
	s.cell.Unbar(ref, place.BarProbing)
	if reason == "" {
		return
	}
	h := s.host(ref)
	delay := doubled(refusalBackoff, s.opts.QuarantineMin, h.refusals)
	h.refusals++
	h.accepts = s.now + delay
	s.cell.Bar(ref, place.BarBackoff)
	s.after(timer{at: h.accepts, kind: timerWorker, worker: ref, life: h.life})
}
