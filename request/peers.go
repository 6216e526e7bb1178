package request

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// peer is what a digest said of another entry host, and how much this host
// sent it since.
type peer struct {
	PeerSeen
	seenAt time.Duration
	sent   int64
}

// pickPeer chooses a peer with room for c: one of its own zone before others,
// then the one with most room. It returns nil when nobody has room.
//
// The room a digest tells of is up to a second old, so several hosts may pickPeer
// to one peer at once. What was sent since the digest is counted against it,
// and a peer that still has no room refuses with "not run", which costs a hop
// and never a run.
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
		// The host that minted the identifier has the call open already and
		// could only call it a duplicate.
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
