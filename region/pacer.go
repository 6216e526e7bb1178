package region

import "time"

// startPacer limits the rate of starts. A backlog started at once would fill the
// driver's link: lease renewals and other calls would queue behind it, and the tickets
// of the starts would expire in transit. It is a token bucket that the last step may
// overdraw, since a gang is started whole.
type startPacer struct {
	tokens float64
	at     time.Duration
}

// pacerBurst is how long unused tokens accumulate.
const pacerBurst = 100 * time.Millisecond

// refill adds the tokens up to now, at a rate in starts a second.
func (p *startPacer) refill(rate float64, now time.Duration) {
	p.tokens = min(p.tokens+rate*(now-p.at).Seconds(), rate*pacerBurst.Seconds())
	p.at = now
}

// canStart reports whether another step may start tasks in this pass.
func (s *Scheduler) canStart() bool { return s.opts.StartsPerS <= 0 || s.pacer.tokens > 0 }
