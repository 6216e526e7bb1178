package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Manager manages the control leases of one host. It is not safe for concurrent
// use.
type Manager struct {
	opts     Options
	span     time.Duration
	rng      *rand.Rand
	controls map[Key]*control
	wakes    wakeHeap
	draining bool
	out      []Command
}

// New returns a Manager without leases.
func New(opts Options) *Manager {
	opts = opts.withDefaults()
	return &Manager{
		opts:     opts,
		span:     opts.Span(),
		rng:      rand.New(rand.NewPCG(opts.Seed, uint64(opts.Self.Incarnation))),
		controls: make(map[Key]*control),
	}
}

// Step handles one event and returns the commands to execute, in order. now
// must not decrease from call to call.
func (m *Manager) Step(now time.Duration, ev Event) []Command {
	m.out = nil
	switch ev := ev.(type) {
	case Want:
		m.want(now, ev)
	case Granted:
		m.withControl(now, ev.Key, func(c *control) { m.granted(now, c, ev) })
	case Refused:
		m.withControl(now, ev.Key, func(c *control) { m.refused(now, c, ev) })
	case Failed:
		m.withControl(now, ev.Key, func(c *control) { m.failed(now, c, ev) })
	case EpochRefused:
		m.withControl(now, ev.Key, func(c *control) { m.epochRefused(now, c, ev) })
	case Acked:
		m.withControl(now, ev.Key, func(c *control) { c.acks = append(c.acks, ev.IDs...) })
	case RenewBy:
		m.withControl(now, ev.Key, func(c *control) { m.renewBy(c, ev.At) })
	case Idle:
		m.withControl(now, ev.Key, func(c *control) { m.idle(now, c) })
	case ReleaseDone:
		m.withControl(now, ev.Key, func(c *control) { m.releaseDone(now, c, ev) })
	case Drain:
		m.drain(now)
	case Tick:
		m.tick(now)
	}
	return m.out
}

// renewBy moves the next renewal of a held lease forward to at.
func (m *Manager) renewBy(c *control, at time.Duration) {
	if c.phase == phaseHeld && at < c.next {
		c.next = at
	}
}

// Epoch returns the epoch under which a start may be sent at now. It reports
// false when the lease is not held, is being handed over, or may have expired
// at the worker.
//
// The check of now guards against a holder that was paused until after its
// lease expired: when it resumes, no event has reported the expiry yet, but now
// is past the end of the lease by its own clock, and it starts nothing.
func (m *Manager) Epoch(key Key, now time.Duration) (ports.Epoch, bool) {
	c, ok := m.controls[key]
	if !ok || c.phase != phaseHeld || now >= c.until {
		return 0, false
	}
	return c.epoch, true
}

// Left returns for how much longer starts may be sent under the lease; zero if
// none may be.
func (m *Manager) Left(key Key, now time.Duration) time.Duration {
	if _, ok := m.Epoch(key, now); !ok {
		return 0
	}
	return m.controls[key].until - now
}

// Held returns the number of leases held at now, including those being handed
// over.
func (m *Manager) Held(now time.Duration) int {
	n := 0
	for _, c := range m.controls {
		if c.holding() && now < c.until {
			n++
		}
	}
	return n
}

// Drained reports whether every lease has been given up after a Drain.
func (m *Manager) Drained(now time.Duration) bool {
	return m.draining && m.Held(now) == 0
}

// Next returns when the next Tick is due, and false if none is.
func (m *Manager) Next() (time.Duration, bool) {
	if len(m.wakes) == 0 {
		return 0, false
	}
	return m.wakes[0].wake, true
}

func (m *Manager) emit(c Command) { m.out = append(m.out, c) }

// withControl runs a handler on the control of a key. Before the handler it
// ends the lease if it has expired, afterwards it sends what is due. Events for
// an unknown key are ignored: its control was removed, because the lease is not
// wanted and a grant could no longer be used.
func (m *Manager) withControl(now time.Duration, key Key, handle func(*control)) {
	c, ok := m.controls[key]
	if !ok {
		return
	}
	m.expireIfDue(now, c)
	handle(c)
	m.advance(now, c)
}

func (m *Manager) want(now time.Duration, ev Want) {
	c, ok := m.controls[ev.Key]
	if !ok {
		if !ev.Wanted || m.draining {
			return
		}
		c = &control{key: ev.Key, next: now, index: unscheduled}
		m.controls[ev.Key] = c
	}
	m.expireIfDue(now, c)
	c.wanted = ev.Wanted && !m.draining
	if !c.wanted {
		m.handOver(now, c)
	}
	m.advance(now, c)
}

func (m *Manager) drain(now time.Duration) {
	m.draining = true
	for _, key := range sortedKeys(m.controls) {
		m.want(now, Want{Key: key, Wanted: false})
	}
}

func (m *Manager) tick(now time.Duration) {
	for len(m.wakes) > 0 && m.wakes[0].wake <= now {
		c := m.wakes[0]
		m.expireIfDue(now, c)
		m.advance(now, c)
	}
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[Key]V) []Key {
	keys := make([]Key, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Class, b.Class))
}
