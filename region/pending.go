package region

import "time"

// inheritedGrace is how long after the change of leader jobs with an inherited run do not count as
// pending. Workers that can be reached answer within that time.
const inheritedGrace = time.Second

// isPending reports whether the job counts as pending. One with an inherited run does once its worker
// has not answered for a while: its start may never have been carried out.
func (s *Scheduler) isPending(j *job) bool {
	switch {
	case j.closed || j.begun || j.periodic():
		return false
	case s.now-s.leadSince <= inheritedGrace:
		return !j.hasInheritedRun()
	}
	return true
}

// publishInherited publishes jobs with inherited runs when inheritedGrace is over.
func (s *Scheduler) publishInherited() {
	if s.inheritedPublished || s.now-s.leadSince <= inheritedGrace {
		return
	}
	s.inheritedPublished = true
	for _, w := range s.workerList {
		for _, r := range w.sortedRuns() {
			if r.phase == phaseInherited {
				s.publish(r.task.step.job)
			}
		}
	}
}
