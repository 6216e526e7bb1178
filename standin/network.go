package standin

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// link is the way from one zone to a host of another.
type link struct {
	from ident.Zone
	host ident.HostID
}

// Network stands between the zones, and between each zone and the platform.
// Every zone has its own address for the log and the host list. The list that
// a zone sees shows hosts of other zones at relays, so that zones can be cut
// off from each other one by one. Workers are reached directly: they are in
// the zone of those who may ask them.
type Network struct {
	delay time.Duration // one way between zones, without any fault

	mu       sync.Mutex
	closed   bool
	platform map[ident.Zone]*Relay
	links    map[link]*peerRelay
	between  map[zonePair]RelayFaults
}

// peerRelay is a relay to the peer endpoint of one host.
type peerRelay struct {
	relay  *Relay
	target string
	zone   ident.Zone // of the host
}

// zonePair names the way between two zones in either direction.
type zonePair struct{ a, b ident.Zone }

// pair orders the names of two zones.
func pair(a, b ident.Zone) zonePair {
	if b < a {
		a, b = b, a
	}
	return zonePair{a: a, b: b}
}

// newNetwork returns a network without zones, with the usual delay of one way
// between two of them.
func newNetwork(delay time.Duration) *Network {
	return &Network{
		delay:    delay,
		platform: make(map[ident.Zone]*Relay),
		links:    make(map[link]*peerRelay),
		between:  make(map[zonePair]RelayFaults),
	}
}

// SetBetween replaces the faults between two zones, in both directions.
func (n *Network) SetBetween(a, b ident.Zone, f RelayFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.between[pair(a, b)] = f
	for l, peer := range n.links {
		if pair(l.from, peer.zone) == pair(a, b) {
			peer.relay.SetFaults(n.usual(f))
		}
	}
}

// usual adds the usual delay to the faults of a way between zones.
func (n *Network) usual(f RelayFaults) RelayFaults {
	f.Delay += n.delay
	return f
}

// SetPlatform replaces the faults between a zone and the log and host list.
// It returns an *UnknownNameError for a zone that does not exist.
func (n *Network) SetPlatform(zone ident.Zone, f RelayFaults) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	relay, ok := n.platform[zone]
	if !ok {
		return &UnknownNameError{Kind: "zone", Name: string(zone)}
	}
	relay.SetFaults(f)
	return nil
}

// Isolate cuts a zone off from all other zones and from the platform, or
// joins it again. It returns an *UnknownNameError for a zone that does not
// exist.
func (n *Network) Isolate(zone ident.Zone, f RelayFaults) error {
	if err := n.SetPlatform(zone, f); err != nil {
		return err
	}
	for _, other := range n.zones() {
		if other != zone {
			n.SetBetween(zone, other, f)
		}
	}
	return nil
}

// zones lists the zones in order.
func (n *Network) zones() []ident.Zone {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]ident.Zone, 0, len(n.platform))
	for zone := range n.platform {
		out = append(out, zone)
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// view returns the listing as a zone sees it.
func (n *Network) view(zone ident.Zone, listing ports.Listing) ports.Listing {
	for i, entry := range listing.Hosts {
		if entry.Zone == zone {
			continue
		}
		if addr, err := n.route(zone, entry); err == nil {
			listing.Hosts[i].Addr = addr
		}
	}
	return listing
}

// route returns the address of the relay from a zone to a host of another.
func (n *Network) route(from ident.Zone, entry ports.HostEntry) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from: from, host: entry.Host}
	if known, ok := n.links[l]; ok && known.target == entry.Addr {
		return known.relay.Addr(), nil
	}
	if n.closed {
		return entry.Addr, nil
	}
	relay, err := NewRelay(entry.Addr)
	if err != nil {
		return "", err
	}
	relay.SetFaults(n.usual(n.between[pair(from, entry.Zone)]))
	if old, ok := n.links[l]; ok {
		// The host has moved; whoever still talks to its former address is cut.
		old.relay.Close()
	}
	n.links[l] = &peerRelay{relay: relay, target: entry.Addr, zone: entry.Zone}
	return relay.Addr(), nil
}

// close ends all relays.
func (n *Network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, relay := range n.platform {
		relay.Close()
	}
	for _, peer := range n.links {
		peer.relay.Close()
	}
}

// UnknownNameError reports a zone, worker or host that the stand-in does not
// have.
type UnknownNameError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *UnknownNameError) Error() string { return "unknown " + e.Kind + " " + e.Name }

// nextPort returns addr with its port raised by n, or unchanged if the kernel
// is to pick the port.
func nextPort(addr string, n int) (string, error) {
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return "", &ListenError{Addr: addr, Cause: err}
	}
	if tcp.Port != 0 {
		tcp.Port += n
	}
	return tcp.String(), nil
}
