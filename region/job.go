package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// job is one submission.
type job struct {
	rec        *record.Job
	acceptedAt time.Duration // on our clock
	writtenAt  time.Duration // when its newest whole record was written
	cancelled  bool
	failed     bool
	begun      bool           // a task has started
	queue      *queueEstimate // what its queue's tasks take
	excess     bool           // its workspace sent more than its share when it came
	occs       []*occurrence
	objective  time.Duration // of its newest occurrence
	nextOcc    int32         // first occurrence that has not been created
	openOccs   int           // occurrences with tasks that are not done
	state      State         // last published
	endedAt    time.Duration
}

// occurrence is one time that a job's steps run.
type occurrence struct {
	k     int32
	steps []*step
	open  int // tasks not done
}

// step is a set of equal tasks of one occurrence.
type step struct {
	job      *job
	occ      *occurrence
	index    int32
	rec      *record.Step
	request  model.Resources
	tasks    []*task
	open     int           // tasks not done
	started  bool          // all steps before it are done
	openAt   time.Duration // when that was
	key      time.Duration // latest start that still meets the objective
	lateAt   time.Duration // a start after this earns nothing more
	queued   bool          // on the ready list
	advice   adviceState
	blocked  string // what held it back at the last look
	notUntil time.Duration
	pressing bool // as of the newest pass

	waitsFrom  time.Duration // since when a task of it waits
	madeRoomAt time.Duration // when work was last stopped for it
}

// task is one task of a step.
type task struct {
	step       *step
	index      int32
	done       bool
	attempts   int32         // ends that counted as failed
	lastRun    int32         // highest run assigned
	endedRun   int32         // highest run whose end was counted
	checkpoint string        // newest saved progress
	crawled    bool          // it was moved away from a slow worker once
	run        *run          // what may be alive; nil if nothing is
	ran        time.Duration // how long the run took that was done
	ranOn      *worker       // where
}

func (t *task) id() model.TaskID {
	return model.TaskID{Job: t.step.job.rec.Id, Occurrence: t.step.occ.k, Step: t.step.index, Index: t.index}
}

// waiting reports whether the task is to be started.
func (t *task) waiting() bool { return !t.done && t.run == nil }

func (j *job) over() bool  { return j.cancelled || j.failed || j.complete() }
func (j *job) timed() bool { return j.rec.RepeatCount > 0 }

// complete reports whether every task of every occurrence is done.
func (j *job) complete() bool { return j.openOccs == 0 && j.nextOcc >= max(j.rec.RepeatCount, 1) }

// intake applies records that hosts have accepted. The first record of an id
// counts; repeats of a submission are one job.
func (s *Scheduler) intake(records []*record.Intake) {
	for _, r := range records {
		switch k := r.Kind.(type) {
		case *record.Intake_Submitted:
			s.submit(k.Submitted)
		case *record.Intake_Cancelled:
			s.cancel(k.Cancelled)
		}
	}
}

func (s *Scheduler) submit(rec *record.Job) *job {
	if j, known := s.jobs[rec.Id]; known {
		return j
	}
	j := &job{rec: rec, queue: s.estimates.of(rec.Queue), acceptedAt: s.acceptedAt(rec.AcceptedUnixMs)}
	j.writtenAt = j.acceptedAt
	s.jobs[rec.Id] = j
	s.written = append(s.written, j)
	j.excess = !s.shares.take(s.share(rec.Workspace), rec.Workspace, j.acceptedAt)
	if j.timed() {
		s.timed = append(s.timed, j)
	} else {
		s.addOccurrence(j)
	}
	s.publish(j)
	if _, early := s.cancelledEarly[rec.Id]; early {
		delete(s.cancelledEarly, rec.Id)
		s.cancel(rec.Id)
	}
	return j
}

// acceptedAt converts a time of day of the accepting host to our clock. Clocks
// step, so an age beyond what the log can hold is not believed.
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
	j.openOccs++
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
	s.setUrgency(j, occ)
	s.openSteps(occ)
}

// openSteps queues the steps whose predecessors are done.
func (s *Scheduler) openSteps(occ *occurrence) {
	for _, st := range occ.steps {
		if st.open == 0 || st.job.over() {
			continue
		}
		st.started = true
		for _, d := range st.rec.DependsOn {
			if occ.steps[d].open > 0 {
				st.started = false
			}
		}
		if st.started {
			if st.openAt == 0 {
				st.openAt = s.now
			}
			s.enqueue(st)
		}
	}
}

// setUrgency works out how late each step may start: the objective is stretch
// times the longest chain of work from the job's acceptance, and up to three
// times the objective still earns a part.
func (s *Scheduler) setUrgency(j *job, occ *occurrence) {
	chain := make([]time.Duration, len(occ.steps)) // longest chain from the start of each step to the end
	for i := len(occ.steps) - 1; i >= 0; i-- {
		own := j.runTime(occ.steps[i].rec)
		chain[i] += own
		for _, d := range occ.steps[i].rec.DependsOn {
			chain[d] = max(chain[d], chain[i])
		}
	}
	var longest time.Duration
	for _, c := range chain {
		longest = max(longest, c)
	}
	objective := time.Duration(j.rec.Policy.GetStretch()*float64(longest)) +
		time.Duration(j.rec.Policy.GetTargetLatencyMs())*time.Millisecond
	j.objective = objective
	from := j.acceptedAt
	if j.timed() {
		from = s.now
	}
	for i, st := range occ.steps {
		st.key = from + objective - chain[i]
		st.lateAt = from + partialCredit*objective - chain[i]
	}
}

// partialCredit is how many objectives after its acceptance a job still earns
// a part of its worth.
const partialCredit = 3

// startOccurrences creates the occurrences that are due.
func (s *Scheduler) startOccurrences() {
	left := s.timed[:0]
	for _, j := range s.timed {
		for !j.over() && j.nextOcc < j.rec.RepeatCount && s.unixMs >= j.dueUnixMs(j.nextOcc) {
			s.addOccurrence(j)
		}
		if !j.over() && j.nextOcc < j.rec.RepeatCount {
			left = append(left, j)
		}
	}
	s.timed = left
}

func (j *job) dueUnixMs(k int32) int64 { return j.rec.FirstRunUnixMs + int64(k)*j.rec.IntervalMs }

// cancel ends a job at its caller's wish.
func (s *Scheduler) cancel(id string) {
	j, known := s.jobs[id]
	if !known {
		// The cancellation has overtaken the submission, which lies in another
		// partition of the log.
		s.cancelledEarly[id] = s.now
		return
	}
	if j.over() {
		return
	}
	j.cancelled = true
	s.explain(id, "cancelled", Field{"queue", j.rec.Queue})
	s.close(j)
}

// fail ends a job one of whose tasks has used up its attempts.
func (s *Scheduler) fail(j *job, t *task) {
	if j.over() {
		return
	}
	j.failed = true
	s.explain(j.rec.Id, "failed", Field{"step", t.step.index}, Field{"task", t.index}, Field{"attempts", t.attempts})
	s.close(j)
}

// close stops whatever of a finished job may still run.
func (s *Scheduler) close(j *job) {
	for _, occ := range j.occs {
		for _, st := range occ.steps {
			s.dequeue(st)
			for _, t := range st.tasks {
				if t.run != nil {
					s.stopRun(t.run, "job is over")
				}
			}
		}
	}
	s.jobEnded(j)
}

func (s *Scheduler) jobEnded(j *job) {
	j.endedAt = s.now
	s.finished = append(s.finished, j)
	s.publish(j)
}

// publish tells the job's state if it changed.
func (s *Scheduler) publish(j *job) {
	state := j.currentState()
	if state == j.state && s.now != s.leadSince {
		return
	}
	j.state = state
	s.emit(Publish{Job: j.rec.Id, Queue: j.rec.Queue, Workspace: j.rec.Workspace, State: state, Timed: j.timed()})
}

func (j *job) currentState() State {
	switch {
	case j.cancelled:
		return StateCancelled
	case j.failed:
		return StateFailed
	case j.complete():
		return StateCompleted
	case j.hasBegun():
		return StateRunning
	}
	return StateQueued
}

// taskDone marks a task done, and its job complete once the end is kept: a
// state that callers have read must survive the loss of every host.
func (s *Scheduler) taskDone(t *task) {
	if t.done {
		return
	}
	t.done = true
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
		s.openSteps(st.occ)
		return
	}
	j := st.job
	j.openOccs--
	if !j.complete() || j.failed || j.cancelled {
		return
	}
	if !s.leading() {
		s.jobEnded(j)
		return
	}
	s.afterKept(s.seq, func() {
		s.explain(j.rec.Id, "completed", Field{"after_ms", (s.now - j.acceptedAt).Milliseconds()},
			Field{"objective_ms", j.objective.Milliseconds()})
		s.jobEnded(j)
	})
}

// hasBegun reports whether a task of the job has started. What an earlier leader assigned
// counts until its worker has answered.
func (j *job) hasBegun() bool {
	return j.begun || j.anyRun(func(r *run) bool { return r.phase == phaseInherited })
}

// retireJobs forgets jobs whose state need not be answered any more. Late
// repeats of a submission come within seconds, long before.
func (s *Scheduler) retireJobs() {
	n := 0
	for n < len(s.finished) && s.now-s.finished[n].endedAt > 2*s.opts.StatusKept {
		j := s.finished[n]
		if j.anyRun(func(*run) bool { return true }) {
			break
		}
		delete(s.jobs, j.rec.Id)
		s.emit(Publish{Job: j.rec.Id, Queue: j.rec.Queue, State: StateUnknown})
		n++
	}
	s.finished = s.finished[n:]
	for id, at := range s.cancelledEarly {
		if s.now-at > s.opts.StatusKept {
			delete(s.cancelledEarly, id)
		}
	}
}

// anyRun reports whether one of the job's runs that may be alive is of that kind.
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
