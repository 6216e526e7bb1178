package region

import (
	"slices"
	"time"
)

// inheritedReportDelay is how long after the begin of leadership the workers with runs of earlier
// leaders are reported that have not answered. Workers usually answer within milliseconds.
const inheritedReportDelay = time.Second

// inheritedReport tracks which workers with runs of earlier leaders have answered this one.
type inheritedReport struct {
	waiting []*worker // workers that have not answered
	done    bool      // those that had not answered in time have been reported
}

// reportInherited begins the report when leadership begins.
func (s *Scheduler) reportInherited() {
	runs, ended := 0, 0
	for _, w := range s.workerList {
		if len(w.runs) > 0 {
			s.inherited.waiting = append(s.inherited.waiting, w)
			runs += len(w.runs)
			ended += w.runsOfEndedJobs()
		}
	}
	if runs > 0 {
		s.explain("", "runs inherited", Field{"workers", len(s.inherited.waiting)}, Field{"runs", runs}, Field{"runs_of_ended_jobs", ended})
	}
}

// runsOfEndedJobs returns how many runs on the worker belong to jobs that have ended.
func (w *worker) runsOfEndedJobs() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.job.ended() {
			n++
		}
	}
	return n
}

// inheritedReached reports the first answer of a worker with inherited runs.
func (s *Scheduler) inheritedReached(w *worker) {
	i := slices.Index(s.inherited.waiting, w)
	if i < 0 {
		return
	}
	s.inherited.waiting = slices.Delete(s.inherited.waiting, i, i+1)
	s.explain("", "inherited runs reached", Field{"worker", w.entry.ID}, Field{"born", w.incarnation.BornUnix}, Field{"listed", w.listed},
		Field{"runs", len(w.runs)}, Field{"after_ms", (s.now - s.leadSince).Milliseconds()})
	s.emit(Count{Name: "inherited_workers", Why: "reached"})
}

// reportUnreached reports the workers with inherited runs that have not answered in time.
func (s *Scheduler) reportUnreached() {
	if s.inherited.done || s.now-s.leadSince < inheritedReportDelay {
		return
	}
	s.inherited.done = true
	s.explain("", "workers known", Field{"listed", s.countListed()}, Field{"active", len(s.active)})
	for _, w := range s.inherited.waiting {
		if len(w.runs) == 0 {
			continue
		}
		ref := w.newestRunRef()
		s.explain("", "inherited runs not reached", Field{"worker", ref.ID}, Field{"born", ref.BornUnix}, Field{"address", ref.Address},
			Field{"listed", w.listed}, Field{"runs", len(w.runs)}, Field{"runs_of_ended_jobs", w.runsOfEndedJobs()},
			Field{"lapses_in_ms", (w.lapsesAt() - s.now).Milliseconds()})
		s.emit(Count{Name: "inherited_workers", Why: w.listing()})
	}
}

// countListed returns how many workers have an entry in the host list.
func (s *Scheduler) countListed() int {
	n := 0
	for _, w := range s.workerList {
		if w.listed {
			n++
		}
	}
	return n
}

// listing is the tag of a worker that has not answered: whether the host list has it.
func (w *worker) listing() string {
	if w.listed {
		return "listed_silent"
	}
	return "unlisted_silent"
}
