package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
)

// stopCall is the stop or checkpoint call that was sent for an attempt.
type stopCall struct {
	control ports.Control // empty if none was sent
	first   time.Duration // when it was first sent
	last    time.Duration // when it was last sent
}

// stopRetry is the time after which the call is repeated if the task still
// runs.
const stopRetry = 400 * time.Millisecond

// stopSent records that a stop or checkpoint of an attempt was just sent.
//
// The call may overtake the start: the worker ignores it because it does not
// know the task yet, the task then starts, and urgent work waits for its
// resources until the scheduler repeats the call seconds later. An attempt
// whose start was not sent yet is therefore never started, and for an attempt
// whose start was in flight the call is repeated as soon as it runs.
func (e *Engine) stopSent(a *attempt, control ports.Control) {
	if a.stop.control == "" {
		a.stop.first = e.now
	}
	a.stop.control = control
	a.stop.last = e.now
	e.scheduleStopReport(a)
}

// resendStop sends the stop or checkpoint call again.
func (e *Engine) resendStop(a *attempt) {
	e.controlTask(a.Worker, a.name, a.stop.control)
	a.stop.last = e.now
	e.scheduleStopReport(a)
}

// repeatStopIfDue handles a report in which a task still runs after a stop or
// checkpoint. The call may have been lost, so it is repeated after stopRetry.
func (e *Engine) repeatStopIfDue(a *attempt) {
	if e.now >= a.stop.last+stopRetry {
		e.resendStop(a)
		return
	}
	e.scheduleStopReport(a)
}

// scheduleStopReport schedules a fetch of the worker's report soon after a stop
// or checkpoint was sent. Only a report shows that the task has ended: the
// urgent work for which it is displaced would otherwise wait for the next
// renewal, which may be seconds away. For a task that takes long to stop the
// interval grows.
func (e *Engine) scheduleStopReport(a *attempt) {
	key := lease.Key{Worker: a.Worker, Class: ports.ClassCompute}
	waited := e.now - a.stop.first
	e.stepLeases(lease.Hasten{Key: key, At: e.now + max(waited/2, minReportDelay)})
}
