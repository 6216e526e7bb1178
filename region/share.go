package region

import "time"

const (
	// shareBurst is how many seconds of its share a workspace may submit at once.
	shareBurst = 2.0
	// shareSlack is added to the burst, in jobs, for workspaces with small shares.
	shareSlack = 5.0
)

// shares limits each workspace to its share, in jobs a second. Without it, a workspace
// that submits many times its share would displace the work of all others, as its jobs
// are no less urgent.
type shares struct {
	buckets map[string]*bucket
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
}

// allow reports whether a job that arrived at a time is within the share, a rate in
// jobs a second. A rate of 0 is unlimited.
func (s *shares) allow(rate float64, workspace string, at time.Duration) bool {
	if rate <= 0 {
		return true
	}
	if s.buckets == nil {
		s.buckets = make(map[string]*bucket)
	}
	burst := rate*shareBurst + shareSlack
	b, known := s.buckets[workspace]
	if !known {
		b = &bucket{tokens: burst, at: at}
		s.buckets[workspace] = b
	}
	if at > b.at {
		b.tokens = min(burst, b.tokens+rate*(at-b.at).Seconds())
		b.at = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// share returns the share of a workspace in jobs a second; 0 if it is not known.
func (s *Scheduler) share(workspace string) float64 {
	if s.config == nil {
		return 0
	}
	return float64(s.config.Workspaces[workspace].Weight)
}
