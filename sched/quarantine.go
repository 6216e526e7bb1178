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
	quarantineDivisor = 4           // at most 1/quarantineDivisor of the workers is quarantined
	brokenWorkRate    = 0.5         // failure rate above which failures are blamed on the work
	refusalBackoff    = time.Second // backoff after the first refusal, doubled each time
)

// judgeWorker updates the failure state of the worker after the end of an
// attempt, and quarantines the worker if needed.
func (s *Scheduler) judgeWorker(a *attempt, ev AttemptEnded) {
	h := s.workerState(a.worker)
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
	if a.job != nil && a.job.family.failureRate > brokenWorkRate {
		return
	}
	if h.failureStreak > 0 && h.failedJob == a.id.Job {
		return
	}
	h.failedJob = a.id.Job
	h.failureStreak++
	if h.failureStreak >= s.opts.QuarantineAfter && (s.quarantined+1)*quarantineDivisor <= max(s.cell.Len(), quarantineDivisor) {
		s.quarantined++
		s.quarantine(a.worker, h)
	}
}

func (s *Scheduler) workerSucceeded(ref place.Ref, h *workerState) {
	h.failureStreak = 0
	if h.quarantines == 0 {
		return
	}
	h.quarantines = 0
	s.quarantined--
	s.cell.Unbar(ref, place.BarProbing|place.BarQuarantined)
	s.dirty = true
}

// quarantine bars a worker from new work, each time for twice as long, up to
// QuarantineMax.
func (s *Scheduler) quarantine(ref place.Ref, h *workerState) {
	delay := exponentialBackoff(s.opts.QuarantineMin, s.opts.QuarantineMax, h.quarantines)
	h.quarantines++
	h.failureStreak = 0
	h.quarantineEnd = s.now + delay
	s.cell.Unbar(ref, place.BarProbing)
	s.cell.Bar(ref, place.BarQuarantined)
	s.setTimer(timer{at: h.quarantineEnd, kind: timerWorker, worker: ref, generation: h.generation})
}

// unbarExpired ends a quarantine or the backoff after a refusal. After a
// quarantine the worker is probed: the first task placed on it bars it from
// further work until that task has ended.
func (s *Scheduler) unbarExpired(ref place.Ref, generation uint32) {
	h := s.workerState(ref)
	if h.generation != generation {
		return
	}
	if s.now >= h.backoffEnd {
		s.cell.Unbar(ref, place.BarBackoff)
	}
	if s.now >= h.quarantineEnd {
		s.cell.Unbar(ref, place.BarQuarantined)
	}
	s.dirty = true
}

// needsProbe reports whether the next task on the worker is a probe.
func (h *workerState) needsProbe() bool { return h.quarantines > 0 }

// workerRefused bars a worker that refused a start for the backoff time.
// Otherwise the scheduler would choose the same worker again at once.
func (s *Scheduler) workerRefused(ref place.Ref, reason ports.Refusal) {
	s.cell.Unbar(ref, place.BarProbing)
	if reason == "" {
		return
	}
	h := s.workerState(ref)
	delay := exponentialBackoff(refusalBackoff, s.opts.QuarantineMin, h.refusals)
	h.refusals++
	h.backoffEnd = s.now + delay
	s.cell.Bar(ref, place.BarBackoff)
	s.setTimer(timer{at: h.backoffEnd, kind: timerWorker, worker: ref, generation: h.generation})
}
