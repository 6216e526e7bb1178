package region

import (
	"slices"
	"time"
)

// reason is why a worker cannot take a task now.
type reason int

const (
	fits reason = iota
	rejectService
	rejectZone
	rejectState
	rejectLabel
	rejectAdvice
	rejectRoom
	rejectSpread
	rejectInterference
	rejectReserved
	rejectApart
	rejectIsolation
	numReasons
)

var reasonNames = [numReasons]string{"fits", "service", "zone", "state", "label", "advice", "room", "spread", "interference", "reserved", "apart", "isolation"}

// What holds a step in place of a reason for which workers reject it.
const (
	heldByCap      = "cap"            // its workspace is at its cap
	heldByCapacity = "capacity"       // all workers together could not hold it, if they were empty
	heldByLink     = "link"           // the leader's link is full
	heldByAdvisers = "advice backlog" // all hosts have calls for advice to wait for
	heldByUnasked  = "advice unasked" // no advice is asked for: it has no place, or more urgent steps ask about it
)

// rejectionCounts counts workers by the filter that rejected them.
type rejectionCounts [numReasons]int

// summary names the filter that rejected the most workers of the step's service. If there is none,
// it is the room for a gang that has places, but too few, and else the service filter.
func (r *rejectionCounts) summary() string {
	best := rejectZone
	for i := rejectZone; i < numReasons; i++ {
		if r[i] > r[best] {
			best = i
		}
	}
	switch {
	case r[best] > 0:
		return reasonNames[best]
	case r[fits] > 0:
		return reasonNames[rejectRoom]
	}
	return reasonNames[rejectService]
}

// explainPlaced logs the tasks of a step that this pass assigned, with the inputs of
// the decision.
func (s *Scheduler) explainPlaced(st *step, workers []string) {
	if len(workers) == 0 {
		return
	}
	s.explain(st.job.rec.Id, "assigned", Field{"occurrence", st.occ.k}, Field{"step", st.index}, Field{"workers", workers},
		Field{"waited_ms", (s.now - st.readyAt).Milliseconds()}, Field{"slack_ms", (st.latestStart - s.now).Milliseconds()},
		Field{"advised_ms_after", max(0, st.advice.firstAt-st.readyAt).Milliseconds()}, Field{"held_by", st.heldBy})
}

// placeTasks starts as many waiting tasks of a step as fit.
func (s *Scheduler) placeTasks(st *step) {
	var placed []string
	defer func() { s.explainPlaced(st, placed) }()
	fitting, why := s.fitting(st)
	for _, t := range st.tasks {
		if !t.waiting() || s.held(t) {
			continue
		}
		if !s.withinCap(st, 1) {
			st.heldBy = heldByCap
			return
		}
		if len(fitting) == 0 {
			st.heldBy = why
			return
		}
		w := s.bestFor(t, fitting)
		if w == nil {
			continue
		}
		s.assign(t, w, t.lastRun+1)
		s.freeBounds.assigned = true
		placed = append(placed, w.entry.ID)
		// The assignment doesn't change the feasibility of any other worker for this
		// step.
		if rejection := s.reject(st, w); rejection != fits {
			why = reasonNames[rejection]
			fitting = slices.DeleteFunc(fitting, func(o *worker) bool { return o == w })
		}
	}
	st.heldBy = ""
	if s.suspectWaits(st) {
		st.heldBy = reasonNames[rejectIsolation]
	}
}

// fitting returns the workers that can take a task of the step now, and the main reason
// for which others cannot. The result is valid until the next call.
func (s *Scheduler) fitting(st *step) ([]*worker, string) {
	var counts rejectionCounts
	s.fittingBuf = s.fittingBuf[:0]
	for _, w := range s.candidates(st) {
		why := s.reject(st, w)
		counts[why]++
		if why == fits {
			s.fittingBuf = append(s.fittingBuf, w)
		}
	}
	if st.needsAdvice() && len(s.candidates(st)) == 0 {
		return nil, reasonNames[rejectAdvice]
	}
	return s.fittingBuf, counts.summary()
}

// bestFor returns the worker with the highest score for the task, or nil if the task is isolated
// and other jobs run on all of them.
func (s *Scheduler) bestFor(t *task, fitting []*worker) *worker {
	var (
		best      *worker
		bestScore float64
	)
	isolated := s.mustIsolate(t)
	for _, w := range fitting {
		if isolated && !w.onlyRuns(t.step.job) {
			continue
		}
		if score := s.score(t.step, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// reject is the feasibility check of a worker for a task of the step. Cheap and
// decisive filters come first.
func (s *Scheduler) reject(st *step, w *worker) reason {
	switch {
	case w.entry.Service != st.job.rec.Policy.GetService():
		return rejectService
	case s.drains.Contains(w.entry.Zone):
		return rejectZone
	case !s.usable(w):
		return rejectState
	case !st.demand().Fits(w.free()) || s.lateStartRoom(st, w) == 0:
		return rejectRoom
	case st.defersEnds() && w.endsListed >= maxEndsKept:
		return rejectState
	case st.rec.Requires != "" && !w.entry.HasLabel(st.rec.Requires):
		return rejectLabel
	case !st.ticketHolds(w, s.now):
		return rejectAdvice
	case st.rec.AntiAffinity > 0 && st.runCountOn(w) >= int(st.rec.AntiAffinity):
		return rejectSpread
	case st.interferesWith(w):
		return rejectInterference
	case !s.admits(w, st):
		return rejectReserved
	case s.closed(w, st):
		return rejectIsolation
	case s.keptApart(st, w):
		return rejectApart
	}
	return fits
}

// ignoresReservations reports whether the step may use workers that are reserved for a
// gang: urgent small tasks that can still be on time, as they end soon, long-running tasks,
// which precede all other work, and steps for which reservations have lapsed.
func (s *Scheduler) ignoresReservations(st *step) bool {
	return st.rec.LongRunning || st.job.rec.Policy.GetPriority() == 0 && s.now <= st.latestStart || s.reservationsLapsed(st)
}

// maxReservedWait is how long a step waits for gangs that reserve workers of a service that is
// mostly idle. The platform counts a task that is not started within 3 s there as lost.
const maxReservedWait = 2 * time.Second

// reservationsLapsed reports whether the step no longer respects the reservations of gangs.
//
// The guard is against a gang that waits for something other than room, such as a ticket or a
// worker that does not answer: it could reserve idle workers for as long as it waits. While most of
// a service is in use, gangs need their reservations to collect room at all.
func (s *Scheduler) reservationsLapsed(st *step) bool {
	if s.now-st.waitingSince < maxReservedWait {
		return false
	}
	if !s.freeBounds.valid {
		s.computeFreeBounds()
	}
	of, known := s.freeBounds.byService[st.job.rec.Policy.GetService()]
	return known && of.mostlyIdle()
}

// admits reports whether the reservations of the worker let the step use it.
func (s *Scheduler) admits(w *worker, st *step) bool {
	if w.reserved != nil && w.reserved != st && !s.ignoresReservations(st) {
		return false
	}
	return w.softReserved == nil || w.softReserved == st || s.classOf(st) <= classOverShare || s.reservationsLapsed(st)
}

// usable reports whether the worker may get new work at all.
func (s *Scheduler) usable(w *worker) bool {
	return w.listed && w.isActive() && !w.entry.Draining && !s.drains.Contains(w.entry.Zone) && w.fenced && !w.overdue && !w.silent &&
		s.now-w.probedAt < maxProbeAge && s.now >= w.pausedUntil && w.health.healthy(s.now)
}

// runCountOn counts the runs of the step on the worker.
func (st *step) runCountOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == st {
			n++
		}
	}
	return n
}

// interferesWith reports whether the step and the runs on the worker would interfere.
// Tasks with Fills (best-effort tasks on idle processors) slow down tasks that serve users
// under a latency target, by an amount that is not declared.
func (st *step) interferesWith(w *worker) bool {
	if !st.rec.Fills && st.rec.TargetMs == 0 {
		return false
	}
	for _, r := range w.runs {
		if r.task.step.interferes(st) {
			return true
		}
	}
	return false
}

// interferes reports whether tasks of the two steps slow each other down on one worker.
func (st *step) interferes(other *step) bool {
	return st.rec.Fills && other.rec.TargetMs > 0 || st.rec.TargetMs > 0 && other.rec.Fills
}

// withinCap reports whether n more tasks keep the workspace within its cap.
func (s *Scheduler) withinCap(st *step, n int64) bool {
	ws, known := s.config.Workspaces[st.job.rec.Workspace]
	if !known {
		return true
	}
	after := s.used[ws.Name].Add(st.request.Times(n))
	return withinLimit(after.MilliCPU, ws.Cap.MilliCPU) && withinLimit(after.MemoryMiB, ws.Cap.MemoryMiB) &&
		withinLimit(after.Accelerators, ws.Cap.Accelerators)
}

func withinLimit(value, limit int64) bool { return limit <= 0 || value <= limit }

// Weights of the score, in thousandths of a core left free.
const (
	dataLocalityBonus = 1e6 // a task on its data's rack takes a half or a third of the time
	reservedPenalty   = 1e5 // small urgent tasks use workers without a reservation where they can
	riskPenalty       = 2e6 // workers that may crash under another job are used last
)

// score ranks workers that fit. It is best fit: the worker that is left with the least
// free processors comes first, which leaves more room for large tasks on other workers.
func (s *Scheduler) score(st *step, w *worker) float64 {
	score := -float64(w.free().MilliCPU - st.request.MilliCPU)
	if st.rec.Affinity != "" && w.entry.HasLabel(st.rec.Affinity) {
		score += dataLocalityBonus
	}
	if w.reserved != nil && w.reserved != st {
		score -= reservedPenalty
	}
	if s.risky(w, st.job) {
		score -= riskPenalty
	}
	return score + st.speedScore(w) + s.apartScore(st, w) - w.health.penalty(s.now)
}

// speedWeight is the weight of the speed of a worker that is e times as fast as the
// others, in thousandths of a core left free.
const speedWeight = 2e4

// speedScore prefers fast workers for latency-sensitive work, which then still ends in
// time, and slow workers for all other work, which leaves the fast ones free.
func (st *step) speedScore(w *worker) float64 {
	if st.latencySensitive {
		return speedWeight * w.speed.logRatio
	}
	return -speedWeight * w.speed.logRatio
}
