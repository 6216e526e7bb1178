package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
)

// lingeringCall is a call that ended for the request path without a conclusive
// answer and may still run on its worker.
type lingeringCall struct {
	sentCall
	since time.Duration // when it ended for the request path
}

// requestLimits lets the request path use the units of this host. When the
// request path returns the unit of a call that may still run, the unit remains
// in use.
type requestLimits struct {
	units    *ledger.Holder
	retained map[ident.TeamID]int64 // units that the next calls of Done must not return
}

// TryUse implements request.Limits.
func (l *requestLimits) TryUse(team ident.TeamID, units int64) bool {
	return l.units.TryUse(team, units)
}

// Done implements request.Limits.
func (l *requestLimits) Done(team ident.TeamID, units int64) {
	retained := min(l.retained[team], units)
	l.retained[team] -= retained
	if units > retained {
		l.units.Done(team, units-retained)
	}
}

// linger keeps the unit of a call in use until the call can no longer run.
//
// Without it, a team could exceed its limit: an answer is lost or late, the
// caller is answered, the unit goes to the next request, and the worker runs
// both calls. The unit is returned when the call is not in a report requested
// after every message of the call must have arrived, or when the worker, by its
// own clock, must have stopped the call at its deadline.
func (e *Engine) linger(id ident.TaskID, sent sentCall) {
	e.requestUnits.retained[sent.team] += request.UnitsOfRequest
	e.calls.lingering[id] = lingeringCall{sentCall: sent, since: e.now}
}

// expireLingering returns the units of calls whose deadline has passed on their
// worker even at the largest clock drift.
func (e *Engine) expireLingering() {
	for id, c := range e.calls.lingering {
		left := c.deadline - c.since
		span := max(left, 0) + time.Duration(float64(max(left, 0))*e.opts.Lease.Drift)
		if e.now >= c.since+span+maxCallDelay {
			e.endLingering(id, c)
		}
	}
}

// reportLingering returns the units of calls that a worker's report no longer
// lists as running. Reports requested less than maxCallDelay after the end of a
// call do not count for it: its messages may not have arrived yet.
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
