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

// computeGained takes over a worker. The epoch is new, so no start under an
// older one can reach the worker any more: what the grant does not list and
// was not known to have started never will.
func (e *Engine) computeGained(ev lease.Gained) {
	if e.zone == nil {
		return // wished before it was given up; the handover follows
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
	w.quiet = false
	w.marked = false
	w.epoch = ev.Epoch
	w.boot = ev.Boot
	w.tasks = ev.Tasks
	w.sentAt = ev.SentAt
	e.countForeign(w)
	e.stepSched(sched.WorkerAdded{Worker: w.id, Rack: w.rack}) // no room before its replicas are known
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

// countForeign sums up the running tasks that the scheduler does not know.
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

// settleOlderStarts closes attempts whose start was under way under an older
// epoch and that the worker does not have. A worker that restarted since may
// have run them and forgotten it.
func (e *Engine) settleOlderStarts(w *zoneWorker) {
	for _, a := range e.zone.attempts.onWorker(w.id) {
		if a.lease >= w.epoch || a.phase != phaseStarting || reportOf(w.tasks, a) != nil {
			continue
		}
		if a.boot != w.boot {
			e.endLost(a, "its worker restarted")
			continue
		}
		e.endNeverStarted(a, ports.RefusedEpoch)
	}
}

func reportOf(tasks []ports.TaskReport, a *attempt) *ports.TaskReport {
	for i := range tasks {
		if tasks[i].ID == a.name {
			return &tasks[i]
		}
	}
	return nil
}

// applyReport brings attempts in line with what their worker says.
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
		e.unknownTask(w, service, id, t)
	}
	e.findMissing(w)
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
		e.stillRuns(a)
		return
	}
	e.expectEnd(a, t.Ran)
}

// minLook is the least time between two looks at a worker for the end of a
// task.
const minLook = 50 * time.Millisecond

// expectEnd has the worker's report fetched when a task should end by its
// declared run time, instead of at the next renewal: room that is free and not
// known to be free keeps others waiting. A task that is overdue is looked for
// at growing intervals, so that a wrong estimate costs few messages.
func (e *Engine) expectEnd(a *attempt, ran time.Duration) {
	if a.Run <= 0 {
		return
	}
	left := a.Run - ran
	if left < 0 {
		left = -left / 2
	}
	key := lease.Key{Worker: a.Worker, Class: ports.ClassCompute}
	e.stepLeases(lease.Hasten{Key: key, At: e.now + max(left, minLook)})
}

// unknownTask deals with a task that this host did not start. Replicas are
// adopted, or stopped if their service is not declared any more. A job's
// attempt is left to the recovery; one that the log says is over is stopped.
func (e *Engine) unknownTask(w *zoneWorker, service ident.ServiceID, id ident.AttemptID, t ports.TaskReport) {
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

// closedInLog reports whether the log says that an attempt is over.
//
// It guards against a host that was paused and still takes itself for the
// owner: what it has not read yet may have opened the attempt. What is not
// known is therefore not closed; stopping the task and having its worker forget
// it would make the true owner believe that it never started.
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

// adopt books an attempt that an earlier scheduler started. Its units are
// those of that scheduler until they are reclaimed.
func (e *Engine) adopt(a *attempt) {
	a.holder = e.units.State().Heir(a.holder)
	a.borrowed = !e.takeBackLeftAttempt(a.ID) && a.holder != e.opts.Self
	e.zone.attempts.add(a)
}

// findMissing closes attempts that were running before the report was asked
// for and that the worker does not have any more: it lost them.
func (e *Engine) findMissing(w *zoneWorker) {
	for _, a := range e.zone.attempts.onWorker(w.id) {
		if a.phase != phaseRunning || a.startedAt >= w.sentAt || reportOf(w.tasks, a) != nil {
			continue
		}
		e.endLost(a, "the worker no longer has it")
	}
}

// computeLost takes a worker out of choice. What runs there goes on until the
// worker's own task lease ends, so nothing is started again yet.
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
		w.quiet = true
		e.stepSched(sched.WorkerCordoned{Worker: key.Worker, Cordoned: true})
	}
	e.idleComputeIfQuiet(key.Worker)
}

// idleComputeIfQuiet lets a handover go on once no start is on its way.
func (e *Engine) idleComputeIfQuiet(worker ident.WorkerID) {
	if e.zone == nil {
		return
	}
	w := e.zone.workers[worker]
	if w == nil || !w.quiet {
		return
	}
	if e.zone.attempts.startsOn(worker) {
		return
	}
	e.stepLeases(lease.Idle{Key: lease.Key{Worker: worker, Class: ports.ClassCompute}})
}

// tickZone lets time pass in the zone's work.
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
	e.buryWorkers()
}

// buryWorkers gives up workers whose lease was lost for so long that nothing
// that was started there can run any more.
//
// It guards against starting a task again while its first run goes on on a
// worker that is alive but cannot be reached. The worker stops its tasks by
// its own clock when the task TTL has passed since the last renewal that
// reached it, which is at the latest when the lease was lost here. Another
// host that renewed the lease meanwhile would keep the tasks alive; attempts
// of jobs are therefore settled by a recovery, which asks every host of the
// zone to promise that it does not.
func (e *Engine) buryWorkers() {
	var dead []*zoneWorker
	for _, w := range e.zone.workers {
		if !w.held && e.now-w.lostAt >= e.taskSpan() {
			dead = append(dead, w)
		}
	}
	slices.SortFunc(dead, func(a, b *zoneWorker) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, w := range dead {
		e.bury(w)
	}
}

func (e *Engine) bury(w *zoneWorker) {
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

// taskSpan is how long after the loss of a lease a task may still run.
func (e *Engine) taskSpan() time.Duration {
	ttl := e.opts.Lease.TaskTTL
	return ttl + time.Duration(float64(ttl)*e.opts.Lease.Drift) + e.leaseTTL()
}
