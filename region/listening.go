package region

import "time"

const (
	// maxTickGap is the time between two ticks from which on this leader counts as having stood still.
	// Ticks are 20 ms apart.
	maxTickGap = 200 * time.Millisecond
	// resumeTime is how long after a stall failed probes say nothing of their workers: connections have
	// timed out, and all workers are called on new ones at once.
	resumeTime = 500 * time.Millisecond
)

// listening tracks whether this leader takes in answers. It does not while its process stands still,
// as it does without a processor or while its host is suspended.
type listening struct {
	tickAt    time.Duration // time of the newest tick
	resumedAt time.Duration // when this leader last went on after it had stood still; 0 for never
}

// noteTick records a tick, and reports it if the leader has stood still before it.
func (s *Scheduler) noteTick() {
	gap := s.now - s.listening.tickAt
	if gap > maxTickGap {
		s.listening.resumedAt = s.now
		s.emit(Count{Name: "leader_stalls"})
		s.explain("", "leader stood still", Field{"ms", gap.Milliseconds()})
	}
	s.listening.tickAt = s.now
}

// silenceMayBeOurs reports whether this leader's own delay may be why a worker seems silent: no probe
// has failed that was sent after the newest answer, and after this leader last stood still.
func (s *Scheduler) silenceMayBeOurs(w *worker) bool {
	heard := w.probedAt
	if s.listening.resumedAt > 0 {
		heard = max(heard, s.listening.resumedAt+resumeTime)
	}
	return w.unansweredAt <= heard
}

// defersExpiry reports whether the runs of a worker whose lease is over do not count as lost yet.
//
// The guard is against a task that runs again after it was done. The worker has listed the end, but
// the leader had no time to read the answer, and finds the worker's lease over when it goes on. By
// then calls may have timed out although they were answered. A call that is sent now shows
// whether the worker is silent. The wait is bounded: a leader that stands still again and again
// would otherwise keep the tasks of a worker that is gone from running.
func (s *Scheduler) defersExpiry(w *worker) bool {
	if !s.silenceMayBeOurs(w) {
		w.deferredSince = 0
		return false
	}
	if w.deferredSince == 0 {
		w.deferredSince = s.now
	}
	return s.now-w.deferredSince < maxExpiryDelay
}
