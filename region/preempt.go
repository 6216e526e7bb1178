package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// lastingPatience is how long a task that lasts waits for room to come free
	// before other work is stopped for it: it is to be at work again within 3 s,
	// and a stop and a start take up to one.
	lastingPatience = time.Second
	// makeRoomEvery is how often work is stopped for one step: a stop takes most
	// of a second to show.
	makeRoomEvery = time.Second
)

// makeRoom stops work for a task that lasts and finds no room: it serves users
// of its own, who are without it meanwhile. Runs that lose least are stopped on
// the one worker where that loses least.
func (s *Scheduler) makeRoom(st *step) {
	if !st.rec.LongRunning || s.now-st.waitsFrom < lastingPatience || s.now-st.madeRoomAt < makeRoomEvery || !s.withinCap(st, 1) {
		return
	}
	var (
		best     []*run
		bestLoss time.Duration
		found    bool
	)
	for _, w := range s.usableNow {
		if !s.suits(st, w) || !st.ticketHolds(w, s.now) {
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
	st.madeRoomAt = s.now
	for _, r := range best {
		s.stopRun(r, "makes room for a task that lasts")
	}
}

// victims returns the runs to stop on a worker so that one task of the step
// fits, and the core-time that is lost by it.
func (s *Scheduler) victims(st *step, w *worker) (victims []*run, loss time.Duration, ok bool) {
	candidates := s.stoppable(w)
	free := w.free()
	for _, r := range candidates {
		disturbs := st.rec.TargetMs > 0 && r.task.step.rec.Fills
		if !disturbs && st.room().Fits(free) {
			continue
		}
		victims = append(victims, r)
		loss += s.lossOf(r)
		free = free.Add(r.room)
	}
	return victims, loss, st.room().Fits(free) && (st.rec.AntiAffinity == 0 || st.runsOn(w) < int(st.rec.AntiAffinity))
}

// stoppable returns the runs on a worker that may be stopped for others, the
// least loss first: none that lasts, as its users would be without it, and none
// of a gang, as all its members would end.
func (s *Scheduler) stoppable(w *worker) []*run {
	var out []*run
	for _, r := range w.sortedRuns() {
		rec := r.task.step.rec
		if r.phase == phaseRunning && !rec.LongRunning && !rec.Gang {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return cmp.Compare(s.lossOf(a), s.lossOf(b)) })
	return out
}

// lossOf is the core-time that stopping a run throws away.
func (s *Scheduler) lossOf(r *run) time.Duration {
	if r.task.step.rec.Checkpointing {
		return 0
	}
	return (s.now - r.startedAt) * time.Duration(r.task.step.request.MilliCPU) / model.MilliPerCore
}
