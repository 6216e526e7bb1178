package lease

import "time"

// handOver stops the starts of a held lease. It is released once the caller
// says that none is on its way, or after HandoverLimit: a start that arrives
// after the release is refused by its epoch.
func (m *Manager) handOver(now time.Duration, c *control) {
	if c.phase != phaseHeld {
		return
	}
	c.phase = phaseHandover
	c.handoverBy = now + m.opts.HandoverLimit
	m.emit(Quiesce{Key: c.key, Epoch: c.epoch})
}

func (m *Manager) idle(now time.Duration, c *control) {
	if c.phase == phaseHandover {
		m.release(now, c)
	}
}

// release gives up the lease for good: its epoch can never be used again, not
// even by the late grant of a renewal that was sent before.
func (m *Manager) release(now time.Duration, c *control) {
	if c.holding() {
		m.emit(Lost{Key: c.key, Epoch: c.epoch})
	}
	c.phase = phaseReleasing
	c.floor = c.epoch + 1
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
	m.lose(now, c)
}
