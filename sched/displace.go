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
	maxDisplaceBatch = 64                     // tasks of one class for which capacity is freed at once
	displaceEvery    = 100 * time.Millisecond // least delay before the next search after one that found no victim
)

// displaceable reports whether an attempt may be checkpointed to free capacity
// for other work. Non-idempotent work never may, because it is never attempted
// twice.
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

// displaced returns how many times the task of an attempt was displaced.
func (a *attempt) displaced() int { return int(a.job.tasks[a.id.Index].displaced) }

// displacement is a worker on which tasks are being checkpointed. Until they
// have ended, the worker is held for a replica of a service, for work of one
// team or, if neither is set, for urgent work.
type displacement struct {
	worker  place.Ref
	until   monotonicTime // latest end of the hold
	team    *team
	service *service
}

// maxDisplacementHold bounds how long a worker is held while tasks on it are
// being checkpointed. Without the bound, a worker that cannot checkpoint would
// be held forever.
const maxDisplacementHold = 30 * time.Second

// victimFilter selects among the displaceable attempts. A nil victimFilter
// selects all.
type victimFilter func(*attempt) bool

// displace frees capacity for work that does not fit by checkpointing
// displaceable tasks: tasks of any team for urgent work, and tasks of the same
// team for work near its deadline. The second does not change the share of any
// team, so it needs no bound on the share.
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

// nearDeadlineDivisor defines when a deadline is near: when half of the time
// between acceptance and deadline is over.
const nearDeadlineDivisor = 2

// nearDeadline reports whether the head of a class, which has failed to fit, is
// near its deadline. Urgent work and gangs are left out.
func (s *Scheduler) nearDeadline(class *queue.Class[*job]) bool {
	if class.Shape.Urgent || class.FailedAt == 0 {
		return false
	}
	j := class.Head().Owner
	return j.spec.Deadline > 0 && !j.gang() && s.now >= j.accepted+j.spec.Deadline/nearDeadlineDivisor
}

// displaceFor frees capacity for the waiting tasks of a class by displacing the
// eligible attempts. The workers are held for the team heldFor or, if that is
// nil, for urgent work; for a gang they are held for the job itself.
func (s *Scheduler) displaceFor(class *queue.Class[*job], heldFor *team, eligible victimFilter) {
	j := class.Head().Owner
	if s.limitBlocks(j) || j.hold != nil {
		return
	}
	wanted := int64(min(class.Len(), maxDisplaceBatch))
	if j.gang() {
		wanted = int64(j.spec.Tasks)
	} else if class.Len() == 1 {
		wanted = int64(min(j.waiting(), maxDisplaceBatch))
	}
	if !j.gang() {
		wanted -= s.fitsOnceStopped(j, wanted)
	}
	if wanted <= 0 {
		return
	}
	workers, found := s.victims(j.need, eligible, wanted)
	if found == 0 || (j.gang() && found < wanted) {
		s.displaceAt = s.now + displaceEvery
		s.wake(&s.wakes.displace, s.displaceAt)
		return
	}
	for _, ref := range workers {
		s.checkpoint(ref, j.need, eligible)
	}
	if j.gang() {
		at := s.now + stopTime
		s.hold(&hold{job: j, workers: workers, at: at, first: at, urgent: true})
		return
	}
	s.holdDisplacing(workers, displacement{team: heldFor})
}

// holdDisplacing holds workers on which tasks are being checkpointed, for the
// work that entry names.
func (s *Scheduler) holdDisplacing(workers []place.Ref, entry displacement) {
	entry.until = s.now + maxDisplacementHold
	s.setTimer(timer{at: entry.until, kind: timerWake})
	s.setTimer(timer{at: s.now + stopGrace, kind: timerWake})
	for _, ref := range workers {
		s.cell.Bar(ref, place.BarHeld)
		entry.worker = ref
		s.displacements = append(s.displacements, entry)
	}
}

// mayUse reports whether the worker is held for work such as the job.
func (e displacement) mayUse(j *job) bool {
	switch {
	case e.service != nil:
		return false
	case e.team != nil:
		return e.team == j.team
	default:
		return j.spec.Urgent
	}
}

// stopGrace is how long the capacity of a task counts as about to be freed after
// its first control was sent.
const stopGrace = time.Second

// fitsOnceStopped returns how many tasks of the job will fit on the workers that
// are held for it, once the tasks that are being stopped have ended.
//
// A task that does not stop within stopGrace (1 s) no longer counts. Otherwise
// urgent work would wait for its capacity for as long as the worker is held,
// although other tasks could be displaced.
func (s *Scheduler) fitsOnceStopped(j *job, most int64) int64 {
	fits := int64(0)
	for _, e := range s.displacements {
		if !e.mayUse(j) {
			continue
		}
		room := s.cell.Worker(e.worker).Free
		for _, a := range s.workerState(e.worker).attempts {
			if a.stopping != "" && s.now < a.stopAt+stopGrace {
				room = room.Add(a.need)
			}
		}
		fits += place.Count(j.need, room, most)
	}
	return fits
}

// victims returns the workers on which the least capacity must be displaced to
// fit the wanted number of tasks, and how many tasks will fit on them.
func (s *Scheduler) victims(need resource.Vector, eligible victimFilter, wanted int64) ([]place.Ref, int64) {
	var workers []place.Ref
	for i := range s.workers {
		ref := place.Ref(i)
		w := s.cell.Worker(ref)
		if w.Bars == 0 && need.Fits(w.Free.Add(s.displaceableOn(ref, eligible))) {
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

// displaceableOn returns the sum of the needs of the eligible displaceable
// attempts on a worker.
func (s *Scheduler) displaceableOn(ref place.Ref, eligible victimFilter) resource.Vector {
	h := s.workerState(ref)
	if eligible == nil || h.displaceable.IsZero() {
		return h.displaceable
	}
	var sum resource.Vector
	for _, a := range h.attempts {
		if s.displaceable(a) && eligible(a) {
			sum = sum.Add(a.need)
		}
	}
	return sum
}

// checkpoint displaces eligible tasks on a worker until one task of the need
// fits. Tasks that were displaced the fewest times come first, then those that
// have run the shortest time.
func (s *Scheduler) checkpoint(ref place.Ref, need resource.Vector, eligible victimFilter) {
	var victims []*attempt
	for _, a := range s.workerState(ref).attempts {
		if s.displaceable(a) && (eligible == nil || eligible(a)) {
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
			a.requeueLast = eligible == nil
			s.stop(a, ports.ControlCheckpoint)
			room = room.Add(a.need)
		}
	}
}

// helps reports whether a victim frees any of the resources that the need lacks.
func helps(need, room, victim resource.Vector) bool {
	return (need.MilliCPU > room.MilliCPU && victim.MilliCPU > 0) ||
		(need.MemoryMiB > room.MemoryMiB && victim.MemoryMiB > 0) ||
		(need.Accelerators > room.Accelerators && victim.Accelerators > 0)
}

// endDisplacements releases the held workers on which every displaced task has
// ended, or was not stopped in time. Dispatch has offered them before to the
// work that they were held for. It reports whether any worker was released.
func (s *Scheduler) endDisplacements() bool {
	before := len(s.displacements)
	s.displacements = slices.DeleteFunc(s.displacements, func(e displacement) bool {
		if s.now < e.until && s.hasStopping(e.worker) {
			return false
		}
		s.cell.Unbar(e.worker, place.BarHeld)
		return true
	})
	return len(s.displacements) < before
}

// hasStopping reports whether any attempt on a worker is being stopped.
func (s *Scheduler) hasStopping(ref place.Ref) bool {
	return slices.ContainsFunc(s.workerState(ref).attempts, func(a *attempt) bool { return a.stopping != "" })
}
