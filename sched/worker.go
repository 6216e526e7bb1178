package sched

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// host is what the scheduler keeps of a worker beside its room.
type host struct {
	attempts     []*attempt
	displaceable resource.Vector // needs of the attempts that may be displaced
	life         uint32          // counts the workers that had this position

	streak    int // failures of different jobs in a row
	failedJob ident.JobID
	sentences int    // quarantines without a success since
	returns   timeOf // end of the quarantine
	refusals  int    // refused starts without an accepted one since
	accepts   timeOf // end of the back-off after a refusal
}

func (s *Scheduler) host(ref place.Ref) *host { return &s.hosts[ref] }

func (s *Scheduler) workerAdded(ev WorkerAdded) {
	ref := s.cell.Add(ev.Worker, ev.Rack, ev.Size)
	for len(s.hosts) < s.cell.Refs() {
		s.hosts = append(s.hosts, host{})
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

// workerLeaving empties a worker in a planned change. Work that can be
// checkpointed moves; the rest runs to its end.
func (s *Scheduler) workerLeaving(id ident.WorkerID) {
	ref, ok := s.cell.Lookup(id)
	if !ok {
		return
	}
	s.cell.Bar(ref, place.BarLeaving)
	for _, a := range s.host(ref).attempts {
		if s.displaceable(a) {
			s.stop(a, ports.ControlCheckpoint)
		}
	}
	s.dirty = true
}

// workerRemoved ends what ran on a worker. The attempts are taken off one by
// one while the worker takes nothing new, so that no attempt is tried again
// on the worker that is going.
func (s *Scheduler) workerRemoved(id ident.WorkerID) {
	ref, ok := s.cell.Lookup(id)
	if !ok {
		return
	}
	s.cell.Bar(ref, place.BarCordoned)
	s.endHoldsOn(ref)
	h := s.host(ref)
	for len(h.attempts) > 0 {
		a := h.attempts[len(h.attempts)-1]
		s.release(a)
		s.conclude(a, ending{lost: true, reason: reasonLost})
	}
	if h.sentences > 0 {
		s.sick--
	}
	s.cell.Remove(ref)
	s.hosts[ref] = host{life: h.life + 1}
	s.queue.SetTotal(s.cell.Total())
	s.dirty = true
}
