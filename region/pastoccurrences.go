package region

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// occurrenceRange is a range of occurrences, from its first one to the one behind its last.
type occurrenceRange struct{ from, to int32 }

// occurrenceSet is a set of occurrences, as ranges in ascending order that do not touch one another. Its
// size grows with the occurrences that are missing in between, and not with those that it has.
type occurrenceSet []occurrenceRange

// search returns the index of the first range that ends at k or behind it.
func (o occurrenceSet) search(k int32) int {
	i, _ := slices.BinarySearchFunc(o, k, func(r occurrenceRange, k int32) int { return int(r.to) - int(k) })
	return i
}

func (o occurrenceSet) has(k int32) bool {
	i := o.search(k + 1)
	return i < len(o) && o[i].from <= k
}

// add returns the set with the occurrences of r.
func (o occurrenceSet) add(r occurrenceRange) occurrenceSet {
	first := o.search(r.from)
	last := first
	for ; last < len(o) && o[last].from <= r.to; last++ {
		r.from, r.to = min(r.from, o[last].from), max(r.to, o[last].to)
	}
	return slices.Replace(o, first, last, r)
}

// occurrenceOf returns an occurrence that has been created and is kept, or nil.
func (j *job) occurrenceOf(k int32) *occurrence {
	i, found := j.search(k)
	if !found {
		return nil
	}
	return j.occs[i]
}

func (j *job) search(k int32) (i int, found bool) {
	return slices.BinarySearchFunc(j.occs, k, func(o *occurrence, k int32) int { return int(o.k) - int(k) })
}

// forgetIfOver keeps of an occurrence of a periodic job only that it is over, once all of its tasks are
// done and none of their runs may be alive.
//
// The guard is against memory and snapshots that grow with the occurrences of a job for as long as
// it lasts. An occurrence that is over does not run again: findTask has no task of it, so that no
// record applies to it, and a run of it that a worker lists is stopped as a stray.
func (s *Scheduler) forgetIfOver(occ *occurrence) {
	j := occ.steps[0].job
	if occ.open > 0 || !j.periodic() {
		return
	}
	for _, st := range occ.steps {
		if slices.ContainsFunc(st.tasks, func(t *task) bool { return t.run != nil }) {
			return
		}
	}
	i, found := j.search(occ.k)
	if !found {
		return
	}
	j.over = j.over.add(occurrenceRange{occ.k, occ.k + 1})
	j.occs = slices.Concat(j.occs[:i], j.occs[i+1:]) // callers may be going through the old slice
	s.countMemory(j)
}

// isOver reports whether the task is of an occurrence of which only that it is over is kept.
func (s *Scheduler) isOver(id model.TaskID) bool {
	j, known := s.jobs[id.Job]
	return known && j.over.has(id.Occurrence)
}

// replayOver applies the occurrences that are over, as a snapshot names them.
func (s *Scheduler) replayOver(j *job, ranges []*record.OccurrenceRange) {
	for _, r := range ranges {
		from, to := r.From, min(r.To, j.rec.RepeatCount)
		if from < 0 || from >= to {
			continue
		}
		for j.nextOcc < from { // those before one that was due were due
			s.addOccurrence(j)
		}
		for _, occ := range slices.Clone(j.occs) {
			if occ.k >= from && occ.k < to {
				s.endReplayedOccurrence(occ)
			}
		}
		j.over = j.over.add(occurrenceRange{from, to})
		j.nextOcc = max(j.nextOcc, to)
		j.begun = true
	}
	s.countMemory(j)
	if len(ranges) > 0 && j.complete() && !j.failed && !j.cancelled {
		s.jobEndedOnceCommitted(j)
	}
}

// endReplayedOccurrence ends an occurrence of which older records have begun to tell.
func (s *Scheduler) endReplayedOccurrence(occ *occurrence) {
	for _, st := range occ.steps {
		for _, t := range st.tasks {
			if t.run != nil {
				s.release(t.run)
			}
			s.taskDone(t)
		}
	}
}

// recordsOfOver returns the occurrences that are over for a snapshot.
func (j *job) recordsOfOver() []*record.OccurrenceRange {
	out := make([]*record.OccurrenceRange, len(j.over))
	for i, r := range j.over {
		out[i] = &record.OccurrenceRange{From: r.from, To: r.to}
	}
	return out
}
