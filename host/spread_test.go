package host

import (
	"context"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/hostrpc"
)

// Guards against hundreds of hosts that ping a new leader at one moment, each on a new connection:
// its first starts wait behind them.
func TestFirstPingsOfManyHostsAreSpread(t *testing.T) {
	for _, c := range []struct{ interval, most time.Duration }{
		{0, 30 * time.Millisecond}, // a host that has just started, or one of few
		{10 * time.Second, time.Second},
	} {
		e := &election{}
		e.applyPingResponse(&hostrpc.PingResponse{NextMs: c.interval.Milliseconds()})
		var longest time.Duration
		for range 200 {
			longest = max(longest, e.firstPingDelay())
		}
		if longest >= c.most || longest < c.most/2 {
			t.Errorf("pings every %v: the first ones come up to %v after a claim, want up to %v", c.interval, longest, c.most)
		}
	}
}

// Guards against hosts that repeat a read which the log refuses ten times a second, and as often
// ask the few hosts that it serves.
func TestRefusedReadsAreRepeatedLessOften(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var b backoff
	for i, want := range []time.Duration{100, 200, 400, 400} {
		b.sleep(ended)
		if b.next != want*time.Millisecond {
			t.Errorf("pause %d is %v, want %v", i, b.next, want*time.Millisecond)
		}
	}
}
