package engine

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/work"
)

// proposal handles the result of a record proposed to the log. Exactly one of
// effective and void is called. undecided may be called before either of them,
// when the log has not answered in time.
type proposal interface {
	effective(e *Engine, late bool)
	void(e *Engine, ev jobs.Void)
	undecided(e *Engine)
}

// sentProposal is a proposal and its record.
type sentProposal struct {
	proposal
	body jobs.Record
}

// propose proposes a record to the owner of the zone's stream. A zero deadline
// means none.
func (e *Engine) propose(p proposal, body jobs.Record, deadline time.Duration) {
	e.proposalID++
	e.proposals[e.proposalID] = sentProposal{proposal: p, body: body}
	e.stepOwner(jobs.Propose{ID: e.proposalID, Body: body, Deadline: deadline})
}

// recordsEnd reports whether a proposal records the end of an attempt or a job.
// No caller retries such a record, so it must not be dropped while this host
// owns the stream.
func recordsEnd(p proposal) bool {
	switch p.(type) {
	case *ending, *jobEnding, *resolution, *droppedAttempt:
		return true
	}
	return false
}

// voided handles a proposal that had no effect.
//
// While the log is slow, the owner refuses proposals over its bound. If the end
// of an attempt were dropped then, its resources, its limit units and its job
// would stay in use forever. Such a record is therefore proposed again until it
// takes effect or another host owns the stream.
func (e *Engine) voided(p sentProposal, ev jobs.Void) {
	if ev.Reason == jobs.VoidFull && recordsEnd(p.proposal) {
		e.refusedEnds = append(e.refusedEnds, p)
		return
	}
	p.void(e, ev)
}

// maxEndsPerTick is the maximum number of refused ends proposed again per tick.
const maxEndsPerTick = 1024

// retryEnds proposes refused ends again.
func (e *Engine) retryEnds() {
	n := min(len(e.refusedEnds), maxEndsPerTick)
	due := e.refusedEnds[:n:n]
	e.refusedEnds = e.refusedEnds[n:]
	for _, p := range due {
		e.propose(p.proposal, p.body, 0)
	}
}

func (e *Engine) stepOwner(ev stream.Event) {
	e.ownerPump.run(e.owner.Step(e.now, ev), e.ownerCommand)
}

func (e *Engine) ownerCommand(cmd stream.Command) {
	switch cmd := cmd.(type) {
	case jobs.Append:
		e.emit(AppendGroup{Append: cmd})
	case jobs.Read:
		e.emit(ReadStream{Read: cmd})
	case jobs.Effective:
		if p, ok := e.takeProposal(cmd.ID); ok {
			p.effective(e, cmd.Late)
		}
	case jobs.Existing:
		if p, ok := e.takeProposal(cmd.ID); ok {
			e.existing(p.proposal, cmd.Job)
		}
	case jobs.Void:
		if p, ok := e.takeProposal(cmd.ID); ok {
			e.voided(p, cmd)
		}
	case jobs.Undecided:
		if p, ok := e.proposals[cmd.ID]; ok {
			p.undecided(e)
		}
	case jobs.BecameOwner:
		e.becameOwner(cmd)
	case jobs.LostOwnership:
		e.lostOwnership(cmd)
	}
}

func (e *Engine) takeProposal(id jobs.ProposalID) (sentProposal, bool) {
	p, ok := e.proposals[id]
	delete(e.proposals, id)
	return p, ok
}

// assignment is the proposal of the record that must take effect before an
// attempt starts.
type assignment struct {
	a    *attempt
	zone *zoneScheduler
}

// effective starts the attempt. An attempt that was dropped while its record
// was in flight is never started. Its end is recorded; otherwise it would stay
// open, and its job unfinished, for as long as this host owns the stream.
func (p *assignment) effective(e *Engine, _ bool) {
	if e.zone != nil && e.zone == p.zone && e.zone.attempts.has(p.a) {
		e.start(p.a)
		return
	}
	e.propose(&droppedAttempt{}, endedRecord(p.a.ID, jobs.ResultNeverStarted, "given up before its start"), 0)
}

// droppedAttempt is the proposal of the end of an attempt that was dropped
// before its start. Nothing follows from its result.
type droppedAttempt struct{}

func (*droppedAttempt) effective(*Engine, bool) {}
func (*droppedAttempt) void(*Engine, jobs.Void) {}
func (*droppedAttempt) undecided(*Engine)       {}

func (p *assignment) void(e *Engine, _ jobs.Void) {
	if e.zone == nil || !e.zone.attempts.has(p.a) {
		return
	}
	e.zone.attempts.drop(p.a)
	e.stepSched(sched.StartRefused{ID: p.a.ID})
}

func (p *assignment) undecided(*Engine) {}

// ending is the proposal of the record of an attempt's end.
type ending struct {
	a          *attempt
	schedEvent sched.Event // event for the scheduler once the record takes effect
	ack        string      // task to acknowledge to the worker then; empty for none
}

func (p *ending) effective(e *Engine, _ bool) {
	if e.zone == nil || !e.zone.attempts.has(p.a) {
		return
	}
	if p.ack != "" {
		e.ackTask(p.a.Worker, p.ack)
	}
	e.closeAttempt(p.a, p.schedEvent)
}

// void closes the attempt if the log already holds its end. Otherwise this host
// no longer owns the stream, and the next owner rebuilds the state from the
// log.
func (p *ending) void(e *Engine, ev jobs.Void) {
	if ev.Reason == jobs.VoidRejected {
		p.effective(e, false)
	}
}

func (p *ending) undecided(*Engine) {}

// jobEnding is the proposal of the record of a job's end.
type jobEnding struct {
	done JobDone
}

func (p *jobEnding) effective(e *Engine, _ bool) { e.emit(p.done) }
func (p *jobEnding) void(*Engine, jobs.Void)     {}
func (p *jobEnding) undecided(*Engine)           {}

func (e *Engine) jobEnded(cmd sched.JobEnded) {
	e.propose(&jobEnding{done: JobDone(cmd)}, jobs.Record{JobEnded: &jobs.JobEnded{
		Job:     cmd.Job,
		Outcome: cmd.Outcome,
		Reason:  cmd.Reason,
		Keep:    e.opts.KeepJobs.Milliseconds(),
	}}, 0)
}

// submission is the proposal of the record that accepts a job. Its caller waits
// for the result.
type submission struct {
	call     uint64
	ev       JobSubmitted
	at       time.Duration
	answered bool
}

func (p *submission) effective(e *Engine, _ bool) {
	e.stepSched(sched.JobAccepted{Job: p.ev.ID, Spec: p.ev.Spec, Age: e.now - p.at})
	p.answer(e, JobInfo{Job: p.ev.ID, Spec: p.ev.Spec, State: JobStateWaiting}, nil)
}

func (p *submission) void(e *Engine, ev jobs.Void) { p.answer(e, JobInfo{}, voidError(ev)) }

// undecided answers that the outcome is unknown: the record may still appear in
// the log. The job then runs once, under the identifier in the answer.
func (p *submission) undecided(e *Engine) {
	p.answer(e, JobInfo{}, &JobRefusedError{
		Refusal: RefusedUnknown,
		Detail:  "the log gave no answer in time; ask for job " + p.ev.ID.String(),
	})
}

func (p *submission) answer(e *Engine, info JobInfo, err error) {
	if p.answered {
		return
	}
	p.answered = true
	e.emit(JobAnswered{Call: p.call, Info: info, Err: err})
}

// voidError returns the error for a caller whose record had no effect.
func voidError(ev jobs.Void) error {
	retry := max(ev.RetryAfter, time.Second)
	switch ev.Reason {
	case jobs.VoidNotOwner, jobs.VoidLost:
		return &JobRefusedError{Refusal: RefusedNotHere, Detail: "the zone is changing its scheduler", RetryAfter: retry}
	case jobs.VoidFull:
		return &JobRefusedError{Refusal: RefusedBusy, Detail: "too many records wait for the log", RetryAfter: retry}
	case jobs.VoidKeyConflict:
		return &ClaimError{Job: ev.Job, Conflict: true, Outcome: work.OutcomeNotRun}
	case jobs.VoidTooLarge:
		return &JobRefusedError{Refusal: RefusedNoFit, Detail: "the submission is larger than one record may be"}
	}
	return &JobRefusedError{
		Refusal:    RefusedLog,
		Detail:     fmt.Sprintf("the log did not take the record in time (%s)", ev.Reason),
		RetryAfter: retry,
	}
}

// existing answers a submission or claim whose idempotency key already belongs
// to a job.
func (e *Engine) existing(p proposal, job ident.JobID) {
	switch p := p.(type) {
	case *submission:
		p.answer(e, e.jobInfo(e.owner.State().Job(job)), nil)
	case *requestClaim:
		p.existing(e, job)
	}
}

// jobSubmitted handles the submission of an authenticated and validated job.
func (e *Engine) jobSubmitted(ev JobSubmitted) {
	p := &submission{call: ev.Call, ev: ev, at: e.now}
	if !e.Schedules() || e.draining {
		p.answer(e, JobInfo{}, &JobRefusedError{Refusal: RefusedNotHere, Detail: "this host does not schedule the zone", RetryAfter: time.Second})
		return
	}
	if err := e.admitJob(ev); err != nil {
		p.answer(e, JobInfo{}, err)
		return
	}
	e.propose(p, jobs.Record{Accepted: &jobs.Accepted{
		Job:         ev.ID,
		Key:         keyHash(ev.Spec.Team, ev.Key),
		Fingerprint: jobs.Fingerprint(ev.Fingerprint),
		Spec:        ev.Spec,
		AcceptedAt:  e.wall.UnixMilli(),
	}}, ev.Deadline)
}

// admitJob returns a *JobRefusedError for a job that no worker of the zone
// could ever run, or for which the backlog is too long. A repeated submission
// with the same idempotency key is not refused; it is answered with the
// existing job.
func (e *Engine) admitJob(ev JobSubmitted) error {
	if ev.Key != "" && e.owner.State().ByKey(keyHash(ev.Spec.Team, ev.Key)) != nil {
		return nil
	}
	err := e.zone.sched.Admit(e.now, ev.Spec)
	refused, ok := err.(*sched.RefusedError)
	if !ok {
		return nil
	}
	if len(refused.Reasons) > 0 && !e.sizesKnown() {
		return nil // workers that could run it may not be known yet
	}
	if len(refused.Reasons) > 0 {
		return &JobRefusedError{Refusal: RefusedNoFit, Detail: refused.Error()}
	}
	return &JobRefusedError{Refusal: RefusedBusy, Detail: refused.Error(), RetryAfter: refused.RetryAfter}
}

// sizesKnown reports whether the scheduler has the full size of every worker:
// the zone is opened, all compute leases are held, and the scheduler knows all
// running tasks.
func (e *Engine) sizesKnown() bool {
	if !e.zone.opened {
		return false
	}
	for _, entry := range e.members.Workers() {
		w := e.zone.workers[entry.Worker]
		if w == nil || !w.held || w.foreign != (resource.Vector{}) {
			return false
		}
	}
	return true
}

// cancellation is the proposal of the record that cancels a job.
type cancellation struct {
	ev       JobCancelRequested
	answered bool
}

func (p *cancellation) effective(e *Engine, _ bool) {
	e.stepSched(sched.JobCancelled{Job: p.ev.Job})
	p.answer(e, e.jobInfo(e.owner.State().Job(p.ev.Job)), nil)
}

func (p *cancellation) void(e *Engine, ev jobs.Void) {
	if ev.Reason == jobs.VoidRejected {
		// The job has ended or is already cancelled: cancellation is idempotent.
		p.answer(e, e.jobInfo(e.owner.State().Job(p.ev.Job)), nil)
		return
	}
	p.answer(e, JobInfo{}, voidError(ev))
}

func (p *cancellation) undecided(e *Engine) {
	p.answer(e, JobInfo{}, &JobRefusedError{Refusal: RefusedUnknown, Detail: "the log gave no answer in time; the job may be cancelled"})
}

func (p *cancellation) answer(e *Engine, info JobInfo, err error) {
	if p.answered {
		return
	}
	p.answered = true
	e.emit(JobAnswered{Call: p.ev.Call, Info: info, Err: err})
}

func (e *Engine) jobCancelRequested(ev JobCancelRequested) {
	if _, err := e.findJob(ev.Job, ev.Team); err != nil {
		e.emit(JobAnswered{Call: ev.Call, Err: err})
		return
	}
	e.propose(&cancellation{ev: ev}, jobs.Record{Cancelled: &jobs.Cancelled{
		Job:    ev.Job,
		Reason: "cancelled by its team",
		Keep:   e.opts.KeepJobs.Milliseconds(),
	}}, ev.Deadline)
}

func (e *Engine) jobQueried(ev JobQueried) {
	job, err := e.findJob(ev.Job, ev.Team)
	if err != nil {
		e.emit(JobAnswered{Call: ev.Call, Err: err})
		return
	}
	info := e.jobInfo(job)
	if ev.Explain {
		explanation := e.zone.sched.Explain(e.now, ev.Job)
		info.Explain = &explanation
	}
	e.emit(JobAnswered{Call: ev.Call, Info: info})
}

// findJob returns a job of a team. Jobs of other teams are reported as not
// found. An empty team stands for an operator, who may access all jobs. The
// error is a *JobRefusedError.
func (e *Engine) findJob(id ident.JobID, team ident.TeamID) (*jobs.Job, error) {
	if !e.Schedules() {
		return nil, &JobRefusedError{Refusal: RefusedNotHere, Detail: "this host does not schedule the zone", RetryAfter: time.Second}
	}
	job := e.owner.State().Job(id)
	if job == nil || (team != "" && job.Spec.Team != team) {
		return nil, &JobRefusedError{Refusal: RefusedNotFound, Detail: "no job " + id.String()}
	}
	return job, nil
}

func (e *Engine) jobInfo(job *jobs.Job) JobInfo {
	if job == nil {
		return JobInfo{}
	}
	info := JobInfo{Job: job.Job, Spec: job.Spec, State: JobStateWaiting, Reason: job.Reason}
	switch {
	case job.Ended:
		info.State = JobStateEnded
		info.Outcome = job.Outcome
		info.Failed = job.Outcome == work.OutcomeRan && job.Reason != ""
	case job.Cancelled:
		info.State = JobStateCancelled
	case job.OpenTasks > 0:
		info.State = JobStateRunning
	}
	return info
}
