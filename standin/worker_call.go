package standin

import (
	"slices"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Ticket is a call that occupies a slot. It is given back with EndCall.
type Ticket struct {
	Key  string
	Rate float64 // speed of the worker as a share of full speed
	Fail bool    // the worker fails everything
}

// BeginCall gives a call a slot and a connection. cancel is called, without
// waiting, if the worker stops the call; it may be nil. The errors are
// *ports.RefusedError and *NoAnswerError. Only the fields of the call that
// come before its path are read.
func (w *WorkerState) BeginCall(now time.Duration, call ports.Call, cancel func()) (Ticket, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	const op = "call"
	if err := w.awake(op); err != nil {
		return Ticket{}, err
	}
	local := w.advance(now)
	if call.ID.IsZero() || call.Deadline <= 0 {
		return Ticket{}, refused(op, ports.RefusedMalformed)
	}
	lease := w.leases[ports.ClassSlots]
	if err := lease.check(op, local, call.Epoch, call.Holder); err != nil {
		return Ticket{}, err
	}
	if !slices.Contains(w.cfg.Services, call.Service) {
		return Ticket{}, refused(op, ports.RefusedService)
	}
	t := w.callTask(call, cancel)
	if err := w.begin(op, now, local, t); err != nil {
		return Ticket{}, err
	}
	return Ticket{Key: t.key, Rate: t.rate, Fail: w.faults.FailAll}, nil
}

// callTask describes a call as a task.
func (w *WorkerState) callTask(call ports.Call, cancel func()) *task {
	t := &task{
		id: call.ID.String(), class: ports.ClassSlots, team: call.Team, need: resource.Request,
		holder: call.Holder, epoch: call.Epoch, limit: call.Deadline,
		once: call.NonIdempotent, call: true, cancel: cancel,
	}
	t.key = t.id
	if w.seen.has(t.id) && !t.once {
		w.serial++
		t.key = t.id + "#" + strconv.FormatUint(w.serial, 10)
	}
	return t
}

// EndCall gives the slot of a call back. It does nothing if the worker has
// stopped the call before.
func (w *WorkerState) EndCall(now time.Duration, ticket Ticket, end End) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[ticket.Key]
	if !ok {
		return
	}
	w.finish(now, w.clock.local(now), t, end)
}
