package region

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A task runs on workers without other jobs from isolateAfter crashes on, or from
	// isolateAfterLosses runs on that were lost with their workers.
	isolateAfter       = 2
	isolateAfterLosses = 3
	// isolationWait is how long a task with no more than isolateAfter crashes, or one that lasts
	// whose crashes are not conclusive, waits for a worker without other jobs. A service full of
	// long-running tasks may have none.
	isolationWait = 2 * time.Second
	// A run of an isolated task is on probation for minProbation more than the longest run that was lost, and
	// for maxProbation at most: a task may have run for hours before its workers crashed.
	minProbation = time.Second
	maxProbation = minAcquittal
	// Within strictProbation each run on probation keeps other jobs off its worker. Later on such runs do that
	// on one in closedShare of the usable workers of a service at a time, and on one at least.
	strictProbation = 2 * time.Second
	closedShare     = 2
	// maxStrictWait is how long tasks that last wait for runs within strictProbation. Several jobs that are
	// started again on one worker would otherwise wait for each other in turn.
	maxStrictWait = 4 * time.Second
)

// suspected reports whether a crash or a loss counts against the task.
func (t *task) suspected() bool { return len(t.suspicion.crashes)+len(t.suspicion.open) > 0 }

// isolated reports whether the task is to run on workers without other jobs: the next crash
// then shows whether the task has caused it, and ends no other job's runs.
func (t *task) isolated() bool {
	crashes := len(t.suspicion.counted())
	total := crashes + len(t.suspicion.open)
	return crashes > 0 && total >= isolateAfter || total >= isolateAfterLosses
}

// mustIsolate reports whether the task is not started beside other jobs.
func (s *Scheduler) mustIsolate(t *task) bool {
	if !s.suspects[t] {
		return false
	}
	unsure := len(t.suspicion.counted())+len(t.suspicion.open) <= isolateAfter || t.step.rec.LongRunning && !t.crashesWorkers()
	return !unsure || s.now-t.step.waitingSince <= isolationWait
}

// held reports whether the task waits for the fate of workers that may have crashed under it, or,
// if it lasts, until its pause is over.
func (s *Scheduler) held(t *task) bool {
	if t.step.rec.LongRunning {
		return s.now < t.pausedUntil()
	}
	return len(t.suspicion.open) > 0 && t.heldAt(s.now)
}

// heldAt reports whether the task waits at a time until the fate of more workers is known. Runs that are not
// known to have begun hold it only where they would give it up, if their workers had crashed: a worker that is
// cut off while a start is on its way says nothing about the task.
//
// The time of a loss counts, not when a new leader has read of it. Each leader would otherwise hold the task
// for another lossRetention.
func (t *task) heldAt(at time.Duration) bool {
	open, all, begun := 0, 0, 0
	count := func(l *loss) {
		all++
		if l.begun {
			begun++
		}
	}
	for _, l := range t.suspicion.open {
		if at-l.lostAt <= lossRetention {
			open++
			count(l)
		}
	}
	for _, l := range t.suspicion.crashes {
		if !l.outage {
			count(l)
		}
	}
	return open > 0 && all >= maxOpenCrashes && (all >= certainCrashes || begun >= minBegun)
}

// noteSuspect updates which tasks are isolated after the suspicion of one has changed.
func (s *Scheduler) noteSuspect(t *task) {
	if t.isolated() && !t.done && !t.step.job.ended() {
		s.suspects[t] = true
		return
	}
	delete(s.suspects, t)
}

// forgetSuspects ends the isolation of the tasks of a job that has ended.
func (s *Scheduler) forgetSuspects(j *job) {
	for t := range s.suspects {
		if t.step.job == j {
			delete(s.suspects, t)
		}
	}
}

// onProbation reports whether the run may still be the one that crashes its worker. One in doubt has ended
// as far as is known, and is on probation only once its worker lists it: it would otherwise keep all other
// jobs off its worker for as long as its start may be carried out.
func (s *Scheduler) onProbation(r *run) bool {
	return s.suspects[r.task] && r.phase != phaseLateStart && s.goneOnFor(r) < r.task.probation()
}

// goneOnFor returns for how long the worker has answered since it has begun the run, which an earlier leader
// may have started.
func (s *Scheduler) goneOnFor(r *run) time.Duration {
	if r.startedAt == 0 {
		return 0
	}
	return r.seenRunning() + s.ranUnderEarlierLeaders(r)
}

// probation returns how long a run of the task may still be the one that crashes its worker.
func (t *task) probation() time.Duration {
	return min(minProbation+t.suspicion.longestRun(), maxProbation)
}

// closed reports whether the worker takes no task of the step because a run of another job there is on
// probation, or because it is kept free for another job.
func (s *Scheduler) closed(w *worker, st *step) bool {
	if !s.risky(w, st.job) {
		return false
	}
	strict := slices.ContainsFunc(w.runs, func(r *run) bool {
		return r.task.step.job != st.job && s.onProbation(r) && s.goneOnFor(r) < strictProbation
	})
	if strict && (!st.rec.LongRunning || s.now-st.waitingSince < maxStrictWait) {
		return true
	}
	kept := w.keptFreeFor != nil && w.keptFreeFor.job != st.job
	return (strict || kept || w.keptClosed) && !s.isolationLapsed(st)
}

// isolationLapsed reports whether the step no longer respects the isolation of other jobs: it has waited in a
// service that is mostly idle, or its tasks last. Crashes under one job may delay others, and do not keep them
// from workers with room.
func (s *Scheduler) isolationLapsed(st *step) bool {
	if st.rec.LongRunning {
		return s.now-st.waitingSince >= maxReservedWait
	}
	return s.reservationsLapsed(st)
}

// risky reports whether a run of another job on the worker is on probation, or whether it is kept free for one.
// Tasks that may be started there are started elsewhere if they can.
func (s *Scheduler) risky(w *worker, j *job) bool {
	if len(s.suspects) == 0 {
		return false
	}
	if w.keptFreeFor != nil && w.keptFreeFor.job != j {
		return true
	}
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.task.step.job != j && s.onProbation(r) })
}

// chooseClosed chooses the usable workers that runs on probation keep closed beyond strictProbation: those
// with the most crashes that speak against a task, and of these the ones where it was started last.
func (s *Scheduler) chooseClosed() {
	if len(s.suspects) == 0 {
		return
	}
	for _, w := range s.usableNow {
		w.keptClosed = false
	}
	runs := s.longProbations()
	if len(runs) == 0 {
		return
	}
	left := s.mostKeptClosed()
	for _, p := range runs {
		if w := p.run.worker; !w.keptClosed && left[w.entry.Service] > 0 {
			w.keptClosed = true
			left[w.entry.Service]--
		}
	}
}

// mostKeptClosed returns how many workers of each service may be kept closed.
func (s *Scheduler) mostKeptClosed() map[string]int {
	most := make(map[string]int)
	for _, w := range s.usableNow {
		most[w.entry.Service]++
	}
	for service, usable := range most {
		most[service] = max(1, usable/closedShare)
	}
	return most
}

// probation is a run on probation with what chooseClosed ranks it by.
type probation struct {
	run      *run
	evidence int
	goneOn   time.Duration
}

// longProbations returns the runs on probation beyond strictProbation, in the order of chooseClosed.
func (s *Scheduler) longProbations() []probation {
	var runs []probation
	for t := range s.suspects {
		r := t.run
		if r == nil || !s.usable(r.worker) || !s.onProbation(r) {
			continue
		}
		if goneOn := s.goneOnFor(r); goneOn >= strictProbation {
			runs = append(runs, probation{run: r, evidence: len(t.evidence()), goneOn: goneOn})
		}
	}
	slices.SortFunc(runs, func(a, b probation) int {
		return cmp.Or(cmp.Compare(b.evidence, a.evidence), cmp.Compare(a.goneOn, b.goneOn), compareByTask(a.run.task, b.run.task))
	})
	return runs
}

// closedUntil returns for which job a closed worker is closed to another one, and until when at the latest.
func (s *Scheduler) closedUntil(w *worker, j *job) (closedFor *job, until time.Duration) {
	if w.keptFreeFor != nil && w.keptFreeFor.job != j {
		until, _ = w.emptyAt(s.now)
		return w.keptFreeFor.job, until
	}
	for _, r := range w.runs {
		if r.task.step.job == j || !s.onProbation(r) {
			continue
		}
		if end := s.now + r.task.probation() - s.goneOnFor(r); end > until {
			closedFor, until = r.task.step.job, end
		}
	}
	return closedFor, until
}

// takes reports whether the worker takes a task of the step as far as isolation goes: if only
// isolated tasks of it wait, no other job may run there.
func (s *Scheduler) takes(w *worker, st *step) bool {
	return len(s.suspects) == 0 || !s.closed(w, st) && (s.moreRoomHelps(st) || w.onlyRuns(st.job))
}

// onlyRuns reports whether the worker has no run of a job but j.
func (w *worker) onlyRuns(j *job) bool {
	for _, r := range w.runs {
		if r.task.step.job != j {
			return false
		}
	}
	return true
}

// maxKeptFree is how many workers are kept free for isolated tasks at a time.
const maxKeptFree = 4

// keepWorkersFree keeps workers free for the isolated tasks of steps, in the order of urgency.
func (s *Scheduler) keepWorkersFree(byClass [][]*step) {
	if len(s.suspects) == 0 {
		return
	}
	left := maxKeptFree
	for _, steps := range byClass {
		for _, st := range steps {
			left -= s.keepFree(st, left)
		}
	}
}

// suspectWaits reports whether a task of the step waits for a worker without other jobs, or for
// the fate of workers that may have crashed under it.
func (s *Scheduler) suspectWaits(st *step) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && (s.held(t) || s.mustIsolate(t)) })
}

// anyStartable reports whether a task of the step waits for a worker.
func (s *Scheduler) anyStartable(st *step) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && !s.held(t) })
}

// moreRoomHelps reports whether a task of the step waits for room beside other jobs.
func (s *Scheduler) moreRoomHelps(st *step) bool {
	return slices.ContainsFunc(st.tasks, func(t *task) bool { return t.waiting() && !s.held(t) && !s.mustIsolate(t) })
}

// isolatedWaiting returns how many isolated tasks of the step can be started once a worker is
// free.
func (s *Scheduler) isolatedWaiting(st *step) int {
	n := 0
	if len(s.suspects) == 0 {
		return n
	}
	for _, t := range st.tasks {
		if t.waiting() && s.mustIsolate(t) && !s.held(t) {
			n++
		}
	}
	return n
}

// keepFree keeps the workers that become empty first free for the isolated tasks of a step, as
// many as they need, and at most the given number. It returns how many: none for a gang whose
// members do not all wait, or that is held, as an empty worker does not let it start.
func (s *Scheduler) keepFree(st *step, most int) int {
	kept := 0
	if st.rec.Gang && (!st.gangWaits() || slices.ContainsFunc(st.tasks, s.held)) {
		return kept
	}
	for need := s.isolatedWaiting(st); need > 0 && kept < most; kept++ {
		w := s.emptiestFor(st)
		if w == nil {
			break
		}
		w.keptFreeFor = st
		need -= timesIn(st.demand(), w.entry.Capacity)
	}
	return kept
}

// emptiestFor returns the worker for the step that becomes empty first, or one that was kept for
// it in the last pass, or nil if there is none.
func (s *Scheduler) emptiestFor(st *step) *worker {
	var (
		best   *worker
		bestAt time.Duration
	)
	for _, w := range s.usableNow {
		if w.keptFreeFor != nil || !s.suits(st, w) {
			continue
		}
		at, ends := w.emptyAt(s.now)
		if ends && w.wasKeptFreeFor == st {
			return w
		}
		if ends && (best == nil || at < bestAt) {
			best, bestAt = w, at
		}
	}
	return best
}

// emptyAt returns when the last run on the worker is expected to end. ends is false if a
// long-running task is there.
func (w *worker) emptyAt(now time.Duration) (at time.Duration, ends bool) {
	at = now
	for _, r := range w.runs {
		if r.task.step.rec.LongRunning {
			return 0, false
		}
		at = max(at, r.endsAt)
	}
	return at, true
}
