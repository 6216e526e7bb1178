package sched

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// workerState is the state that the scheduler keeps for a worker, besides its
// resources in place.Cell.
type workerState struct {
	attempts     []*attempt
	displaceable resource.Vector // needs of the attempts that may be displaced
	generation   uint32          // number of earlier workers with this place.Ref

	failureStreak int           // consecutive failures of different jobs
	failedJob     ident.JobID   // job of the last counted failure
	quarantines   int           // quarantines since the last success
	quarantineEnd monotonicTime // end of the quarantine
	refusals      int           // refused starts since the last attempt that succeeded or failed
	backoffEnd    monotonicTime // end of the backoff after a refused start
}

func (s *Scheduler) workerState(ref place.Ref) *workerState { return &s.workers[ref] }

func (s *Scheduler) workerAdded(ev WorkerAdded) {
	ref := s.cell.Add(ev.Worker, ev.Rack, ev.Size)
	for len(s.workers) < s.cell.Refs() {
		s.workers = append(s.workers, workerState{})
	}
	s.cell.Unbar(ref, place.BarCordoned|place.BarLeaving)
	s.queue.SetTotal(s.cell.Total())
	s.dirty = true
}

func (s *Scheduler) workerCordoned(ev WorkerCordoned) {
	ref, ok := s.cell.Lookup(ev.Worker)
	if !ok {
		return
	}
	if ev.Cordoned {
		s.cell.Bar(ref, place.BarCordoned)
		return
	}
	s.cell.Unbar(ref, place.BarCordoned)
	s.dirty = true
}

// workerLeaving drains a worker before its planned removal. Displaceable tasks
// are checkpointed and start elsewhere; other tasks run to their end.
func (s *Scheduler) workerLeaving(id ident.WorkerID) {
	ref, ok := s.cell.Lookup(id)
	if !ok {
		return
	}
	s.cell.Bar(ref, place.BarLeaving)
	for _, a := range s.workerState(ref).attempts {
		if s.displaceable(a) {
			s.stop(a, ports.ControlCheckpoint)
		}
	}
	s.dirty = true
}

// workerRemoved ends the attempts on a worker as lost and removes the worker.
// The worker is cordoned first, so no task is retried on it meanwhile.
func (s *Scheduler) workerRemoved(id ident.WorkerID) {
	ref, ok := s.cell.Lookup(id)
	if !ok {
		return
	}
	s.cell.Bar(ref, place.BarCordoned)
	s.endHoldsOn(ref)
	h := s.workerState(ref)
	for len(h.attempts) > 0 {
		a := h.attempts[len(h.attempts)-1]
		s.release(a)
		s.conclude(a, ending{lost: true, reason: reasonLost})
	}
	if h.quarantines > 0 {
		s.quarantined--
	}
	s.cell.Remove(ref)
	s.workers[ref] = workerState{generation: h.generation + 1}
	s.queue.SetTotal(s.cell.Total())
	s.dirty = true
}
