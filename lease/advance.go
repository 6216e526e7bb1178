package lease

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// expireIfDue ends a lease that has expired.
func (m *Manager) expireIfDue(now time.Duration, c *control) {
	if c.phase == phaseNone || now < c.until {
		return
	}
	m.endLease(now, c)
}

// endLease ends a lease and makes the next Acquire due immediately.
func (m *Manager) endLease(now time.Duration, c *control) {
	if c.holding() {
		m.emit(Lost{Key: c.key, Epoch: c.epoch})
	}
	c.phase = phaseNone
	c.pending = false
	c.next = now
	c.failures = 0
}

// advance times out the pending request, sends what is due at now and schedules
// the next wake.
func (m *Manager) advance(now time.Duration, c *control) {
	if c.pending && now >= c.sentAt+m.opts.RequestTimeout {
		c.pending = false
		m.backOff(now, c)
	}
	switch c.phase {
	case phaseHeld:
		m.renewIfDue(now, c)
	case phaseHandover:
		if now >= c.handoverDeadline {
			m.release(now, c)
		} else {
			m.renewIfDue(now, c)
		}
	case phaseReleasing:
		if now >= c.next {
			m.sendRelease(now, c)
		}
	default:
		if m.removable(now, c) {
			m.remove(c)
			return
		}
		m.acquireIfDue(now, c)
	}
	m.schedule(c)
}

// removable reports whether the lease is not wanted and a grant still in flight
// could no longer be used.
func (m *Manager) removable(now time.Duration, c *control) bool {
	return !c.wanted && now >= c.sentAt+m.opts.TTL
}

func (m *Manager) remove(c *control) {
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

// request builds a lease request and marks it as pending.
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

// backOff delays the next request by RetryMin, doubled for each consecutive
// failure, up to RenewEvery.
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

// jitter shortens a wait by a random part of at most jitterFraction.
func (m *Manager) jitter(wait time.Duration) time.Duration {
	return wait - time.Duration(m.rng.Float64()*jitterFraction*float64(wait))
}
