package lease

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// lapse ends a lease whose time is used up.
func (m *Manager) lapse(now time.Duration, c *control) {
	if c.phase == phaseNone || now < c.until {
		return
	}
	m.lose(now, c)
}

// lose ends a lease and makes the next acquire due at once.
func (m *Manager) lose(now time.Duration, c *control) {
	if c.holding() {
		m.emit(Lost{Key: c.key, Epoch: c.epoch})
	}
	c.phase = phaseNone
	c.pending = false
	c.next = now
	c.failures = 0
}

// advance sends what is due at now and schedules the next wake.
func (m *Manager) advance(now time.Duration, c *control) {
	if c.pending && now >= c.sentAt+m.opts.RequestTimeout {
		c.pending = false
		m.backOff(now, c)
	}
	switch c.phase {
	case phaseHeld:
		m.renewIfDue(now, c)
	case phaseHandover:
		if now >= c.handoverBy {
			m.release(now, c)
		} else {
			m.renewIfDue(now, c)
		}
	case phaseReleasing:
		if now >= c.next {
			m.sendRelease(now, c)
		}
	default:
		if m.forgettable(now, c) {
			m.forget(c)
			return
		}
		m.acquireIfDue(now, c)
	}
	m.schedule(c)
}

// forgettable reports whether no answer can come any more that would give
// this host the lease.
func (m *Manager) forgettable(now time.Duration, c *control) bool {
	return !c.wanted && now >= c.sentAt+m.opts.TTL
}

func (m *Manager) forget(c *control) {
	if c.index != unscheduled {
		heap.Remove(&m.wakes, c.index)
	}
	delete(m.controls, c.key)
}

func (m *Manager) schedule(c *control) {
	c.wake = c.wakeAt(m.opts)
	if c.index == unscheduled {
		heap.Push(&m.wakes, c)
		return
	}
	heap.Fix(&m.wakes, c.index)
}

func (m *Manager) acquireIfDue(now time.Duration, c *control) {
	if !c.wanted || c.pending || now < c.next {
		return
	}
	m.emit(Acquire{Key: c.key, SentAt: now, Request: m.request(now, c, 0)})
}

func (m *Manager) renewIfDue(now time.Duration, c *control) {
	if c.pending || now < c.next {
		return
	}
	m.emit(Renew{Key: c.key, SentAt: now, Request: m.request(now, c, c.epoch)})
}

// request builds a lease request and notes that it is under way.
func (m *Manager) request(now time.Duration, c *control, epoch ports.Epoch) ports.LeaseRequest {
	c.pending = true
	c.sentAt = now
	c.acksSent = min(len(c.acks), maxAcksPerRequest)
	return ports.LeaseRequest{
		Class:     c.key.Class,
		Holder:    m.opts.Self,
		Epoch:     epoch,
		TTL:       m.opts.TTL,
		TaskTTL:   m.opts.TaskTTL,
		AckedEnds: append([]string(nil), c.acks[:c.acksSent]...),
	}
}

// backOff makes the next request due after a wait that doubles with each
// failure in a row, up to the time between renewals.
func (m *Manager) backOff(now time.Duration, c *control) {
	wait := m.opts.RenewEvery
	if shifted := m.opts.RetryMin << min(c.failures, maxBackOffShift); shifted < wait {
		wait = shifted
	}
	c.failures++
	c.next = now + m.jitter(wait)
}

// maxBackOffShift keeps the doubling of RetryMin from overflowing.
const maxBackOffShift = 16

// jitter shortens a wait by up to jitterFraction of it.
func (m *Manager) jitter(wait time.Duration) time.Duration {
	return wait - time.Duration(m.rng.Float64()*jitterFraction*float64(wait))
}
