package request

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// peer is the last reported state of another entry host.
type peer struct {
	PeerSeen
	seenAt time.Duration
	sent   int64 // requests forwarded to it since the report
}

// pickPeer returns a peer with free capacity for c, or nil if there is none.
// Peers in the host's own zone come first, then those with more free capacity.
//
// A peer's report is up to one second old, so several hosts may forward to one
// peer at once. Requests sent since the report are subtracted from its free
// capacity, and a peer that is full refuses with "not run", which costs a hop
// but runs nothing.
func (r *Router) pickPeer(now time.Duration, c *call) *peer {
	if c.Pinned || c.Hops >= r.opts.MaxHops || len(c.refusedBy) >= r.opts.MaxTries {
		return nil
	}
	var best *peer
	for _, host := range sortedHosts(r.peers) {
		p := r.peers[host]
		if now-p.seenAt > r.opts.PeerTTL || p.Draining || p.Free-p.sent <= 0 {
			continue
		}
		// The host that issued the ID still has the call open and would reject
		// it as a duplicate.
		if host == c.ID.Host || slices.Contains(c.refusedBy, host) || !slices.Contains(p.Services, c.Service) {
			continue
		}
		if best == nil || r.preferred(p, best) {
			best = p
		}
	}
	return best
}

func (r *Router) preferred(a, b *peer) bool {
	localA, localB := a.Zone == r.opts.Zone, b.Zone == r.opts.Zone
	if localA != localB {
		return localA
	}
	return a.Free-a.sent > b.Free-b.sent
}

func sortedHosts(peers map[ident.HostID]*peer) []ident.HostID {
	hosts := make([]ident.HostID, 0, len(peers))
	for h := range peers {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}
