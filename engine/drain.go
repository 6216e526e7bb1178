package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/request"
)

// leaveTimeout is the longest time that a planned stop waits until the log has
// the record that transfers this host's units to others. Without the record, the
// units are recovered later, by a reclaim.
const leaveTimeout = 5 * time.Second

// minDrainTime is the least duration of a planned stop. During it new requests
// are refused as "not run", and peers and the platform's load balancer learn
// that this host accepts no more. If the host stopped earlier, requests on the
// way to it would fail with an unknown outcome.
const minDrainTime = time.Second

// drain starts the planned stop: no new work is admitted, leases are handed
// over to other hosts, requests in flight end, and the units are transferred.
func (e *Engine) drain() {
	if e.draining {
		return
	}
	e.draining = true
	e.drainNotBefore = e.now + minDrainTime
	e.note(NoteDrain, "is stopping: takes nothing new and finishes what is in flight")
	e.stepRouter(request.DrainStarted{})
	e.stepMembers(member.Drain{})
	e.stepLeases(lease.Drain{})
}

// tickDrain continues the planned stop and reports when it is complete. Units
// are transferred only after the last request has ended; earlier, they could be
// used twice.
func (e *Engine) tickDrain() {
	if !e.draining || e.drained || e.now < e.drainNotBefore {
		return
	}
	if e.router.InFlight("") > 0 || len(e.proposals) > 0 || !e.leases.Drained(e.now) {
		return
	}
	if !e.transferringUnits {
		e.transferringUnits = true
		e.leaveDeadline = e.now + leaveTimeout
		e.stepUnits(ledger.Leaving{})
	}
	if e.reclaim.left || e.now >= e.leaveDeadline {
		e.drained = true
		e.emit(Drained{})
	}
}
