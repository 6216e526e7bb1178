package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// stopRetry is the pause before a stop is sent again.
const stopRetry = 300 * time.Millisecond

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
	ticketAt         time.Duration // the ticket was issued before this time, or this leader's term if it is 0
	listed           bool          // its worker has listed it, or an end of it
	assigned         time.Duration
	startedAt        time.Duration // when the worker was known to have it
	endsAt           time.Duration // when it is expected to end
	leaseUntil       int64         // end of the lease that its start grants, on the worker's clock
	startUnanswered  bool          // a start got no answer and may still be executed
	settledAt        time.Duration // a probe sent later that does not list the run proves that it has ended; 0 if not settled
	startAttempts    int
	calls            startCalls
	awaitsProbe      bool  // a start got no answer; it is sent again if a probe does not list the run
	logged           bool  // its assignment is in the log
	pathUnchecked    bool  // its worker has yet to answer the call of checkPath
	idle             bool  // its end is deferred, and it does not use its room
	resumed          bool  // it starts from a checkpoint
	begun            bool  // its worker is known to have started it, or an earlier leader has sent its start
	endListedIn      int64 // birth of the incarnation that has listed an end of it which is deferred; 0 for none
	assignedUnixMs   int64 // when it was assigned, by the clock of its leader; 0 for unknown
	lost             *loss // what is known of its loss, while its worker is silent
	observed         observation
	reported         bool // its worker has reported its progress
	percent          int
	progressedAt     time.Duration // when percent last changed
}

// target returns the incarnation to which calls about the run are sent, at the address of the
// newest one: it answers there if the run's has ended.
func (r *run) target() model.WorkerRef {
	return model.WorkerRef{ID: r.ref.ID, Address: r.worker.incarnation.Address, BornUnix: r.ref.BornUnix}
}

// settledBefore reports whether a probe sent at sentAt that does not list the run proves
// that it has ended.
func (r *run) settledBefore(sentAt time.Duration) bool {
	if r.phase == phaseInherited {
		// The first probe has brought this leader's fencing token to the worker, which
		// refuses starts of earlier leaders since.
		return true
	}
	return r.settledAt > 0 && sentAt > r.settledAt || r.ticketOutlived()
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
	r.expectEnd(r.expectedEnd())
	s.useRoom(r)
	ws := t.step.job.rec.Workspace
	s.used[ws] = s.used[ws].Add(t.step.request)
}

// useRoom adds a run's resources to those in use on its worker.
func (s *Scheduler) useRoom(r *run) {
	r.worker.counts.add(r.latencySensitive, 1)
	r.worker.used = r.worker.used.Add(r.demand)
	r.worker.runsChanged()
}

// freeRoom reverses useRoom.
func (s *Scheduler) freeRoom(r *run) {
	r.worker.counts.add(r.latencySensitive, -1)
	r.worker.used = r.worker.used.Sub(r.demand)
	r.worker.runsChanged()
	s.dirty = true
}

// release reverses occupy for a run that has ended.
func (s *Scheduler) release(r *run) {
	t := r.task
	if t.run != r {
		return
	}
	s.setIdle(r, false)
	t.run = nil
	s.taskWaits(r)
	r.worker.runs = slices.DeleteFunc(r.worker.runs, func(o *run) bool { return o == r })
	delete(r.worker.pendingCalls, r.id())
	delete(r.worker.pendingCalls, r.pathCheckID())
	s.freeRoom(r)
	ws := t.step.job.rec.Workspace
	s.used[ws] = s.used[ws].Sub(t.step.request)
	s.forgetIfOver(t.step.occ)
}

// assign places a waiting task on a worker. The start is sent once the assignment is in the
// log, so that the next leader knows every run that may be alive.
func (s *Scheduler) assign(t *task, w *worker, number int32) {
	r := &run{task: t, number: number, worker: w, ref: w.ref(), phase: phaseLogging, assigned: s.now, assignedUnixMs: s.unixMs, resumed: t.checkpoint != ""}
	if mark := t.step.advice.mark(w); mark != nil {
		r.ticket, r.ticketAt = mark.ticket, mark.issuedBy
		r.calls.expireAt = t.step.ticketExpiry(mark.issuedBy)
	}
	s.occupy(r)
	s.pacer.tokens--
	t.lastRun = number
	if s.needsPathCheck(r) {
		r.pathUnchecked = true
		s.checkPath(r)
	}
	s.afterCommit(s.recordAssigned(r), func() {
		r.logged = true
		s.sendFirst(r)
	})
}

// sendFirst sends the first start of a run once its assignment is in the log and the path
// to its worker is checked.
func (s *Scheduler) sendFirst(r *run) {
	if r.task.run != r || r.phase != phaseLogging || !r.logged || r.pathUnchecked {
		return
	}
	if !s.withinCap(r.task.step, 0) && !r.gangSent() {
		s.abandon(r, "its workspace's cap was lowered")
		return
	}
	s.sendRecorded(r, 0)
}

// gangSent reports whether the run is a gang's and a start of another member was sent. That member
// would end if this one did not start.
func (r *run) gangSent() bool {
	return r.task.step.rec.Gang && slices.ContainsFunc(r.task.step.tasks, func(t *task) bool {
		return t.run != nil && t.run.phase != phaseLogging
	})
}

// recordAssigned appends the worker and its incarnation on which a run may be alive.
func (s *Scheduler) recordAssigned(r *run) int64 {
	return s.append(&record.Entry{Kind: &record.Entry_Assigned{Assigned: &record.Assigned{
		Task: r.task.id().Record(), Run: r.number, Worker: r.ref.ID, BornUnixMs: r.ref.BornUnix, Address: r.ref.Address,
		AssignedUnixMs: r.assignedUnixMs,
	}}})
}

// stopRun sends a stop for a run. Its room is released when the worker lists the end.
func (s *Scheduler) stopRun(r *run, why string) {
	if r.phase == phaseStopping || r.phase == phaseLateStart {
		return
	}
	s.explain(r.task.step.job.rec.Id, "run stopped", Field{"why", why}, Field{"worker", r.ref.ID}, Field{"born", r.ref.BornUnix},
		Field{"step", r.task.step.index}, Field{"task", r.task.index}, Field{"run", r.number}, Field{"phase", int(r.phase)},
		Field{"ran_ms", msSince(r.startedAt, s.now)}, Field{"resumed", r.resumed}, Field{"percent", r.percent})
	if r.phase == phaseLogging {
		s.abandon(r, why)
		return
	}
	s.taskWaits(r)
	r.phase = phaseStopping
	r.settledAt = 0
	s.sendStop(r, 0)
}

func (s *Scheduler) sendStop(r *run, after time.Duration) {
	s.outdateStarts(r)
	r.worker.pendingCalls.sent(r.id(), s.now+after)
	s.emit(Stop{After: after, Request: model.StopRequest{
		RunID: r.id(), Worker: r.target(), Fence: s.fenceOf(r.worker),
	}})
}

func (s *Scheduler) stopAnswered(ev StopAnswered) {
	s.callAnswered(ev.Request.Worker, ev.Request.RunID, ev.Err)
	if r := s.pathCheckedRun(ev.Request); r != nil {
		s.pathChecked(r, ev)
		return
	}
	r := s.currentRun(ev.Request.RunID, ev.Request.Worker)
	if r == nil || r.phase != phaseStopping {
		return
	}
	switch ev.Err {
	case CallOK, CallOldRun:
		r.settledAt = s.now
	case CallFenced:
		if ev.Request.Fence < s.fenceOf(r.worker) {
			s.sendStop(r, 0)
			return
		}
		s.emit(StepDown{Worker: r.ref.ID})
	case CallOtherIncarnation:
		s.otherIncarnation(r.worker, ev.Request.Worker)
	default:
		s.sendStop(r, stopRetry)
	}
}
