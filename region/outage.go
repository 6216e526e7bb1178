package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// judgeDelay is how long after a crash is shown it is decided whether the rack has failed as
	// a whole: the answers of its other workers come within that time.
	judgeDelay = 5 * time.Second
	// outageSpread is how far apart the workers of a rack that failed as a whole start again.
	outageSpread = 3 * time.Second
	// minOutage is how many other workers of the rack, and at least half of them, fail in an
	// outage.
	minOutage = 2
	// crashRetention is how long a crash that is shown may explain why its worker failed.
	crashRetention = 30 * time.Second
)

// shownCrashes are the newest crashes that were shown, whatever became of their tasks.
type shownCrashes struct {
	table    lossTable
	recent   []*loss // in the order in which they were shown
	unjudged []*loss // those of which judgeCrashes has yet to decide whether they were outages
}

// noteShown adds a crash that is shown now.
func (s *Scheduler) noteShown(l *loss) {
	l.shownAt, l.judgeAt = s.now, s.now+judgeDelay
	s.shown.table.add(l)
	s.shown.recent = append(s.shown.recent, l)
	s.shown.unjudged = append(s.shown.unjudged, l)
}

// judgeCrashes decides on the crashes whose judgeDelay is over.
func (s *Scheduler) judgeCrashes() {
	for len(s.shown.unjudged) > 0 && s.now >= s.shown.unjudged[0].judgeAt {
		l := s.shown.unjudged[0]
		s.shown.unjudged = s.shown.unjudged[1:]
		s.judge(l)
	}
	for len(s.shown.recent) > 0 && s.now-s.shown.recent[0].shownAt > crashRetention {
		s.shown.table.remove(s.shown.recent[0])
		s.shown.recent = s.shown.recent[1:]
	}
}

// judge decides, once, whether a crash that counts against a task was part of an outage.
func (s *Scheduler) judge(l *loss) {
	t := l.task
	if l.judgeAt == 0 || t.done || t.step.job.ended() || !slices.Contains(t.suspicion.crashes, l) {
		return
	}
	l.judgeAt = 0
	if l.outage = s.inOutage(l); !l.outage {
		return
	}
	s.noteSuspect(t)
	s.explain(t.step.job.rec.Id, "crash not counted: its rack failed", Field{"worker", l.ref.ID}, Field{"step", t.step.index}, Field{"task", t.index},
		Field{"run", l.run}, Field{"weight", weightOf(t.suspicion.crashes)})
	s.emit(Count{Name: "worker_crashes_in_outages"})
	s.emitCrash(l)
	s.recordCrashed(l)
}

// recordCrashed logs a crash as it counts now.
func (s *Scheduler) recordCrashed(l *loss) {
	s.append(&record.Entry{Kind: &record.Entry_Crashed{Crashed: &record.Crashed{Task: l.task.id().Record(), Loss: s.recordOf(l)}}})
}

// inOutage reports whether other workers of the rack of a worker that crashed failed at the same
// time, for causes of their own.
//
// The guard is against a task that answers for the failure of its rack. It holds for a task that
// crashes its workers, since those that another such task may have crashed are no sign of an
// outage: tasks with data on one rack are started there together.
func (s *Scheduler) inOutage(l *loss) bool {
	next := s.successorOf(l)
	if next == nil || next.rack == nil || next.entry.Rack() == "" {
		return false
	}
	others, failed := 0, 0
	for _, o := range next.rack.workers {
		if o == next || !o.listed || o.replaced {
			continue
		}
		others++
		if s.startedWith(o, next, l) && !s.mayHaveCrashed(o) {
			failed++
		}
	}
	return failed >= minOutage && 2*failed >= others
}

// successorOf returns the newest worker at the address of a worker that crashed, or nil if there is
// none.
func (s *Scheduler) successorOf(l *loss) *worker {
	var next *worker
	for _, o := range s.byAddress[l.ref.Address] {
		if o.incarnation.BornUnix > l.ref.BornUnix && (next == nil || o.incarnation.BornUnix > next.incarnation.BornUnix) {
			next = o
		}
	}
	return next
}

// startedWith reports whether a worker started when the successor of a crashed one did, and not
// when the crashed one did.
func (s *Scheduler) startedWith(o, next *worker, l *loss) bool {
	spread := outageSpread.Milliseconds()
	born := o.incarnation.BornUnix
	return max(born-next.incarnation.BornUnix, next.incarnation.BornUnix-born) <= spread && born > l.ref.BornUnix+spread && !o.succeeds
}

// mayHaveCrashed reports whether a task may have crashed the worker that an incarnation follows: one
// that had not run there for long, and under which another worker was lost as well.
func (s *Scheduler) mayHaveCrashed(next *worker) bool {
	ref := next.ref()
	suspect := func(l *loss) bool {
		return l.ref.BornUnix < ref.BornUnix && l.ran < goodRun && len(l.task.suspicion.crashes)+len(l.task.suspicion.open) > 1
	}
	return slices.ContainsFunc(s.shown.table.byAddress[ref.Address], suspect) || slices.ContainsFunc(s.losses.byAddress[ref.Address], suspect)
}
