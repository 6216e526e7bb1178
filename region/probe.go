package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// probeWait is how long a worker may wait for the end of a run before it answers a
	// probe. A longer wait saves probes, a shorter one detects a lost worker sooner.
	probeWait = 700 * time.Millisecond
	// lossyWait replaces probeWait for a worker that did not answer a probe within the
	// last lossyWindow: where answers are lost, a short wait detects it sooner.
	lossyWait   = 150 * time.Millisecond
	lossyWindow = 5 * time.Second
	// probeGap is the shortest pause after an answered probe. It lets several ends share a
	// probe, which costs about 1% of a small task's worth. 100 ms are a sixth of the slack
	// of the shortest tasks. A day of low load has 11,300 probes with 60 ms and 9,100 with
	// 130 ms.
	probeGap = 100 * time.Millisecond
	// pausePerDelay times the mean delay of events in the leader is added to that pause,
	// up to maxProbePause. Probes are half of a leader's calls, and in a burst of work
	// starts and advice would wait behind them.
	pausePerDelay = 8
	maxProbePause = 300 * time.Millisecond
	// unackedProbePause is the pause after an answer with ends that the log does not commit. A
	// worker answers at once as long as it lists an end, so that a probe without the
	// acknowledgement tells nothing new. It leaves room for a second probe within shortLease.
	unackedProbePause = 400 * time.Millisecond
	// busyLink is the share of the leader's link in use above which the pause grows as
	// well. It reaches maxProbePause at fullLink, where starts and appends would wait
	// behind probes.
	busyLink = 0.5
	fullLink = 0.8
	// overfullLink is the share above which no task is started: the link is given more
	// than it carries, and lease renewals of running tasks would wait behind starts.
	overfullLink = 1.0
	// delaySamples is the number of ticks, of 20 ms each, in the running mean of the
	// delay of events.
	delaySamples = 16
	// probeRetry is the pause after a failed probe.
	probeRetry = 150 * time.Millisecond
	// maxClockAge is the largest age of a worker's clock reading from which a lease is computed.
	// After it, a clock that drifts may be off by a sixth of the shortest lease.
	maxClockAge = 10 * time.Second
	// maxEndsListed is the largest number of ends in one answer. A full list may be
	// truncated, so a run that it does not name may still have an end.
	maxEndsListed = 500
	// maxEndsKept is the number of listed ends from which a worker gets no start that could
	// be late: one defers acknowledgements, and the list would become full.
	maxEndsKept = maxEndsListed / 2
)

// probe sends a probe, which renews the worker's leases and reads which runs are running
// and which have ended. One probe at a time is in flight for a worker, so that answers
// arrive in order.
func (s *Scheduler) probe(w *worker, after time.Duration) {
	w.probeHeldAt = 0
	if w.probing || !s.leading() || w.incarnation.Address == "" || w.needsNoProbe() {
		return
	}
	request := model.ProbeRequest{Worker: w.ref(), Fence: s.fenceOf(w)}
	// After an unanswered probe, leases are not extended until the worker answers. Each
	// renewal may be executed late, so that the runs of a worker that does not come back
	// could never be declared lost. Such a probe renews and acknowledges nothing and only
	// shows whether the worker answers.
	if w.fenced && !w.probeMissed && s.now-w.clockAt <= maxClockAge && !s.awaitsBinding(w) {
		request.AckedUpTo = s.acknowledgement(w)
		request.Wait = probeWait
		if len(w.runs) > 0 {
			request.Wait = min(probeWait, s.leaseFor(w)/probesPerLease)
		}
		if s.now < w.lossyUntil {
			request.Wait = lossyWait
		}
		request.UntilMs = s.grantLease(w)
		w.grants.probeSent(request.Fence, s.now+after)
	}
	w.probing, w.probeSentAt = true, s.now+after
	s.emit(Probe{Request: request, After: after})
}

func (s *Scheduler) probeAnswered(ev ProbeAnswered) {
	w, known := s.workers[ev.Request.Worker.ID]
	if !known {
		s.readEndsElsewhere(ev)
		return
	}
	if ev.Verify {
		s.readEndsElsewhere(ev)
		s.verifyAnswered(w, ev)
		return
	}
	w.probing = false
	s.settleProbeGrant(w, ev.Err)
	if ev.Request.Worker.BornUnix != w.incarnation.BornUnix {
		s.emit(Count{Name: "probe_answers_passed_over"})
		s.readEndsElsewhere(ev)
		s.probe(w, 0)
		return
	}
	if ev.Err != CallOK {
		s.noteProbeFailed(w, ev)
	}
	switch ev.Err {
	case CallOK:
	case CallFenced:
		if ev.Request.Fence < s.fenceOf(w) {
			s.probe(w, 0)
			return
		}
		s.emit(StepDown{Worker: w.entry.ID})
		return
	case CallOtherIncarnation:
		w.unansweredAt = ev.SentAt
		s.otherIncarnation(w, ev.Request.Worker)
		s.probeAgain(w, probeRetry)
		return
	default:
		// Ends that the handshake listed are facts, whatever became of the probe. Whether it renewed
		// leases and acknowledged ends is not known, nor is what runs.
		s.readEnds(w, ev.Response.Ended)
		w.probeMissed = true
		if ev.Request.AckedUpTo > 0 {
			w.lostAckFence = ev.Request.Fence
		}
		w.unansweredAt = ev.SentAt
		w.lossyUntil = s.now + lossyWindow
		s.retryUnlisted(w, false)
		s.probeAgain(w, probeRetry)
		return
	}
	s.noteProbeAnswered(w, ev)
	newEnds := s.readProbe(w, ev)
	if w.probeMissed {
		w.probeMissed = false
		s.probeAgain(w, 0)
		return
	}
	if newEnds > 0 || w.ends.uncommitted() {
		s.probeAfterCommit(w)
		return
	}
	s.probeAgain(w, s.probePause())
}

// probeAfterCommit sends the next probe of a worker once the ends that it lists are in the log,
// so that the probe acknowledges them, or after unackedProbePause.
func (s *Scheduler) probeAfterCommit(w *worker) {
	w.probeHeldAt = s.now
	s.afterCommit(s.seq, func() { s.sendHeldProbe(w) })
}

// sendHeldProbe sends a probe that probeAfterCommit holds, after the rest of its pause.
func (s *Scheduler) sendHeldProbe(w *worker) {
	if w.probeHeldAt > 0 {
		s.probeAgain(w, max(0, s.probePause()-(s.now-w.probeHeldAt)))
	}
}

// sendOverdueProbes sends the probes that have been held for too long. Leases must be renewed
// although the log commits nothing.
func (s *Scheduler) sendOverdueProbes() {
	for i := len(s.active) - 1; i >= 0; i-- { // sendHeldProbe may remove the worker
		if w := s.active[i]; w.probeHeldAt > 0 && s.now-w.probeHeldAt >= unackedProbePause {
			s.sendHeldProbe(w)
		}
	}
}

// otherIncarnation ends the incarnation of a worker that was called after another one has
// answered in its place. If it was the newest known one, the worker gets no work until the host
// list has an entry of the new incarnation, which may differ in kind or size.
func (s *Scheduler) otherIncarnation(w *worker, called model.WorkerRef) {
	// Not those on earlier ones or elsewhere: the called one may be of an entry that names no worker.
	s.incarnationEnded(s.losses.byWorker[w.entry.ID], func(l *loss) bool { return l.ref == called })
	if called.BornUnix < w.incarnation.BornUnix {
		s.endRuns(w, func(r *run) bool { return r.ref.BornUnix <= called.BornUnix })
		return
	}
	w.succeeds = false
	if !w.fenced && !slices.ContainsFunc(w.runs, func(r *run) bool { return r.phase != phaseLateStart }) {
		s.noteReplaced(w) // its end is known already
		return
	}
	s.explain("", "another life answers for worker", Field{"worker", w.entry.ID}, Field{"runs_lost", len(w.runs)})
	s.awaitUnseen(w)
	s.incarnationReplaced(w)
}

// probePause returns the pause before the next probe of a worker.
func (s *Scheduler) probePause() time.Duration {
	const most = maxProbePause - probeGap
	crowded := min(max(s.linkLoad-busyLink, 0)/(fullLink-busyLink), 1)
	return probeGap + max(min(pausePerDelay*s.loopLag, most), time.Duration(crowded*float64(most)))
}

// probeAgain sends the next probe, or removes a worker that has left.
func (s *Scheduler) probeAgain(w *worker, after time.Duration) {
	if w.hasLeft() {
		s.forget(w)
		return
	}
	s.probe(w, after)
}

// readProbe applies an answered probe and returns how many ends it lists that were not known.
func (s *Scheduler) readProbe(w *worker, ev ProbeAnswered) (newEnds int) {
	w.clockMs, w.clockAt = ev.Response.ClockMs, s.now
	if !w.fenced && s.mayGrant(w) {
		w.fenced = true
		// Leases granted by an earlier leader end within the longest lease from now.
		w.leaseMs = max(w.leaseMs, ev.Response.ClockMs+s.opts.MaxLease.Milliseconds())
		s.dirty = true
	}
	w.probedAt = max(w.probedAt, ev.SentAt)
	w.silent, w.deferredSince = false, 0
	s.knownAnswered(w, ev.SentAt)
	s.noteDepartureByClock(w)
	s.inheritedReached(w)
	s.workerAnswered(w.ref())
	s.endPredecessors(w, ev.SentAt)
	w.endsListed = len(ev.Response.Ended)
	s.endsAcked += w.acknowledged(ev.Request)
	newEnds = s.readEnds(w, ev.Response.Ended)
	w.strays, w.unread = 0, false
	listed := make(map[model.TaskID]bool, len(ev.Response.Running))
	for _, row := range ev.Response.Running {
		listed[row.Task] = true
		s.readRunning(w, row, ev.SentAt)
	}
	if len(ev.Response.Ended) < maxEndsListed {
		s.endUnlisted(w, listed, ev.SentAt)
		s.retryUnlisted(w, true)
	}
	return newEnds
}

// readEnds applies listed ends and returns how many were not known.
func (s *Scheduler) readEnds(w *worker, ends []model.End) (newEnds int) {
	for _, e := range ends {
		if s.readEnd(w, e) {
			newEnds++
		}
	}
	return newEnds
}

// readEndsElsewhere remembers the ends as done that another incarnation of a worker lists than the one
// whose ends are applied, or a worker that was forgotten. What it lists is true, also if it is the last that
// is heard of it.
func (s *Scheduler) readEndsElsewhere(ev ProbeAnswered) {
	for _, e := range ev.Response.Ended {
		if s.rememberDone(e) {
			s.reportDeferred(ev.Request.Worker, e, deferredForIncarnation)
		}
	}
	s.applyDoneEnds()
}

// readEnd applies a listed end and reports whether it is applied now for the first time.
func (s *Scheduler) readEnd(w *worker, e model.End) bool {
	ends := w.ends
	if !ends.isNew(e.Number) {
		return false
	}
	if why := s.runEnded(w, e); why != "" {
		if ends.deferred(e.Number, s.now) {
			s.reportDeferred(w.ref(), e, why)
			s.rememberDone(e)
		}
		return false
	}
	if d := ends.applied(e.Number); d != nil {
		s.reportApplied(w.ref(), e, s.now-d.since)
	}
	s.afterCommit(s.seq, func() { ends.inLog(e.Number) })
	return true
}

// acknowledgement returns up to which end a probe acknowledges, or 0 for none.
//
// The guard is against a probe that is executed by the worker's next incarnation after a
// late start: it would acknowledge the end of that run, which was never read, and the task
// would run again. Therefore no probe acknowledges while a start may be late, and starts
// that are sent later have a higher fencing token (outdateAcks).
func (s *Scheduler) acknowledgement(w *worker) int64 {
	number := w.ends.unacked()
	if number == 0 || s.lateStartPossible(w) {
		return 0
	}
	w.ackFence = s.fenceOf(w)
	return number
}

// acknowledged records that a probe was answered, and returns how many ends it has acknowledged. It will
// not be executed again.
func (w *worker) acknowledged(probe model.ProbeRequest) (ends int64) {
	ends = w.ends.acknowledged(probe.AckedUpTo)
	if probe.AckedUpTo > 0 && probe.Fence == w.ackFence && w.lostAckFence != w.ackFence {
		w.ackFence = 0
	}
	return ends
}

// outdateAcks raises the worker's fencing token if a probe with the present one that
// acknowledges ends may still be executed. An incarnation that executes a start with the new
// one refuses the probe.
func (s *Scheduler) outdateAcks(w *worker) {
	if w.ackFence == s.fenceOf(w) {
		s.raiseFence(w)
	}
}

func (s *Scheduler) readRunning(w *worker, row model.Running, sentAt time.Duration) {
	t := s.findTask(row.Task)
	if t == nil || t.run == nil || t.run.number != row.Run || t.run.worker != w {
		w.strays++
		s.stopStray(w, row.RunID)
		return
	}
	r := t.run
	s.saveCheckpoint(t, s.checkpointToKeep(w, t, row.RunID, row.Checkpoint))
	r.lost = nil
	s.progress(r, row)
	s.acquit(r)
	r.listed = true
	r.calls.runListed()
	s.settleListed(r, sentAt)
	if r.phase == phaseLateStart {
		s.adopt(r)
	}
	if r.phase == phaseInherited || r.phase == phaseSending {
		s.confirm(r)
	}
	if t.knownDone() || t.step.job.ended() {
		s.stopRun(r, "job is over")
	}
}

// stopStray stops a run that is not wanted: its start was executed late, or its job has
// ended.
func (s *Scheduler) stopStray(w *worker, id model.RunID) {
	s.explain(id.Task.Job, "stray run stopped", Field{"worker", w.entry.ID}, Field{"run", id.Run}, Field{"step", id.Task.Step}, Field{"task", id.Task.Index})
	s.emit(Stop{Request: model.StopRequest{RunID: id, Worker: w.ref(), Fence: s.fenceOf(w)}})
}

// endUnlisted ends the runs that the answer to a probe does not list, if the probe was sent
// after they were settled. A member of a gang may be missing because the end of another
// member counts for all of them. The gang starts again only when every member has ended,
// and the end of the other member is applied first.
func (s *Scheduler) endUnlisted(w *worker, listed map[model.TaskID]bool, sentAt time.Duration) {
	for _, r := range w.sortedRuns() {
		if listed[r.task.id()] || !r.settledBefore(sentAt) {
			continue
		}
		r.lost = nil // the incarnation answers
		const why = "its worker does not list it"
		if r.phase == phaseLateStart {
			s.markLost(r, why)
			continue
		}
		s.abandon(r, why)
	}
}
