package engine

import (
	"errors"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
)

func (e *Engine) stepLeases(ev lease.Event) {
	for _, cmd := range e.leases.Step(e.now, ev) {
		e.leaseCommand(cmd)
	}
}

func (e *Engine) leaseCommand(cmd lease.Command) {
	switch cmd := cmd.(type) {
	case lease.Acquire:
		e.sendLease(cmd.Key, cmd.SentAt, cmd.Request)
	case lease.Renew:
		e.sendLease(cmd.Key, cmd.SentAt, cmd.Request)
	case lease.Release:
		if entry, ok := e.members.Worker(cmd.Worker); ok {
			e.emit(SendRelease{Key: cmd.Key, Addr: entry.Addr, Epoch: cmd.Epoch})
		}
	case lease.Gained:
		e.gained(cmd)
	case lease.Reported:
		e.reported(cmd)
	case lease.Quiesce:
		e.quiesce(cmd.Key)
	case lease.Lost:
		e.lost(cmd)
	}
}

func (e *Engine) sendLease(key lease.Key, sentAt time.Duration, req ports.LeaseRequest) {
	entry, ok := e.members.Worker(key.Worker)
	if !ok {
		return // no longer listed; the request times out in the lease manager
	}
	e.emit(SendLease{Key: key, Addr: entry.Addr, SentAt: sentAt, Request: req})
}

// leaseAnswered passes a worker's answer to membership and the lease manager.
func (e *Engine) leaseAnswered(ev LeaseAnswered) {
	var refused *ports.RefusedError
	switch {
	case ev.Err == nil:
		e.stepMembers(member.WorkerAnswered{Worker: ev.Key.Worker})
		e.stepLeases(lease.Granted{Key: ev.Key, SentAt: ev.SentAt, Grant: ev.Grant})
	case errors.As(ev.Err, &refused):
		e.stepMembers(member.WorkerAnswered{Worker: ev.Key.Worker})
		e.stepLeases(lease.Refused{Key: ev.Key, SentAt: ev.SentAt, Epoch: ev.Epoch, Refusal: refused.Refusal, Left: refused.Left})
	default:
		if e.zone != nil && ev.Key.Class == ports.ClassCompute {
			e.zone.failed[ev.Key.Worker] = true
		}
		e.stepLeases(lease.Failed{Key: ev.Key, SentAt: ev.SentAt})
	}
}

func refusalOf(err error) ports.Refusal {
	var refused *ports.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return ""
}

func (e *Engine) gained(ev lease.Gained) {
	e.note(NoteLease, "holds the "+string(ev.Class)+" lease of worker "+string(ev.Worker))
	e.reports[ev.Key] = ev.Tasks
	e.stepUnits(ledger.LeasesHeld{Any: true})
	if ev.Class == ports.ClassCompute {
		e.computeGained(ev)
		return
	}
	entry, listed := e.members.Worker(ev.Worker)
	e.stepRouter(request.WorkerReady{
		Worker:      ev.Worker,
		Rack:        entry.Rack,
		Services:    entry.Service,
		Slots:       ev.Size.Slots,
		Connections: ev.Size.Connections,
		Occupied:    e.uncountedCalls(ev.Worker, ev.SentAt, ev.Tasks),
	})
	if listed {
		e.applyMark(entry)
	}
	e.ackCalls(ev.Key, ev.Tasks)
}

func (e *Engine) reported(ev lease.Reported) {
	e.reports[ev.Key] = ev.Tasks
	if ev.Class == ports.ClassCompute {
		e.computeReported(ev)
		return
	}
	e.stepRouter(request.WorkerOccupancy{Worker: ev.Worker, Occupied: e.uncountedCalls(ev.Worker, ev.SentAt, ev.Tasks)})
	if len(e.calls.lingering) > 0 {
		e.reportLingering(ev.Worker, ev.SentAt, ev.Tasks)
	}
	e.ackCalls(ev.Key, ev.Tasks)
}

// uncountedCalls returns the number of calls that run on a worker but are not in
// flight in the request path: calls of earlier lease holders, and this host's
// own calls that ended here, for example by a timeout, but still run there. A
// call that ended here after the report was requested may still be listed in it
// and is not counted.
func (e *Engine) uncountedCalls(worker ident.WorkerID, sentAt time.Duration, tasks []ports.TaskReport) int64 {
	var n int64
	for _, t := range tasks {
		if !t.Ended && !e.calls.accounted(worker, t.ID, sentAt) {
			n++
		}
	}
	return n
}

// ackCalls acknowledges ended calls, so that the worker can delete them. Their
// answers have gone to the callers directly.
func (e *Engine) ackCalls(key lease.Key, tasks []ports.TaskReport) {
	var ids []string
	for _, t := range tasks {
		if t.Ended {
			ids = append(ids, t.ID)
		}
	}
	if len(ids) > 0 {
		e.stepLeases(lease.Acked{Key: key, IDs: ids})
	}
}

// quiesce stops new starts on a worker whose lease is handed over to another
// host, and reports the lease idle if none is in flight.
func (e *Engine) quiesce(key lease.Key) {
	if key.Class == ports.ClassCompute {
		e.computeQuiesced(key)
		return
	}
	e.stepRouter(request.WorkerLeaving{Worker: key.Worker, Leaving: true})
	if e.router.InFlight(key.Worker) == 0 {
		e.stepLeases(lease.Idle{Key: key})
	}
}

// lost takes a worker out of use. If it was the last lease, the ledger is
// notified at once, even if another lease is gained at the same time: in
// between, other hosts may have proved that this host can start nothing.
func (e *Engine) lost(ev lease.Lost) {
	e.note(NoteLease, "no longer holds the "+string(ev.Class)+" lease of worker "+string(ev.Worker))
	delete(e.reports, ev.Key)
	if len(e.reports) == 0 {
		e.stepUnits(ledger.LeasesHeld{Any: false})
	}
	if ev.Class == ports.ClassCompute {
		e.computeLost(ev)
		return
	}
	e.stepRouter(request.WorkerGone{Worker: ev.Worker})
}
