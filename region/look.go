package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// lookWait is how long a worker may wait for an end before it answers a
	// look: longer saves looks, shorter notices a lost worker sooner.
	lookWait = 700 * time.Millisecond
	// lossyWait is the same for a worker that missed a look within lossyFor: where
	// answers get lost, a short wait finds it out sooner.
	lossyWait = 150 * time.Millisecond
	lossyFor  = 5 * time.Second
	// lookGap is the pause between two looks at a worker with ends: several
	// ends then share a look. A look costs about 1% of a small task's worth, and
	// 100 ms are a sixth of the slack of the shortest tasks. A calm day has 11,300
	// looks with 60 ms and 9,100 with 130 ms.
	lookGap = 100 * time.Millisecond
	// pausePerBehind times as long as events wait for us is added to that pause, up
	// to mostLookPause: looks are half of a leader's calls, and in a burst of
	// work starts and advice would wait behind them.
	pausePerBehind = 8
	mostLookPause  = 300 * time.Millisecond
	// busyLink is the share of the link in use from which looks are paced too: the pause
	// grows to mostLookPause at fullLink, where starts and appends would wait for looks.
	busyLink = 0.5
	fullLink = 0.8
	// overfullLink is the share from which nothing new is started: more is handed to the
	// link than it carries, and renewals of what runs already would wait behind it.
	overfullLink = 1.0
	// behindMemory is over how many ticks, of 20 ms each, that is a running mean.
	behindMemory = 16
	// lookRetry is the pause after a look that failed.
	lookRetry = 150 * time.Millisecond
	// maxEndsListed is how many ends a worker lists at most in one answer; a
	// full list says nothing about runs that it does not name.
	maxEndsListed = 500
)

// look renews the worker's leases and reads what runs and what has ended. One
// look at a time is under way, so that answers do not overtake each other.
func (s *Scheduler) look(w *worker, after time.Duration) {
	if w.looking || !s.leading() || w.entry.Address == "" {
		return
	}
	order := model.HoldRequest{Worker: w.ref(), Fence: s.fenceOf(w)}
	// A worker that does not answer gets no longer lease until it does: each
	// renewal may be carried out late, and what runs on a worker that is gone
	// for good could never be taken for dead. A look that renews nothing and takes
	// note of nothing also serves as the proof of its connection.
	if w.fenced && !w.missed {
		order.AckedUpTo = w.acked
		order.Wait = lookWait
		if len(w.runs) > 0 {
			order.Wait = min(lookWait, s.leaseFor(w)/leaseLooks)
		}
		if s.now < w.lossyTo {
			order.Wait = lossyWait
		}
		order.UntilMs = s.leaseEnd(w)
	}
	w.looking = true
	s.emit(Hold{Order: order, After: after})
}

func (s *Scheduler) held(ev Held) {
	w, known := s.workers[ev.Order.Worker.ID]
	if !known {
		return
	}
	w.looking = false
	if ev.Order.Worker.BornUnix != w.entry.BornUnix {
		s.look(w, 0)
		return
	}
	switch ev.Err {
	case CallOK:
	case CallFenced:
		s.emit(Deposed{Worker: w.entry.ID})
		return
	case CallOtherLife:
		s.otherLife(w)
		s.lookAgain(w, lookRetry)
		return
	default:
		w.missed = true
		w.lossyTo = s.now + lossyFor
		s.lookAgain(w, lookRetry)
		return
	}
	s.readLook(w, ev)
	if w.missed {
		w.missed = false
		s.lookAgain(w, 0)
		return
	}
	s.lookAgain(w, s.lookPause())
}

// otherLife ends the life that is known of a worker, as another one answers in its
// place. The worker gets no work until the host list tells of that one: it may be of
// another kind or size.
func (s *Scheduler) otherLife(w *worker) {
	if !w.fenced && !slices.ContainsFunc(w.runs, func(r *run) bool { return r.phase != phaseInDoubt }) {
		return // known already
	}
	s.explain("", "another life answers for worker", Field{"worker", w.entry.ID}, Field{"runs_lost", len(w.runs)})
	s.newLife(w)
}

// lookPause is the pause before the next look at a worker with ends.
func (s *Scheduler) lookPause() time.Duration {
	const most = mostLookPause - lookGap
	crowded := min(max(s.linkLoad-busyLink, 0)/(fullLink-busyLink), 1)
	return lookGap + max(min(pausePerBehind*s.behind, most), time.Duration(crowded*float64(most)))
}

// lookAgain goes on looking, unless the worker left and holds nothing.
func (s *Scheduler) lookAgain(w *worker, after time.Duration) {
	if !w.listed && len(w.runs) == 0 {
		s.forget(w)
		return
	}
	s.look(w, after)
}

func (s *Scheduler) readLook(w *worker, ev Held) {
	w.clockMs, w.clockAt = ev.Hold.ClockMs, s.now
	if !w.fenced {
		w.fenced = true
		// Whatever a predecessor granted ends within a whole lease from here.
		w.leaseMs = max(w.leaseMs, ev.Hold.ClockMs+s.opts.MaxLease.Milliseconds())
		s.dirty = true
	}
	w.lookedAt = max(w.lookedAt, ev.SentAt)
	for _, e := range ev.Hold.Ended {
		s.readEnd(w, e)
	}
	listed := make(map[model.TaskID]bool, len(ev.Hold.Running))
	for _, row := range ev.Hold.Running {
		listed[row.Task] = true
		s.readRunning(w, row)
	}
	if len(ev.Hold.Ended) < maxEndsListed {
		s.clearUnlisted(w, listed, ev.SentAt)
	}
}

func (s *Scheduler) readEnd(w *worker, e model.End) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	s.runEnded(w, e)
	number := e.Number
	life := w.entry.BornUnix
	s.afterKept(s.seq, func() {
		if w.entry.BornUnix == life {
			w.acked = max(w.acked, number)
		}
	})
}

func (s *Scheduler) readRunning(w *worker, row model.Running) {
	t := s.find(row.Task)
	if t == nil || t.run == nil || t.run.number != row.Run || t.run.worker != w {
		s.stopStray(w, row.RunID)
		return
	}
	r := t.run
	if row.Checkpoint != "" {
		s.saved(t, row.Checkpoint)
	}
	s.progress(r, row)
	r.calls.seen()
	if r.phase == phaseInDoubt {
		s.adopt(r)
	}
	if r.phase == phaseInherited || r.phase == phaseSending {
		s.confirm(r)
	}
	if t.done || t.step.job.over() {
		s.stopRun(r, "job is over")
	}
}

// stopStray stops a run that nobody wants: an order that was carried out late,
// or of a job that is over.
func (s *Scheduler) stopStray(w *worker, id model.RunID) {
	s.explain(id.Task.Job, "stray run stopped", Field{"worker", w.entry.ID}, Field{"run", id.Run}, Field{"step", id.Task.Step}, Field{"task", id.Task.Index})
	s.emit(Stop{Order: model.StopRequest{RunID: id, Worker: w.ref(), Fence: s.fenceOf(w)}})
}

// clearUnlisted settles runs that a look did not list although it was sent
// after the worker had settled them. A member of a gang may be missing because
// another member's end stands for all: the gang starts again only when every
// member is settled, and that end is read before its own member is.
func (s *Scheduler) clearUnlisted(w *worker, listed map[model.TaskID]bool, sentAt time.Duration) {
	for _, r := range w.sortedRuns() {
		if listed[r.task.id()] || !r.settledBefore(sentAt) {
			continue
		}
		s.abandon(r, "its worker does not list it")
	}
}
