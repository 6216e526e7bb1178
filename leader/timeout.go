package leader

import (
	"sync"
	"time"
)

// timeoutEstimator derives the timeout of calls from the response times of earlier calls, as
// TCP does for its retransmissions (RFC 6298). It is safe for concurrent use.
//
// It guards against congestion collapse: with fixed timeouts, calls over a saturated link time
// out and are repeated on new connections, while the first ones are still queued in the link.
type timeoutEstimator struct {
	mu                sync.Mutex
	mean              time.Duration // smoothed response time
	deviation         time.Duration // smoothed distance of response times from the mean
	consecutiveMisses int           // calls that timed out since the newest response
}

const (
	// meanWindow and deviationWindow are over how many responses mean and deviation are
	// smoothed. They are sized for many concurrent calls.
	meanWindow      = 64
	deviationWindow = 32
	// deviationFactor is how many deviations above the mean a response may take.
	deviationFactor = 4
	// missesPerDoubling is how many consecutive calls must time out for the timeout to
	// double: a few workers that are down say nothing about the link.
	missesPerDoubling = 16
	maxDoublings      = 3
)

// observe records the response time of a call.
func (t *timeoutEstimator) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveMisses = 0
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.deviation += ((took - t.mean).Abs() - t.deviation) / deviationWindow
	t.mean += (took - t.mean) / meanWindow
}

// missed records a call that timed out.
func (t *timeoutEstimator) missed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consecutiveMisses++
}

// timeout returns the timeout of the next call, between floor and ceiling.
func (t *timeoutEstimator) timeout(floor, ceiling time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(floor, t.mean+deviationFactor*t.deviation)
	wait <<= min(t.consecutiveMisses/missesPerDoubling, maxDoublings)
	return min(wait, ceiling)
}
