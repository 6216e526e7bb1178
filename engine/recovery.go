package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// Intervals of a recovery.
const (
	maxCallDelay       = 2 * time.Second // maximum time from sending a call to its arrival
	promiseAskInterval = time.Second     // interval between requests for the same peer's promise
)

func (e *Engine) recoveryConfig() jobs.RecoveryConfig {
	ttl := e.opts.Lease.TaskTTL
	return jobs.RecoveryConfig{
		TaskTTL:  ttl,
		Drift:    time.Duration(float64(ttl) * e.opts.Lease.Drift),
		InFlight: maxCallDelay,
		AskEvery: promiseAskInterval,
	}
}

// becameOwner takes over the zone's jobs. A job without open attempts is passed
// to the scheduler at once, a job with open attempts after all are settled.
func (e *Engine) becameOwner(ev jobs.BecameOwner) {
	if e.zone == nil {
		return // scheduling was given up meanwhile; ownership is no longer wanted
	}
	if epoch, owns := e.owner.Epoch(); !owns || epoch != ev.Epoch {
		return // ownership was lost in the same step: a later fence was read
	}
	e.takeOverStream(ev, ev.Epoch)
}

// resumeStream takes over the stream again if this host still owns it. This
// happens when the host gave up scheduling and resumed it before the log had
// settled the proposals in flight: no new ownership is reported then. Attempts
// of the host's own epoch may be open too, so the stream is taken over only
// when no earlier proposal is in flight.
func (e *Engine) resumeStream() {
	epoch, owns := e.owner.Epoch()
	if e.zone.epoch != 0 || !owns || len(e.proposals) > 0 || len(e.refusedEnds) > 0 {
		return
	}
	const noOwnEpoch = 0
	e.takeOverStream(jobs.BecameOwner{Epoch: epoch, Whole: true}, noOwnEpoch)
}

// takeOverStream restores the stream's jobs. Open attempts of epochs other than
// ownEpoch are settled first.
func (e *Engine) takeOverStream(ev jobs.BecameOwner, ownEpoch jobs.Epoch) {
	e.note(NoteScheduler, "schedules zone "+string(e.opts.Zone))
	if !ev.Whole {
		e.note(NoteScheduler, "records of the zone's jobs had expired before they were written again: jobs may be missing")
	}
	e.zone.epoch = ev.Epoch
	open := e.owner.State().Open()
	e.zone.recovery = jobs.NewRecovery(e.recoveryConfig(), ownEpoch, open)
	for _, o := range open {
		e.zone.recovering[o.Attempt.Job]++
	}
	e.restoreJobs()
	e.stepRecovery(e.zoneHosts())
	for _, w := range e.heldWorkers() {
		e.stepRecovery(jobs.WorkerReport{Worker: w.id, Epoch: w.epoch, Boot: w.boot, Tasks: w.tasks})
	}
	e.stepRecovery(jobs.RecoveryTick{})
}

// reacquireLease releases and reacquires a worker's compute lease if this host
// holds it under epoch or an earlier one. A start in flight under epoch cannot
// take effect after that, and the new grant shows whether it did.
func (e *Engine) reacquireLease(worker ident.WorkerID, epoch ports.Epoch) {
	w := e.zone.workers[worker]
	if w == nil || !w.held || w.epoch > epoch {
		return
	}
	key := lease.Key{Worker: worker, Class: ports.ClassCompute}
	e.stepLeases(lease.Want{Key: key, Wanted: false})
	e.stepLeases(lease.Idle{Key: key})
	e.stepLeases(lease.Want{Key: key, Wanted: true})
}

// restoreJobs passes the jobs without attempts to settle to the scheduler.
func (e *Engine) restoreJobs() {
	for _, job := range e.owner.State().Jobs() {
		switch {
		case job.Ended:
		case job.Spec.Kind == work.KindRequest:
			e.endOrphanRequest(job)
		case e.zone.recovering[job.Job] == 0:
			e.restoreJob(job.Job)
		}
	}
}

// endOrphanRequest records an unknown outcome for a request that an earlier
// owner claimed without recording its outcome. The request may have run, so its
// idempotency key stays used.
func (e *Engine) endOrphanRequest(job *jobs.Job) {
	if e.claims.running[job.Job] {
		return
	}
	e.propose(&jobEnding{done: JobDone{Job: job.Job, Outcome: work.OutcomeUnknown}}, jobs.Record{JobEnded: &jobs.JobEnded{
		Job:     job.Job,
		Outcome: work.OutcomeUnknown,
		Reason:  "the host that ran it stopped before it recorded the outcome",
		Keep:    e.opts.KeepJobs.Milliseconds(),
	}}, 0)
}

func (e *Engine) restoreJob(id ident.JobID) {
	job := e.owner.State().Job(id)
	if job == nil || job.Ended {
		return
	}
	ev := sched.JobRestored{Job: id, Spec: job.Spec, Age: e.ageOf(job)}
	for index := range job.Spec.Tasks {
		task, ok := job.Tasks[index]
		if !ok {
			continue
		}
		ev.Tasks = append(ev.Tasks, e.restoredTask(job, index, task))
	}
	e.stepSched(ev)
	if job.Cancelled {
		e.stepSched(sched.JobCancelled{Job: id})
	}
}

// ageOf returns how long ago a job was accepted by the wall clock, at least 0.
// It determines the job's place in the queue and the time left until its
// deadline. A wrong clock shifts both but breaks no guarantee.
func (e *Engine) ageOf(job *jobs.Job) time.Duration {
	return max(e.wall.Sub(job.AcceptedTime()), 0)
}

func (e *Engine) restoredTask(job *jobs.Job, index int, task jobs.Task) sched.RestoredTask {
	res := sched.RestoredTask{
		Index:     index,
		Attempts:  task.Attempts,
		Refused:   task.Refused,
		Displaced: displaced(job, task),
		Done:      task.Done(),
	}
	id := ident.AttemptID{Job: job.Job, Index: index, Attempt: task.Attempts}
	if a := e.zone.attempts.get(id); a != nil && task.Open {
		res.Running = true
		res.Started = a.phase == phaseRunning
		res.Worker = a.Worker
		return res
	}
	res.Failed = !task.Done() && exhausted(job, task)
	return res
}

// exhausted reports whether a task must not be attempted again.
func exhausted(job *jobs.Job, task jobs.Task) bool {
	if task.Result == jobs.ResultNeverStarted || task.Result == "" {
		return false
	}
	counted := task.Attempts - task.Refused - displaced(job, task)
	return job.Spec.NonIdempotent || counted >= max(job.Spec.MaxAttempts, 1)
}

// displaced returns how many attempts of a task were displaced. The log records
// only that they were stopped. A task that must not be displaced was stopped
// for another reason, such as its run time limit, which counts as a failure.
func displaced(job *jobs.Job, task jobs.Task) int {
	if job.Spec.Displaceable && !job.Spec.NonIdempotent {
		return task.Stopped
	}
	return 0
}

func (e *Engine) zoneHosts() jobs.ZoneHosts {
	var hosts []ident.HostID
	for _, h := range e.reclaim.zoneHosts {
		if h != e.opts.Self.Host {
			hosts = append(hosts, h)
		}
	}
	return jobs.ZoneHosts{Hosts: hosts}
}

func (e *Engine) heldWorkers() []*zoneWorker {
	var held []*zoneWorker
	for _, entry := range e.members.Workers() {
		if w := e.zone.workers[entry.Worker]; w != nil && w.held {
			held = append(held, w)
		}
	}
	return held
}

func (e *Engine) stepRecovery(ev jobs.RecoveryEvent) {
	if e.zone == nil || e.zone.recovery == nil {
		return
	}
	for _, cmd := range e.zone.recovery.Step(e.now, ev) {
		e.recoveryCommand(cmd)
	}
}

func (e *Engine) recoveryCommand(cmd jobs.RecoveryCommand) {
	switch cmd := cmd.(type) {
	case jobs.AskPromise:
		e.sendAskPromise(cmd.Host, AskPromise{Worker: cmd.Worker, Seq: cmd.Seq})
	case jobs.ReleasePromise:
		e.sendAskPromise(cmd.Host, AskPromise{Worker: cmd.Worker, Release: true})
	case jobs.HoldOff:
		e.holdOff(cmd.Worker)
	case jobs.Resume:
		e.resume(cmd.Worker)
	case jobs.Reacquire:
		if w := e.zone.workers[cmd.Worker]; w != nil {
			e.reacquireLease(cmd.Worker, w.epoch)
		}
	case jobs.Adopt:
		e.adoptAttempt(cmd)
	case jobs.Resolve:
		e.resolveAttempt(cmd)
	case jobs.Recovered:
		e.zone.recovery = nil
	}
}

// adoptAttempt takes over a running attempt of an earlier owner.
func (e *Engine) adoptAttempt(cmd jobs.Adopt) {
	id := cmd.Attempt.Attempt
	if e.zone.attempts.get(id) != nil {
		return
	}
	w := e.zone.workers[cmd.Attempt.Worker]
	job := e.owner.State().Job(id.Job)
	if w == nil || job == nil {
		return
	}
	e.adopt(&attempt{
		Assign: sched.Assign{ID: id, Worker: w.id, Team: job.Spec.Team, Need: job.Spec.Need, Run: job.Spec.Run},
		phase:  phaseRunning,
		lease:  w.epoch, startedAt: w.sentAt,
		holder: cmd.Report.Holder,
	})
	e.countForeign(w)
	if !w.marked {
		e.addWorker(w)
	}
	e.attemptSettled(id.Job)
}

// resolveAttempt records the end of an attempt that no longer runs.
func (e *Engine) resolveAttempt(cmd jobs.Resolve) {
	id := cmd.Attempt.Attempt
	if a := e.zone.attempts.get(id); a != nil {
		e.resolveOwn(a, cmd)
		return
	}
	e.propose(&resolution{zone: e.zone, cmd: cmd}, endedRecord(id, cmd.Result, cmd.Reason), 0)
}

// resolveOwn closes an attempt of this scheduler whose worker was unreachable.
func (e *Engine) resolveOwn(a *attempt, cmd jobs.Resolve) {
	if cmd.Result == jobs.ResultNeverStarted {
		e.endNeverStarted(a, "")
		return
	}
	e.endLost(a, cmd.Reason)
}

// resolution is the proposal of the record of how an earlier owner's attempt
// ended.
type resolution struct {
	zone *zoneScheduler
	cmd  jobs.Resolve
}

func (p *resolution) effective(e *Engine, _ bool) {
	if e.zone != p.zone {
		return
	}
	if p.cmd.Result != jobs.ResultNeverStarted && p.cmd.Result != jobs.ResultLost {
		e.ackTask(p.cmd.Attempt.Worker, taskName("", p.cmd.Attempt.Attempt))
	}
	e.returnLeftUnits(p.cmd.Attempt.Attempt)
	e.attemptSettled(p.cmd.Attempt.Attempt.Job)
}

func (p *resolution) void(e *Engine, ev jobs.Void) {
	if ev.Reason == jobs.VoidRejected {
		p.effective(e, false)
	}
}

func (p *resolution) undecided(*Engine) {}

// attemptSettled counts a settled attempt of a job and passes the job to
// the scheduler after the last one.
func (e *Engine) attemptSettled(job ident.JobID) {
	e.zone.recovering[job]--
	if e.zone.recovering[job] > 0 {
		return
	}
	delete(e.zone.recovering, job)
	e.restoreJob(job)
}

// abandonRecovery releases the peers from the promises of an unfinished
// recovery. The next owner may be one of these peers, and its recovery would
// wait for the promise that it gave itself.
func (e *Engine) abandonRecovery() {
	if e.zone.recovery == nil {
		return
	}
	for _, worker := range e.zone.recovery.Workers() {
		for _, host := range e.zoneHosts().Hosts {
			e.sendAskPromise(host, AskPromise{Worker: worker, Release: true})
		}
		e.resume(worker)
	}
	e.zone.recovery = nil
}

// recoverAttempts starts a recovery that settles the open attempts of an
// unreachable worker.
func (e *Engine) recoverAttempts(w *zoneWorker, open []jobs.OpenAttempt) {
	if e.zone.recovery != nil || e.zone.epoch == 0 {
		return // one recovery at a time; the next tick retries
	}
	e.note(NoteScheduler, "worker "+string(w.id)+" cannot be reached; settling what ran there")
	e.zone.recovery = jobs.NewRecovery(e.recoveryConfig(), e.zone.epoch+1, open)
	e.stepRecovery(e.zoneHosts())
	e.stepRecovery(jobs.RecoveryTick{})
}

// yieldWait is how long a host that lost the stream to another host waits
// before it requests ownership again. Two hosts may both consider themselves
// the zone's scheduler for a short time; without the wait they would take the
// stream from each other until their views agree.
const yieldWait = 5 * time.Second

// tickYield requests ownership of the stream again after yieldWait, if this
// host still is to schedule the zone.
func (e *Engine) tickYield() {
	if e.zone.yieldUntil != 0 && e.now >= e.zone.yieldUntil {
		e.zone.yieldUntil = 0
		e.stepOwner(jobs.WantOwnership{Want: true})
	}
}

// lostOwnership replaces the zone's scheduler by one without jobs, which now
// belong to the next owner. Service replicas stay with the holder of the
// compute leases.
func (e *Engine) lostOwnership(ev jobs.LostOwnership) {
	if e.zone == nil || e.zone.epoch != ev.Epoch {
		return
	}
	e.note(NoteScheduler, "no longer schedules zone "+string(e.opts.Zone)+", "+ev.Owner.String()+" does")
	e.abandonRecovery()
	old := e.zone
	e.recordLeftAttempts(old)
	e.zone = e.newZone()
	if ev.Owner != e.opts.Self {
		e.zone.yieldUntil = e.now + yieldWait
		e.stepOwner(jobs.WantOwnership{Want: false})
	}
	e.zone.failed = old.failed
	for id, w := range old.workers {
		if w.held {
			e.zone.workers[id] = w
		}
	}
	e.configureZone()
	for _, w := range e.heldWorkers() {
		e.countForeign(w)
		e.addWorker(w) // the new scheduler is not open yet: no capacity
		e.applyReport(w)
	}
}
