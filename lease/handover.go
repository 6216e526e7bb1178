package lease

import "time"

// handOver stops the starts under a held lease. The lease is released once the
// caller reports that none is in flight, or after HandoverLimit: the worker
// refuses a start that arrives after the release, because of its epoch.
func (m *Manager) handOver(now time.Duration, c *control) {
	if c.phase != phaseHeld {
		return
	}
	c.phase = phaseHandover
	c.handoverDeadline = now + m.opts.HandoverLimit
	m.emit(Quiesce{Key: c.key, Epoch: c.epoch})
}

func (m *Manager) idle(now time.Duration, c *control) {
	if c.phase == phaseHandover {
		m.release(now, c)
	}
}

// release gives up the lease. Its epoch cannot be used again, even if the grant
// of an earlier renewal arrives late.
func (m *Manager) release(now time.Duration, c *control) {
	if c.holding() {
		m.emit(Lost{Key: c.key, Epoch: c.epoch})
	}
	c.phase = phaseReleasing
	c.minEpoch = c.epoch + 1
	m.sendRelease(now, c)
}

func (m *Manager) sendRelease(now time.Duration, c *control) {
	c.next = now + m.opts.RequestTimeout
	m.emit(Release{Key: c.key, Epoch: c.epoch})
}

func (m *Manager) releaseDone(now time.Duration, c *control, ev ReleaseDone) {
	if c.phase != phaseReleasing || ev.Epoch != c.epoch {
		return
	}
	if !ev.Done {
		m.backOff(now, c)
		return
	}
	m.endLease(now, c)
}
