package linkstats

import (
	"math"
	"sync"
	"time"
)

const (
	// loadWindow is over how much time the load of a link is worked out.
	loadWindow = 200 * time.Millisecond
	// packetOverhead is what packets add to the bytes that are counted: calls are small,
	// so that each has a header of 40 bytes, and its acknowledgement another.
	packetOverhead = 1.25
)

// Load works out how much of a link is in use. It is safe for concurrent use.
type Load struct {
	meter *Meter
	bps   int64 // bytes a second that the link carries in each direction

	mu             sync.Mutex
	at             time.Duration
	sent, received int64
	load           float64
}

// NewLoad returns the load of the link that meter counts, which carries bps bytes a second
// in each direction.
func NewLoad(meter *Meter, bps int64) *Load { return &Load{meter: meter, bps: bps} }

// At returns the share of the link that was in use until a time, in the busier direction;
// more than 1 if more is handed to it than it carries.
func (l *Load) At(now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := now - l.at
	if took < loadWindow {
		return l.load
	}
	sent, received := l.meter.Sent(), l.meter.Received()
	most := math.Max(float64(sent-l.sent), float64(received-l.received))
	if l.at > 0 && l.bps > 0 {
		l.load = packetOverhead * most / (took.Seconds() * float64(l.bps))
	}
	l.at, l.sent, l.received = now, sent, received
	return l.load
}
