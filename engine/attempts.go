package engine

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
)

// phase is the state of an attempt on this host.
type phase uint8

const (
	phaseAssigning phase = iota + 1 // its Assigned record has not been read back yet
	phaseStarting                   // the start was sent and not answered
	phaseRunning
	phaseEnding // its end is known, but the Ended record has not been read back yet
)

const (
	startRetry = 400 * time.Millisecond // time after which an unanswered start is sent again
	// maxSendFailures is the number of consecutive starts that failed before
	// anything was sent at which the attempt is closed as never started.
	maxSendFailures = 3
)

// attempt is an attempt that this host assigned or adopted.
type attempt struct {
	sched.Assign
	name         string // of the task on its worker
	phase        phase
	lease        ports.Epoch // epoch of the compute lease that it is started under
	boot         uint64      // the worker's boot number when it was assigned
	maybeSent    bool        // a start got no answer and may have reached the worker
	sendFailures int         // consecutive starts that failed before anything was sent
	retryAt      time.Duration
	startedAt    time.Duration // when the start was known to have taken effect
	stop         stopCall
	// borrowed means that the units it uses still belong to the earlier holder
	// that started it.
	borrowed bool
	holder   ident.Holder // the holder that started it, or the one that took over that holder's units
}

// servicePrefix begins the task names of service replicas on workers. Replicas
// have no record in the log.
const servicePrefix = "service:"

// taskName returns the name of an attempt's task on its worker.
func taskName(service ident.ServiceID, id ident.AttemptID) string {
	if service == "" {
		return id.String()
	}
	return servicePrefix + string(service) + ":" + id.String()
}

// parseTaskName parses a name that taskName returned. The last result is false
// if text is no such name.
func parseTaskName(text string) (ident.ServiceID, ident.AttemptID, bool) {
	var service string
	if rest, ok := strings.CutPrefix(text, servicePrefix); ok {
		service, text, ok = strings.Cut(rest, ":")
		if !ok {
			return "", ident.AttemptID{}, false
		}
	}
	id, err := ident.ParseAttemptID(text)
	return ident.ServiceID(service), id, err == nil
}

// serviceSeq returns a job number for a service: a hash of its name and the
// number of the scheduler within the host's incarnation.
func serviceSeq(id ident.ServiceID, schedulerNumber uint64) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id)) // a hash never fails
	_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, schedulerNumber))
	return sum.Sum64()
}

// assign handles an assignment by the scheduler. A replica is started at once,
// a job's attempt when its record has been read back.
func (e *Engine) assign(cmd sched.Assign) {
	key := lease.Key{Worker: cmd.Worker, Class: ports.ClassCompute}
	epoch, held := e.leases.Epoch(key, e.now)
	w := e.zone.workers[cmd.Worker]
	if !held || w == nil || w.quiesced {
		e.stepSched(sched.StartRefused{ID: cmd.ID})
		return
	}
	a := &attempt{Assign: cmd, phase: phaseAssigning, lease: epoch, boot: w.boot, holder: e.opts.Self}
	e.zone.attempts.add(a)
	if cmd.Service != "" {
		e.start(a)
		return
	}
	e.propose(&assignment{a: a, zone: e.zone}, jobs.Record{Assigned: &jobs.Assigned{
		Attempt: cmd.ID,
		Worker:  cmd.Worker,
		Lease:   epoch,
		Boot:    w.boot,
	}}, 0)
}

// start sends the start under the lease epoch in the attempt's record. If the
// epoch has changed, another host may have held the worker in between, and a
// recovery that relies on the record would search under the wrong lease.
func (e *Engine) start(a *attempt) {
	if a.phase == phaseAssigning && a.stop.control != "" {
		e.endNeverStarted(a, "")
		return
	}
	epoch, held := e.leases.Epoch(lease.Key{Worker: a.Worker, Class: ports.ClassCompute}, e.now)
	entry, listed := e.members.Worker(a.Worker)
	if !held || !listed || epoch != a.lease {
		if a.maybeSent {
			return // the worker's next report shows whether it runs
		}
		e.endNeverStarted(a, "")
		return
	}
	a.phase = phaseStarting
	e.zone.attempts.startSent(a)
	a.retryAt = e.now + startRetry
	e.emit(StartTask{
		ID:     a.ID,
		Worker: a.Worker,
		Addr:   entry.Addr,
		Request: ports.StartRequest{
			Class:   ports.ClassCompute,
			Epoch:   epoch,
			Holder:  e.opts.Self,
			ID:      a.name,
			Team:    a.Team,
			Need:    a.Need,
			Run:     a.Run,
			Limit:   a.Limit,
			Payload: a.Payload,
		},
	})
}

// startAnswered handles the answer to a start. A start without an answer is
// sent again with the same name and epoch: the worker accepts a name only once,
// so a refusal as duplicate means that an earlier start arrived.
func (e *Engine) startAnswered(ev StartAnswered) {
	if e.zone == nil {
		return
	}
	a := e.zone.attempts.get(ev.ID)
	if a == nil || a.phase != phaseStarting || a.lease != ev.Epoch {
		return
	}
	var notSent *ports.NotSentError
	switch refusal := refusalOf(ev.Err); {
	case ev.Err == nil || refusal == ports.RefusedDuplicate:
		e.started(a)
	case refusal != "":
		e.startRefused(a, refusal)
	case errors.As(ev.Err, &notSent):
		a.sendFailures++
		if a.sendFailures >= maxSendFailures && !a.maybeSent {
			e.endNeverStarted(a, "")
		}
	default:
		a.maybeSent = true
	}
	e.reportComputeIdle(a.Worker)
}

func (e *Engine) started(a *attempt) {
	a.phase = phaseRunning
	a.startedAt = e.now
	e.stepSched(sched.AttemptStarted{ID: a.ID})
	if a.stop.control != "" {
		e.resendStop(a)
		return
	}
	e.scheduleEndReport(a, 0)
}

// startRefused handles a worker's refusal of a start.
//
// It prevents a start from taking effect after its attempt was closed as never
// started: one start got no answer and is still in flight, a second one is
// refused, and the worker then has capacity for the first. A refusal therefore
// closes an attempt only if no earlier start is unanswered. Otherwise the lease
// is acquired again: the worker then refuses the old epoch, and the grant lists
// the tasks that it has.
func (e *Engine) startRefused(a *attempt, refusal ports.Refusal) {
	if refusal == ports.RefusedEpoch || refusal == ports.RefusedLapsed {
		key := lease.Key{Worker: a.Worker, Class: ports.ClassCompute}
		e.stepLeases(lease.EpochRefused{Key: key, Epoch: a.lease})
	}
	if a.maybeSent {
		e.reacquireLease(a.Worker, a.lease)
		return
	}
	e.endNeverStarted(a, refusal)
}

// endNeverStarted closes an attempt that certainly never ran. refusal is the
// worker's reason, empty for none.
func (e *Engine) endNeverStarted(a *attempt, refusal ports.Refusal) {
	if a.Service != "" {
		e.zone.attempts.drop(a)
		e.stepSched(sched.StartRefused{ID: a.ID, Reason: refusal})
		return
	}
	a.phase = phaseEnding
	e.propose(&ending{
		a:          a,
		schedEvent: sched.StartRefused{ID: a.ID, Reason: refusal},
	}, endedRecord(a.ID, jobs.ResultNeverStarted, string(refusal)), 0)
}

func endedRecord(id ident.AttemptID, result jobs.Result, reason string) jobs.Record {
	return jobs.Record{Ended: &jobs.Ended{Attempt: id, Result: result, Reason: reason}}
}

// endReported closes an attempt that its worker reports as ended. The report is
// acknowledged only when the record is in the log; until then the worker keeps
// it.
func (e *Engine) endReported(a *attempt, t ports.TaskReport) {
	if a.phase == phaseEnding {
		return
	}
	ended := sched.AttemptEnded{ID: a.ID, Failed: t.Failed, Stopped: t.Stopped, Reason: t.Reason, Ran: t.Ran, Usage: t.Usage}
	if a.Service != "" {
		e.closeAttempt(a, ended)
		e.ackTask(a.Worker, t.ID)
		return
	}
	a.phase = phaseEnding
	e.propose(&ending{a: a, schedEvent: ended, ack: t.ID}, endedRecord(a.ID, resultOfReport(t), t.Reason), 0)
}

// endLost closes an attempt that may have run and can no longer be running. Its
// outcome is unknown.
func (e *Engine) endLost(a *attempt, reason string) {
	if a.phase == phaseEnding {
		return
	}
	ended := sched.AttemptEnded{ID: a.ID, Unknown: true, Reason: reason}
	if a.Service != "" {
		e.closeAttempt(a, ended)
		return
	}
	a.phase = phaseEnding
	e.propose(&ending{a: a, schedEvent: ended}, endedRecord(a.ID, jobs.ResultLost, reason), 0)
}

func resultOfReport(t ports.TaskReport) jobs.Result {
	switch {
	case t.Stopped:
		return jobs.ResultStopped
	case t.Failed:
		return jobs.ResultFailed
	}
	return jobs.ResultSucceeded
}

// closeAttempt removes an attempt and reports its end to the scheduler. The
// units of a borrowed attempt are not returned to this host's account: they
// belong to the earlier holder and come with the reclaim of its units.
func (e *Engine) closeAttempt(a *attempt, ev sched.Event) {
	e.zone.attempts.drop(a)
	if a.borrowed {
		e.zone.limits.borrowed[a.Team] += resource.LimitUnits(a.Need)
	}
	e.stepSched(ev)
}

func (e *Engine) ackTask(worker ident.WorkerID, name string) {
	key := lease.Key{Worker: worker, Class: ports.ClassCompute}
	e.stepLeases(lease.Acked{Key: key, IDs: []string{name}})
}

func (e *Engine) control(cmd sched.Control) {
	a := e.zone.attempts.get(cmd.ID)
	if a == nil {
		return
	}
	e.controlTask(cmd.Worker, a.name, cmd.Control)
	if cmd.Control == ports.ControlCheckpoint {
		e.note(NoteDisplacement, "displaces "+a.name+" of team "+string(a.Team)+" from worker "+string(cmd.Worker))
	}
	if cmd.Control == ports.ControlStop || cmd.Control == ports.ControlCheckpoint {
		e.stopSent(a, cmd.Control)
	}
}

func (e *Engine) controlTask(worker ident.WorkerID, name string, control ports.Control) {
	epoch, held := e.leases.Epoch(lease.Key{Worker: worker, Class: ports.ClassCompute}, e.now)
	entry, listed := e.members.Worker(worker)
	if !held || !listed {
		return
	}
	e.emit(ControlTask{Worker: worker, Addr: entry.Addr, Request: ports.ControlRequest{
		Class:   ports.ClassCompute,
		Epoch:   epoch,
		ID:      name,
		Control: control,
	}})
}

// retryStarts sends unanswered starts again when their retry is due.
func (e *Engine) retryStarts() {
	for _, a := range e.zone.attempts.unanswered() {
		if e.zone.attempts.has(a) && a.phase == phaseStarting && e.now >= a.retryAt {
			e.start(a)
		}
	}
}
