package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
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
	return a.displaced() < s.opts.MaxDisplaced
}

// displaced returns how often the task of an attempt was displaced.
func (a *attempt) displaced() int { return int(a.job.tasks[a.id.Index].displaced) }

// emptying is a worker on which tasks are being checkpointed. Until those have
// ended it is held for a replica of a service, for work of one team or, if
// neither is set, for urgent work.
type emptying struct {
	worker  place.Ref
	until   timeOf // no longer than this
	team    *team
	service *service
}

// emptyMost bounds how long a worker is held while tasks on it are being
// checkpointed. A worker that cannot checkpoint would be idle for ever.
const emptyMost = 30 * time.Second

// filter chooses among the attempts that may be displaced. A nil filter takes
// all.
type filter func(*attempt) bool

// displace makes room for work that does not fit, by checkpointing
// displaceable tasks: those of any team for urgent work, and those of the same
// team for work whose deadline comes near. The second leaves every share as it
// is, so it needs no bound on the share.
func (s *Scheduler) displace() {
	if s.now < s.displaceAt {
		return
	}
	for _, t := range s.queue.Ordered() {
		if s.queue.Urgent() > 0 && s.queue.WithinUrgentBound(t) {
			t.Each(func(class *queue.Class[*job]) bool {
				if class.Shape.Urgent {
					s.displaceFor(class, nil, nil)
				}
				return true
			})
		}
		if class := t.First(s.nearDeadline); class != nil {
			own := class.Head().Owner.team
			s.displaceFor(class, own, func(a *attempt) bool { return a.team == own })
		}
	}
}

// nearPart is the part of its wait that is left when a deadline is near.
const nearPart = 2

// nearDeadline reports whether half of the time until the deadline of the head
// of a class has passed.
func (s *Scheduler) nearDeadline(class *queue.Class[*job]) bool {
	if class.Shape.Urgent || class.FailedAt == 0 {
		return false
	}
	j := class.Head().Owner
	return j.spec.Deadline > 0 && !j.gang() && s.now >= j.accepted+j.spec.Deadline/nearPart
}

// displaceFor makes room for the waiting tasks of a class, where it may be used
// by one team or, if that is nil, by urgent work.
func (s *Scheduler) displaceFor(class *queue.Class[*job], use *team, from filter) {
	j := class.Head().Owner
	if s.limited(j) || j.hold != nil {
		return
	}
	wanted := int64(min(class.Len(), displaceMost))
	if j.gang() {
		wanted = int64(j.spec.Tasks)
	} else if class.Len() == 1 {
		wanted = int64(min(j.waiting(), displaceMost))
	}
	if !j.gang() {
		wanted -= s.comingRoom(j, wanted)
	}
	if wanted <= 0 {
		return
	}
	workers, found := s.victims(j.need, from, wanted)
	if found == 0 || (j.gang() && found < wanted) {
		s.displaceAt = s.now + displaceEvery
		s.wake(&s.wakes.displace, s.displaceAt)
		return
	}
	for _, ref := range workers {
		s.checkpoint(ref, j.need, from)
	}
	if j.gang() {
		at := s.now + stopTime
		s.hold(&hold{job: j, workers: workers, at: at, first: at, urgent: true})
		return
	}
	s.empty(workers, emptying{team: use})
}

// empty holds workers on which tasks are being checkpointed.
func (s *Scheduler) empty(workers []place.Ref, use emptying) {
	use.until = s.now + emptyMost
	s.after(timer{at: use.until, kind: timerWake})
	s.after(timer{at: s.now + comingFor, kind: timerWake})
	for _, ref := range workers {
		s.cell.Bar(ref, place.BarHeld)
		use.worker = ref
		s.making = append(s.making, use)
	}
}

// mayUse reports whether a worker is being emptied for work like the job.
func (e emptying) mayUse(j *job) bool {
	switch {
	case e.service != nil:
		return false
	case e.team != nil:
		return e.team == j.team
	default:
		return j.spec.Urgent
	}
}

// comingFor is how long after its checkpoint was sent the room of a task is
// counted on.
const comingFor = time.Second

// comingRoom returns how many tasks of the job fit on the workers where room is
// being made for it, once it is.
//
// It guards against a task that does not stop: urgent work would wait for its
// room, for as long as the worker is held, while other tasks could be displaced.
// Room that has not come in a second is counted on no more.
func (s *Scheduler) comingRoom(j *job, most int64) int64 {
	coming := int64(0)
	for _, e := range s.making {
		if !e.mayUse(j) {
			continue
		}
		room := s.cell.Worker(e.worker).Free
		for _, a := range s.host(e.worker).attempts {
			if a.stopping != "" && s.now < a.stopAt+comingFor {
				room = room.Add(a.need)
			}
		}
		coming += place.Count(j.need, room, most)
	}
	return coming
}

// victims returns the workers on which the least has to be displaced for the
// wanted number of tasks, and for how many of them there is enough.
func (s *Scheduler) victims(need resource.Vector, from filter, wanted int64) ([]place.Ref, int64) {
	var workers []place.Ref
	for i := range s.hosts {
		ref := place.Ref(i)
		w := s.cell.Worker(ref)
		if w.Bars == 0 && need.Fits(w.Free.Add(s.displaceableOn(ref, from))) {
			workers = append(workers, ref)
		}
	}
	missing := func(ref place.Ref) float64 {
		w := s.cell.Worker(ref)
		return need.Sub(w.Free).Dominant(w.Size)
	}
	slices.SortStableFunc(workers, func(a, b place.Ref) int {
		return cmp.Compare(missing(a), missing(b))
	})
	found := int64(0)
	for i, ref := range workers {
		if found >= wanted {
			return workers[:i], found
		}
		found += max(1, place.Count(need, s.cell.Worker(ref).Free, wanted))
	}
	return workers, found
}

// displaceableOn returns how much could be displaced on a worker.
func (s *Scheduler) displaceableOn(ref place.Ref, from filter) resource.Vector {
	h := s.host(ref)
	if from == nil || h.displaceable.IsZero() {
		return h.displaceable
	}
	var sum resource.Vector
	for _, a := range h.attempts {
		if s.displaceable(a) && from(a) {
			sum = sum.Add(a.need)
		}
	}
	return sum
}

// checkpoint displaces tasks on a worker until one task of the need fits:
// those first that were displaced least and have run least.
func (s *Scheduler) checkpoint(ref place.Ref, need resource.Vector, from filter) {
	var victims []*attempt
	for _, a := range s.host(ref).attempts {
		if s.displaceable(a) && (from == nil || from(a)) {
			victims = append(victims, a)
		}
	}
	slices.SortStableFunc(victims, func(a, b *attempt) int {
		if c := cmp.Compare(a.displaced(), b.displaced()); c != 0 {
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
			a.yields = from == nil
			s.stop(a, ports.ControlCheckpoint)
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
// on them has ended, or took too long, and the work that they were held for had
// its turn. It reports whether it gave
// any back.
func (s *Scheduler) endDisplacements() bool {
	before := len(s.making)
	s.making = slices.DeleteFunc(s.making, func(e emptying) bool {
		if s.now < e.until && s.stopsSome(e.worker) {
			return false
		}
		s.cell.Unbar(e.worker, place.BarHeld)
		return true
	})
	return len(s.making) < before
}

// stopsSome reports whether attempts on a worker are being stopped.
func (s *Scheduler) stopsSome(ref place.Ref) bool {
	return slices.ContainsFunc(s.host(ref).attempts, func(a *attempt) bool { return a.stopping != "" })
}
