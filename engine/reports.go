package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
)

// computeGained takes over a worker. The worker refuses starts under epochs
// older than the new one, so an attempt that is not in the grant and was not
// known to have started will never start.
func (e *Engine) computeGained(ev lease.Gained) {
	if e.zone == nil {
		return // requested before scheduling was given up; the handover follows
	}
	entry, listed := e.members.Worker(ev.Worker)
	w := e.zone.workers[ev.Worker]
	if w == nil {
		w = &zoneWorker{id: ev.Worker}
		e.zone.workers[ev.Worker] = w
	}
	w.rack = entry.Rack
	w.size = ev.Size
	w.held = true
	w.quiesced = false
	w.marked = false
	w.epoch = ev.Epoch
	w.boot = ev.Boot
	w.tasks = ev.Tasks
	w.sentAt = ev.SentAt
	e.countForeign(w)
	e.stepSched(sched.WorkerAdded{Worker: w.id, Rack: w.rack}) // no capacity before its replicas are known
	e.settleOlderStarts(w)
	e.applyReport(w)
	e.addWorker(w)
	if listed {
		e.applyMark(entry)
	}
}

func (e *Engine) computeReported(ev lease.Reported) {
	if e.zone == nil {
		return
	}
	w := e.zone.workers[ev.Worker]
	if w == nil || !w.held || w.epoch != ev.Epoch {
		return
	}
	before := w.foreign
	resized := w.size != ev.Size
	w.size = ev.Size
	w.tasks = ev.Tasks
	w.sentAt = ev.SentAt
	e.countForeign(w)
	if (w.foreign != before || resized) && !w.marked {
		e.addWorker(w)
	}
	e.applyReport(w)
}

// countForeign sums the resources of running tasks unknown to the scheduler.
func (e *Engine) countForeign(w *zoneWorker) {
	w.foreign = resource.Vector{}
	for _, t := range w.tasks {
		if t.Ended {
			continue
		}
		service, id, ok := parseTaskName(t.ID)
		if ok && (service != "" || e.zone.attempts.get(id) != nil) {
			continue // known, or restored by applyReport
		}
		w.foreign = w.foreign.Add(t.Need)
	}
}

// settleOlderStarts closes attempts whose start was in flight under an older
// epoch and that the worker does not report. They never started, except on a
// worker that has restarted since: it may have run them and lost its record of
// it.
func (e *Engine) settleOlderStarts(w *zoneWorker) {
	for _, a := range e.zone.attempts.onWorker(w.id) {
		if a.lease >= w.epoch || a.phase != phaseStarting || findReport(w.tasks, a) != nil {
			continue
		}
		if a.boot != w.boot {
			e.endLost(a, "its worker restarted")
			continue
		}
		e.endNeverStarted(a, ports.RefusedEpoch)
	}
}

func findReport(tasks []ports.TaskReport, a *attempt) *ports.TaskReport {
	for i := range tasks {
		if tasks[i].ID == a.name {
			return &tasks[i]
		}
	}
	return nil
}

// applyReport reconciles attempts with the last report of their worker.
func (e *Engine) applyReport(w *zoneWorker) {
	for _, t := range w.tasks {
		service, id, ok := parseTaskName(t.ID)
		if !ok {
			continue
		}
		if a := e.zone.attempts.get(id); a != nil {
			e.applyTask(a, t)
			continue
		}
		e.reconcileUnknownTask(w, service, id, t)
	}
	e.endMissing(w)
	e.stepRecovery(jobs.WorkerReport{Worker: w.id, Epoch: w.epoch, Boot: w.boot, Tasks: w.tasks})
}

func (e *Engine) applyTask(a *attempt, t ports.TaskReport) {
	if t.Ended {
		e.endReported(a, t)
		return
	}
	if a.phase == phaseStarting {
		e.started(a)
	}
	e.stepSched(sched.UsageReported{ID: a.ID, Ran: t.Ran, Usage: t.Usage})
	if a.stop.control != "" {
		e.repeatStopIfDue(a)
		return
	}
	e.scheduleEndReport(a, t.Ran)
}

// minReportDelay is the minimum delay until a worker's report is fetched to
// detect the end of a task.
const minReportDelay = 50 * time.Millisecond

// scheduleEndReport schedules a fetch of the worker's report for when a task
// should end by its declared run time, instead of at the next renewal: until
// the end is known, other work waits for capacity that is already free. For an
// overdue task the interval grows, which keeps the number of messages low when
// the estimate is wrong.
func (e *Engine) scheduleEndReport(a *attempt, ran time.Duration) {
	if a.Run <= 0 {
		return
	}
	left := a.Run - ran
	if left < 0 {
		left = -left / 2
	}
	key := lease.Key{Worker: a.Worker, Class: ports.ClassCompute}
	e.stepLeases(lease.Hasten{Key: key, At: e.now + max(left, minReportDelay)})
}

// reconcileUnknownTask handles a task that this host did not start. Replicas
// are adopted, or stopped if their service is no longer declared. Attempts of
// jobs are left to the recovery; an attempt that is closed in the log is
// stopped.
func (e *Engine) reconcileUnknownTask(w *zoneWorker, service ident.ServiceID, id ident.AttemptID, t ports.TaskReport) {
	switch {
	case service != "" && t.Ended:
		e.ackTask(w.id, t.ID)
	case service != "":
		e.adoptReplica(w, service, id, t)
	case e.zone.epoch == 0 || e.zone.recovery != nil:
	case t.Ended:
		if e.closedInLog(id) {
			e.ackTask(w.id, t.ID)
		}
	case e.closedInLog(id):
		e.controlTask(w.id, t.ID, ports.ControlStop)
	}
}

// closedInLog reports whether the log records that an attempt has ended.
//
// A host that was paused and still considers itself the owner may not have read
// the record that opened the attempt. An unknown attempt is therefore reported
// as not closed: if its task were stopped and acknowledged to the worker, the
// actual owner would conclude that it never started.
func (e *Engine) closedInLog(id ident.AttemptID) bool {
	job := e.owner.State().Job(id.Job)
	if job == nil {
		return false
	}
	if job.Ended {
		return true
	}
	task := job.Tasks[id.Index]
	return task.Attempts > id.Attempt || (task.Attempts == id.Attempt && !task.Open)
}

func (e *Engine) adoptReplica(w *zoneWorker, service ident.ServiceID, id ident.AttemptID, t ports.TaskReport) {
	if _, declared := e.zone.services[service]; !declared {
		if e.config.state() != nil {
			e.controlTask(w.id, t.ID, ports.ControlStop)
		}
		return
	}
	a := &attempt{
		Assign:    sched.Assign{ID: id, Worker: w.id, Team: t.Team, Need: t.Need, Service: service},
		phase:     phaseRunning,
		lease:     w.epoch,
		startedAt: w.sentAt,
		holder:    t.Holder,
	}
	e.adopt(a)
	e.stepSched(sched.ReplicaRestored{Service: service, Team: t.Team, ID: id, Worker: w.id, Need: t.Need})
}

// adopt adds an attempt that an earlier scheduler started. It uses the limit
// units of that scheduler's host until they are reclaimed.
func (e *Engine) adopt(a *attempt) {
	a.holder = e.units.State().Heir(a.holder)
	a.borrowed = !e.takeBackLeftAttempt(a.ID) && a.holder != e.opts.Self
	e.zone.attempts.add(a)
}

// endMissing closes as lost the attempts that were running before the report
// was requested and that the report does not list.
func (e *Engine) endMissing(w *zoneWorker) {
	for _, a := range e.zone.attempts.onWorker(w.id) {
		if a.phase != phaseRunning || a.startedAt >= w.sentAt || findReport(w.tasks, a) != nil {
			continue
		}
		e.endLost(a, "the worker no longer has it")
	}
}

// computeLost cordons a worker. Its tasks continue until the worker's own task
// lease expires, so nothing is restarted elsewhere yet.
func (e *Engine) computeLost(ev lease.Lost) {
	if e.zone == nil {
		return
	}
	w := e.zone.workers[ev.Worker]
	if w == nil || !w.held {
		return
	}
	w.held = false
	w.lostAt = e.now
	e.stepSched(sched.WorkerCordoned{Worker: w.id, Cordoned: true})
}

func (e *Engine) computeQuiesced(key lease.Key) {
	if e.zone == nil {
		e.stepLeases(lease.Idle{Key: key})
		return
	}
	if w := e.zone.workers[key.Worker]; w != nil {
		w.quiesced = true
		e.stepSched(sched.WorkerCordoned{Worker: key.Worker, Cordoned: true})
	}
	e.reportComputeIdle(key.Worker)
}

// reportComputeIdle lets the handover of a worker continue once no start is in
// flight.
func (e *Engine) reportComputeIdle(worker ident.WorkerID) {
	if e.zone == nil {
		return
	}
	w := e.zone.workers[worker]
	if w == nil || !w.quiesced {
		return
	}
	if e.zone.attempts.startsOn(worker) {
		return
	}
	e.stepLeases(lease.Idle{Key: lease.Key{Worker: worker, Class: ports.ClassCompute}})
}

// tickZone advances the time of the zone's scheduler and recovery.
func (e *Engine) tickZone() {
	if e.zone == nil {
		return
	}
	e.tryOpen()
	e.tickYield()
	e.resumeStream()
	e.stepSched(sched.Tick{})
	e.retryStarts()
	e.stepRecovery(jobs.RecoveryTick{})
	e.removeLostWorkers()
}

// removeLostWorkers removes workers whose lease was lost so long ago that no
// task started there by this host can still run.
//
// Without the wait, a task could be started again while its first run continues
// on a worker that is alive but unreachable. The worker stops its tasks by its
// own clock when the task TTL has passed since the last renewal that reached
// it, and that renewal is not later than the loss of the lease here. Another
// host that renewed the lease meanwhile would prolong the tasks. Attempts of
// jobs are therefore settled by a recovery, which asks every host of the zone
// to promise that it does not renew the lease.
func (e *Engine) removeLostWorkers() {
	var expired []*zoneWorker
	for _, w := range e.zone.workers {
		if !w.held && e.now-w.lostAt >= e.maxTaskSurvival() {
			expired = append(expired, w)
		}
	}
	slices.SortFunc(expired, func(a, b *zoneWorker) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, w := range expired {
		e.removeLostWorker(w)
	}
}

func (e *Engine) removeLostWorker(w *zoneWorker) {
	var open []jobs.OpenAttempt
	for _, a := range e.zone.attempts.onWorker(w.id) {
		if a.Service != "" {
			e.endLost(a, "its worker cannot be reached")
			continue
		}
		open = append(open, jobs.OpenAttempt{Attempt: a.ID, Worker: w.id, Epoch: e.zone.epoch, Lease: a.lease})
	}
	if len(open) > 0 {
		e.recoverAttempts(w, open)
		return
	}
	delete(e.zone.workers, w.id)
	e.stepSched(sched.WorkerRemoved{Worker: w.id})
}

// maxTaskSurvival returns how long a task may still run after the loss of its
// lease.
func (e *Engine) maxTaskSurvival() time.Duration {
	ttl := e.opts.Lease.TaskTTL
	return ttl + time.Duration(float64(ttl)*e.opts.Lease.Drift) + e.leaseTTL()
}
