// Package workset decides how many workers of a service a leader keeps active. Active workers are
// probed, hold leases and are considered by placement; the others are on standby and cost only
// their entries in the host list. It has no I/O, clock or goroutines.
package workset

import (
	"math"
	"time"
)

const (
	// DefaultMin is the usual least number of active workers of a service that has as many.
	DefaultMin = 600
	// headroom is the room of the active workers as a multiple of the work's. Advice rules out up to
	// two thirds of the workers for a step, and latency-sensitive work is kept apart from other work.
	headroom = 3
	// window is the length of the two periods whose highest demand decides. Demand that falls for a
	// moment only does not send workers to standby, which are then activated again.
	window = 5 * time.Second
	// surplusShare is the share by which the active workers may exceed the target before some go to
	// standby.
	surplusShare = 0.1
)

// Sizer follows the demand for workers of one service. The zero value is ready to use.
type Sizer struct {
	current, previous float64 // highest demand of the present and the previous window, in workers
	began             time.Duration
}

// Observe records the demand at a time: how many workers the tasks that run or wait would fill.
func (s *Sizer) Observe(now time.Duration, workers float64) {
	if now-s.began >= window {
		s.previous, s.current, s.began = s.current, 0, now
	}
	s.current = max(s.current, workers)
}

// Target returns how many workers are to be active, at least the given number.
func (s *Sizer) Target(least int) int {
	return max(least, int(math.Ceil(headroom*max(s.current, s.previous))))
}

// Surplus returns by how many workers the active ones exceed the target, or 0 while they are too few
// to send any to standby.
func Surplus(active, target int) int {
	surplus := active - target
	if surplus <= int(surplusShare*float64(target)) {
		return 0
	}
	return surplus
}
