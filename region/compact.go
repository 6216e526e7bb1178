package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// compactAfter is how long after its end the tasks of a job are kept. Workers list its late runs and ends
// within that time, unless they are cut off.
const compactAfter = 15 * time.Second

// compactEnded keeps of jobs that ended a while ago only their end.
//
// The guard is against memory that grows with all jobs for which callers may still ask. It is what a
// leader knows that has read only the record of their end: runs of them that a worker lists are stopped
// as strays.
func (s *Scheduler) compactEnded() {
	for s.compacted < len(s.finished) {
		j := s.finished[s.compacted]
		if s.now-j.endedAt <= compactAfter || j.anyRun(func(*run) bool { return true }) {
			return
		}
		s.compact(j)
		s.compacted++
	}
}

func (s *Scheduler) compact(j *job) {
	j.completed = !j.failed && !j.cancelled
	j.failedWhy, j.failedTask = j.whyFailed(), nil
	j.rec = &record.Job{Id: j.rec.Id, Queue: j.rec.Queue, Workspace: j.rec.Workspace, RepeatCount: j.rec.RepeatCount}
	j.occs, j.over = nil, nil
	j.memory = jobMemory{record: newJobMemory(j.rec).record, counted: j.memory.counted}
	s.countMemory(j)
}
