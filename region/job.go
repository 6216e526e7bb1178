package region

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// job is one submission.
type job struct {
	rec           *record.Job
	acceptedAt    time.Duration // on the scheduler's clock
	writtenAt     time.Duration // when its newest complete record was written
	rewritten     bool          // it is on Scheduler.written
	notified      bool          // it was passed on by its host; its record is still to be read from the log
	inIntake      bool          // a record of its submission was read from the log
	outlived      bool          // records of it may expire later than the newest one of its end
	cancelled     bool
	failed        bool
	completed     bool           // an EndedJobs record says that every task is done
	failure       failure        // why it failed
	failedTask    *task          // the task that failed it; nil if an EndedJobs record says so
	failedWhy     string         // why it failed, from an EndedJobs record
	begun         bool           // a task of it has started
	queue         *queueEstimate // observed run times of its queue
	overShare     bool           // its workspace was above its share when the job arrived
	occs          []*occurrence  // those that are kept, in ascending order
	over          occurrenceSet  // of a periodic job, those of which only that they are over is kept
	objective     time.Duration  // of its newest occurrence
	nextOcc       int32          // first occurrence that has not been created
	remainingOccs int            // occurrences with tasks that are not done
	state         State          // last published
	pending       bool           // last published
	closed        bool           // its end may be shown
	endedAt       time.Duration
	memory        jobMemory
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	k     int32
	steps []*step
	open  int // tasks not done
}

// step is a set of identical tasks of one occurrence.
type step struct {
	job              *job
	occ              *occurrence
	index            int32
	rec              *record.Step
	request          model.Resources
	tasks            []*task
	open             int           // tasks not done
	ready            bool          // all steps that it depends on are done
	readyAt          time.Duration // when that became true
	latestStart      time.Duration // latest start that still meets the objective
	latestForCredit  time.Duration // latest start that still earns partial credit
	queued           bool          // on the ready list
	failedRun        int32         // of a gang: the newest run that has used up an attempt
	doneEnds         int           // tasks with a doneEnd
	advice           adviceState
	heldBy           string // why it could not start in the last pass that tried it; reported as held_by
	notUntil         time.Duration
	latencySensitive bool // as of the newest pass

	waitingSince time.Duration // since when it has a waiting task
	preemptedAt  time.Duration // when runs were last preempted for it

	nextPreemptSearch time.Duration // earliest next search of preemptForGang
	watched           bool          // it is on Scheduler.waits
	lookAt            time.Duration // when reportWaits looks at it next
	heldReportAt      time.Duration // when reportWaits logs next what holds it
	reportedSince     time.Duration // since when the task has waited that this is about
	widenedAt         time.Duration // when workers were last activated for it
	tooWideUntil      time.Duration // until when couldHold is false without another look
}

// task is one task of a step.
type task struct {
	step         *step
	index        int32
	done         bool
	attempts     int32         // runs that ended as failed
	lastRun      int32         // highest run number assigned
	endedRun     int32         // highest run number whose end was counted
	waitsSince   time.Duration // since when it has not run, if it has since its step was ready
	reportedRun  int32         // newest run of which a checkpoint that is not kept was reported
	checkpoint   string        // newest checkpoint that is kept
	suspicion    suspicion
	movedOffSlow bool          // it was moved off a slow worker once
	stalls       int           // runs of it that were stopped as they showed no progress
	run          *run          // run that may be alive; nil for none
	doneEnd      *doneEnd      // a run was read as done, and that is not applied yet; nil for none
	runTime      time.Duration // run time of the run that completed it
	ranOn        *worker       // worker of that run
}

func (t *task) id() model.TaskID {
	return model.TaskID{Job: t.step.job.rec.Id, Occurrence: t.step.occ.k, Step: t.step.index, Index: t.index}
}

// waiting reports whether the task has yet to be assigned.
func (t *task) waiting() bool { return !t.done && t.run == nil && t.doneEnd == nil }

func (j *job) ended() bool    { return j.cancelled || j.failed || j.complete() }
func (j *job) periodic() bool { return j.rec.RepeatCount > 0 }

// complete reports whether every task of every occurrence is done.
func (j *job) complete() bool {
	return j.completed || j.remainingOccs == 0 && j.nextOcc >= max(j.rec.RepeatCount, 1)
}

// intake applies records of accepted submissions and cancellations. The first record of
// an id counts; a repeated submission is ignored.
func (s *Scheduler) intake(ev IntakeRead) {
	for _, r := range ev.Records {
		switch k := r.Kind.(type) {
		case *record.Intake_Submitted:
			s.submitted(k.Submitted, ev.Notified)
		case *record.Intake_Cancelled:
			s.cancel(cancellationOf(k.Cancelled, r.CancelledBy))
		}
	}
}

func (s *Scheduler) submit(rec *record.Job) *job {
	if j, known := s.jobs[rec.Id]; known {
		return j
	}
	j := &job{rec: rec, queue: s.estimates.forQueue(rec.Queue), acceptedAt: s.acceptedAt(rec.AcceptedUnixMs)}
	j.writtenAt = j.acceptedAt
	if !s.leading() {
		j.writtenAt = s.writtenAt(rec.AcceptedUnixMs)
	}
	s.jobs[rec.Id] = j
	j.memory = newJobMemory(rec)
	s.rewriteLater(j)
	j.overShare = !s.shares.allow(s.share(rec.Workspace), rec.Workspace, j.acceptedAt)
	if j.periodic() {
		s.periodic = append(s.periodic, j)
	} else {
		s.addOccurrence(j)
	}
	s.countMemory(j)
	s.publish(j)
	s.cancelIfAsked(j)
	return j
}

// acceptedAt converts a time of day of the accepting host to the scheduler's clock.
// Clocks may step, so an age that is negative or beyond the log's retention counts as
// 0.
func (s *Scheduler) acceptedAt(unixMs int64) time.Duration {
	age := time.Duration(s.unixMs-unixMs) * time.Millisecond
	if s.unixMs == 0 || age < 0 || age > s.opts.LogRetention {
		age = 0
	}
	return s.now - age
}

// addOccurrence creates the next occurrence with its tasks.
func (s *Scheduler) addOccurrence(j *job) {
	occ := &occurrence{k: j.nextOcc}
	j.nextOcc++
	j.remainingOccs++
	j.occs = append(j.occs, occ)
	for i, rec := range j.rec.Steps {
		st := &step{job: j, occ: occ, index: int32(i), rec: rec, request: model.ResourcesOf(rec.Request), open: int(rec.Count)}
		st.tasks = make([]*task, rec.Count)
		for n := range st.tasks {
			st.tasks[n] = &task{step: st, index: int32(n)}
		}
		occ.steps = append(occ.steps, st)
		occ.open += st.open
	}
	s.setLatestStarts(j, occ)
	s.enqueueReadySteps(occ)
}

// enqueueReadySteps queues the steps whose dependencies are done.
func (s *Scheduler) enqueueReadySteps(occ *occurrence) {
	for _, st := range occ.steps {
		if st.open == 0 || st.job.ended() {
			continue
		}
		st.ready = true
		for _, d := range st.rec.DependsOn {
			if occ.steps[d].open > 0 {
				st.ready = false
			}
		}
		if st.ready {
			if st.readyAt == 0 {
				st.readyAt = s.now
			}
			s.enqueue(st)
		}
	}
}

// setLatestStarts computes the latest start of each step. A job's objective is its target
// latency plus stretch times its critical path, counted from its acceptance or, for one
// that runs at set times, from the creation of the occurrence. An end within
// partialCredit objectives still earns partial credit.
func (s *Scheduler) setLatestStarts(j *job, occ *occurrence) {
	criticalPath := make([]time.Duration, len(occ.steps)) // critical path from the start of each step to the end
	for i := len(occ.steps) - 1; i >= 0; i-- {
		own := j.runTime(occ.steps[i].rec)
		criticalPath[i] += own
		for _, d := range occ.steps[i].rec.DependsOn {
			criticalPath[d] = max(criticalPath[d], criticalPath[i])
		}
	}
	var longest time.Duration
	for _, c := range criticalPath {
		longest = max(longest, c)
	}
	objective := time.Duration(j.rec.Policy.GetStretch()*float64(longest)) +
		time.Duration(j.rec.Policy.GetTargetLatencyMs())*time.Millisecond
	j.objective = objective
	from := j.acceptedAt
	if j.periodic() {
		from = s.now
	}
	for i, st := range occ.steps {
		st.latestStart = from + objective - criticalPath[i]
		st.latestForCredit = from + partialCredit*objective - criticalPath[i]
	}
}

// partialCredit is how many objectives after its acceptance a job still earns partial
// credit.
const partialCredit = 3

// addDueOccurrences creates the occurrences that are due.
func (s *Scheduler) addDueOccurrences() {
	left := s.periodic[:0]
	for _, j := range s.periodic {
		for !j.ended() && j.nextOcc < j.rec.RepeatCount && s.unixMs >= j.dueUnixMs(j.nextOcc) {
			s.addOccurrence(j)
		}
		if !j.ended() && j.nextOcc < j.rec.RepeatCount {
			left = append(left, j)
		}
	}
	s.periodic = left
}

func (j *job) dueUnixMs(k int32) int64 { return j.rec.FirstRunUnixMs + int64(k)*j.rec.IntervalMs }

// outcomeToRecord returns the outcome under which an end is recorded. The ends of a cancelled
// job count for nothing: recorded as done or failed, they could complete or fail it for the
// next leader.
func (j *job) outcomeToRecord(outcome record.Outcome) record.Outcome {
	if j.cancelled && outcome != record.Outcome_OUTCOME_LOST {
		return record.Outcome_OUTCOME_STOPPED
	}
	return outcome
}

// failure is why a job failed.
type failure string

const (
	failureAttempts failure = "attempts used up"
	failureCrashes  failure = "it crashes the workers that start it"
)

// fail ends a job because of its task t.
func (s *Scheduler) fail(j *job, t *task, why failure) {
	if j.ended() {
		return
	}
	j.failed, j.failure, j.failedTask = true, why, t
	s.explain(j.rec.Id, "failed", Field{"why", string(why)}, Field{"step", t.step.index}, Field{"task", t.index}, Field{"attempts", t.attempts},
		Field{"crashes", len(t.suspicion.crashes)})
	s.emit(Count{Name: "jobs_failed", Why: string(why)})
	s.stopJob(j)
	s.jobEndedOnceCommitted(j)
}

// stopJob stops the remaining runs of a job that was cancelled or has failed. Those of earlier leaders
// are stopped when their workers list them: no call is made before leadership begins.
func (s *Scheduler) stopJob(j *job) {
	for _, occ := range j.occs {
		for _, st := range occ.steps {
			s.dequeue(st)
			for _, t := range st.tasks {
				if t.run != nil && s.leading() {
					s.stopRun(t.run, "job is over")
				}
			}
		}
	}
}

// jobEndedOnceCommitted publishes the end of a job once the end of the run that decided it is in
// the log: a state that callers have read must survive the loss of every host.
func (s *Scheduler) jobEndedOnceCommitted(j *job) {
	if !s.leading() {
		s.jobEnded(j)
		return
	}
	s.afterCommit(s.seq, func() { s.jobEnded(j) })
}

func (s *Scheduler) jobEnded(j *job) {
	if j.closed { // by an EndedJobs record
		return
	}
	if s.leading() && j.complete() && !j.failed && !j.cancelled {
		s.explain(j.rec.Id, "completed", Field{"after_ms", (s.now - j.acceptedAt).Milliseconds()},
			Field{"objective_ms", j.objective.Milliseconds()})
	}
	j.closed = true
	j.endedAt = s.now
	s.forgetSuspects(j)
	s.countMemory(j)
	s.finished = append(s.finished, j)
	s.publish(j)
}

// publish reports the job's state and whether it is pending if they changed, and in any case when
// leadership begins.
func (s *Scheduler) publish(j *job) {
	state, pending := j.currentState(), s.isPending(j)
	if state == j.state && pending == j.pending && s.now != s.leadSince {
		return
	}
	j.state, j.pending = state, pending
	s.emit(Publish{Job: j.rec.Id, Queue: j.rec.Queue, Workspace: j.rec.Workspace, State: state, Why: j.whyFailed(), Pending: pending})
}

// whyFailed returns why the job failed, or "" if it has not.
func (j *job) whyFailed() string {
	if !j.failed || j.failedTask == nil {
		return j.failedWhy
	}
	return fmt.Sprintf("task %d of step %d: %s", j.failedTask.index, j.failedTask.step.index, j.failure)
}

func (j *job) currentState() State {
	switch {
	case j.closed && j.cancelled:
		return StateCancelled
	case j.closed && j.failed:
		return StateFailed
	case j.closed:
		return StateCompleted
	case j.hasBegun():
		return StateRunning
	}
	return StateQueued
}

// taskDone marks a task done.
func (s *Scheduler) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	delete(s.suspects, t)
	st := t.step
	st.open--
	st.occ.open--
	if st.open > 0 {
		return
	}
	s.learnFromStep(st)
	s.dequeue(st)
	st.advice.marks, st.advice.eligible = nil, nil
	if st.occ.open > 0 {
		s.enqueueReadySteps(st.occ)
		return
	}
	j := st.job
	j.remainingOccs--
	s.forgetIfOver(st.occ)
	if !j.complete() || j.failed || j.cancelled {
		return
	}
	s.jobEndedOnceCommitted(j)
}

// hasBegun reports whether a task of the job has started. A run assigned by an earlier
// leader counts as started until its worker has answered.
func (j *job) hasBegun() bool { return j.begun || j.hasInheritedRun() }

func (j *job) hasInheritedRun() bool {
	return j.anyRun(func(r *run) bool { return r.phase == phaseInherited })
}

// retireJobs removes jobs whose state can no longer be queried and that are no longer submitted
// again.
func (s *Scheduler) retireJobs() {
	n := 0
	for n < len(s.finished) && s.now-s.finished[n].endedAt > max(2*s.opts.StatusRetention, repeatWindow) {
		j := s.finished[n]
		if j.anyRun(func(*run) bool { return true }) {
			break
		}
		delete(s.jobs, j.rec.Id)
		s.jobMemory -= j.memory.counted
		s.emit(Publish{Job: j.rec.Id, Queue: j.rec.Queue, State: StateUnknown})
		n++
	}
	s.finished = s.finished[n:]
	s.compacted = max(s.compacted-n, 0)
	for c, at := range s.cancelledEarly {
		if s.now-at > max(s.opts.StatusRetention, repeatWindow) {
			delete(s.cancelledEarly, c)
		}
	}
}

// countRuns returns how many runs of the job may be alive.
func (j *job) countRuns() int {
	n := 0
	j.anyRun(func(*run) bool { n++; return false })
	return n
}

// anyRun reports whether is holds for a run of the job that may be alive.
func (j *job) anyRun(is func(*run) bool) bool {
	for _, occ := range j.occs {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.run != nil && is(t.run) {
					return true
				}
			}
		}
	}
	return false
}
