package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// jitterFraction spreads digests, so that hosts do not fall into step.
const jitterFraction = 0.1

// maxBeatWait bounds how long a change of peers can go unseen.
const maxBeatWait = 200 * time.Millisecond

// heartbeat sends the digests that are due.
func (m *Members) heartbeat(now time.Duration) {
	if now < m.nextBeat {
		return
	}
	m.nextBeat = now + maxBeatWait
	for _, h := range m.peers(now) {
		if now < h.nextDigest {
			m.nextBeat = min(m.nextBeat, h.nextDigest)
			continue
		}
		every := m.opts.HeartbeatEvery
		if h.zone != m.opts.Zone || h.dead(now, m.opts) {
			every = m.opts.RemoteEvery
		}
		h.nextDigest = now + every - time.Duration(m.rng.Float64()*jitterFraction*float64(every))
		m.emit(SendDigest{Host: h.id, Addr: h.addr, Digest: m.digest()})
	}
}

// tellConfig makes a digest due to every peer when the configuration in force
// has grown. A zone that cannot reach the log learns of a change from peers
// alone; if most zones are in that state, the change goes from zone to zone,
// and at the beat of RemoteEvery it would be in force in the last of them only
// after minutes.
func (m *Members) tellConfig(now time.Duration, config ports.Offset) {
	if config <= m.load.Config {
		return
	}
	m.nextBeat = now
	for _, h := range m.peers(now) {
		h.nextDigest = now
	}
}

// peers returns whom to exchange digests with: every host of the own zone, and
// RemotePeers elsewhere. Silent hosts of the own zone stay peers, so that they
// are found again.
func (m *Members) peers(now time.Duration) []*host {
	var own, remote []*host
	for _, h := range m.sortedHosts() {
		if h.zone == m.opts.Zone {
			own = append(own, h)
		} else {
			remote = append(remote, h)
		}
	}
	return append(own, m.chooseRemote(now, remote)...)
}

// chooseRemote picks the hosts elsewhere. The first is of the next zone in the
// order of names, so that the zones form a ring and news reaches all of them.
// The others are picked by rendezvous hashing over the zones, which gives each
// host its own few and changes few of them when hosts come and go.
func (m *Members) chooseRemote(now time.Duration, remote []*host) []*host {
	byZone := make(map[ident.Zone][]*host)
	var zones []ident.Zone
	for _, h := range remote {
		if byZone[h.zone] == nil {
			zones = append(zones, h.zone)
		}
		byZone[h.zone] = append(byZone[h.zone], h)
	}
	slices.Sort(zones)
	m.orderZones(zones)
	var chosen []*host
	for _, zone := range zones {
		if len(chosen) == m.opts.RemotePeers {
			break
		}
		chosen = append(chosen, m.representative(now, byZone[zone]))
	}
	return chosen
}

// orderZones moves the next zone of the ring to the front and orders the rest
// by hash.
func (m *Members) orderZones(zones []ident.Zone) {
	if len(zones) == 0 {
		return
	}
	next, _ := slices.BinarySearch(zones, m.opts.Zone)
	next %= len(zones)
	zones[0], zones[next] = zones[next], zones[0]
	self := m.opts.Self.Host
	slices.SortFunc(zones[1:], func(a, b ident.Zone) int {
		return cmp.Or(cmp.Compare(score(string(b), self), score(string(a), self)), cmp.Compare(a, b))
	})
}

// representative picks the host of another zone that this host exchanges
// digests with: the highest by hash among those that answer, or among all if
// none does.
func (m *Members) representative(now time.Duration, hosts []*host) *host {
	alive := slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool {
		return h.failing(now, m.opts) || h.leaves()
	})
	if len(alive) == 0 {
		alive = hosts
	}
	names := make([]ident.HostID, len(alive))
	for i, h := range alive {
		names[i] = h.id
	}
	return m.hosts[Winner(string(m.opts.Self.Host), names)]
}
