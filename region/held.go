package region

import "time"

// firstHeldReport is how long a step waits until the reason is logged. Each further report comes
// when the wait has doubled, so that a backlog writes few lines.
const firstHeldReport = 4 * time.Second

// reportHeld logs and counts what held a step in the last pass that tried it. Each pass reports one
// step at most, the most urgent one that is due, as a report looks at all workers.
func (s *Scheduler) reportHeld(st *step) {
	if s.heldReportedIn == s.now || st.heldBy == "" {
		return
	}
	s.heldReportedIn = s.now
	waited := s.now - st.waitingSince
	st.heldReportAt = s.now + waited
	s.emit(Count{Name: "steps_held", Why: st.heldBy})
	fields := []Field{{"occurrence", st.occ.k}, {"step", st.index}, {"held_by", st.heldBy}, {"waited_ms", waited.Milliseconds()}, {"class", int(s.classOf(st))}}
	if gang, workers := s.mostReservedFor(st); gang != nil {
		fields = append(fields, Field{"reserved_for", gang.job.rec.Id}, Field{"reserved_workers", workers})
	}
	s.explain(st.job.rec.Id, "step waits", fields...)
}

// mostReservedFor returns the gang for which most of the workers that suit the step were reserved in
// the last pass, and how many; nil if none were reserved for others.
func (s *Scheduler) mostReservedFor(st *step) (*step, int) {
	counts := make(map[*step]int)
	var most *step
	for _, w := range s.usableNow {
		gang := w.wasReserved
		if gang == nil || gang == st || !s.suits(st, w) {
			continue
		}
		counts[gang]++
		if most == nil || counts[gang] > counts[most] {
			most = gang
		}
	}
	return most, counts[most]
}
