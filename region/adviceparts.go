package region

import (
	"slices"
	"time"
)

const (
	// minIdleShare is the share of hosts without a call from which on long calls are split.
	minIdleShare = 0.75
	// idlePerPart is how many idle hosts there are for each part of a call: other steps ask as well.
	idlePerPart = 16
	// minPartTime is the least time that a part takes for its workers, beside what each call takes.
	minPartTime = 50 * time.Millisecond
	// maxAdviceParts is the largest number of parts: most of the time is then taken by what each
	// call takes.
	maxAdviceParts = 8
)

// sendParts sends a call for advice about the step that names these workers, in one or several
// parts. sent is called with the workers of each part that a host accepts.
func (s *Scheduler) sendParts(st *step, names []string, sent func(part []string)) bool {
	for part := range slices.Chunk(names, max(1, s.workersPerPart(st, len(names)))) {
		if !s.sendAdvise(st, part) {
			return false
		}
		sent(part)
	}
	return true
}

// idleAdvisers returns how many hosts have no call for advice to wait for, or 0 if these are not most
// of the hosts or too few to split a call.
func (s *Scheduler) idleAdvisers() int {
	idle := s.advisers.idle(s.now)
	if idle < 2*idlePerPart || idle < int(minIdleShare*float64(len(s.advisers.hosts))) {
		return 0
	}
	return idle
}

// workersPerPart returns how many of the workers that a step asks about one call names. While most
// hosts are idle, a long call is split over several of them, so that the answer is there sooner.
func (s *Scheduler) workersPerPart(st *step, workers int) int {
	saved := st.adviceCost(workers) - st.adviceCost(0)
	parts := min(int(saved/minPartTime), maxAdviceParts, s.idleAdvisers()/idlePerPart)
	if parts < 2 {
		return workers
	}
	return (workers + parts - 1) / parts
}
