package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// preemptDelay is how long a long-running task waits for free room before runs
	// are preempted for it. It is to run again within 3 s, and a stop and a start take
	// up to 1 s.
	preemptDelay = time.Second
	// preemptInterval is the shortest time between two preemptions for one step: a stop
	// takes most of a second to take effect.
	preemptInterval = time.Second
)

// preemptFor preempts runs for a step that finds no room, if it may. It reports whether it has
// reserved the room that becomes free.
func (s *Scheduler) preemptFor(st *step) (reserved bool) {
	switch {
	case !s.moreRoomHelps(st):
	case st.rec.LongRunning:
		s.preemptForLongRunning(st)
	case st.rec.Gang:
		return s.preemptForGang(st)
	}
	return false
}

// preemptForLongRunning preempts runs for a long-running task, since its users have no
// service meanwhile. It chooses the worker, and the runs on it, with the least loss.
func (s *Scheduler) preemptForLongRunning(st *step) {
	if s.now-st.waitingSince < preemptDelay || s.now-st.preemptedAt < preemptInterval || !s.withinCap(st, 1) {
		return
	}
	var (
		best     []*run
		bestLoss time.Duration
		found    bool
	)
	for _, w := range s.usableNow {
		if !s.suits(st, w) || !st.ticketHolds(w, s.now) || s.lateStartRoom(st, w) == 0 {
			continue
		}
		victims, loss, ok := s.victims(st, w)
		if ok && (!found || loss < bestLoss) {
			best, bestLoss, found = victims, loss, true
		}
	}
	if !found {
		return
	}
	st.preemptedAt = s.now
	for _, r := range best {
		s.stopRun(r, "makes room for a task that lasts")
	}
}

// victims returns the runs to stop on a worker to let one task of the step fit, and the
// core-time lost by it. ok is false if that is not enough.
func (s *Scheduler) victims(st *step, w *worker) (victims []*run, loss time.Duration, ok bool) {
	candidates := s.preemptible(w)
	free := w.free()
	for _, r := range candidates {
		interferes := st.rec.TargetMs > 0 && r.task.step.rec.Fills
		if !interferes && st.demand().Fits(free) {
			continue
		}
		victims = append(victims, r)
		loss += s.preemptionLoss(r)
		free = free.Add(r.demand)
	}
	return victims, loss, st.demand().Fits(free) && (st.rec.AntiAffinity == 0 || st.runCountOn(w) < int(st.rec.AntiAffinity))
}

// preemptible returns the runs on a worker that may be preempted, the least loss first.
// Excluded are long-running tasks, whose users would have no service, and gang members,
// as all members would end.
func (s *Scheduler) preemptible(w *worker) []*run {
	var out []*run
	for _, r := range w.sortedRuns() {
		rec := r.task.step.rec
		if r.phase == phaseRunning && !rec.LongRunning && !rec.Gang {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return cmp.Compare(s.preemptionLoss(a), s.preemptionLoss(b)) })
	return out
}

// checkpointedLoss is the time that stopping a checkpointing run wastes: until it has stopped,
// and the restore elsewhere. A stop writes a checkpoint.
const checkpointedLoss = 200 * time.Millisecond

// preemptionLoss returns the core-time that stopping a run wastes.
func (s *Scheduler) preemptionLoss(r *run) time.Duration {
	lost := s.now - r.startedAt
	if r.task.step.rec.Checkpointing {
		lost = checkpointedLoss
	}
	return lost * time.Duration(r.task.step.request.MilliCPU) / model.MilliPerCore
}
