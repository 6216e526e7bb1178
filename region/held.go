package region

import (
	"container/heap"
	"time"
)

const (
	// firstHeldReport is how long a step waits until the reason is logged. Each further report comes
	// when the wait has doubled, so that a backlog writes few lines.
	firstHeldReport = 4 * time.Second
	// heldLooksPerTick bounds the steps that a tick looks at, and a tick logs one of them at most.
	heldLooksPerTick = 32
)

// waitCause is what a task waits for that no pass can give it. A task that waits for a place is held by
// what the newest pass found, step.heldBy.
type waitCause string

const (
	waitsInDoubt   waitCause = "run in doubt"   // a start of its last run may still be executed
	waitsStopping  waitCause = "run stopping"   // its last run is being stopped
	waitsInherited waitCause = "run inherited"  // the worker of its last run has not answered this leader
	waitsRecord    waitCause = "run recorded"   // its run is not sent before it is in the log and the path is checked
	waitsStart     waitCause = "start"          // its start has no answer yet
	waitsGang      waitCause = "gang"           // other members of its gang still run
	waitsDone      waitCause = "end deferred"   // a run of it was read as done, which cannot be applied yet
	waitsCrashes   waitCause = "crashes"        // workers may have crashed under it
	waitsPause     waitCause = "pause"          // it lasts, and workers have crashed under it
	waitsLog       waitCause = "log"            // nothing is assigned while the log commits nothing
	waitsDrains    waitCause = "drains unknown" // nothing is assigned while the drained zones are not known
	waitsConfig    waitCause = "configuration"  // nothing is assigned before one was read
	waitsUnqueued  waitCause = "not queued"     // no pass tries it: a fault of this scheduler
	waitsTurn      waitCause = "turn"           // no pass has tried it
)

// waitWatch holds the steps that may have waiting tasks, by when they are looked at next.
type waitWatch []*step

func (h waitWatch) Len() int           { return len(h) }
func (h waitWatch) Less(i, j int) bool { return h[i].lookAt < h[j].lookAt }
func (h waitWatch) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *waitWatch) Push(x any)        { *h = append(*h, x.(*step)) }
func (h *waitWatch) Pop() any {
	old := *h
	st := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return st
}

// watch lets the step be looked at once a task that waits from now on has waited for firstHeldReport.
func (s *Scheduler) watch(st *step) {
	if !s.leading() || st.watched {
		return
	}
	st.watched, st.lookAt = true, s.now+firstHeldReport
	heap.Push(&s.waits, st)
}

// watchInherited watches the steps that earlier leaders have left. Whether their runs are alive is
// not known before their workers answer.
func (s *Scheduler) watchInherited() {
	for _, w := range s.workerList {
		for _, r := range w.runs {
			r.task.waitsSince = s.now
			s.watch(r.task.step)
		}
	}
	for _, st := range s.ready.steps {
		s.watch(st)
	}
}

// taskWaits notes that the run of a task does not run any more, or is not known to.
func (s *Scheduler) taskWaits(r *run) {
	if t := r.task; r.begun && t.waitsSince <= r.startedAt {
		t.waitsSince = s.now
	}
	s.watch(r.task.step)
}

// waitsToRun reports whether the task is neither done nor known to run.
func (t *task) waitsToRun() bool {
	return !t.done && (t.run == nil || t.run.phase != phaseRunning)
}

// waitingFor returns how long the task has waited to run.
func (t *task) waitingFor(now time.Duration) time.Duration {
	if !t.waitsToRun() {
		return 0
	}
	return now - max(t.waitsSince, t.step.readyAt)
}

// reportWaits logs what the step waits for that has been due for longest.
func (s *Scheduler) reportWaits() {
	for range heldLooksPerTick {
		if len(s.waits) == 0 || s.waits[0].lookAt > s.now {
			return
		}
		st := s.waits[0]
		t, waited := st.longestWait(s.now)
		if t == nil || st.job.ended() {
			heap.Pop(&s.waits)
			st.watched = false
			continue
		}
		if since := s.now - waited; since != st.reportedSince {
			st.reportedSince, st.heldReportAt = since, since+firstHeldReport
		}
		due := s.now >= st.heldReportAt
		if due {
			st.heldReportAt = s.now + waited
		}
		st.lookAt = min(st.heldReportAt, s.now+firstHeldReport)
		heap.Fix(&s.waits, 0)
		if due {
			s.reportWait(st, t, waited)
			return
		}
	}
}

// longestWait returns the task of the step that has waited for longest to run, or nil if none waits. One
// that begins to wait now has waited for 0.
func (st *step) longestWait(now time.Duration) (longest *task, waited time.Duration) {
	for _, t := range st.tasks {
		if w := t.waitingFor(now); t.waitsToRun() && (longest == nil || w > waited) {
			longest, waited = t, w
		}
	}
	return longest, waited
}

// reportWait logs and counts what a task of the step waits for.
func (s *Scheduler) reportWait(st *step, t *task, waited time.Duration) {
	t, why, until := s.causeOfWait(t)
	s.emit(Count{Name: "steps_held", Why: why})
	fields := []Field{{"occurrence", st.occ.k}, {"step", st.index}, {"held_by", why}, {"waited_ms", waited.Milliseconds()}, {"class", int(s.classOf(st))},
		{"task", t.index}, {"waiting", st.countNotRunning()}}
	if t.run != nil {
		fields = append(fields, Field{"run", t.run.number}, Field{"worker", t.run.ref.ID}, Field{"looked_ms_ago", t.run.worker.probeAge(s.now).Milliseconds()})
	}
	if until > 0 {
		fields = append(fields, Field{"until_ms", (until - s.now).Milliseconds()})
	}
	if gang, workers := s.mostReservedFor(st); gang != nil {
		fields = append(fields, Field{"reserved_for", gang.job.rec.Id}, Field{"reserved_workers", workers})
	}
	if j, workers, opens := s.mostClosedFor(st); j != nil && why == reasonNames[rejectIsolation] {
		fields = append(fields, Field{"closed_for", j.rec.Id}, Field{"closed_workers", workers}, Field{"closed_ms", (opens - s.now).Milliseconds()})
	}
	s.explain(st.job.rec.Id, "step waits", fields...)
	if why == string(waitsUnqueued) {
		s.enqueue(st)
	}
}

func (st *step) countNotRunning() int {
	n := 0
	for _, t := range st.tasks {
		if t.waitsToRun() {
			n++
		}
	}
	return n
}

// causeOfWait returns what a task waits for, as held_by, the member of its gang that this is about, and
// until when at the latest, or 0 if that is not known.
func (s *Scheduler) causeOfWait(t *task) (*task, string, time.Duration) {
	if t.step.rec.Gang {
		t = s.memberAwaited(t)
	}
	if t.run != nil {
		why, until := s.causeOfRun(t.run)
		return t, string(why), until
	}
	switch {
	case t.knownDone():
		return t, string(waitsDone), 0
	case s.held(t):
		why, until := s.heldUntil(t)
		return t, string(why), until
	case !t.step.queued:
		return t, string(waitsUnqueued), 0
	}
	return t, s.causeOfPasses(t.step), 0
}

// memberAwaited returns the member for which the gang of a waiting task does not start: one whose run has
// not ended, or else one that is held, or the task itself.
func (s *Scheduler) memberAwaited(t *task) *task {
	awaited := t
	for _, m := range t.step.tasks {
		switch {
		case m.run == nil:
			if awaited.run == nil && s.held(m) && !s.held(awaited) {
				awaited = m
			}
		case awaited.run == nil, m.run.phase > max(awaited.run.phase, phaseRunning):
			awaited = m
		}
	}
	return awaited
}

// causeOfRun returns what the task of a run waits for that may be alive.
func (s *Scheduler) causeOfRun(r *run) (waitCause, time.Duration) {
	switch r.phase {
	case phaseLateStart:
		if r.endListedIn != 0 {
			return waitsDone, s.doubtEndsBy(r)
		}
		return waitsInDoubt, s.doubtEndsBy(r)
	case phaseStopping:
		return waitsStopping, r.worker.lapsesAt()
	case phaseInherited:
		return waitsInherited, r.worker.lapsesAt()
	case phaseLogging:
		return waitsRecord, 0
	case phaseSending:
		return waitsStart, 0
	}
	return waitsGang, 0
}

// doubtEndsBy returns when a run of awaitLateStart ends at the latest, if its worker does not answer.
func (s *Scheduler) doubtEndsBy(r *run) time.Duration {
	closed := r.settledAt
	if closed == 0 {
		closed = s.startsClosedAt(r)
	}
	return s.lateLeaseEnd(r, closed)
}

// heldUntil returns until when a task of held is not started.
func (s *Scheduler) heldUntil(t *task) (waitCause, time.Duration) {
	if t.step.rec.LongRunning {
		return waitsPause, t.pausedUntil()
	}
	until := s.now + lossRetention
	for _, l := range t.suspicion.open {
		if ends := l.lostAt + lossRetention; ends < until && !t.heldAt(ends+1) {
			until = ends
		}
	}
	return waitsCrashes, until
}

// causeOfPasses returns why the passes do not place a step that is on the ready list.
func (s *Scheduler) causeOfPasses(st *step) string {
	switch {
	case s.config == nil:
		return string(waitsConfig)
	case !s.leadershipConfirmed() || s.logStalled():
		return string(waitsLog)
	case !s.drainsConfirmed():
		return string(waitsDrains)
	case s.linkLoad > overfullLink:
		return heldByLink
	case st.heldBy == "":
		return string(waitsTurn)
	}
	return st.heldBy
}

// mostReservedFor returns the gang for which most of the workers that suit the step were reserved in
// the last pass, and how many; nil if none were reserved for others.
func (s *Scheduler) mostReservedFor(st *step) (*step, int) {
	if !st.queued {
		return nil, 0
	}
	counts := make(map[*step]int)
	var most *step
	for _, w := range s.usableNow {
		gang := w.reserved
		if gang == nil {
			gang = w.softReserved
		}
		if gang == nil || gang == st || !s.suits(st, w) {
			continue
		}
		counts[gang]++
		if most == nil || counts[gang] > counts[most] {
			most = gang
		}
	}
	return most, counts[most]
}

// mostClosedFor returns the job for which most of the workers that suit the step are closed to it, how many,
// and when the first of them opens at the latest; nil if none is closed.
func (s *Scheduler) mostClosedFor(st *step) (most *job, workers int, opens time.Duration) {
	counts, first := make(map[*job]int), make(map[*job]time.Duration)
	for _, w := range s.usableNow {
		if !s.suits(st, w) || !s.closed(w, st) {
			continue
		}
		j, until := s.closedUntil(w, st.job)
		if counts[j] == 0 || until < first[j] {
			first[j] = until
		}
		counts[j]++
		if most == nil || counts[j] > counts[most] {
			most = j
		}
	}
	return most, counts[most], first[most]
}
