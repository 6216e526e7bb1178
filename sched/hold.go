package sched

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
)

// Work that needs much room at once starves behind small work: whatever comes
// free is taken by a small task before enough is free together. A hold keeps
// the workers on which a job is planned to fit first; on them only work runs
// that is expected to end before the planned start. Holds are few and end
// after Options.HoldFor, so that a wrong plan costs a bounded amount of room.
const (
	maxHolds  = 4
	planEvery = time.Second // shortest time between two rounds of planning
	bulkyPart = 4           // a task is bulky from this part of the largest worker

	// A plan walks through the ends of everything that runs. In a zone of 8,000
	// tasks where the first jobs of 250 teams fit on no worker that services
	// leave free, planning for all of them each second took a third of a
	// processor, and nothing came of it.
	maxPlans  = maxHolds         // new plans of one round
	planPause = 10 * time.Second // before a job is planned again that fits nowhere
)

// hold keeps workers for one job.
type hold struct {
	job     *job
	workers []place.Ref
	at      timeOf // planned start
	first   timeOf // planned start when the hold was made
	urgent  bool   // room is made by displacing; nothing else may use it
}

// bulky reports whether a job may starve behind small work.
func (s *Scheduler) bulky(j *job, largest *place.Worker) bool {
	if j.gang() {
		return true
	}
	return largest != nil && place.Count(j.need, largest.Size, bulkyPart+1) <= bulkyPart
}

// planHolds adjusts the plans of the holds and makes new ones, at most once in
// planEvery.
func (s *Scheduler) planHolds() {
	if s.opts.Hold == HoldNone || (s.queue.Len() == 0 && len(s.holds) == 0) {
		return
	}
	if s.now < s.planAt {
		s.wake(&s.wakes.plan, s.planAt)
		return
	}
	s.planAt = s.now + planEvery
	for _, h := range s.holds {
		if at, ok := s.planOn(h.job, h.workers); ok {
			h.at = at
		}
	}
	largest := s.largest()
	ripens, plans := false, 0
	for _, t := range s.queue.Ordered() {
		class := t.First(s.unlimited)
		if class == nil {
			continue
		}
		j := class.Head().Owner
		if !s.bulky(j, largest) || j.hold != nil {
			continue
		}
		ripens = true
		if s.ripe(j) && plans < maxPlans {
			plans++
			s.plan(j)
		}
	}
	if ripens || len(s.holds) > 0 {
		s.wake(&s.wakes.plan, s.planAt)
	}
}

// unlimited reports whether the upper limit lets a class start.
func (s *Scheduler) unlimited(class *queue.Class[*job]) bool {
	return !s.limited(class.Head().Owner)
}

// ripe reports whether room may be held for the first job of a team now.
func (s *Scheduler) ripe(j *job) bool {
	t := j.team
	if t.headJob != j {
		t.headJob, t.headSince = j, s.now
	}
	if s.now-t.headSince < s.opts.HoldAfter || s.now < j.noHold || len(s.holds) >= maxHolds {
		return false
	}
	return s.queue.Share(t.Team) <= s.queue.Entitled(t.Team)
}

// plan holds the workers on which the job is planned to start first.
func (s *Scheduler) plan(j *job) {
	at, workers, ok := s.planner.earliest(s, j, 0)
	if !ok {
		j.noHold = s.now + planPause
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

func (s *Scheduler) hold(h *hold) {
	for _, ref := range h.workers {
		s.cell.Bar(ref, place.BarHeld)
	}
	h.job.hold = h
	s.holds = append(s.holds, h)
	s.after(timer{at: s.now + s.opts.HoldFor, kind: timerHold, hold: h})
}

// endHold gives the workers of a hold back to all work. It does nothing for
// nil.
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

// holdPassed ends a hold that lasted too long; for as long again none is made
// for the job.
func (s *Scheduler) holdPassed(h *hold) {
	if h.job.hold != h {
		return
	}
	h.job.noHold = s.now + s.opts.HoldFor
	s.endHold(h)
}

// dropHolds ends the holds that count on a worker that goes.
func (s *Scheduler) dropHolds(ref place.Ref) {
	for _, h := range slices.Clone(s.holds) {
		if slices.Contains(h.workers, ref) {
			s.endHold(h)
		}
	}
	s.making = slices.DeleteFunc(s.making, func(e emptying) bool { return e.worker == ref })
}

// startHeld starts the jobs whose held workers have enough room.
func (s *Scheduler) startHeld() {
	for i := 0; i < len(s.holds); {
		h := s.holds[i]
		if !s.limited(h.job) && h.job.waiting() > 0 && s.heldRoom(h) {
			s.start(h.job)
		}
		if i < len(s.holds) && s.holds[i] == h {
			i++
		}
	}
}

func (s *Scheduler) heldRoom(h *hold) bool {
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

// lookHeld returns a held worker that the job may use, or place.None.
func (s *Scheduler) lookHeld(j *job) place.Ref {
	if j.hold != nil {
		return s.placer.PackIn(j.hold.workers, place.BarHeld, j.need)
	}
	for _, e := range s.making {
		if e.mayUse(j) && s.cell.Worker(e.worker).Bars == place.BarHeld && j.need.Fits(s.cell.Worker(e.worker).Free) {
			return e.worker
		}
	}
	if s.opts.Hold != HoldPlanned || len(s.holds) == 0 {
		return place.None
	}
	ends := s.now + s.cautious(j)
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
