package region

import "time"

// maxTickGap is the time between two ticks from which on this leader counts as having stood still.
// Ticks are 20 ms apart.
const maxTickGap = 200 * time.Millisecond

// listening tracks whether this leader takes in answers. It does not while its process stands still,
// as it does without a processor or while its host is suspended.
type listening struct {
	tickAt    time.Duration // time of the newest tick
	stalledAt time.Duration // when this leader last went on after it had stood still; 0 for never
}

// noteTick records a tick, and reports it if the leader has stood still before it.
func (s *Scheduler) noteTick() {
	gap := s.now - s.listening.tickAt
	if s.listening.tickAt > 0 && gap > maxTickGap {
		s.listening.stalledAt = s.now
		s.emit(Count{Name: "leader_stalls"})
		s.explain("", "leader stood still", Field{"ms", gap.Milliseconds()})
	}
	s.listening.tickAt = s.now
}
