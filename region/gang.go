package region

import "github.com/fireflyfold/fireflyfold/record"

// gangDone marks all members of a gang done, since the end of one member as done counts
// for all.
func (s *Scheduler) gangDone(t *task, number int32) {
	if !t.step.rec.Gang {
		return
	}
	for _, m := range t.step.tasks {
		if m.done {
			continue
		}
		if m.run != nil && m.run.number == number {
			s.release(m.run)
		}
		s.recordEnd(m, number, record.Outcome_OUTCOME_DONE, "")
	}
}

// stopOtherMembers stops the other members of a run after one member has ended.
func (s *Scheduler) stopOtherMembers(t *task, number int32) {
	if !t.step.rec.Gang {
		return
	}
	for _, m := range t.step.tasks {
		if m != t && m.run != nil && m.run.number == number {
			s.stopRun(m.run, "another member of its gang has ended")
		}
	}
}

// gangWaits reports whether every member of the gang waits to be started.
func (st *step) gangWaits() bool {
	for _, t := range st.tasks {
		if !t.waiting() {
			return false
		}
	}
	return true
}

// nextGangRun returns the number of the gang's next run, which all members share.
func (st *step) nextGangRun() int32 {
	var highest int32
	for _, t := range st.tasks {
		highest = max(highest, t.lastRun)
	}
	return highest + 1
}
