package member

import (
	"testing"
	"time"
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
