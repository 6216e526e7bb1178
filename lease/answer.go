package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// granted takes in a grant.
//
// It guards against late and doubled answers: a grant counts from the SentAt
// of the request that it answers, so one that comes late gives only what is
// left of its span, one that comes twice gives nothing, and one of an epoch
// that was released, refused or replaced is dropped.
func (m *Manager) granted(now time.Duration, c *control, ev Granted) {
	current := m.answered(c, ev.SentAt, true)
	until := ev.SentAt + m.span
	if ev.Grant.Epoch < c.floor || now >= until {
		if current {
			m.backOff(now, c) // asking again at once could go on for ever
		}
		return
	}
	if c.holding() && ev.Grant.Epoch == c.epoch {
		m.renewed(now, c, ev, until)
		return
	}
	m.gained(now, c, ev, until)
}

// answered ends the wait for the request sent at sentAt.
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
	if ev.SentAt <= c.reported {
		return
	}
	c.until = until
	c.next = max(now, ev.SentAt+m.jitter(m.opts.RenewEvery))
	c.reported = ev.SentAt
	m.emit(Reported{Key: c.key, Epoch: c.epoch, SentAt: ev.SentAt, Boot: ev.Grant.Boot, Size: ev.Grant.Size, Tasks: ev.Grant.Tasks})
}

// gained takes in a new epoch. A host that no longer wants the lease when the
// grant arrives gives it back at once, or nobody could use the worker for a
// whole TTL.
func (m *Manager) gained(now time.Duration, c *control, ev Granted, until time.Duration) {
	if c.holding() {
		m.emit(Lost{Key: c.key, Epoch: c.epoch})
		c.phase = phaseNone
	}
	c.epoch = ev.Grant.Epoch
	c.floor = ev.Grant.Epoch
	c.until = until
	c.reported = ev.SentAt
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
	if ev.Epoch != 0 && m.loses(ev.Refusal) {
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

// loses reports whether a refused renewal means that the lease is gone.
func (m *Manager) loses(refusal ports.Refusal) bool {
	switch refusal {
	case ports.RefusedEpoch, ports.RefusedLapsed, ports.RefusedHeld:
		return true
	}
	return false
}

// waitForHolder returns when to ask again for a lease that another host holds:
// when it would run out, or at the pace of renewals, since its holder may hand
// it over before. The jitter is added, because an earlier request would be
// refused again.
func (m *Manager) waitForHolder(left time.Duration) time.Duration {
	wait := min(max(left, m.opts.RetryMin), m.opts.RenewEvery)
	return wait + time.Duration(m.rng.Float64()*jitterFraction*float64(wait))
}

func (m *Manager) failed(now time.Duration, c *control, ev Failed) {
	if m.answered(c, ev.SentAt, false) {
		m.backOff(now, c)
	}
}

// epochRefused ends a lease that the worker says is not current. An answer
// about an older epoch says nothing of the present one.
func (m *Manager) epochRefused(now time.Duration, c *control, ev EpochRefused) {
	if c.phase == phaseNone || ev.Epoch != c.epoch {
		return
	}
	c.floor = c.epoch + 1
	m.lose(now, c)
}
