package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// granted handles a grant.
//
// It guards against late and duplicate answers. A grant counts from the SentAt
// of the request that it answers: a late grant gives only the rest of its span,
// a duplicate has no effect, and a grant of an epoch that was released, refused
// or replaced is dropped.
func (m *Manager) granted(now time.Duration, c *control, ev Granted) {
	current := m.answered(c, ev.SentAt, true)
	until := ev.SentAt + m.span
	if ev.Grant.Epoch < c.minEpoch || now >= until {
		if current {
			m.backOff(now, c) // the worker may repeat this grant; an immediate retry could loop without end
		}
		return
	}
	if c.holding() && ev.Grant.Epoch == c.epoch {
		m.renewed(now, c, ev, until)
		return
	}
	m.gained(now, c, ev, until)
}

// answered clears the pending request if it was sent at sentAt, and reports
// whether it was.
func (m *Manager) answered(c *control, sentAt time.Duration, granted bool) bool {
	if !c.pending || c.sentAt != sentAt {
		return false
	}
	c.pending = false
	if granted {
		c.failures = 0
		c.acks = append([]string(nil), c.acks[c.acksSent:]...)
	}
	c.acksSent = 0
	return true
}

func (m *Manager) renewed(now time.Duration, c *control, ev Granted, until time.Duration) {
	if ev.SentAt <= c.reportSentAt {
		return
	}
	c.until = until
	c.next = max(now, ev.SentAt+m.jitter(m.opts.RenewEvery))
	c.reportSentAt = ev.SentAt
	m.emit(Reported{Key: c.key, Epoch: c.epoch, SentAt: ev.SentAt, Boot: ev.Grant.Boot, Size: ev.Grant.Size, Tasks: ev.Grant.Tasks})
}

// gained handles the grant of a new epoch. If the lease is no longer wanted, it
// is released immediately; otherwise no host could use the worker for a whole
// TTL.
func (m *Manager) gained(now time.Duration, c *control, ev Granted, until time.Duration) {
	if c.holding() {
		m.emit(Lost{Key: c.key, Epoch: c.epoch})
		c.phase = phaseNone
	}
	c.epoch = ev.Grant.Epoch
	c.minEpoch = ev.Grant.Epoch
	c.until = until
	c.reportSentAt = ev.SentAt
	if !c.wanted {
		m.release(now, c)
		return
	}
	c.phase = phaseHeld
	c.next = max(now, ev.SentAt+m.jitter(m.opts.RenewEvery))
	m.emit(Gained{Key: c.key, Epoch: c.epoch, SentAt: ev.SentAt, Boot: ev.Grant.Boot, Size: ev.Grant.Size, Tasks: ev.Grant.Tasks})
}

func (m *Manager) refused(now time.Duration, c *control, ev Refused) {
	current := m.answered(c, ev.SentAt, false)
	if ev.Epoch != 0 && m.endsLease(ev.Refusal) {
		m.epochRefused(now, c, EpochRefused{Key: ev.Key, Epoch: ev.Epoch})
		return
	}
	if !current {
		return
	}
	if ev.Refusal == ports.RefusedHeld {
		c.failures = 0
		c.next = now + m.waitForHolder(ev.Left)
		return
	}
	m.backOff(now, c)
}

// endsLease reports whether the refusal of a renewal means that the lease is no
// longer held.
func (m *Manager) endsLease(refusal ports.Refusal) bool {
	switch refusal {
	case ports.RefusedEpoch, ports.RefusedLapsed, ports.RefusedHeld:
		return true
	}
	return false
}

// waitForHolder returns how long to wait before requesting a lease that another
// host holds: until it expires, but at most RenewEvery, since its holder may
// hand it over earlier. The jitter is added, not subtracted, because a request
// before the expiry would be refused again.
func (m *Manager) waitForHolder(left time.Duration) time.Duration {
	wait := min(max(left, m.opts.RetryMin), m.opts.RenewEvery)
	return wait + time.Duration(m.rng.Float64()*jitterFraction*float64(wait))
}

func (m *Manager) failed(now time.Duration, c *control, ev Failed) {
	if m.answered(c, ev.SentAt, false) {
		m.backOff(now, c)
	}
}

// epochRefused ends a lease whose epoch the worker refused. A refusal of an
// earlier epoch does not affect the current one.
func (m *Manager) epochRefused(now time.Duration, c *control, ev EpochRefused) {
	if c.phase == phaseNone || ev.Epoch != c.epoch {
		return
	}
	c.minEpoch = c.epoch + 1
	m.endLease(now, c)
}
