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

// Waits of a recovery.
const (
	callInFlight = 2 * time.Second // longest time from sending a call to its arrival
	askPromises  = time.Second     // between requests for one peer's promise
)

func (e *Engine) recoveryConfig() jobs.RecoveryConfig {
	ttl := e.opts.Lease.TaskTTL
	return jobs.RecoveryConfig{
		TaskTTL:  ttl,
		Drift:    time.Duration(float64(ttl) * e.opts.Lease.Drift),
		InFlight: callInFlight,
		AskEvery: askPromises,
	}
}

// becameOwner takes over the zone's jobs. A job without open attempts goes to
// the scheduler at once, one with open attempts when all of them are settled.
func (e *Engine) becameOwner(ev jobs.BecameOwner) {
	if e.zone == nil {
		return // gave up meanwhile; the wish has been withdrawn
	}
	if epoch, owns := e.owner.Epoch(); !owns || epoch != ev.Epoch {
		return // over again already: another fence was read in the same step
	}
	e.takeStream(ev, ev.Epoch)
}

// resumeStream takes the stream over again if this host still owns it: it gave
// the scheduling up and took it back before the log could settle what was on
// its way, so no new ownership is reported. Attempts of its own epoch are open
// then as well, and nothing more of that former life may be on its way.
func (e *Engine) resumeStream() {
	epoch, owns := e.owner.Epoch()
	if e.zone.epoch != 0 || !owns || len(e.proposals) > 0 || len(e.refusedEnds) > 0 {
		return
	}
	const ofNoEpoch = 0
	e.takeStream(jobs.BecameOwner{Epoch: epoch, Whole: true}, ofNoEpoch)
}

// takeStream restores the stream's jobs. Open attempts of other epochs than own
// are settled first.
func (e *Engine) takeStream(ev jobs.BecameOwner, own jobs.Epoch) {
	e.note(NoteScheduler, "schedules zone "+string(e.opts.Zone))
	if !ev.Whole {
		e.note(NoteScheduler, "records of the zone's jobs had expired before they were written again: jobs may be missing")
	}
	e.zone.epoch = ev.Epoch
	open := e.owner.State().Open()
	e.zone.recovery = jobs.NewRecovery(e.recoveryConfig(), own, open)
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

// cycleLease takes a worker's lease anew if this host holds it under the epoch
// that a start may be on its way under. After it, that start cannot take
// effect any more, and the grant shows whether it did.
func (e *Engine) cycleLease(worker ident.WorkerID, epoch ports.Epoch) {
	w := e.zone.workers[worker]
	if w == nil || !w.held || w.epoch > epoch {
		return
	}
	key := lease.Key{Worker: worker, Class: ports.ClassCompute}
	e.stepLeases(lease.Want{Key: key, Wanted: false})
	e.stepLeases(lease.Idle{Key: key})
	e.stepLeases(lease.Want{Key: key, Wanted: true})
}

// restoreJobs hands over what needs no recovery.
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

// endOrphanRequest closes a request that an earlier owner claimed and whose
// outcome it did not record. It may have run, so its key stays used.
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

// ageOf is how long ago a job was accepted by the wall clock. It orders the
// queue and counts against the deadline; a wrong clock shifts both and breaks
// no promise.
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

// exhausted reports whether a task may not be tried again.
func exhausted(job *jobs.Job, task jobs.Task) bool {
	if task.Result == jobs.ResultNeverStarted || task.Result == "" {
		return false
	}
	counted := task.Attempts - task.Refused - displaced(job, task)
	return job.Spec.NonIdempotent || counted >= max(job.Spec.MaxAttempts, 1)
}

// displaced returns how many attempts of a task were displaced. The log says
// only that they were stopped; a task that may not be displaced was stopped for
// another reason, such as its limit, and that counts as a failure.
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
		e.emitPromise(cmd.Host, AskPromise{Worker: cmd.Worker, Seq: cmd.Seq})
	case jobs.ReleasePromise:
		e.emitPromise(cmd.Host, AskPromise{Worker: cmd.Worker, Release: true})
	case jobs.HoldOff:
		e.holdOff(cmd.Worker)
	case jobs.Resume:
		e.resume(cmd.Worker)
	case jobs.Reacquire:
		if w := e.zone.workers[cmd.Worker]; w != nil {
			e.cycleLease(cmd.Worker, w.epoch)
		}
	case jobs.Adopt:
		e.adoptAttempt(cmd)
	case jobs.Resolve:
		e.resolveAttempt(cmd)
	case jobs.Recovered:
		e.zone.recovery = nil
	}
}

// adoptAttempt takes over an attempt that runs on.
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
	e.settled(id.Job)
}

// resolveAttempt records the end of an attempt that does not run any more.
func (e *Engine) resolveAttempt(cmd jobs.Resolve) {
	id := cmd.Attempt.Attempt
	if a := e.zone.attempts.get(id); a != nil {
		e.resolveOwn(a, cmd)
		return
	}
	e.propose(&resolution{zone: e.zone, cmd: cmd}, endedRecord(id, cmd.Result, cmd.Reason), 0)
}

// resolveOwn closes an attempt of this life whose worker could not be reached.
func (e *Engine) resolveOwn(a *attempt, cmd jobs.Resolve) {
	if cmd.Result == jobs.ResultNeverStarted {
		e.endNeverStarted(a, "")
		return
	}
	e.endLost(a, cmd.Reason)
}

// resolution is the record of how an earlier owner's attempt ended.
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
	e.settled(p.cmd.Attempt.Attempt.Job)
}

func (p *resolution) void(e *Engine, ev jobs.Void) {
	if ev.Reason == jobs.VoidRejected {
		p.effective(e, false)
	}
}

func (p *resolution) undecided(*Engine) {}

// settled counts a settled attempt and hands the job over after the last.
func (e *Engine) settled(job ident.JobID) {
	e.zone.recovering[job]--
	if e.zone.recovering[job] > 0 {
		return
	}
	delete(e.zone.recovering, job)
	e.restoreJob(job)
}

// abandonRecovery frees the peers from the promises that an unfinished recovery
// holds. Its successor may be one of them, and would wait for its own promise.
func (e *Engine) abandonRecovery() {
	if e.zone.recovery == nil {
		return
	}
	for _, worker := range e.zone.recovery.Workers() {
		for _, host := range e.zoneHosts().Hosts {
			e.emitPromise(host, AskPromise{Worker: worker, Release: true})
		}
		e.resume(worker)
	}
	e.zone.recovery = nil
}

// recoverAttempts settles the attempts of a worker that cannot be reached.
func (e *Engine) recoverAttempts(w *zoneWorker, open []jobs.OpenAttempt) {
	if e.zone.recovery != nil || e.zone.epoch == 0 {
		return // one recovery at a time; the next tick asks again
	}
	e.note(NoteScheduler, "worker "+string(w.id)+" cannot be reached; settling what ran there")
	e.zone.recovery = jobs.NewRecovery(e.recoveryConfig(), e.zone.epoch+1, open)
	e.stepRecovery(e.zoneHosts())
	e.stepRecovery(jobs.RecoveryTick{})
}

// yieldFor is how long a host that lost the stream to another leaves it there.
// Both may believe for a moment to be the zone's scheduler; without the pause
// they would take the stream from each other until their views agree.
const yieldFor = 5 * time.Second

// tickYield wishes for the stream again if this host is still the one that
// should schedule the zone.
func (e *Engine) tickYield() {
	if e.zone.yieldTo != 0 && e.now >= e.zone.yieldTo {
		e.zone.yieldTo = 0
		e.stepOwner(jobs.WantOwnership{Want: true})
	}
}

// lostOwnership starts the zone's work anew without its jobs, which are the
// next owner's now. Services stay with whoever holds the compute leases.
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
		e.zone.yieldTo = e.now + yieldFor
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
		e.addWorker(w) // not opened yet: without room
		e.applyReport(w)
	}
}
