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

// phase says how far an attempt is.
type phase uint8

const (
	phaseAssigning phase = iota + 1 // its record is not read back yet
	phaseStarting                   // the start was sent and not answered
	phaseRunning
	phaseEnding // its end is known and its record not read back yet
)

const (
	startRetry = 400 * time.Millisecond // before an unanswered start is sent again
	// maxUnsent is how many starts in a row may fail before anything was sent
	// until the attempt is given back as never started.
	maxUnsent = 3
)

// attempt is one attempt that this host assigned or adopted.
type attempt struct {
	sched.Assign
	name      string // of the task on its worker
	phase     phase
	lease     ports.Epoch // under which it was or is to be started
	boot      uint64      // of the worker then
	maybeSent bool        // a start was sent and not answered
	unsent    int         // starts in a row that were not sent
	retryAt   time.Duration
	startedAt time.Duration // when the start was known to have taken effect
	stop      stopCall
	// borrowed means that the units it uses are still held by the dead holder
	// that started it.
	borrowed bool
	by       ident.Holder
}

// servicePrefix marks the task identifiers of service replicas on workers,
// which need no record in the log.
const servicePrefix = "service:"

// taskName is how an attempt is named on its worker.
func taskName(service ident.ServiceID, id ident.AttemptID) string {
	if service == "" {
		return id.String()
	}
	return servicePrefix + string(service) + ":" + id.String()
}

// parseTaskName reads what taskName wrote.
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

// serviceSeq numbers a service by its name and the scheduler's life.
func serviceSeq(id ident.ServiceID, life uint64) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id)) // a hash never fails
	_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, life))
	return sum.Sum64()
}

// assign begins an attempt. A replica is started at once; a job's attempt
// after its record has been read back.
func (e *Engine) assign(cmd sched.Assign) {
	key := lease.Key{Worker: cmd.Worker, Class: ports.ClassCompute}
	epoch, held := e.leases.Epoch(key, e.now)
	w := e.zone.workers[cmd.Worker]
	if !held || w == nil || w.quiesced {
		e.stepSched(sched.StartRefused{ID: cmd.ID})
		return
	}
	a := &attempt{Assign: cmd, phase: phaseAssigning, lease: epoch, boot: w.boot, by: e.opts.Self}
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

// start sends the start under the epoch that the record names. With another
// epoch the worker may have been another host's meanwhile, and a recovery that
// trusted the record would look for the attempt under the wrong lease.
func (e *Engine) start(a *attempt) {
	if a.phase == phaseAssigning && a.stop.control != "" {
		e.endNever(a, "")
		return
	}
	epoch, held := e.leases.Epoch(lease.Key{Worker: a.Worker, Class: ports.ClassCompute}, e.now)
	entry, listed := e.members.Worker(a.Worker)
	if !held || !listed || epoch != a.lease {
		if a.maybeSent {
			return // the next report of the worker decides
		}
		e.endNever(a, "")
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

// startAnswered settles a start. A start that got no answer is sent again
// under the same name and epoch: the worker takes a name once, so a duplicate
// refusal means that an earlier one arrived.
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
		a.unsent++
		if a.unsent >= maxUnsent && !a.maybeSent {
			e.endNever(a, "")
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

// startRefused takes a worker's refusal.
//
// It guards against a start that arrives after its attempt was given back: one
// start got no answer and is still on its way, a second one is refused, and the
// first then finds room. A refusal therefore settles an attempt only if no
// earlier start is unanswered; otherwise the lease is taken anew, since the
// worker refuses the old epoch from then on and its grant tells what it has.
func (e *Engine) startRefused(a *attempt, refusal ports.Refusal) {
	if refusal == ports.RefusedEpoch || refusal == ports.RefusedLapsed {
		key := lease.Key{Worker: a.Worker, Class: ports.ClassCompute}
		e.stepLeases(lease.EpochRefused{Key: key, Epoch: a.lease})
	}
	if a.maybeSent {
		e.reacquireLease(a.Worker, a.lease)
		return
	}
	e.endNever(a, refusal)
}

// endNever closes an attempt that truly did not run.
func (e *Engine) endNever(a *attempt, refusal ports.Refusal) {
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

// endReported closes an attempt that its worker reports as ended. The worker
// keeps the report until the record of it is in the log.
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

// endLost closes an attempt that may have run and cannot be running any more.
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

// closeAttempt tells the scheduler of the end and returns borrowed units to
// nobody: the dead holder's units come with the reclaim.
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

// retryStarts sends starts again that got no answer.
func (e *Engine) retryStarts() {
	for _, a := range e.zone.attempts.unanswered() {
		if e.zone.attempts.has(a) && a.phase == phaseStarting && e.now >= a.retryAt {
			e.start(a)
		}
	}
}
