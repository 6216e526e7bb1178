package region

import "slices"

// reason tells why a worker cannot take a task now.
type reason int

const (
	fits reason = iota
	rejectService
	rejectState
	rejectLabel
	rejectAdvice
	rejectRoom
	rejectSpread
	rejectInterference
	rejectReserved
	rejectApart
	reasons
)

var reasonNames = [reasons]string{"fits", "service", "state", "label", "advice", "room", "spread", "interference", "reserved", "apart"}

// rejected counts workers by what each filter rejected.
type rejected [reasons]int

// summary names the filter that rejected most of the workers that the step
// could use at all.
func (r *rejected) summary() string {
	best := rejectState
	for i := rejectState; i < reasons; i++ {
		if r[i] > r[best] {
			best = i
		}
	}
	if r[best] == 0 {
		return reasonNames[rejectService]
	}
	return reasonNames[best]
}

// explainPlaced logs the tasks of a step that were assigned in this pass, with
// what decided it.
func (s *Scheduler) explainPlaced(st *step, workers []string) {
	if len(workers) == 0 {
		return
	}
	s.explain(st.job.rec.Id, "assigned", Field{"occurrence", st.occ.k}, Field{"step", st.index}, Field{"workers", workers},
		Field{"waited_ms", (s.now - st.openAt).Milliseconds()}, Field{"slack_ms", (st.key - s.now).Milliseconds()},
		Field{"advised_ms_after", max(0, st.advice.firstAt-st.openAt).Milliseconds()}, Field{"held_by", st.blocked})
}

// placeTasks starts as many waiting tasks of a step as fit.
func (s *Scheduler) placeTasks(st *step) {
	var placed []string
	defer func() { s.explainPlaced(st, placed) }()
	fitting, why := s.fitting(st)
	for _, t := range st.tasks {
		if !t.waiting() {
			continue
		}
		if !s.withinCap(st, 1) {
			st.blocked = "cap"
			return
		}
		if len(fitting) == 0 {
			st.blocked = why
			return
		}
		at := s.best(st, fitting)
		w := fitting[at]
		s.assign(t, w, t.lastRun+1)
		s.roomiest.taken = true
		placed = append(placed, w.entry.ID)
		// The assignment changes nothing for the step on any other worker.
		if rejection := s.reject(st, w); rejection != fits {
			why = reasonNames[rejection]
			fitting = slices.Delete(fitting, at, at+1)
		}
	}
	st.blocked = ""
}

// fitting returns the workers that can take a task of the step now, or the main
// reason why there is none. The result is valid until the next call.
func (s *Scheduler) fitting(st *step) ([]*worker, string) {
	var counts rejected
	s.scratch = s.scratch[:0]
	for _, w := range s.candidates(st) {
		why := s.reject(st, w)
		counts[why]++
		if why == fits {
			s.scratch = append(s.scratch, w)
		}
	}
	if st.needsAdvice() && len(s.candidates(st)) == 0 {
		return nil, reasonNames[rejectAdvice]
	}
	return s.scratch, counts.summary()
}

// best returns the place of the worker that suits the step best.
func (s *Scheduler) best(st *step, fitting []*worker) int {
	best := 0
	bestScore := s.score(st, fitting[0])
	for i, w := range fitting[1:] {
		if score := s.score(st, w); score > bestScore {
			best, bestScore = i+1, score
		}
	}
	return best
}

// reject is the chain of filters that a worker passes before a task goes
// there, the cheapest and most decisive ones first.
func (s *Scheduler) reject(st *step, w *worker) reason {
	switch {
	case w.entry.Service != st.job.rec.Policy.GetService():
		return rejectService
	case !s.usable(w):
		return rejectState
	case !st.room().Fits(w.free()):
		return rejectRoom
	case st.rec.Requires != "" && !w.entry.HasLabel(st.rec.Requires):
		return rejectLabel
	case !st.ticketHolds(w, s.now):
		return rejectAdvice
	case st.rec.AntiAffinity > 0 && st.runsOn(w) >= int(st.rec.AntiAffinity):
		return rejectSpread
	case st.disturbs(w):
		return rejectInterference
	case !s.admits(w, st):
		return rejectReserved
	case s.keptApart(st, w):
		return rejectApart
	}
	return fits
}

// passesReserved reports whether the step may use workers where a gang collects
// room: urgent small tasks that can still be on time, as they are over soon, and
// tasks that last, which come before all else.
func (s *Scheduler) passesReserved(st *step) bool {
	return st.rec.LongRunning || st.job.rec.Policy.GetPriority() == 0 && s.now <= st.key
}

// admits reports whether the step may use a worker for which gangs wait.
func (s *Scheduler) admits(w *worker, st *step) bool {
	if w.reserved != nil && w.reserved != st && !s.passesReserved(st) {
		return false
	}
	return w.kept == nil || w.kept == st || s.classOf(st) <= classExcess
}

// usable reports whether new work may go to the worker at all.
func (s *Scheduler) usable(w *worker) bool {
	return w.listed && !w.entry.Draining && w.fenced && !w.overdue &&
		s.now-w.probedAt < maxProbeAge && s.now >= w.pausedUntil && w.health.trusted(s.now)
}

// runsOn counts the runs of the step on the worker.
func (st *step) runsOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == st {
			n++
		}
	}
	return n
}

// disturbs reports whether the step and what runs on the worker would disturb
// each other: tasks that fill slow down tasks that serve users under a latency
// target, by amounts that nobody declares.
func (st *step) disturbs(w *worker) bool {
	if !st.rec.Fills && st.rec.TargetMs == 0 {
		return false
	}
	for _, r := range w.runs {
		other := r.task.step.rec
		if st.rec.Fills && other.TargetMs > 0 || st.rec.TargetMs > 0 && other.Fills {
			return true
		}
	}
	return false
}

// withinCap reports whether n more tasks keep the workspace within its upper
// limit.
func (s *Scheduler) withinCap(st *step, n int64) bool {
	ws, known := s.config.Workspaces[st.job.rec.Workspace]
	if !known {
		return true
	}
	after := s.used[ws.Name].Add(st.request.Times(n))
	return under(after.MilliCPU, ws.Cap.MilliCPU) && under(after.MemoryMiB, ws.Cap.MemoryMiB) &&
		under(after.Accelerators, ws.Cap.Accelerators)
}

func under(value, limit int64) bool { return limit <= 0 || value <= limit }

// Weights of the score, in the unit of one thousandth of a core left over.
const (
	nearDataBonus   = 1e6 // on the data's rack a task takes a half or a third of the time
	reservedPenalty = 1e5 // small urgent tasks go to workers that no gang waits for, if they can
)

// score ranks workers that fit: the one that is left with the least room is
// best, so that large holes stay for large tasks.
func (s *Scheduler) score(st *step, w *worker) float64 {
	score := -float64(w.free().MilliCPU - st.request.MilliCPU)
	if st.rec.Affinity != "" && w.entry.HasLabel(st.rec.Affinity) {
		score += nearDataBonus
	}
	if w.reserved != nil && w.reserved != st {
		score -= reservedPenalty
	}
	return score + st.speedScore(w) + s.apartScore(st, w) - w.health.penalty(s.now)
}

// speedWeight is what a worker counts for that is e times as fast as the others, in
// thousandths of a core left over.
const speedWeight = 2e4

// speedScore puts pressing work on fast workers, where it still ends in time, and leaves
// it the fast ones by putting work that can wait on slow ones.
func (st *step) speedScore(w *worker) float64 {
	if st.pressing {
		return speedWeight * w.speed.log
	}
	return -speedWeight * w.speed.log
}
