package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
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
	// behindMemory is over how many ticks, of 20 ms each, that is a running mean.
	behindMemory = 16
	// lookRetry is the pause after a look that failed.
	lookRetry = 150 * time.Millisecond
	// reachable is how old the newest answered look of a worker may be for new
	// work to go there: a wait and a round trip, with one lost answer.
	reachable = 1500 * time.Millisecond
	// unhealthyPause is how long a worker that refused an order for its own
	// state gets no further ones.
	unhealthyPause = 500 * time.Millisecond
	// maxEndsListed is how many ends a worker lists at most in one answer; a
	// full list says nothing about runs that it does not name.
	maxEndsListed = 500
)

// worker is what is believed of one worker.
type worker struct {
	entry       model.WorkerEntry
	listed      bool
	slot        int             // index of the worker in the marks of steps
	runs        []*run          // what may be alive there
	used        model.Resources // of all that may be alive there
	clockMs     int64           // its clock as last read
	clockAt     time.Duration   // when that was
	leaseMs     int64           // end of the longest lease we may have granted, on its clock
	inherited   time.Duration   // until when leases of a predecessor may last
	fenced      bool            // it has answered under our fencing token
	looking     bool            // a look is under way
	missed      bool            // the newest look got no answer
	lossyTo     time.Duration   // it has missed a look not long before this
	lookedAt    time.Duration   // when the newest answered look was sent
	lives       int64           // how many lives we have seen end
	lastEnd     int64           // highest end processed
	acked       int64           // highest end whose record is kept
	pausedTo    time.Duration   // no new work before
	health      health
	reserved    *step           // a gang that collects room here
	kept        *step           // a further gang that collects room here, before late work
	wasReserved *step           // either, in the pass before
	claimed     model.Resources // room that steps ask tickets for, in this pass
}

func (w *worker) ref() model.WorkerRef {
	return model.WorkerRef{ID: w.entry.ID, Address: w.entry.Address, BornUnix: w.entry.BornUnix}
}

func (w *worker) free() model.Resources { return w.entry.Capacity.Sub(w.used) }

// clock estimates the worker's clock.
func (w *worker) clock(now time.Duration) int64 {
	return w.clockMs + (now - w.clockAt).Milliseconds()
}

// lapsesAt returns when nothing that was leased there can be alive any more.
func (w *worker) lapsesAt() time.Duration {
	if !w.fenced {
		return w.inherited
	}
	left := time.Duration(w.leaseMs-w.clockMs) * time.Millisecond
	return w.clockAt + time.Duration(float64(left)/(1-clockDrift)) + lapseMargin
}

// workerNamed returns the worker with that id, also one that is not listed:
// a run of a predecessor may be alive there.
func (s *Scheduler) workerNamed(id string) *worker {
	w, known := s.workers[id]
	if !known {
		w = &worker{entry: model.WorkerEntry{ID: id}, slot: s.slots.take()}
		s.workers[id] = w
		s.order = append(s.order, w)
		if s.leading() {
			s.takeOver(w)
		}
	}
	return w
}

// takeOver bounds the leases that a predecessor may have granted.
func (s *Scheduler) takeOver(w *worker) {
	w.inherited = s.leadSince + logProofLife + s.maxLease() + lapseMargin
	s.look(w, 0)
}

// maxLease is the longest that a lease may last by our clock.
func (s *Scheduler) maxLease() time.Duration {
	return time.Duration(float64(s.opts.MaxLease) / (1 - clockDrift))
}

func (s *Scheduler) workerListed(e model.WorkerEntry) {
	s.endPredecessorAt(e)
	w := s.workerNamed(e.ID)
	if w.entry.BornUnix != e.BornUnix && w.entry.BornUnix != 0 {
		s.explain("", "worker has a new life", Field{"worker", e.ID}, Field{"runs_lost", len(w.runs)})
		s.keepStarts(w)
		s.newLife(w, true)
	}
	if w.listed && e.Draining && !w.entry.Draining {
		s.explain("", "worker drains", Field{"worker", e.ID}, Field{"runs", len(w.runs)})
	}
	if !w.listed {
		s.explain("", "worker listed", Field{"worker", e.ID}, Field{"zone", e.Zone}, Field{"milli_cpu", e.Capacity.MilliCPU})
	}
	w.entry = e
	w.listed = true
	s.dirty = true
	s.look(w, 0)
}

// endPredecessorAt ends the runs of a worker that had the address before: a
// new life holds nothing of the old one, under whatever id.
func (s *Scheduler) endPredecessorAt(e model.WorkerEntry) {
	for _, w := range s.order {
		if w.entry.Address != e.Address || w.entry.ID == e.ID || w.entry.BornUnix >= e.BornUnix {
			continue
		}
		s.newLife(w, false)
		w.listed = false
	}
}

// keepStarts keeps the starts that are still under way to a worker that has a
// new life under its old id. Such a start may reach the new life, which knows
// nothing of the old one, and a second run elsewhere would be beside it. The
// next look settles them: it raises the fencing token that the new life has
// seen, so that a start it does not list can come no more.
func (s *Scheduler) keepStarts(w *worker) {
	for _, r := range w.runs {
		if r.phase == phaseSending || r.maybeSent {
			r.phase = phaseInherited
		}
	}
}

// newLife ends the runs of a worker's earlier life, but for those that the next
// look has to settle, if the new life has the same id.
func (s *Scheduler) newLife(w *worker, sameID bool) {
	for _, r := range w.sortedRuns() {
		if r.phase != phaseInherited || !sameID {
			s.lose(r, "its worker has a new life")
		}
	}
	w.clockMs, w.leaseMs, w.lastEnd, w.acked = 0, 0, 0, 0
	w.inherited = s.now + s.maxLease() + lapseMargin
	w.fenced = false
	w.lives++
	w.health = health{}
}

// livesBits is how many bits of a fencing token count a worker's lives.
const livesBits = 16

// fenceOf returns the fencing token of orders to a worker. It rises with each
// leader, and with each new life of the worker under the same id: an order to
// the earlier life that is carried out late would otherwise start a task there
// that has been started elsewhere since. The new life refuses it once it has
// answered one look.
func (s *Scheduler) fenceOf(w *worker) int64 { return s.fence<<livesBits | w.lives }

func (s *Scheduler) workerUnlisted(id string) {
	w, known := s.workers[id]
	if !known || !w.listed {
		return
	}
	w.listed = false
	s.explain("", "worker unlisted", Field{"worker", id}, Field{"runs", len(w.runs)})
}

// forget drops a worker that left and holds nothing.
func (s *Scheduler) forget(w *worker) {
	delete(s.workers, w.entry.ID)
	s.slots.giveBack(w.slot)
	for i, o := range s.order {
		if o == w {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}

// look renews the worker's leases and reads what runs and what has ended. One
// look at a time is under way, so that answers do not overtake each other.
func (s *Scheduler) look(w *worker, after time.Duration) {
	if w.looking || !s.leading() || w.entry.Address == "" {
		return
	}
	order := model.HoldOrder{Worker: w.ref(), Fence: s.fenceOf(w), AckedUpTo: w.acked}
	// A worker that does not answer gets no longer lease until it does: each
	// renewal may be carried out late, and what runs on a worker that is gone
	// for good could never be taken for dead.
	if w.fenced && !w.missed {
		order.Wait = lookWait
		if s.now < w.lossyTo {
			order.Wait = lossyWait
		}
		order.UntilMs = s.leaseEnd(w)
	}
	w.looking = true
	s.emit(Hold{Order: order, After: after})
}

// leaseEnd returns the end of a lease that is granted now, on the worker's
// clock, or 0 if it is not certain that no other host leads.
func (s *Scheduler) leaseEnd(w *worker) int64 {
	if !s.proven() {
		return 0
	}
	until := w.clock(s.now) + s.opts.Lease.Milliseconds()
	w.leaseMs = max(w.leaseMs, until)
	return until
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
		s.explain("", "another life answers for worker", Field{"worker", w.entry.ID}, Field{"runs_lost", len(w.runs)})
		s.newLife(w, false)
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

// lookPause is the pause before the next look at a worker with ends.
func (s *Scheduler) lookPause() time.Duration {
	return lookGap + min(pausePerBehind*s.behind, mostLookPause-lookGap)
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
	s.emit(Stop{Order: model.StopOrder{RunID: id, Worker: w.ref(), Fence: s.fenceOf(w)}})
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
		s.lose(r, "its worker does not list it")
	}
}

// expireRuns ends the runs on workers whose leases are over for certain.
func (s *Scheduler) expireRuns() {
	for i := len(s.order) - 1; i >= 0; i-- {
		w := s.order[i]
		if len(w.runs) > 0 && s.now > w.lapsesAt() {
			for _, r := range w.sortedRuns() {
				s.lose(r, "its lease is over")
			}
		}
		if !w.listed && len(w.runs) == 0 && !w.looking {
			s.forget(w)
		}
	}
}

// countEnd counts the end of a run towards its task and job.
func (s *Scheduler) countEnd(t *task, number int32, outcome record.Outcome, checkpoint string) {
	first := number > t.endedRun
	t.endedRun = max(t.endedRun, number)
	if checkpoint != "" {
		s.saved(t, checkpoint)
	}
	switch {
	case t.endsAs(outcome):
		s.taskDone(t)
	case outcome == record.Outcome_OUTCOME_FAILED && first:
		s.countFailure(t)
	}
	if t.waiting() && !t.step.job.over() && t.step.started {
		s.enqueue(t.step)
	}
	s.dirty = true
}

// countFailure uses up an attempt; a gang has its attempts in common.
func (s *Scheduler) countFailure(t *task) {
	if t.step.rec.LongRunning {
		return
	}
	if t.step.rec.Gang {
		t = t.step.tasks[0]
	}
	t.attempts++
	if t.attempts >= t.step.job.rec.Policy.GetMaxAttempts() {
		s.fail(t.step.job, t)
	}
}

// saved remembers a checkpoint; any member's is valid for its gang.
func (s *Scheduler) saved(t *task, checkpoint string) {
	if !t.step.rec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range t.step.tasks {
		m.checkpoint = checkpoint
	}
}
