package region

import "time"

// startPacer spreads starts over time, so that a backlog does not fill the driver's link at
// once: what is sent after it, renewals of leases above all, would wait behind it, and the
// tickets of the starts would run out on their way. It is a token bucket that may be
// overdrawn by the last step that takes from it, as a gang starts whole.
type startPacer struct {
	tokens float64
	at     time.Duration
}

// pacerBurst is how long starts may save up what they do not use.
const pacerBurst = 100 * time.Millisecond

// refill brings the bucket to a time.
func (p *startPacer) refill(perS float64, now time.Duration) {
	p.tokens = min(p.tokens+perS*(now-p.at).Seconds(), perS*pacerBurst.Seconds())
	p.at = now
}

// canStart reports whether another step may start tasks in this pass.
func (s *Scheduler) canStart() bool { return s.opts.StartsPerS <= 0 || s.pacer.tokens > 0 }
