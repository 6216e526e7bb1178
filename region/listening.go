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

// silenceIsOurs reports whether no answer of a worker may mean that this leader did not listen: no
// probe has failed that was sent after the newest answer, and after this leader last stood still.
//
// The guard is against a task that runs again after it was done. The worker has listed the end, but
// the leader had no time to read the answer, and finds the worker's lease over when it goes on. By
// then calls may have timed out although they were answered. A call that is sent now shows
// whether the worker is silent.
func (s *Scheduler) silenceIsOurs(w *worker) bool {
	return w.incarnation.Address != "" && w.unansweredAt <= max(w.probedAt, s.listening.stalledAt)
}
