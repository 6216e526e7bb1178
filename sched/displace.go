package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/queue"
	"github.com/fireflyfold/fireflyfold/resource"
)

const (
	displaceMost  = 64                     // tasks of one class for which room is made at once
	displaceEvery = 100 * time.Millisecond // shortest time between two looks that found nothing
)

// displaceable reports whether an attempt may be checkpointed for urgent work.
// Work that is not idempotent never is, because it is never attempted twice.
func (s *Scheduler) displaceable(a *attempt) bool {
	if a.job == nil || a.stopping != "" || a.job.gang() {
		return false
	}
	spec := &a.job.spec
	if !spec.Displaceable || spec.Urgent || spec.NonIdempotent {
		return false
	}
	return int(a.job.tasks[a.id.Index].displaced) < s.opts.MaxDisplaced
}

// displace makes room for urgent work that does not fit, by checkpointing
// displaceable tasks. The workers are held for urgent work until those have
// ended.
func (s *Scheduler) displace() {
	if s.queue.Urgent() == 0 || s.now < s.displaceAt {
		return
	}
	for _, t := range s.queue.Ordered() {
		if s.queue.UrgentWithin(t) {
			t.Each(s.displaceClass)
		}
	}
}

func (s *Scheduler) displaceClass(class *queue.Class[*job]) bool {
	j := class.Head().Owner
	if !class.Shape.Urgent || s.limited(j) || j.hold != nil {
		return true
	}
	wanted := int64(min(class.Len(), displaceMost))
	if j.gang() {
		wanted = int64(j.spec.Tasks)
	} else if class.Len() == 1 {
		wanted = int64(min(j.waiting(), displaceMost))
	}
	if !j.gang() {
		wanted -= s.comingRoom(j.need, wanted)
	}
	if wanted <= 0 {
		return true
	}
	workers, found := s.victims(j, wanted)
	if found == 0 || (j.gang() && found < wanted) {
		s.displaceAt = s.now + displaceEvery
		s.after(timer{at: s.displaceAt, kind: timerWake})
		return true
	}
	for _, ref := range workers {
		s.checkpoint(ref, j.need)
	}
	if j.gang() {
		at := s.now + stopTime
		s.hold(&hold{job: j, workers: workers, at: at, first: at, urgent: true})
		return true
	}
	for _, ref := range workers {
		s.cell.Bar(ref, place.BarHeld)
		s.making = append(s.making, ref)
	}
	return true
}

// comingRoom returns how many tasks of the need fit on the workers where room
// is being made, once it is.
func (s *Scheduler) comingRoom(need resource.Vector, most int64) int64 {
	coming := int64(0)
	for _, ref := range s.making {
		room := s.cell.Worker(ref).Free
		for _, a := range s.host(ref).attempts {
			if a.stopping != "" {
				room = room.Add(a.need)
			}
		}
		coming += place.Count(need, room, most)
	}
	return coming
}

// victims returns the workers on which the least has to be displaced for the
// wanted number of tasks, and for how many of them there is enough.
func (s *Scheduler) victims(j *job, wanted int64) ([]place.Ref, int64) {
	var workers []place.Ref
	for ref := range s.hosts {
		w := s.cell.Worker(place.Ref(ref))
		if w.Bars == 0 && j.need.Fits(w.Free.Add(s.hosts[ref].displaceable)) {
			workers = append(workers, place.Ref(ref))
		}
	}
	missing := func(ref place.Ref) float64 {
		w := s.cell.Worker(ref)
		return j.need.Sub(w.Free).Dominant(w.Size)
	}
	slices.SortStableFunc(workers, func(a, b place.Ref) int {
		return cmp.Compare(missing(a), missing(b))
	})
	found := int64(0)
	for i, ref := range workers {
		if found >= wanted {
			return workers[:i], found
		}
		found += max(1, place.Count(j.need, s.cell.Worker(ref).Free, wanted))
	}
	return workers, found
}

// checkpoint displaces tasks on a worker until one task of the need fits:
// those first that were displaced least and have run least.
func (s *Scheduler) checkpoint(ref place.Ref, need resource.Vector) {
	var victims []*attempt
	for _, a := range s.host(ref).attempts {
		if s.displaceable(a) {
			victims = append(victims, a)
		}
	}
	slices.SortStableFunc(victims, func(a, b *attempt) int {
		left, right := &a.job.tasks[a.id.Index], &b.job.tasks[b.id.Index]
		if c := cmp.Compare(left.displaced, right.displaced); c != 0 {
			return c
		}
		return cmp.Compare(b.since, a.since)
	})
	room := s.cell.Worker(ref).Free
	for _, a := range victims {
		if need.Fits(room) {
			return
		}
		if helps(need, room, a.need) {
			s.stop(a, platform.ControlCheckpoint)
			room = room.Add(a.need)
		}
	}
}

// helps reports whether a victim frees any resource that is short.
func helps(need, room, victim resource.Vector) bool {
	return (need.MilliCPU > room.MilliCPU && victim.MilliCPU > 0) ||
		(need.MemoryMiB > room.MemoryMiB && victim.MemoryMiB > 0) ||
		(need.Accelerators > room.Accelerators && victim.Accelerators > 0)
}

// endDisplacements gives workers back to all work once every displaced task
// on them has ended and urgent work had its turn. It reports whether it gave
// any back.
func (s *Scheduler) endDisplacements() bool {
	before := len(s.making)
	s.making = slices.DeleteFunc(s.making, func(ref place.Ref) bool {
		for _, a := range s.host(ref).attempts {
			if a.stopping != "" {
				return false
			}
		}
		s.cell.Unbar(ref, place.BarHeld)
		return true
	})
	return len(s.making) < before
}
