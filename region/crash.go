package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// maxOpenCrashes is how many workers may be down under a task, shown or not, before it is
	// started again: until the fate of the last ones is known (task.heldAt).
	maxOpenCrashes = 4
	// lossRetention is how long a lost run may turn out to have ended with a crash. Workers
	// that crash are back sooner.
	lossRetention = 30 * time.Second
	// minAcquittal is the shortest time for which a run goes on that shows that its task does
	// not crash workers.
	minAcquittal = 30 * time.Second
)

// mayHaveBegun reports whether the worker may have started the run, and it has not ended.
func (r *run) mayHaveBegun() bool { return r.phase != phaseLogging && !r.idle }

// seenRunning returns how long its worker has answered since it has begun the run.
func (r *run) seenRunning() time.Duration {
	if r.startedAt == 0 {
		return 0
	}
	return max(0, r.worker.probedAt-r.startedAt)
}

// ranUnderEarlierLeaders returns how long the run had been assigned when this leadership began.
//
// The guard is against a task that lasts and answers for a crash since this leader has hardly seen
// its run.
func (s *Scheduler) ranUnderEarlierLeaders(r *run) time.Duration {
	if r.assignedUnixMs == 0 {
		return 0
	}
	return max(0, time.Duration(s.leadSinceUnixMs-r.assignedUnixMs)*time.Millisecond)
}

// lossFrom describes the loss of a run that may have begun in the known incarnation of its
// worker, or returns nil if it has not, or if its loss there is known.
func (s *Scheduler) lossFrom(r *run) *loss {
	l := &loss{task: r.task, run: r.number, ref: r.ref, begun: r.begun, alone: true, at: s.now, lostAt: s.now}
	if r.phase == phaseLateStart && r.ref.BornUnix != r.worker.incarnation.BornUnix {
		if !s.mayStartLate(r) {
			return nil
		}
		l.ref, l.begun = r.worker.ref(), false // a late call may have started it there
	}
	if !r.mayHaveBegun() || r.endListedIn == l.ref.BornUnix || r.task.suspicion.hasRun(l.ref, l.run) {
		return nil
	}
	l.ran = r.seenRunning()
	for _, o := range r.worker.runs {
		if !o.mayHaveBegun() || o.task.step.job == r.task.step.job {
			continue
		}
		l.alone = false
		if l.ran >= minProbation && o.seenRunning() < minProbation {
			l.witness = true
		}
	}
	if r.task.step.rec.LongRunning {
		l.ran += s.ranUnderEarlierLeaders(r)
	}
	return l
}

// noteSilent notes the losses of the runs that may have begun on a worker which is silent. A
// worker that drains leaves, and does not crash.
func (s *Scheduler) noteSilent(w *worker) {
	if w.entry.Draining {
		return
	}
	for _, r := range w.runs {
		if r.lost == nil {
			r.lost = s.lossFrom(r)
		}
	}
}

// crashedRuns returns the losses of runs on a worker whose incarnation has ended without a
// drain.
func (s *Scheduler) crashedRuns(w *worker, runs []*run) (shown []*loss) {
	if w.entry.Draining {
		return nil
	}
	for _, r := range runs {
		r.lost = nil
		if l := s.lossFrom(r); l != nil {
			shown = append(shown, l)
		}
	}
	return shown
}

// crashesShown counts crashes against their tasks, and gives up tasks that crash the workers
// that start them.
//
// The guard is against a task that crashes one worker after another, and each time ends what
// else runs there. Only crashes count that a later incarnation of the worker, or a later worker
// at its address, has shown: a worker that is silent may be cut off and work on. A job that
// runs beside such a task is not given up with it, since from the second crash on each runs on
// workers without other jobs. Crashes in an outage of the rack do not count. A task that lasts is
// not given up, but started again after growing pauses.
func (s *Scheduler) crashesShown(losses []*loss) {
	slices.SortStableFunc(losses, compareLosses)
	for _, l := range losses {
		t := l.task
		if t.done || t.step.job.ended() {
			continue
		}
		s.noteShown(l)
		s.countCrash(l)
		s.judgeBeforeGivingUp(t)
		if !l.outage {
			s.recordCrashed(l)
		}
		s.explain(t.step.job.rec.Id, "worker crashed under run", Field{"worker", l.ref.ID}, Field{"step", t.step.index}, Field{"task", t.index},
			Field{"run", l.run}, Field{"begun", l.begun}, Field{"alone", l.alone}, Field{"witness", l.witness}, Field{"ran_ms", l.ran.Milliseconds()},
			Field{"crashes", len(t.suspicion.crashes)}, Field{"weight", weightOf(t.suspicion.crashes)},
			Field{"pause_ms", max(0, t.pausedUntil()-s.now).Milliseconds()})
	}
	for _, l := range losses {
		s.giveUpIfCrashing(l.task)
	}
}

// countCrash counts a crash against its task.
func (s *Scheduler) countCrash(l *loss) {
	t := l.task
	t.suspicion.crashes = append(t.suspicion.crashes, l)
	if n := len(t.suspicion.crashes) - maxCrashesKept; n > 0 && t.step.rec.LongRunning {
		t.suspicion.crashes = slices.Delete(t.suspicion.crashes, 0, n)
	}
	s.noteSuspect(t)
	s.emitCrash(l)
}

func (s *Scheduler) emitCrash(l *loss) {
	s.emit(CrashCounted{RunID: model.RunID{Task: l.task.id(), Run: l.run}, Worker: l.ref.ID, Alone: l.alone, Begun: l.begun, Outage: l.outage})
}

// isGivenUp reports whether the crashes of the task fail its job.
func (t *task) isGivenUp() bool {
	return !t.knownDone() && !t.step.rec.LongRunning && t.crashesWorkers()
}

// judgeBeforeGivingUp decides which crashes were outages before the job of their task fails.
func (s *Scheduler) judgeBeforeGivingUp(t *task) {
	if !t.isGivenUp() {
		return
	}
	for _, l := range slices.Clone(t.suspicion.crashes) {
		s.judge(l)
	}
}

// giveUpIfCrashing fails the job of a task that crashes the workers that start it.
func (s *Scheduler) giveUpIfCrashing(t *task) {
	if t.isGivenUp() {
		s.fail(t.step.job, t, failureCrashes)
	}
}

// addOpen adds a loss that may turn out to be a crash.
func (s *Scheduler) addOpen(l *loss) {
	l.task.suspicion.open = append(l.task.suspicion.open, l)
	s.losses.add(l)
	s.openLosses = append(s.openLosses, l)
	s.noteSuspect(l.task)
	if t := l.task; s.held(t) {
		s.explain(t.step.job.rec.Id, "task held: workers may have crashed under it", Field{"step", t.step.index}, Field{"task", t.index},
			Field{"lost", len(t.suspicion.open)}, Field{"crashes", len(t.suspicion.crashes)})
	}
}

// dropOpen removes a loss whose fate is known.
func (s *Scheduler) dropOpen(l *loss) {
	s.losses.remove(l)
	t := l.task
	t.suspicion.open = slices.DeleteFunc(t.suspicion.open, func(o *loss) bool { return o == l })
	s.noteSuspect(t)
	s.dirty = true
}

// workerAnswered drops the losses on an incarnation of a worker that answers: it has not
// crashed.
func (s *Scheduler) workerAnswered(ref model.WorkerRef) {
	for _, l := range slices.Clone(s.losses.byWorker[ref.ID]) {
		if l.ref.BornUnix == ref.BornUnix {
			s.dropOpen(l)
		}
	}
}

// incarnationEnded shows that the workers crashed under the losses for which isEnded holds.
func (s *Scheduler) incarnationEnded(ended []*loss, isEnded func(*loss) bool) {
	var shown []*loss
	for _, l := range slices.Clone(ended) {
		if isEnded(l) {
			s.dropOpen(l)
			shown = append(shown, l)
		}
	}
	s.crashesShown(shown)
}

// showCrashesBefore shows the crashes of the workers that an incarnation, which has answered,
// follows.
func (s *Scheduler) showCrashesBefore(ref model.WorkerRef) {
	if len(s.openLosses) == 0 {
		return
	}
	earlier := func(l *loss) bool { return l.ref.BornUnix < ref.BornUnix }
	s.incarnationEnded(s.losses.byWorker[ref.ID], earlier)
	s.incarnationEnded(s.losses.byAddress[ref.Address], earlier)
}

// expireLosses drops the losses whose workers were not heard of again.
func (s *Scheduler) expireLosses() {
	n := 0
	for n < len(s.openLosses) && s.now-s.openLosses[n].at > lossRetention {
		s.dropOpen(s.openLosses[n])
		n++
	}
	s.openLosses = s.openLosses[n:]
}

// acquit forgets the crashes of a task whose run goes on for much longer than those that ended
// with a crash.
func (s *Scheduler) acquit(r *run) {
	t := r.task
	if r.startedAt == 0 || !t.suspected() || s.now-r.startedAt < t.acquittal() {
		return
	}
	s.explain(t.step.job.rec.Id, "crashes forgotten", Field{"step", t.step.index}, Field{"task", t.index}, Field{"run", r.number},
		Field{"crashes", len(t.suspicion.crashes)})
	s.append(&record.Entry{Kind: &record.Entry_Acquitted{Acquitted: &record.Acquitted{Task: t.id().Record()}}})
	s.forgetCrashes(t)
}

// forgetCrashes drops what speaks for a task crashing workers.
func (s *Scheduler) forgetCrashes(t *task) {
	for _, l := range slices.Clone(t.suspicion.open) {
		s.dropOpen(l)
	}
	t.suspicion = suspicion{}
	s.noteSuspect(t)
}

// replayAcquitted applies a record of acquit.
//
// The guard is against a job that a new leader gives up for crashes that its predecessor has
// forgotten.
func (s *Scheduler) replayAcquitted(a *record.Acquitted) {
	if t := s.findTask(model.TaskIDOf(a.Task)); t != nil {
		s.forgetCrashes(t)
	}
}

// replayCrashed applies a record of crashesShown.
func (s *Scheduler) replayCrashed(e *record.Crashed) {
	t := s.findTask(model.TaskIDOf(e.Task))
	if t == nil || t.done {
		return
	}
	l := s.lossOf(t, e.Loss)
	for _, o := range slices.Clone(t.suspicion.open) {
		if o.sameAs(l) {
			s.dropOpen(o)
		}
	}
	t.suspicion.crashes = slices.DeleteFunc(t.suspicion.crashes, l.sameAs) // it is logged again if it was an outage
	s.replayCrash(l)
	s.giveUpIfCrashing(t)
}

// replayCrash counts a crash that an earlier leader has counted, and decides whether it was an outage
// if there was no time for that.
func (s *Scheduler) replayCrash(l *loss) {
	if !l.outage && s.now-l.lostAt < crashRetention {
		s.noteShown(l)
	}
	s.countCrash(l)
}

// replaySuspicion applies the crashes and losses in a snapshot of a task, which replace those in
// earlier records.
func (s *Scheduler) replaySuspicion(t *task, ts *record.TaskState) {
	for _, l := range slices.Clone(t.suspicion.open) {
		s.dropOpen(l)
	}
	t.suspicion.crashes = nil
	for _, l := range ts.Crashes {
		s.replayCrash(s.lossOf(t, l))
	}
	for _, l := range ts.Losses {
		s.addOpen(s.lossOf(t, l))
	}
}

func compareLosses(a, b *loss) int { return compareByTask(a.task, b.task) }

func compareByTask(a, b *task) int {
	x, y := a.id(), b.id()
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}
