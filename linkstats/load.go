package linkstats

import (
	"math"
	"sync"
	"time"
)

const (
	// loadWindow is the shortest time over which the load of a link is measured.
	loadWindow = 200 * time.Millisecond
	// packetOverhead is the factor by which packet headers exceed the counted bytes: calls
	// are small, and each costs a 40-byte header and another for its acknowledgement.
	packetOverhead = 1.25
)

// Load measures the utilization of a link. It is safe for concurrent use.
type Load struct {
	meter *Meter
	bps   int64 // capacity in bytes per second in each direction

	mu             sync.Mutex
	windowStart    time.Duration
	sent, received int64
	load           float64
}

// NewLoad returns the load of the link whose bytes meter counts and which carries bps bytes
// per second in each direction.
func NewLoad(meter *Meter, bps int64) *Load { return &Load{meter: meter, bps: bps} }

// At returns the link's utilization, in its busier direction, over the window that ends at
// now; within loadWindow after that it returns the same value. It exceeds 1 if more is sent
// than the link carries, and is 0 before the end of the first window and if bps is 0.
func (l *Load) At(now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now - l.windowStart
	if elapsed < loadWindow {
		return l.load
	}
	sent, received := l.meter.Sent(), l.meter.Received()
	busier := math.Max(float64(sent-l.sent), float64(received-l.received))
	if l.windowStart > 0 && l.bps > 0 {
		l.load = packetOverhead * busier / (elapsed.Seconds() * float64(l.bps))
	}
	l.windowStart, l.sent, l.received = now, sent, received
	return l.load
}
