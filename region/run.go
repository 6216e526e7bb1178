package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// maxStartAttempts is how often a start is sent without an answer before the run is
	// stopped instead.
	maxStartAttempts = 4
	// startRetry is the pause before a start is sent again.
	startRetry = 30 * time.Millisecond
	// stopRetry is the pause before a stop is sent again.
	stopRetry = 300 * time.Millisecond
)

// phase is the state of a run.
type phase int

const (
	phaseLogging   phase = iota // its record is being appended to the log
	phaseSending                // its start call is in flight
	phaseRunning                // the worker has it
	phaseStopping               // a stop call is in flight
	phaseInherited              // an earlier leader assigned it
	phaseLateStart              // ended, unless a start call is still executed
)

// run is one run of a task that may be alive.
type run struct {
	task             *task
	number           int32
	worker           *worker
	ref              model.WorkerRef // the worker, and its incarnation, that it was assigned to
	phase            phase
	demand           model.Resources
	latencySensitive bool // counted as latency-sensitive in its worker's runCounts
	ticket           string
	assigned         time.Duration
	startedAt        time.Duration // when the worker was known to have it
	endsAt           time.Duration // when it is expected to end
	leaseUntil       int64         // end of the lease that its start grants, on the worker's clock
	startUnanswered  bool          // a start got no answer and may still be executed
	settledAt        time.Duration // a probe sent later that does not list the run proves that it has ended; 0 if not settled
	startAttempts    int
	calls            startCalls
	percent          int
	progressedAt     time.Duration // when percent last changed
}

// target returns the worker to which calls about the run are sent. The address is that of
// the worker's entry, which may be read only after the run was inherited.
func (r *run) target() model.WorkerRef {
	return model.WorkerRef{ID: r.ref.ID, Address: r.worker.entry.Address, BornUnix: r.ref.BornUnix}
}

// settledBefore reports whether a probe sent at sentAt that does not list the run proves
// that it has ended.
func (r *run) settledBefore(sentAt time.Duration) bool {
	if r.phase == phaseInherited {
		// The first probe has brought this leader's fencing token to the worker, which
		// refuses starts of earlier leaders since.
		return true
	}
	return r.settledAt > 0 && sentAt > r.settledAt
}

func (r *run) id() model.RunID { return model.RunID{Task: r.task.id(), Run: r.number} }

// sortedRuns returns the runs of a worker in a stable order.
func (w *worker) sortedRuns() []*run {
	out := slices.Clone(w.runs)
	slices.SortFunc(out, func(a, b *run) int {
		x, y := a.task.id(), b.task.id()
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence),
			cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
	return out
}

// demand returns the resources that a task of the step reserves on a worker. A step with
// Fills reserves no CPU and uses what others leave idle.
func (st *step) demand() model.Resources {
	r := st.request
	if st.rec.Fills {
		r.MilliCPU = 0
	}
	return r
}

// occupy counts a run and its resources on its worker and in its workspace.
func (s *Scheduler) occupy(r *run) {
	t := r.task
	r.demand = t.step.demand()
	t.run = r
	r.worker.runs = append(r.worker.runs, r)
	r.latencySensitive = s.latencySensitive(t.step)
	r.worker.counts.add(r.latencySensitive, 1)
	r.endsAt = r.expectedEnd()
	r.worker.used = r.worker.used.Add(r.demand)
	ws := t.step.job.rec.Workspace
	s.used[ws] = s.used[ws].Add(t.step.request)
}

// release reverses occupy for a run that has ended.
func (s *Scheduler) release(r *run) {
	t := r.task
	if t.run != r {
		return
	}
	t.run = nil
	r.worker.runs = slices.DeleteFunc(r.worker.runs, func(o *run) bool { return o == r })
	r.worker.counts.add(r.latencySensitive, -1)
	delete(r.worker.pendingCalls, r.id())
	r.worker.used = r.worker.used.Sub(r.demand)
	ws := t.step.job.rec.Workspace
	s.used[ws] = s.used[ws].Sub(t.step.request)
	s.dirty = true
}

// assign places a waiting task on a worker. The start is sent once the assignment is in the
// log, so that the next leader knows every run that may be alive.
func (s *Scheduler) assign(t *task, w *worker, number int32) {
	r := &run{task: t, number: number, worker: w, ref: w.ref(), phase: phaseLogging, assigned: s.now}
	if mark := t.step.advice.mark(w); mark != nil {
		r.ticket = mark.ticket
	}
	s.occupy(r)
	s.pacer.tokens--
	t.lastRun = number
	s.afterCommit(s.recordAssigned(r), func() { s.sendStart(r, 0) })
}

// recordAssigned appends the worker and its incarnation on which a run may be alive.
func (s *Scheduler) recordAssigned(r *run) int64 {
	return s.append(&record.Entry{Kind: &record.Entry_Assigned{Assigned: &record.Assigned{
		Task: r.task.id().Record(), Run: r.number, Worker: r.ref.ID, BornUnixMs: r.ref.BornUnix,
	}}})
}

// sendStart sends the start of a run. A retry grants the lease of the first attempt: on a
// worker that does not answer, each longer lease would defer the time at which the run is
// known to have ended.
func (s *Scheduler) sendStart(r *run, after time.Duration) {
	if r.task.run != r || (r.phase != phaseLogging && r.phase != phaseSending) {
		return
	}
	// The append may have taken longer than the ticket is valid, and the worker would
	// refuse the start.
	if r.phase == phaseLogging && !r.task.step.ticketHolds(r.worker, s.now) {
		s.abandon(r, "its ticket expired before its record was kept")
		return
	}
	if r.leaseUntil == 0 {
		r.leaseUntil = s.grantLease(r.worker)
	}
	if r.leaseUntil == 0 {
		s.abortStart(r, "the log was not reached lately")
		return
	}
	r.phase = phaseSending
	r.startAttempts++
	r.calls.sent(s.now + after)
	r.worker.pendingCalls.sent(r.id(), s.now+after)
	s.emit(Start{After: after, Request: model.StartRequest{
		RunID:  r.id(),
		Worker: r.target(), Spec: r.task.step.job.rec.Spec, Checkpoint: r.task.checkpoint,
		Ticket: r.ticket, UntilMs: r.leaseUntil, Fence: s.fenceOf(r.worker),
	}})
}

// currentRun returns the run that an answer is about, or nil if it is no longer the task's
// run on that worker.
func (s *Scheduler) currentRun(id model.RunID, ref model.WorkerRef) *run {
	t := s.findTask(id.Task)
	if t == nil || t.run == nil || t.run.number != id.Run || t.run.ref.ID != ref.ID {
		return nil
	}
	return t.run
}

func (s *Scheduler) startAnswered(ev StartAnswered) {
	s.callAnswered(ev.Request.Worker, ev.Request.RunID, ev.Err)
	r := s.currentRun(ev.Request.RunID, ev.Request.Worker)
	if r == nil {
		return
	}
	if ev.Err == CallFenced && ev.Request.Fence == s.fenceOf(r.worker) {
		s.emit(StepDown{Worker: r.ref.ID})
		return
	}
	if r.phase == phaseLateStart && ev.Err == CallOK {
		return // a later incarnation has the run, and a probe will list it
	}
	r.calls.answered(ev.Err)
	if r.phase != phaseSending {
		if ev.Err == CallOK && r.phase == phaseRunning {
			r.settledAt = s.now
			s.recordSettled(r)
		}
		return
	}
	switch ev.Err {
	case CallOK:
		s.confirm(r)
		r.settledAt = s.now
	case CallOldRun:
		r.settledAt = s.now
	case CallNoAnswer:
		r.startUnanswered = true
		s.retryStart(r)
	case CallNotSent:
		s.retryStart(r)
	case CallLeaseExpired:
		r.leaseUntil = 0
		s.retryStart(r)
	case CallOtherIncarnation, CallFenced:
		s.otherIncarnation(r.worker)
	case CallRefused:
		r.worker.pausedUntil = s.now + unhealthyPause
		r.worker.health.refused(s.now)
		s.abortStart(r, "its worker refused")
	case CallNoRoom:
		r.worker.pausedUntil = s.now + unhealthyPause
		s.abortStart(r, "its worker had no room")
	case CallNoTicket:
		r.task.step.advice.expire(r.worker)
		s.abortStart(r, "the ticket did not hold")
	}
}

func (s *Scheduler) retryStart(r *run) {
	if r.startAttempts < maxStartAttempts {
		s.sendStart(r, startRetry)
		return
	}
	r.worker.pausedUntil = s.now + unhealthyPause
	s.abortStart(r, "its worker did not answer")
}

// confirm marks the run as running on its worker.
func (s *Scheduler) confirm(r *run) {
	r.phase = phaseRunning
	r.startedAt = s.now
	r.endsAt = r.expectedEnd()
	r.progressedAt = s.now
	if r.settledAt == 0 {
		r.settledAt = s.now
	}
	s.recordSettled(r)
	j := r.task.step.job
	if !j.begun {
		j.begun = true
		s.publish(j)
	}
}

// abortStart ends a run that did not start. If a start call may still be executed, the run
// is stopped instead: after a stop, the worker refuses a late start of the run. The other
// members of a gang are stopped at once. Otherwise they would wait, and keep their room,
// until the stop is settled.
func (s *Scheduler) abortStart(r *run, why string) {
	if r.startUnanswered {
		s.stopRun(r, why)
		s.stopOtherMembers(r.task, r.number)
		return
	}
	s.abandon(r, why)
}

// stopRun sends a stop for a run. Its room is released when the worker lists the end.
func (s *Scheduler) stopRun(r *run, why string) {
	if r.phase == phaseStopping || r.phase == phaseLateStart {
		return
	}
	s.explain(r.task.step.job.rec.Id, "run stopped", Field{"why", why}, Field{"worker", r.ref.ID},
		Field{"step", r.task.step.index}, Field{"task", r.task.index}, Field{"run", r.number})
	if r.phase == phaseLogging {
		s.abandon(r, why)
		return
	}
	r.phase = phaseStopping
	r.settledAt = 0
	s.sendStop(r, 0)
}

func (s *Scheduler) sendStop(r *run, after time.Duration) {
	r.worker.pendingCalls.sent(r.id(), s.now+after)
	s.emit(Stop{After: after, Request: model.StopRequest{
		RunID: r.id(), Worker: r.target(), Fence: s.fenceOf(r.worker),
	}})
}

func (s *Scheduler) stopAnswered(ev StopAnswered) {
	s.callAnswered(ev.Request.Worker, ev.Request.RunID, ev.Err)
	r := s.currentRun(ev.Request.RunID, ev.Request.Worker)
	if r == nil || r.phase != phaseStopping {
		return
	}
	switch ev.Err {
	case CallOK, CallOldRun:
		r.settledAt = s.now
	case CallFenced:
		s.emit(StepDown{Worker: r.ref.ID})
	case CallOtherIncarnation:
		s.otherIncarnation(r.worker)
	default:
		s.sendStop(r, stopRetry)
	}
}
