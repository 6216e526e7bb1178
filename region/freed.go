package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// freedSums keeps results of freedWithin on one worker for the rest of a pass. Each waiting gang
// asks for the same few times in every pass, and runs change on few workers in between.
type freedSums struct {
	at   time.Duration // s.now of the sums
	n    int           // how many of sums are valid
	sums [4]freedSum
}

type freedSum struct {
	within time.Duration
	sum    model.Resources
}

// freedWithin returns the resources of the runs on a worker that are expected to end within
// a time.
func (s *Scheduler) freedWithin(w *worker, within time.Duration) model.Resources {
	f := &w.freed
	if f.at != s.now {
		f.at, f.n = s.now, 0
	}
	for i := range f.n {
		if f.sums[i].within == within {
			return f.sums[i].sum
		}
	}
	sum := s.sumFreedWithin(w, within)
	f.n = min(f.n+1, len(f.sums))
	f.sums[f.n-1] = freedSum{within: within, sum: sum}
	return sum
}

func (s *Scheduler) sumFreedWithin(w *worker, within time.Duration) model.Resources {
	var sum model.Resources
	for _, r := range w.runs {
		if !r.idle && r.endsAt < s.now+within {
			sum = sum.Add(r.demand)
		}
	}
	return sum
}

// expectEnd sets when the run is expected to end.
func (r *run) expectEnd(at time.Duration) {
	r.endsAt = at
	r.worker.runsChanged()
}

// runsChanged discards the kept sums, after a run was added or removed, became idle or in use, or
// is expected to end at another time.
func (w *worker) runsChanged() { w.freed.n = 0 }
