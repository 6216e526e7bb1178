package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// assign works out what this host should want and emits what changed.
func (m *Members) assign(now time.Duration) {
	if !m.listed {
		return
	}
	m.dropWorkers(now)
	m.refillMoves(now)
	names := m.candidates(now)
	if m.stale || !slices.Equal(names, m.lastNames) {
		m.rank(names)
		m.lastNames = names
		m.stale = false
	}
	m.assignScheduler(now, names)
	for _, w := range m.order {
		m.settle(now, &w.slots, w.winner, Want{Worker: w.id, Class: ports.ClassSlots})
		m.follow(&w.comp, Want{Worker: w.id, Class: ports.ClassCompute})
	}
}

// candidates returns the hosts that may own workers of the zone, sorted.
func (m *Members) candidates(now time.Duration) []ident.HostID {
	var names []ident.HostID
	if !m.outgoing() {
		names = append(names, m.opts.Self.Host)
	}
	for id, h := range m.hosts {
		if h.zone == m.opts.Zone && !h.leaves() && !h.dead(now, m.opts) {
			names = append(names, id)
		}
	}
	// A frozen list that shows every host as leaving must not leave the workers
	// without an owner.
	if len(names) == 0 && !m.draining {
		names = append(names, m.opts.Self.Host)
	}
	slices.Sort(names)
	return names
}

func (m *Members) rank(names []ident.HostID) {
	for _, w := range m.order {
		w.winner = Winner(string(w.id), names)
	}
}

// Winner returns the host with the highest hash for a key, by rendezvous
// hashing. It returns the empty name if there is no host.
func Winner(key string, names []ident.HostID) ident.HostID {
	var best ident.HostID
	var bestScore uint64
	for _, name := range names {
		score := score(key, name)
		if best == "" || score > bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

func score(key string, name ident.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// schedulerKey is hashed with the zone to choose its scheduler.
const schedulerKey = "scheduler/"

func (m *Members) assignScheduler(now time.Duration, names []ident.HostID) {
	winner := Winner(schedulerKey+string(m.opts.Zone), names)
	before := m.scheduler.wanted
	if !before && m.unsettled(now) {
		return
	}
	m.decide(now, &m.scheduler, winner)
	if m.scheduler.wanted != before {
		m.emit(SchedulerWanted{Wanted: m.scheduler.wanted})
	}
}

// unsettled reports whether a host of the own zone may be alive that was not
// heard of yet: a listed one, or any while the list lags so far behind that it
// does not show this host itself. A host that just started would otherwise
// take the zone's scheduling over from a peer that it has not met, and each
// takeover costs the zone a pause.
func (m *Members) unsettled(now time.Duration) bool {
	if !m.selfListed && now-m.firstStep < m.opts.PeerTTL {
		return true
	}
	for _, h := range m.hosts {
		if h.zone != m.opts.Zone || !h.listed || h.heard || h.leaves() {
			continue
		}
		if h.fails < m.opts.FailuresToDead && now-h.sinceAt < m.opts.PeerTTL {
			return true
		}
	}
	return false
}

// settle applies the ranking to one worker, handovers at a bounded pace.
func (m *Members) settle(now time.Duration, w *wish, winner ident.HostID, want Want) {
	before := *w
	m.decide(now, w, winner)
	if w.wanted == before.wanted {
		return
	}
	if !w.wanted && !m.outgoing() {
		if m.moves < 1 {
			w.wanted = true
			return
		}
		m.moves--
	}
	want.Wanted = w.wanted
	m.emit(want)
}

// follow keeps the compute class of every worker with the scheduler.
func (m *Members) follow(w *wish, want Want) {
	if w.wanted == m.scheduler.wanted {
		return
	}
	w.wanted = m.scheduler.wanted
	want.Wanted = w.wanted
	m.emit(want)
}

// decide turns a ranking into a wish. Wanting is harmless and takes effect at
// once. Giving up is damped, and only done for a host that was heard: the list
// may show a host that never came up, and the worker would have no owner.
func (m *Members) decide(now time.Duration, w *wish, winner ident.HostID) {
	if winner == m.opts.Self.Host {
		w.wanted = true
		w.elsewhere = false
		return
	}
	if !w.elsewhere {
		w.elsewhere = true
		w.since = now
	}
	if m.outgoing() {
		w.wanted = false
		return
	}
	h, ok := m.hosts[winner]
	if ok && h.heard && now-w.since >= m.opts.Damp {
		w.wanted = false
	}
}

// refillMoves lets handovers start at MovesPerSecond, one second's worth at
// most at once.
func (m *Members) refillMoves(now time.Duration) {
	rate := float64(m.opts.MovesPerSecond)
	m.moves = min(rate, m.moves+rate*(now-m.movesAt).Seconds())
	m.movesAt = now
}
