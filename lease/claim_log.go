package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// claim is the wanted and the actual state of one lease in a LogArbiter.
type claim struct {
	key    Key
	wanted bool

	writeFence   bool        // a fence is to be appended
	releaseEpoch ports.Epoch // epoch whose release is to be appended; zero for none

	nextWrite time.Duration // earliest time of the next append

	epoch    ports.Epoch   // this host's current fence; zero for none
	usableAt time.Duration // the fence may be used from this time on
	fencedAt time.Duration // when the fence was read back, or last appended again

	innerEpoch  ports.Epoch // epoch of the inner manager: how often the lease was activated
	active      bool        // the inner manager should hold the lease
	handingOver bool        // the inner manager is handing the lease over
	// settledAt is when no start under the fence can be in flight any more. A
	// fence whose use was suspended may only be released after it.
	settledAt time.Duration
}

// stepInner passes an event to the inner manager. The inner manager's epochs
// count the activations of a lease; callers see the epochs of the fences.
func (a *LogArbiter) stepInner(now time.Duration, ev Event) {
	a.forward(now, a.inner.Step(now, ev))
}

// forward returns the inner manager's commands to the caller, with the epochs of
// the fences. A release is appended to the log instead, because these workers
// do not track leases.
func (a *LogArbiter) forward(now time.Duration, cmds []Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case Release:
			a.released(cmd)
			a.stepInner(now, ReleaseDone{Key: cmd.Key, Epoch: cmd.Epoch, Done: true})
		case Gained:
			cmd.Epoch = a.epochOf(cmd.Key)
			a.out = append(a.out, cmd)
		case Reported:
			cmd.Epoch = a.epochOf(cmd.Key)
			a.out = append(a.out, cmd)
		case Quiesce:
			cmd.Epoch = a.epochOf(cmd.Key)
			a.out = append(a.out, cmd)
		case Lost:
			cmd.Epoch = a.epochOf(cmd.Key)
			a.out = append(a.out, cmd)
		default:
			a.out = append(a.out, cmd)
		}
	}
}

// released handles the inner manager's release of a lease. Only the release that
// ends a handover is appended to the log: the release of an unwanted late grant
// does not show that the starts sent under the fence have been settled.
func (a *LogArbiter) released(ev Release) {
	c, ok := a.claims[ev.Key]
	if !ok || !c.handingOver || ev.Epoch != c.innerEpoch {
		return
	}
	c.handingOver = false
	c.releaseEpoch = c.epoch
}

// suspendUnconfirmed suspends every lease once the confirmation has expired.
func (a *LogArbiter) suspendUnconfirmed(now time.Duration) {
	if a.confirmed(now) {
		return
	}
	for _, key := range sortedKeys(a.claims) {
		a.suspend(now, a.claims[key])
	}
}

// suspend stops the use of a lease without a handover. Starts may be in flight.
func (a *LogArbiter) suspend(now time.Duration, c *claim) {
	if !c.active && !c.handingOver {
		return
	}
	c.active = false
	c.handingOver = false
	c.settledAt = now + a.opts.MaxDelay
	a.forward(now, a.inner.suspend(now, c.key))
}

// advance reconciles every claim and sends the reads and appends due at now.
func (a *LogArbiter) advance(now time.Duration) {
	for _, key := range sortedKeys(a.claims) {
		c := a.claims[key]
		a.reconcileOwner(now, c)
		a.reconcileWanted(now, c)
	}
	if cmd, ok := a.reader.Next(now, a.opts.RenewEvery/2); ok {
		a.out = append(a.out, ReadFences{cmd})
	}
	a.sendRecords(now)
}

// reconcileOwner updates a claim to the lease's owner according to the log.
func (a *LogArbiter) reconcileOwner(now time.Duration, c *claim) {
	o := a.fences.owners[c.key]
	if c.epoch != 0 && (!o.held || o.holder != a.opts.Self || o.epoch != c.epoch) {
		a.suspend(now, c)
		c.epoch = 0
		c.releaseEpoch = 0
		c.nextWrite = now
	}
	if o.held && o.holder == a.opts.Self && c.epoch == 0 {
		c.epoch = o.epoch
		c.usableAt = now + a.fenceWait(o)
		c.nextWrite = now
		c.fencedAt = now
	}
}

// fenceWait returns how long a new fence must wait before use: until the previous
// owner's confirmation has expired and its last starts have arrived. It is zero
// if the previous owner has released the lease.
func (a *LogArbiter) fenceWait(o owner) time.Duration {
	if o.released {
		return 0
	}
	return a.opts.TTL + a.opts.MaxDelay
}

// reconcileWanted schedules the fence or release of a claim, and activates it or
// starts its handover, as wanted.
func (a *LogArbiter) reconcileWanted(now time.Duration, c *claim) {
	if c.epoch == 0 {
		c.writeFence = c.wanted && a.confirmed(now) && a.claimable(c.key)
		return
	}
	if c.handingOver && !a.inner.holds(c.key) {
		c.handingOver = false // the worker did not answer; starts sent to it may be in flight
		c.settledAt = now + a.opts.MaxDelay
	}
	c.writeFence = c.wanted && c.releaseEpoch == 0 && now >= c.fencedAt+a.opts.RefreshEvery
	switch {
	case c.wanted && !c.active && !c.handingOver && c.releaseEpoch == 0 && a.owns(now, c.key):
		c.active = true
		c.innerEpoch++
		a.stepInner(now, Want{Key: c.key, Wanted: true})
	case !c.wanted && c.active:
		c.active = false
		c.handingOver = true
		a.stepInner(now, Want{Key: c.key, Wanted: false})
	case !c.wanted && !c.handingOver && c.releaseEpoch == 0 && now >= max(c.settledAt, c.usableAt):
		// Not before usableAt: the next owner does not wait after a release, so the
		// starts of all owners before this one must have arrived as well.
		c.releaseEpoch = c.epoch
	}
}

// claimable reports whether the lease has no owner, or its owner is presumed
// dead or is an incarnation of this host.
func (a *LogArbiter) claimable(key Key) bool {
	o := a.fences.owners[key]
	return !o.held || a.presumedDead[o.holder] || o.holder.Host == a.opts.Self.Host
}

// holds reports whether the lease is held or being handed over.
func (m *Manager) holds(key Key) bool {
	c, ok := m.controls[key]
	return ok && c.holding()
}

// suspend ends a lease without releasing it at the worker.
func (m *Manager) suspend(now time.Duration, key Key) []Command {
	m.out = nil
	if c, ok := m.controls[key]; ok {
		c.wanted = false
		if c.holding() {
			m.endLease(now, c)
		}
		m.advance(now, c)
	}
	return m.out
}
