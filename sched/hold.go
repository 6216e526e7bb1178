package sched

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
)

// Work that needs much capacity at once can starve behind small work: small
// tasks take any freed capacity before enough of it is free together. A hold
// reserves the workers on which a job is planned to fit first; other work starts
// there only if it is expected to end before the planned start. The number of
// holds is limited and each ends after Options.HoldFor, which bounds the
// capacity that a wrong plan wastes.
const (
	maxHolds     = 4
	planInterval = time.Second // least time between two rounds of planning
	largeTaskFit = 4           // a task is large if at most this many fit on the largest worker

	// A plan iterates over the expected ends of all running attempts. In a zone of
	// 8,000 tasks, where services left no worker with enough capacity for the first
	// jobs of 250 teams, planning for all of them each second used a third of a
	// processor without any result.
	maxNewPlans = maxHolds         // new plans per round
	replanDelay = 10 * time.Second // delay before a job that fits nowhere is planned again
)

// hold is a reservation of workers for one job.
type hold struct {
	job     *job
	workers []place.Ref
	at      monotonicTime // planned start
	first   monotonicTime // planned start when the hold was made
	urgent  bool          // capacity is being freed by displacement; no other work may use it
}

// mayStarve reports whether a job may starve behind small work: it is a gang, or
// its tasks are large compared with the largest worker.
func (s *Scheduler) mayStarve(j *job, largest *place.Worker) bool {
	if j.gang() {
		return true
	}
	return largest != nil && place.Count(j.need, largest.Size, largeTaskFit+1) <= largeTaskFit
}

// planHolds updates the planned starts of the holds and adds new holds, at most
// once per planInterval.
func (s *Scheduler) planHolds() {
	if s.opts.Hold == HoldNone || (s.queue.Len() == 0 && len(s.holds) == 0) {
		return
	}
	if s.now < s.planAt {
		s.wake(&s.wakes.plan, s.planAt)
		return
	}
	s.planAt = s.now + planInterval
	for _, h := range s.holds {
		if at, ok := s.planOn(h.job, h.workers); ok {
			h.at = at
		}
	}
	largest := s.largest()
	candidates, plans := false, 0
	for _, t := range s.queue.Ordered() {
		class := t.First(s.limitAllows)
		if class == nil {
			continue
		}
		j := class.Head().Owner
		if !s.mayStarve(j, largest) || j.hold != nil {
			continue
		}
		candidates = true
		if s.mayHold(j) && plans < maxNewPlans {
			plans++
			s.planHold(j)
		}
	}
	if candidates || len(s.holds) > 0 {
		s.wake(&s.wakes.plan, s.planAt)
	}
}

// limitAllows reports whether the upper limit allows the head of a class to
// start.
func (s *Scheduler) limitAllows(class *queue.Class[*job]) bool {
	return !s.limitBlocks(class.Head().Owner)
}

// mayHold reports whether workers may be held now for j, the first job of its
// team.
func (s *Scheduler) mayHold(j *job) bool {
	t := j.team
	if t.headJob != j {
		t.headJob, t.headSince = j, s.now
	}
	if s.now-t.headSince < s.opts.HoldAfter || s.now < j.noHold || len(s.holds) >= maxHolds {
		return false
	}
	return s.queue.Share(t.Team) <= s.queue.Entitled(t.Team)
}

// planHold holds the workers on which the job is expected to fit first. It adds
// no further hold if more than half of all workers would then be held.
func (s *Scheduler) planHold(j *job) {
	at, workers, ok := s.planner.earliest(s, j, 0)
	if !ok {
		j.noHold = s.now + replanDelay
		return
	}
	held := len(workers)
	for _, h := range s.holds {
		held += len(h.workers)
	}
	if len(s.holds) > 0 && 2*held > s.cell.Len() {
		return
	}
	s.hold(&hold{job: j, workers: workers, at: at, first: at})
}

// hold adds a hold and bars its workers for other work.
func (s *Scheduler) hold(h *hold) {
	for _, ref := range h.workers {
		s.cell.Bar(ref, place.BarHeld)
	}
	h.job.hold = h
	s.holds = append(s.holds, h)
	s.setTimer(timer{at: s.now + s.opts.HoldFor, kind: timerHold, hold: h})
}

// endHold releases the workers of a hold. It does nothing for nil or for a hold
// that has ended.
func (s *Scheduler) endHold(h *hold) {
	if h == nil || h.job.hold != h {
		return
	}
	h.job.hold = nil
	s.holds = slices.DeleteFunc(s.holds, func(o *hold) bool { return o == h })
	for _, ref := range h.workers {
		s.cell.Unbar(ref, place.BarHeld)
	}
	s.dirty = true
}

// holdPassed ends a hold that has reached Options.HoldFor. The job gets no other
// hold for the same time.
func (s *Scheduler) holdPassed(h *hold) {
	if h.job.hold != h {
		return
	}
	h.job.noHold = s.now + s.opts.HoldFor
	s.endHold(h)
}

// endHoldsOn ends the holds that include a worker that is being removed.
func (s *Scheduler) endHoldsOn(ref place.Ref) {
	for _, h := range slices.Clone(s.holds) {
		if slices.Contains(h.workers, ref) {
			s.endHold(h)
		}
	}
	s.displacements = slices.DeleteFunc(s.displacements, func(e displacement) bool { return e.worker == ref })
}

// startHeld starts the jobs that fit on the workers held for them.
func (s *Scheduler) startHeld() {
	for i := 0; i < len(s.holds); {
		h := s.holds[i]
		if !s.limitBlocks(h.job) && h.job.waiting() > 0 && s.fitsHeld(h) {
			s.start(h.job)
		}
		if i < len(s.holds) && s.holds[i] == h {
			i++
		}
	}
}

// fitsHeld reports whether the job of a hold fits on the held workers: one task,
// or all tasks of a gang.
func (s *Scheduler) fitsHeld(h *hold) bool {
	missing := int64(1)
	if h.job.gang() {
		missing = int64(h.job.spec.Tasks)
	}
	for _, ref := range h.workers {
		w := s.cell.Worker(ref)
		if w.Bars&^place.BarHeld == 0 {
			missing -= place.Count(h.job.need, w.Free, missing)
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// pickHeldWorker returns a held worker on which a task of the job may start, or
// place.None. The worker is held for the job, for work such as the job, or, with
// HoldPlanned, for a job whose planned start is after the expected end of the
// task.
func (s *Scheduler) pickHeldWorker(j *job) place.Ref {
	if j.hold != nil {
		return s.placer.PackIn(j.hold.workers, place.BarHeld, j.need)
	}
	for _, e := range s.displacements {
		if e.mayUse(j) && s.cell.Worker(e.worker).Bars == place.BarHeld && j.need.Fits(s.cell.Worker(e.worker).Free) {
			return e.worker
		}
	}
	if s.opts.Hold != HoldPlanned || len(s.holds) == 0 {
		return place.None
	}
	ends := s.now + s.cautiousEstimate(j)
	for _, h := range s.holds {
		if h.urgent || ends > h.at {
			continue
		}
		if ref := s.placer.PackIn(h.workers, place.BarHeld, j.need); ref != place.None {
			return ref
		}
	}
	return place.None
}
