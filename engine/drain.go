package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/request"
)

// leaveWait is how long a planned stop waits for the log to take the record
// that gives this host's units to others. Without it the units come back by a
// reclaim, later.
const leaveWait = 5 * time.Second

// drainNotice is how long a planned stop lasts at least. Meanwhile whatever
// arrives is refused as "not run", and peers and the platform's balancer learn
// that this host takes nothing. What they sent to a host that had gone already
// would break on its way, and nobody could tell whether it ran.
const drainNotice = time.Second

// drain starts the planned stop: nothing new is admitted, leases go to other
// hosts, requests in flight end, and the units are given away.
func (e *Engine) drain() {
	if e.draining {
		return
	}
	e.draining = true
	e.drainBy = e.now + drainNotice
	e.note(NoteDrain, "is stopping: takes nothing new and finishes what is in flight")
	e.stepRouter(request.DrainStarted{})
	e.stepMembers(member.Drain{})
	e.stepLeases(lease.Drain{})
}

// tickDrain reports when the planned stop is complete. Units are given away
// only after the last request has ended, or they would be used twice.
func (e *Engine) tickDrain() {
	if !e.draining || e.drained || e.now < e.drainBy {
		return
	}
	if e.router.InFlight("") > 0 || len(e.proposals) > 0 || !e.leases.Drained(e.now) {
		return
	}
	if !e.leaving {
		e.leaving = true
		e.leaveBy = e.now + leaveWait
		e.stepUnits(ledger.Leaving{})
	}
	if e.reclaim.left || e.now >= e.leaveBy {
		e.drained = true
		e.emit(Drained{})
	}
}
