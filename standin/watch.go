package standin

import (
	"context"
	"net"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// probeTimeout bounds one look at an entry host.
const probeTimeout = 500 * time.Millisecond

// Watch keeps entry hosts in the host list for as long as their peer endpoints
// take connections, looking every so often. It is for hosts that run as
// processes of their own; it returns when ctx ends.
func (p *Platform) Watch(ctx context.Context, hosts []ports.HostEntry, every time.Duration) {
	listed := make([]bool, len(hosts))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		for i, host := range hosts {
			alive := probe(ctx, host.Addr)
			if alive == listed[i] || ctx.Err() != nil {
				continue
			}
			listed[i] = alive
			p.ChangeHosts(seen(host, alive))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// seen is the change of the list for a host that came or went.
func seen(host ports.HostEntry, alive bool) HostChange {
	if !alive {
		return HostChange{GoneHosts: []ident.HostID{host.Host}}
	}
	host.State = ports.StateLive
	return HostChange{Hosts: []ports.HostEntry{host}}
}

// probe reports whether an address takes connections.
func probe(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}
