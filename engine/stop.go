package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
)

// stopOrder is the stop or checkpoint that was sent for an attempt.
type stopOrder struct {
	control ports.Control // empty if none was
	first   time.Duration // when it was first sent
	last    time.Duration
}

// stopRetry is the time after which a task that still runs is told again.
const stopRetry = 400 * time.Millisecond

// stopOrdered notes that a stop or checkpoint of an attempt was just sent.
//
// It guards against an order that overtakes the start: the worker does not know
// the task yet and ignores it, the task then starts, and urgent work waits for
// its room until the scheduler repeats the order seconds later. So an attempt
// whose start was not sent is never started, and one whose start was under way
// is told again as soon as it runs.
func (e *Engine) stopOrdered(a *attempt, control ports.Control) {
	if a.stop.control == "" {
		a.stop.first = e.now
	}
	a.stop.control = control
	a.stop.last = e.now
	e.expectStop(a)
}

// sendStop sends the order again.
func (e *Engine) sendStop(a *attempt) {
	e.controlTask(a.Worker, a.name, a.stop.control)
	a.stop.last = e.now
	e.expectStop(a)
}

// stillRuns takes a report in which a task runs that was told to stop. The
// order may be lost, so it is sent again after a while.
func (e *Engine) stillRuns(a *attempt) {
	if e.now >= a.stop.last+stopRetry {
		e.sendStop(a)
		return
	}
	e.expectStop(a)
}

// expectStop has the worker's report fetched soon after a stop or checkpoint was
// sent. Nothing else tells that the task has ended: urgent work for which it is
// displaced would wait for the next renewal, which may be seconds away. A task
// that takes long to stop is looked for at growing intervals.
func (e *Engine) expectStop(a *attempt) {
	key := lease.Key{Worker: a.Worker, Class: ports.ClassCompute}
	waited := e.now - a.stop.first
	e.stepLeases(lease.Hasten{Key: key, At: e.now + max(waited/2, minLook)})
}
