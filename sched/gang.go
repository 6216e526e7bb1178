package sched

import (
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
)

// placeGang reserves room for all tasks of a gang, or for none, and assigns
// them. One scheduler decides for the whole zone in one step, so two gangs
// never hold parts of what the other needs.
func (s *Scheduler) placeGang(j *job) bool {
	refs := s.reserveGang(j)
	if refs == nil {
		return false
	}
	if !s.tryUse(j.team, j.units*int64(j.spec.Tasks), j.item.Due) {
		s.undo(refs, j)
		return false
	}
	for _, ref := range refs {
		s.assign(j, ref)
	}
	s.started(j)
	return true
}

// reserveGang returns a worker for each task of the gang, with the room
// reserved, or nil. The slice is valid until the next call.
func (s *Scheduler) reserveGang(j *job) []place.Ref {
	n := j.spec.Tasks
	refs := s.gangRefs[:0]
	if j.hold != nil {
		refs = s.reserveHeld(j, refs)
	}
	if !s.opts.FirstFit && place.Count(j.need, s.cell.Available(), int64(n)) < int64(n-len(refs)) {
		s.undo(refs, j)
		return nil
	}
	for len(refs) < n {
		ref := s.look(j, place.None)
		if ref == place.None || !s.cell.Reserve(ref, j.need) {
			s.undo(refs, j)
			return nil
		}
		refs = append(refs, ref)
	}
	s.gangRefs = refs
	return refs
}

// reserveHeld reserves as much as fits on the workers held for the job.
func (s *Scheduler) reserveHeld(j *job, refs []place.Ref) []place.Ref {
	for _, ref := range j.hold.workers {
		if s.cell.Worker(ref).Bars&^place.BarHeld != 0 {
			continue
		}
		for len(refs) < j.spec.Tasks && s.cell.Reserve(ref, j.need) {
			refs = append(refs, ref)
		}
	}
	return refs
}

// undo gives back reservations that no attempt uses.
func (s *Scheduler) undo(refs []place.Ref, j *job) {
	for _, ref := range refs {
		s.cell.Unreserve(ref, j.need)
	}
	s.gangRefs = refs[:0]
}

// concludeGang counts the end of one attempt of a gang. A gang is worth
// nothing without all its tasks, so one that fails stops the others, and the
// whole gang is tried again.
func (s *Scheduler) concludeGang(a *attempt, e ending) {
	j := a.job
	if !e.failed && !e.stopped && !e.lost && !e.refused {
		j.tasks[a.id.Index].done = true
		j.done++
		return
	}
	if e.stopped || e.lost {
		j.uncertain = true
	}
	if j.closed || j.broken {
		return
	}
	j.broken = true
	j.faulty = !e.refused
	if j.faulty {
		j.reason = e.words()
	}
	s.stopAttempts(j)
}

// endRound follows when every attempt of a broken gang has ended: the gang
// waits for another round, or is given up.
func (s *Scheduler) endRound(j *job) {
	if j.faulty {
		j.failures++
	}
	again := j.failures < s.maxAttempts(j)
	if j.spec.NonIdempotent && j.begun > 0 {
		again = false
	}
	if !again {
		j.closed = true
		return
	}
	j.broken, j.faulty, j.uncertain = false, false, false
	j.done = 0
	s.tryLater(j, 0, doubled(s.opts.BackoffMin, s.opts.BackoffMax, j.failures-1))
}

// readyGang makes all tasks of a gang wait for their next attempt.
func (s *Scheduler) readyGang(j *job) {
	j.ready = j.ready[:0]
	for i := range j.tasks {
		j.tasks[i].done = false
		j.ready = append(j.ready, int32(len(j.tasks)-1-i))
	}
}

// restoreGang checks a gang after a takeover. One of which only a part was
// assigned, or a part has failed, cannot go on.
func (s *Scheduler) restoreGang(j *job) {
	if j.open+j.done == j.spec.Tasks {
		return
	}
	for j.fresh < j.last {
		j.take()
	}
	j.ready = nil
	j.delayed = 0
	j.broken = true
	for i := range j.tasks {
		j.failures = max(j.failures, int(j.tasks[i].failures))
		if a := j.tasks[i].run; a != nil {
			s.stop(a, ports.ControlStop)
		}
	}
}
