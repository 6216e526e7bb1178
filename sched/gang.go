package sched

import (
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
)

// placeGang reserves capacity for all tasks of a gang, or for none, and assigns
// them. One scheduler places the whole gang in one step, so two gangs cannot
// deadlock by each holding capacity that the other needs.
func (s *Scheduler) placeGang(j *job) bool {
	refs := s.reserveGang(j)
	if refs == nil {
		return false
	}
	if !s.tryUse(j.team, j.units*int64(j.spec.Tasks), j.item.Due) {
		s.undoReservations(refs, j)
		return false
	}
	for _, ref := range refs {
		s.assign(j, ref)
	}
	s.tasksAssigned(j)
	return true
}

// reserveGang returns a worker for each task of the gang, with the capacity
// reserved, or nil. The slice is valid until the next call.
func (s *Scheduler) reserveGang(j *job) []place.Ref {
	n := j.spec.Tasks
	refs := s.gangRefs[:0]
	if j.hold != nil {
		refs = s.reserveHeld(j, refs)
	}
	if !s.opts.FirstFit && place.Count(j.need, s.cell.Available(), int64(n)) < int64(n-len(refs)) {
		s.undoReservations(refs, j)
		return nil
	}
	for len(refs) < n {
		ref := s.pickWorker(j, place.None)
		if ref == place.None || !s.cell.Reserve(ref, j.need) {
			s.undoReservations(refs, j)
			return nil
		}
		refs = append(refs, ref)
	}
	s.gangRefs = refs
	return refs
}

// reserveHeld reserves capacity for as many tasks as fit on the workers held for
// the job and appends their workers to refs.
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

// undoReservations cancels reservations that no attempt uses.
func (s *Scheduler) undoReservations(refs []place.Ref, j *job) {
	for _, ref := range refs {
		s.cell.Unreserve(ref, j.need)
	}
	s.gangRefs = refs[:0]
}

// concludeGang handles the end of one attempt of a gang. A gang needs all its
// tasks, so a failed attempt stops the others, and the whole gang is retried.
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
		j.reason = e.reasonText()
	}
	s.stopAttempts(j)
}

// endRound retries a broken gang after a backoff, or closes it. It is called
// when all its attempts have ended.
func (s *Scheduler) endRound(j *job) {
	if j.faulty {
		j.failures++
	}
	retry := j.failures < s.maxAttempts(j)
	if j.spec.NonIdempotent && j.executed > 0 {
		retry = false
	}
	if !retry {
		j.closed = true
		return
	}
	j.broken, j.faulty, j.uncertain = false, false, false
	j.done = 0
	s.requeueAfter(j, 0, exponentialBackoff(s.opts.BackoffMin, s.opts.BackoffMax, j.failures-1))
}

// readyGang queues all tasks of a gang for their next attempt.
func (s *Scheduler) readyGang(j *job) {
	j.ready = j.ready[:0]
	for i := range j.tasks {
		j.tasks[i].done = false
		j.ready = append(j.ready, int32(len(j.tasks)-1-i))
	}
}

// restoreGang checks a gang after a takeover of leadership. If some of its tasks
// are neither running nor done, the gang cannot complete: the running ones are
// stopped and the gang is marked as broken.
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
