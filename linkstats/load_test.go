package linkstats

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// The load is that of the busier direction, over the last window and not over all time.
func TestLoadIsThatOfBusierDirection(t *testing.T) {
	m := New(tally.NoopScope)
	l := NewLoad(m, 1000)
	now := time.Hour
	if got := l.At(now); got != 0 {
		t.Errorf("load %v before the first window", got)
	}
	for _, c := range []struct {
		sent, received int64
		want           float64
	}{{400, 100, 0.4 * packetOverhead}, {0, 800, 0.8 * packetOverhead}, {0, 0, 0}} {
		m.sent.Add(c.sent)
		m.received.Add(c.received)
		now += time.Second
		if got := l.At(now); got != c.want {
			t.Errorf("load %v after %d bytes sent and %d received in a second, want %v", got, c.sent, c.received, c.want)
		}
		if got := l.At(now + loadWindow/2); got != c.want {
			t.Errorf("load %v within a window, want %v", got, c.want)
		}
	}
}
