package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// life is one incarnation of a host that was heard of.
type life struct {
	holder  ident.Holder
	seq     uint64
	heardAt time.Duration
}

// maxLives bounds how many incarnations of one host are remembered.
const maxLives = 4

// host is what is known of one other host.
type host struct {
	id   ident.HostID
	zone ident.Zone
	addr string // where calls go
	// listedAddr is where the list last said that this host reaches it.
	listedAddr string
	listed     bool          // in the last listing
	leaving    bool          // by the last listing
	sinceAt    time.Duration // when it became known
	graceAt    time.Duration // silence counts from here at the earliest
	heard      bool          // a digest came in this process's life
	heardAt    time.Duration // the last one
	digest     Digest        // the last one
	lives      []life        // most recently heard last
	fails      int           // calls in a row without an answer
	failAt     time.Duration // the last of them

	nextDigest time.Duration
}

// silence returns how long nothing was heard of the host.
func (h *host) silence(now time.Duration) time.Duration {
	return now - max(h.sinceAt, h.heardAt, h.graceAt)
}

// dead reports whether the host should be counted as dead: it is silent, or
// its calls fail. A host that the list still shows as live is dead all the
// same, and one that the list has dropped is alive as long as it is heard.
func (h *host) dead(now time.Duration, opts Options) bool {
	if h.fails >= opts.FailuresToDead {
		return true
	}
	return h.silence(now) >= opts.PeerTTL || (!h.listed && !h.heard)
}

// retryBeats is after how many beats between zones a failing host elsewhere is
// given another chance.
const retryBeats = 2

// failing reports whether calls to a host of another zone are
// hopeless for now.
//
// It guards against two hosts that lose each other for good: a cut between two
// zones makes their calls fail, each then exchanges digests with another host
// of the other zone, and neither hears the other again when the cut is mended.
// A team's limit units that the one holds would never reach the other.
func (h *host) failing(now time.Duration, opts Options) bool {
	return h.fails >= opts.FailuresToDead && now-h.failAt < retryBeats*opts.RemoteEvery
}

// leaves reports whether the host gives up its workers. Its own word is newer
// than the list: a host that restarted at the same address may still be listed
// as leaving from its former life.
func (h *host) leaves() bool {
	if h.heard {
		return h.digest.Draining
	}
	return h.leaving
}

func (m *Members) readList(now time.Duration, listing ports.Listing) {
	m.listed = true
	m.selfLeaves = false
	for _, h := range m.hosts {
		h.listed = false
	}
	for _, entry := range listing.Hosts {
		if entry.Host == m.opts.Self.Host {
			m.selfListed = true
			m.selfLeaves = entry.State == ports.StateLeaving
			continue
		}
		m.listHost(now, entry)
	}
	m.listWorkers(now, listing.Workers)
	m.forgetHosts(now)
	m.stale = true
	m.changes++
	m.nextBeat = now
}

func (m *Members) addHost(now time.Duration, id ident.HostID) *host {
	h := &host{id: id, sinceAt: now, graceAt: now, nextDigest: now}
	m.hosts[id] = h
	m.sorted = nil
	m.nextBeat = now
	return h
}

func (m *Members) listHost(now time.Duration, entry ports.HostEntry) {
	h, ok := m.hosts[entry.Host]
	if !ok {
		h = m.addHost(now, entry.Host)
	}
	h.listed = true
	h.leaving = entry.State == ports.StateLeaving
	h.zone = entry.Zone
	if !h.heard || entry.Addr != h.listedAddr {
		h.addr = entry.Addr
	}
	h.listedAddr = entry.Addr
}

// forgetHosts drops hosts that are neither listed nor heard of, in bounded
// memory however often hosts are replaced.
func (m *Members) forgetHosts(now time.Duration) {
	for id, h := range m.hosts {
		if !h.listed && h.silence(now) >= m.opts.ForgetAfter {
			delete(m.hosts, id)
			m.sorted = nil
		}
	}
}

// hear takes in a digest. A digest that comes late or twice has a sequence
// number that was seen and shows nothing new. A digest of this host's own name
// comes from a former or a second life of it and is left to the leases.
func (m *Members) hear(now time.Duration, d Digest) {
	if d.Holder.Host == m.opts.Self.Host {
		return
	}
	h, ok := m.hosts[d.Holder.Host]
	if !ok {
		h = m.addHost(now, d.Holder.Host)
	}
	if !h.hearLife(now, d) {
		return
	}
	m.changes++
	if !h.listed || (h.heard && h.digest.Addr != d.Addr) {
		// A listed host is called where the list says that it is reached from
		// here, which need not be the address it knows itself by. Only when it
		// has moved is its own word newer, until the list follows.
		h.addr = d.Addr
	}
	h.heard = true
	h.heardAt = now
	h.digest = d
	h.zone = d.Zone
	h.fails = 0
}

// hearLife notes a digest of one incarnation and reports whether it is new.
func (h *host) hearLife(now time.Duration, d Digest) bool {
	at := slices.IndexFunc(h.lives, func(l life) bool { return l.holder == d.Holder })
	if at >= 0 {
		if d.Seq <= h.lives[at].seq {
			return false
		}
		h.lives = slices.Delete(h.lives, at, at+1)
	}
	h.lives = append(h.lives, life{holder: d.Holder, seq: d.Seq, heardAt: now})
	if len(h.lives) > maxLives {
		h.lives = slices.Delete(h.lives, 0, 1)
	}
	return true
}

func (m *Members) peerFailed(now time.Duration, id ident.HostID) {
	if h, ok := m.hosts[id]; ok {
		h.fails++
		h.failAt = now
		m.changes++
	}
}

// sortedHosts lists the other hosts in order of their names. It must not be
// changed.
func (m *Members) sortedHosts() []*host {
	if m.sorted == nil {
		m.sorted = slices.SortedFunc(maps.Values(m.hosts), func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	}
	return m.sorted
}
