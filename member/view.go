package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Peer is another host as this one sees it.
type Peer struct {
	Host   ident.HostID
	Zone   ident.Zone
	Addr   string
	Heard  bool   // Digest is valid
	Digest Digest // the last one received
}

// Hosts returns the hosts of a zone that count as live at now, this one left
// out, ordered by name.
func (m *Members) Hosts(zone ident.Zone, now time.Duration) []Peer {
	var peers []Peer
	for _, h := range m.sortedHosts() {
		if h.zone == zone && m.counts(now, h) {
			peers = append(peers, h.peer())
		}
	}
	return peers
}

// Live returns the hosts of all zones that count as live at now, this one left
// out, ordered by zone and name.
func (m *Members) Live(now time.Duration) []Peer {
	hosts := make([]*host, 0, len(m.hosts))
	for _, h := range m.sortedHosts() {
		if m.counts(now, h) {
			hosts = append(hosts, h)
		}
	}
	slices.SortStableFunc(hosts, func(a, b *host) int { return cmp.Compare(a.zone, b.zone) })
	peers := make([]Peer, len(hosts))
	for i, h := range hosts {
		peers[i] = h.peer()
	}
	return peers
}

// Changes counts what was heard of other hosts. While it stays the same, Live
// differs only by hosts that have fallen silent.
func (m *Members) Changes() uint64 { return m.changes }

func (h *host) peer() Peer {
	return Peer{Host: h.id, Zone: h.zone, Addr: h.addr, Heard: h.heard, Digest: h.digest}
}

// counts reports whether the host counts as live.
func (m *Members) counts(now time.Duration, h *host) bool {
	return !h.leaves() && !m.unreachable(now, h)
}

// unreachable reports whether calls to the host are hopeless. Hosts elsewhere
// are heard of at a slower pace, if at all.
func (m *Members) unreachable(now time.Duration, h *host) bool {
	if h.zone == m.opts.Zone {
		return h.dead(now, m.opts)
	}
	return h.failing(now, m.opts) || !h.listed && h.silence(now) >= m.opts.ForgetAfter
}

// Worker returns a worker of the own zone as last listed.
func (m *Members) Worker(id ident.WorkerID) (ports.WorkerEntry, bool) {
	w, ok := m.workers[id]
	if !ok {
		return ports.WorkerEntry{}, false
	}
	return w.entry, true
}

// Workers returns the workers of the own zone, ordered by name.
func (m *Members) Workers() []ports.WorkerEntry {
	entries := make([]ports.WorkerEntry, len(m.order))
	for i, w := range m.order {
		entries[i] = w.entry
	}
	return entries
}

// Scheduler reports whether this host wants to be the zone's scheduler.
func (m *Members) Scheduler() bool { return m.scheduler.wanted }

// Silence returns how long a holder has shown no sign of life, and false if it
// was never heard of. It is a hint: a holder that was paused is silent, too.
func (m *Members) Silence(holder ident.Holder, now time.Duration) (time.Duration, bool) {
	if holder == m.opts.Self {
		return 0, true
	}
	h, ok := m.hosts[holder.Host]
	if !ok {
		return 0, false
	}
	for _, l := range h.lives {
		if l.holder == holder {
			return now - max(l.heardAt, h.graceAt), true
		}
	}
	return 0, false
}
