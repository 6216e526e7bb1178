package leader

import (
	"sync"
	"time"
)

// answerTimes works out how long an answer is waited for from how long answers take, as TCP
// does for its retransmissions (RFC 6298).
//
// The guard is against congestion collapse: with fixed bounds, calls over a link that is
// full are given up and made again, on connections that have to be made anew, while the
// first ones still wait in the link. It is safe for concurrent use.
type answerTimes struct {
	mu       sync.Mutex
	mean     time.Duration // smoothed
	spread   time.Duration // smoothed distance from the mean
	unbroken int           // calls in a row without an answer
}

const (
	// meanMemory and spreadMemory are over how many answers mean and spread run. They
	// are those of many calls at a time.
	meanMemory   = 64
	spreadMemory = 32
	// spreadFactor is how many spreads an answer may be late.
	spreadFactor = 4
	// missesPerDoubling is how many calls in a row must get no answer for the wait to
	// double: a few workers that are gone say nothing of the link.
	missesPerDoubling = 16
	mostDoublings     = 3
)

// answered notes how long an answer took.
func (t *answerTimes) answered(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unbroken = 0
	if t.mean == 0 {
		t.mean, t.spread = took, took/2
		return
	}
	t.spread += ((took - t.mean).Abs() - t.spread) / spreadMemory
	t.mean += (took - t.mean) / meanMemory
}

// missed notes a call that got no answer in time.
func (t *answerTimes) missed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unbroken++
}

// timeout is how long an answer is waited for, between least and most.
func (t *answerTimes) timeout(least, most time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(least, t.mean+spreadFactor*t.spread)
	wait <<= min(t.unbroken/missesPerDoubling, mostDoublings)
	return min(wait, most)
}
