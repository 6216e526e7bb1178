package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// evictionMargin is how long before a worker leaves its runs must have stopped: a stop without an
// answer is sent again after its time-out and stopRetry, and the ends wait for the next probe.
const evictionMargin = 800 * time.Millisecond

// maxEvictionsPerTick bounds the stops that are sent to one worker at a time: the pool of connections
// refuses more calls than it has for one worker, and probes need some of them.
const maxEvictionsPerTick = 16

// noteDeparture notes from when on a worker may leave, as its newest entry says. Entries may be read
// late, and then tell a time that is too late, so that the earliest one counts.
func (s *Scheduler) noteDeparture(w *worker) {
	if !w.entry.Draining || w.entry.Remaining == 0 {
		w.leavesAt = 0
		return
	}
	s.mayLeaveAt(w, s.now+w.entry.Remaining)
	s.noteDepartureByClock(w)
}

// noteDepartureByClock does the same by the worker's clock, which tells how old its entry is.
func (s *Scheduler) noteDepartureByClock(w *worker) {
	if w.leavesAt == 0 || w.entry.ClockMs == 0 || w.clockMs == 0 {
		return
	}
	age := time.Duration(w.clock(s.now)-w.entry.ClockMs) * time.Millisecond
	s.mayLeaveAt(w, s.now+w.entry.Remaining-max(age, 0))
}

func (s *Scheduler) mayLeaveAt(w *worker, at time.Duration) {
	if w.leavesAt > 0 {
		w.leavesAt = min(w.leavesAt, at)
		return
	}
	w.leavesAt = at
	if !slices.Contains(s.leaving, w) {
		s.leaving = append(s.leaving, w)
	}
}

// evictLeaving stops the runs on workers that are about to leave, so that their ends are read
// before that.
//
// The guard is against a task that runs again after it was done: a worker lists an end just before it
// exits, the answer is lost with the connection, and nothing can tell any more that the run was done.
// It holds because the worker has no runs by then. The tasks also run elsewhere sooner than after the
// worker's lease.
func (s *Scheduler) evictLeaving() {
	s.leaving = slices.DeleteFunc(s.leaving, func(w *worker) bool {
		if w.leavesAt == 0 || s.workers[w.entry.ID] != w {
			return true
		}
		if slices.ContainsFunc(w.runs, s.mustEvict) {
			s.evict(w)
		}
		return false
	})
}

// evictAt returns when all runs are stopped on a worker that leaves.
func (s *Scheduler) evictAt(w *worker) time.Duration {
	return w.leavesAt - s.opts.StopTime - evictionMargin
}

// mustEvict reports whether a run on a worker that leaves is to be stopped now: at evictAt, or before if
// it is not expected to end by then, so that it is done elsewhere sooner.
func (s *Scheduler) mustEvict(r *run) bool {
	if r.phase == phaseStopping || r.phase == phaseLateStart {
		return false
	}
	return s.now >= s.evictAt(r.worker) || s.outlastsEviction(r)
}

// evict stops the runs on a worker that mustEvict. Members of their gangs elsewhere are stopped at once:
// the gang runs again only when all have ended.
func (s *Scheduler) evict(w *worker) {
	evicted := 0
	for _, r := range w.sortedRuns() {
		if evicted == maxEvictionsPerTick {
			break
		}
		if r.task.run != r || !s.mustEvict(r) {
			continue
		}
		evicted++
		s.emit(Count{Name: "runs_evicted"})
		s.stopRun(r, "its worker leaves")
		s.stopOtherMembers(r.task, r.number)
	}
	s.explain("", "runs evicted", Field{"worker", w.entry.ID}, Field{"runs", evicted}, Field{"leaves_in_ms", (w.leavesAt - s.now).Milliseconds()})
}

// keepsEndOf reports whether the task of a run whose end a worker lists as final is done, although a start
// call of the run may still be executed: the worker leaves for good, with the end, and only a later
// incarnation under its id could execute the call.
func (s *Scheduler) keepsEndOf(r *run, e model.End) bool {
	w := r.worker
	return w.leavesAt > 0 && s.now >= s.evictAt(w) && r.task.isFinal(e.Outcome)
}

// outlastsEviction reports whether the run is not expected to end before all runs on its worker are
// stopped. A long-running task has no end, and serves for as long as it can stay.
//
// endsAt counts a whole run time from when this leader first saw the run. One that it has inherited, or
// that resumes from a checkpoint, has less left by its progress.
func (s *Scheduler) outlastsEviction(r *run) bool {
	evictAt := s.evictAt(r.worker)
	if r.task.step.rec.LongRunning || r.endsAt <= evictAt {
		return false
	}
	left := r.task.step.runTimeOn(r.worker) * time.Duration(100-r.percent) / 100
	return r.percent == 0 || s.now+left > evictAt
}
