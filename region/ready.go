package region

import (
	"cmp"
	"slices"
)

// readyList holds the steps with waiting tasks in order of urgency: long-running tasks
// first, as their users have no service meanwhile, then by the queue's priority and by
// the latest start that meets the objective.
type readyList struct{ steps []*step }

func compareSteps(a, b *step) int {
	if a.rec.LongRunning != b.rec.LongRunning {
		if a.rec.LongRunning {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.job.rec.Policy.GetPriority(), b.job.rec.Policy.GetPriority()),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.job.rec.Id, b.job.rec.Id),
		cmp.Compare(a.occ.k, b.occ.k),
		cmp.Compare(a.index, b.index),
	)
}

func (s *Scheduler) enqueue(st *step) {
	s.dirty = true
	s.watch(st)
	if st.queued {
		return
	}
	st.queued = true
	st.waitingSince = s.now
	s.activateNearData(st)
	at, _ := slices.BinarySearchFunc(s.ready.steps, st, compareSteps)
	s.ready.steps = slices.Insert(s.ready.steps, at, st)
}

func (s *Scheduler) dequeue(st *step) {
	if !st.queued {
		return
	}
	st.queued = false
	at, found := slices.BinarySearchFunc(s.ready.steps, st, compareSteps)
	if found {
		s.ready.steps = slices.Delete(s.ready.steps, at, at+1)
	}
}

// anyWaiting reports whether a task of the step has yet to be assigned.
func (st *step) anyWaiting() bool {
	for _, t := range st.tasks {
		if t.waiting() {
			return true
		}
	}
	return false
}
