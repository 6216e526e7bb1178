package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
)

// sentCall is a call in flight to a worker.
type sentCall struct {
	worker   ident.WorkerID
	epoch    ports.Epoch
	team     ident.TeamID
	deadline time.Duration
}

// requestBook holds the calls in flight and those that ended recently. It
// distinguishes them from calls of other hosts in a worker's report.
type requestBook struct {
	sent       map[ident.TaskID]sentCall
	ended      map[ident.TaskID]time.Duration
	endedOrder []endedCall // ended calls, oldest first
	lingering  map[ident.TaskID]lingeringCall
}

type endedCall struct {
	id ident.TaskID
	at time.Duration
}

func newRequestBook() requestBook {
	return requestBook{
		sent:      map[ident.TaskID]sentCall{},
		ended:     map[ident.TaskID]time.Duration{},
		lingering: map[ident.TaskID]lingeringCall{},
	}
}

// endedRetention is how long an ended call is kept: longer than a worker's
// answer to a renewal can take.
const endedRetention = 10 * time.Second

// accounted reports whether a running call, listed in a worker's report that
// was requested at sentAt, is already counted by the request path.
func (b *requestBook) accounted(worker ident.WorkerID, text string, sentAt time.Duration) bool {
	id, err := ident.ParseTaskID(text)
	if err != nil {
		return false
	}
	if sent, ok := b.sent[id]; ok {
		return sent.worker == worker
	}
	endedAt, ok := b.ended[id]
	return ok && endedAt >= sentAt
}

// end records the end of a call at now and returns the call. It returns false
// if the call was not in flight.
func (b *requestBook) end(id ident.TaskID, now time.Duration) (sentCall, bool) {
	sent, ok := b.sent[id]
	if !ok {
		return sentCall{}, false
	}
	delete(b.sent, id)
	b.ended[id] = now
	b.endedOrder = append(b.endedOrder, endedCall{id: id, at: now})
	return sent, true
}

// expire removes calls that ended more than endedRetention ago. A call that was
// retried and ended again has two entries and is removed with the later one.
func (b *requestBook) expire(now time.Duration) {
	n := 0
	for n < len(b.endedOrder) && now-b.endedOrder[n].at > endedRetention {
		if old := b.endedOrder[n]; b.ended[old.id] == old.at {
			delete(b.ended, old.id)
		}
		n++
	}
	b.endedOrder = b.endedOrder[n:]
}

func (e *Engine) stepRouter(ev request.Event) {
	e.routerPump.run(e.router.Step(e.now, ev), e.routerCommand)
}

func (e *Engine) routerCommand(cmd request.Command) {
	switch cmd := cmd.(type) {
	case request.Dispatch:
		e.dispatch(cmd)
	case request.Forward:
		e.forward(cmd)
	case request.Complete:
		e.emit(RequestDone{ID: cmd.ID})
	case request.Reject:
		e.emit(RequestDone{ID: cmd.ID, Cause: cmd.Cause})
		e.claimEnded(cmd.ID, cmd.Cause.Outcome())
	case request.NeedUnits:
		e.demand.request(cmd.Team, cmd.Units)
	}
}

// dispatch sends a call under the epoch of the slots lease. If the lease
// expired while this host was paused, there is no epoch to send under, and the
// call is returned to the router as not run.
func (e *Engine) dispatch(cmd request.Dispatch) {
	key := lease.Key{Worker: cmd.Worker, Class: ports.ClassSlots}
	epoch, held := e.leases.Epoch(key, e.now)
	entry, listed := e.members.Worker(cmd.Worker)
	if !held || !listed {
		e.stepRouter(request.Finished{ID: cmd.ID, Result: request.ResultNotRun, Refused: true})
		return
	}
	e.calls.sent[cmd.ID] = sentCall{worker: cmd.Worker, epoch: epoch, team: cmd.Team, deadline: cmd.Deadline}
	e.emit(CallWorker{ID: cmd.ID, Worker: cmd.Worker, Addr: entry.Addr, Epoch: epoch, Try: cmd.Try})
}

func (e *Engine) forward(cmd request.Forward) {
	for _, p := range e.view.Hosts {
		if p.Host == cmd.Peer {
			e.emit(ForwardCall{ID: cmd.ID, Peer: cmd.Peer, Addr: p.Addr, Try: cmd.Try})
			return
		}
	}
	e.stepRouter(request.Finished{ID: cmd.ID, Result: request.ResultNotRun, Refused: true})
}

func (e *Engine) requestAdmitted(ev RequestAdmitted) {
	if e.config.state() == nil {
		e.emit(RequestDone{ID: ev.Request.ID, Cause: &request.RejectedError{Cause: request.CauseNoWorker, RetryAfter: time.Second}})
		return
	}
	if ev.Key == "" {
		e.stepRouter(ev.Request)
		return
	}
	e.claim(ev)
}

// requestFinished handles the end of a call. A refusal for a stale epoch or a
// lapsed lease is also passed to the lease manager.
func (e *Engine) requestFinished(ev RequestFinished) {
	id := ev.Finished.ID
	if sent, ok := e.calls.end(id, e.now); ok && ev.Finished.Result.MayStillRun() {
		e.linger(id, sent)
	}
	switch ev.Refusal {
	case ports.RefusedEpoch, ports.RefusedLapsed:
		key := lease.Key{Worker: ev.Worker, Class: ports.ClassSlots}
		e.stepLeases(lease.EpochRefused{Key: key, Epoch: ev.Epoch})
		ev.Finished.Refused = true
	case "":
	default:
		ev.Finished.Refused = true
	}
	if ev.Finished.Result == request.ResultAnswered {
		e.claimAnswered(id)
	}
	e.stepRouter(ev.Finished)
	e.reportSlotsIdle(ev.Worker)
}

// reportSlotsIdle lets the handover of a worker continue once no call is in
// flight.
func (e *Engine) reportSlotsIdle(worker ident.WorkerID) {
	if worker != "" && e.router.InFlight(worker) == 0 {
		e.stepLeases(lease.Idle{Key: lease.Key{Worker: worker, Class: ports.ClassSlots}})
	}
}
