package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
)

// lingeringCall is a call that was given up and may still run on its worker.
type lingeringCall struct {
	sentCall
	since time.Duration
}

// requestLimits gives the request path the units of this host. A unit of a
// call that may still run is not returned when the request path lets go of it.
type requestLimits struct {
	units *ledger.Holder
	kept  map[ident.TeamID]int64 // units that the next Done must not return
}

// TryUse implements request.Limits.
func (l *requestLimits) TryUse(team ident.TeamID, units int64) bool {
	return l.units.TryUse(team, units)
}

// Done implements request.Limits.
func (l *requestLimits) Done(team ident.TeamID, units int64) {
	keep := min(l.kept[team], units)
	l.kept[team] -= keep
	if units > keep {
		l.units.Done(team, units-keep)
	}
}

// linger keeps the unit of a call in use until the call cannot run any more.
//
// It guards against a team over its upper limit: an answer is lost or late, the
// caller is told so, the unit is given to the next request, and the worker runs
// both. The unit is free when a report that was asked for after every message
// of the call must have arrived does not list it, or when the worker must have
// stopped it at its deadline by its own clock.
func (e *Engine) linger(id ident.TaskID, sent sentCall) {
	e.requestUnits.kept[sent.team] += request.UnitsOfRequest
	e.calls.lingering[id] = lingeringCall{sentCall: sent, since: e.now}
}

// expireLingering frees the units of calls whose deadline has passed for sure.
func (e *Engine) expireLingering() {
	for id, c := range e.calls.lingering {
		left := c.deadline - c.since
		span := max(left, 0) + time.Duration(float64(max(left, 0))*e.opts.Lease.Drift)
		if e.now >= c.since+span+maxCallDelay {
			e.endLingering(id, c)
		}
	}
}

// reportLingering frees the units of calls that a worker no longer runs.
func (e *Engine) reportLingering(worker ident.WorkerID, sentAt time.Duration, tasks []ports.TaskReport) {
	running := map[string]bool{}
	for _, t := range tasks {
		if !t.Ended {
			running[t.ID] = true
		}
	}
	for id, c := range e.calls.lingering {
		if c.worker == worker && sentAt >= c.since+maxCallDelay && !running[id.String()] {
			e.endLingering(id, c)
		}
	}
}

func (e *Engine) endLingering(id ident.TaskID, c lingeringCall) {
	delete(e.calls.lingering, id)
	e.units.Done(c.team, request.UnitsOfRequest)
}
