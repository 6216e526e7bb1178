// Package succession decides which host of a region should lead: how hosts compare, and when one
// claims the leadership from another that still loads. It has no I/O, clock or goroutines.
package succession

import (
	"math"
	"time"
)

const (
	// HandOverRatio is the capacity ratio from which another host should lead instead. For
	// less, a change of leader, which takes a few tenths of a second, is not worthwhile.
	HandOverRatio = 1.5
	// loadTime is how long a host with most of a core and a link of 200 Mbit/s takes to load 40 s
	// of history of 350 workers.
	loadTime = 500 * time.Millisecond
)

// Capacity holds the resources of a host that matter for leading: thousandths of a core, bytes
// per second of its link, and mebibytes of memory.
type Capacity struct{ MilliCPU, LinkBps, MemoryMiB int64 }

// Known reports whether the capacity is known. That of a host with an earlier version of the
// program is not.
func (c Capacity) Known() bool { return c.MilliCPU > 0 && c.LinkBps > 0 && c.MemoryMiB > 0 }

// RatioTo returns the ratio of c to o: the geometric mean of the ratios of the three resources,
// which does not depend on their units.
func (c Capacity) RatioTo(o Capacity) float64 {
	ratio := func(a, b int64) float64 { return float64(max(a, 1)) / float64(max(b, 1)) }
	return math.Cbrt(ratio(c.MilliCPU, o.MilliCPU) * ratio(c.LinkBps, o.LinkBps) * ratio(c.MemoryMiB, o.MemoryMiB))
}

// Overtakes reports whether a host with capacity own should claim the leadership from a host with
// capacity claimant that claimed it the given time ago and still loads.
//
// The first host that detects the loss of a leader may be a small one that has just started and
// knows no successors. It loads for seconds, in which nothing starts anywhere. A claim is safe
// while another host loads, as that one has called no worker yet. It is of use if own is loaded
// earlier. The claimant takes about as many times loadTime as the ratio says; since that is rough,
// a claim is made only in the first half of the time in which it would save some.
func Overtakes(own, claimant Capacity, age time.Duration) bool {
	if !own.Known() || !claimant.Known() {
		return false
	}
	ratio := own.RatioTo(claimant)
	return ratio >= HandOverRatio && age < time.Duration((ratio-1)/2*float64(loadTime))
}
