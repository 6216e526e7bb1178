package member

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// An operator withdraws a key while most zones cannot reach the log. The key
// must stop working there within seconds, so a host that has the change says so
// at once, and says nothing more often than otherwise when nothing changed.
func TestGrownConfigurationIsToldAtOnce(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(0, "a", "b", "c")})
	w.step(LoadChanged{Load: Load{Config: 7}})
	w.step(Tick{})
	for _, c := range []struct {
		load Load
		want int
	}{
		{Load{Config: 7, Waiting: 3}, 0},
		{Load{Config: 8}, 2},
		{Load{Config: 8}, 0},
	} {
		w.now += 100 * time.Millisecond
		w.sent = nil
		w.step(LoadChanged{Load: c.load})
		w.step(Tick{})
		if len(w.sent) != c.want {
			t.Errorf("%d digests after %+v, want %d", len(w.sent), c.load, c.want)
		}
		for _, d := range w.sent {
			if d.Digest.Config != c.load.Config {
				t.Errorf("%s is told of configuration %d, want %d", d.Host, d.Digest.Config, c.load.Config)
			}
		}
	}
}

// Two zones are cut from each other for a while. Afterwards a team's work in one
// of them waits for units that a host of the other holds, although both zones
// are well: each had found another host to talk to, and counted this one as dead
// for ever.
func TestHostElsewhereIsTriedAgain(t *testing.T) {
	w := newWorld(t, "a")
	l := listing(0, "a")
	for _, host := range []ident.HostID{"x", "y"} {
		l.Hosts = append(l.Hosts, ports.HostEntry{Host: host, Zone: "z2", Addr: "x:1", State: ports.StateLive})
	}
	w.step(ListRead{Listing: l})
	for range defaultFailuresToDead {
		w.step(PeerFailed{Host: "x"})
	}
	if hosts := w.m.Hosts("z2", w.now); len(hosts) != 1 {
		t.Errorf("%d hosts of the other zone count as live while calls to one fail, want 1", len(hosts))
	}
	w.now += retryBeats * defaultRemoteEvery
	w.step(Tick{})
	if hosts := w.m.Hosts("z2", w.now); len(hosts) != 2 {
		t.Errorf("%d hosts of the other zone count as live after a pause, want 2", len(hosts))
	}
}
