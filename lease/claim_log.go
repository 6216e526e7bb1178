package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// claim is what a LogArbiter wants and has of one lease.
type claim struct {
	key    Key
	wanted bool

	fence   bool        // a fence is to be written
	release ports.Epoch // a release of this epoch is to be written; zero for none

	writeAt time.Duration // not written again before this

	epoch    ports.Epoch   // the own fence in force; zero for none
	usableAt time.Duration // when it may be used
	fencedAt time.Duration // when it was read back, or written again

	uses    ports.Epoch // times that it was put to use: the inner manager's epoch
	active  bool        // the inner manager was told to hold the lease
	handing bool        // the inner manager hands it over
	// settledAt is when no start under the fence can be on its way any more.
	// A fence whose use was broken off may only be released after it.
	settledAt time.Duration
}

// stepInner lets the inner manager work. Its own epochs count the times that a
// lease was put to use; callers see those of the fences.
func (a *LogArbiter) stepInner(now time.Duration, ev Event) {
	a.pass(now, a.inner.Step(now, ev))
}

// pass hands the inner manager's commands on. A release is of no interest to
// workers that check nothing; it is written into the log instead.
func (a *LogArbiter) pass(now time.Duration, cmds []Command) {
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

// released takes in that the inner manager gave a lease back. The release of a
// grant that came too late to be wanted says nothing of the starts that were
// sent under the fence.
func (a *LogArbiter) released(ev Release) {
	c, ok := a.claims[ev.Key]
	if !ok || !c.handing || ev.Epoch != c.uses {
		return
	}
	c.handing = false
	c.release = c.epoch
}

// lapse stops the use of every lease when the proof has run out.
func (a *LogArbiter) lapse(now time.Duration) {
	if a.proves(now) {
		return
	}
	for _, key := range sortedKeys(a.claims) {
		a.suspend(now, a.claims[key])
	}
}

// suspend breaks off the use of a lease. Starts may be on their way.
func (a *LogArbiter) suspend(now time.Duration, c *claim) {
	if !c.active && !c.handing {
		return
	}
	c.active = false
	c.handing = false
	c.settledAt = now + a.opts.MaxDelay
	a.pass(now, a.inner.suspend(now, c.key))
}

// advance does what is due at now.
func (a *LogArbiter) advance(now time.Duration) {
	for _, key := range sortedKeys(a.claims) {
		c := a.claims[key]
		a.follow(now, c)
		a.decide(now, c)
	}
	if cmd, ok := a.reader.Next(now, a.opts.RenewEvery/2); ok {
		a.out = append(a.out, ReadFences{cmd})
	}
	a.sendRecords(now)
}

// follow brings a claim in line with what the log says of its owner.
func (a *LogArbiter) follow(now time.Duration, c *claim) {
	o := a.fences.owners[c.key]
	if c.epoch != 0 && (!o.held || o.holder != a.opts.Self || o.epoch != c.epoch) {
		a.suspend(now, c)
		c.epoch = 0
		c.release = 0
		c.writeAt = now
	}
	if o.held && o.holder == a.opts.Self && c.epoch == 0 {
		c.epoch = o.epoch
		c.usableAt = now + a.waitFor(o)
		c.writeAt = now
		c.fencedAt = now
	}
}

// waitFor is how long a fresh fence must wait: for the proof of whoever had the
// lease before to run out and its last starts to arrive, unless it has written
// that there will be none.
func (a *LogArbiter) waitFor(o owner) time.Duration {
	if o.free {
		return 0
	}
	return a.opts.TTL + a.opts.MaxDelay
}

// decide turns what is wanted into records, and into use.
func (a *LogArbiter) decide(now time.Duration, c *claim) {
	if c.epoch == 0 {
		c.fence = c.wanted && a.proves(now) && a.claimable(c.key)
		return
	}
	if c.handing && !a.inner.holds(c.key) {
		c.handing = false // the worker did not answer; the starts sent to it may be on their way
		c.settledAt = now + a.opts.MaxDelay
	}
	c.fence = c.wanted && c.release == 0 && now >= c.fencedAt+a.opts.RefreshEvery
	switch {
	case c.wanted && !c.active && !c.handing && c.release == 0 && a.owns(now, c.key):
		c.active = true
		c.uses++
		a.stepInner(now, Want{Key: c.key, Wanted: true})
	case !c.wanted && c.active:
		c.active = false
		c.handing = true
		a.stepInner(now, Want{Key: c.key, Wanted: false})
	case !c.wanted && !c.handing && c.release == 0 && now >= max(c.settledAt, c.usableAt):
		// Not before usableAt: whoever reads the release takes it to mean that the
		// owners before this one have been waited out as well.
		c.release = c.epoch
	}
}

// claimable reports whether a fence would take the lease from nobody that is
// known to be there.
func (a *LogArbiter) claimable(key Key) bool {
	o := a.fences.owners[key]
	return !o.held || a.gone[o.holder] || o.holder.Host == a.opts.Self.Host
}

// holds reports whether the lease is held or being handed over.
func (m *Manager) holds(key Key) bool {
	c, ok := m.controls[key]
	return ok && c.holding()
}

// suspend ends a lease without giving it back to the worker.
func (m *Manager) suspend(now time.Duration, key Key) []Command {
	m.out = nil
	if c, ok := m.controls[key]; ok {
		c.wanted = false
		if c.holding() {
			m.lose(now, c)
		}
		m.advance(now, c)
	}
	return m.out
}
