package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// adviceMargin is taken off a ticket's life: its answer travels to us and
	// the start to the worker.
	adviceMargin = 200 * time.Millisecond
	// maxAsked is how many workers one call for advice may name.
	maxAsked = 100
	// fewAsked is how many workers a quick first call names at least, those with
	// room first; more are asked about when they turn out not to be enough.
	fewAsked = 12
	// askedPerTask is how many workers are asked about for each task: a third
	// to two thirds of the workers are good, and some are taken meanwhile.
	askedPerTask = 4
	// adviceRetry is the pause after a call for advice that failed.
	adviceRetry = 200 * time.Millisecond
)

// adviceState is what is known of the workers that may run a step.
type adviceState struct {
	marks   []adviceMark // by the worker's slot
	known   int          // workers that the service has spoken about
	good    []*worker    // those of them that may run the step
	asking  bool
	firstAt time.Duration // when the first advice came
	retryAt time.Duration
}

// adviceMark is what the advice service said of one worker. Which workers are
// good for a step never changes; tickets expire.
type adviceMark struct {
	worker *worker // nil where nothing is known
	good   bool
	ticket string
	until  time.Duration
}

// mark returns what is known of a worker, or nil. A slot may have had another
// worker when the service spoke.
func (a *adviceState) mark(w *worker) *adviceMark {
	if w.slot >= len(a.marks) || a.marks[w.slot].worker != w {
		return nil
	}
	return &a.marks[w.slot]
}

// note keeps what the service said of a worker.
func (a *adviceState) note(m adviceMark) {
	if missing := m.worker.slot + 1 - len(a.marks); missing > 0 {
		a.marks = append(a.marks, make([]adviceMark, missing)...)
	}
	old := a.mark(m.worker)
	if old == nil {
		a.known++
	}
	if m.good && (old == nil || !old.good) {
		a.good = append(a.good, m.worker)
	}
	a.marks[m.worker.slot] = m
}

func (a *adviceState) expire(w *worker) {
	if m := a.mark(w); m != nil {
		m.until = 0
	}
}

// candidates returns the workers that the step might start on, as far as advice
// goes. Of a step with advice those are few, and looking at no others makes a
// pass over a region of 350 workers several times cheaper (BenchmarkPass).
func (s *Scheduler) candidates(st *step) []*worker {
	if st.advised() {
		return st.advice.good
	}
	return s.workerList
}

// advised steps need a ticket of the advice service.
func (st *step) advised() bool { return st.job.rec.Policy.GetAdvice() != nil }

// ticketHolds reports whether the step may start on the worker as far as advice
// goes.
func (st *step) ticketHolds(w *worker, now time.Duration) bool {
	if !st.advised() {
		return true
	}
	m := st.advice.mark(w)
	return m != nil && m.good && now < m.until
}

// ruledOut reports whether the advice service said that the worker may not run
// the step.
func (st *step) ruledOut(w *worker) bool {
	if !st.advised() {
		return false
	}
	m := st.advice.mark(w)
	return m != nil && !m.good
}

// wantAdvice asks for advice when the step has too little and could use it: at
// first about all workers, later anew about the good ones when there is room on
// them and their tickets expire. Asking again for steps that have no room keeps
// the advice service busy with answers that nobody uses, and the steps that
// could start wait behind them.
func (s *Scheduler) wantAdvice(st *step) {
	if st.advised() {
		room := s.claimRoom(st)
		if s.canAsk(st) {
			s.ask(st, room)
		}
	}
}

// wantFirstAdvice asks about a step that nothing is known of and that has no
// room yet, if the advice service is idle.
func (s *Scheduler) wantFirstAdvice(st *step) {
	if st.advised() && st.advice.known == 0 && s.canAsk(st) {
		s.ask(st, false)
	}
}

// canAsk reports whether a call about the step could go out now. The longest
// call that it may need finds a host at least as easily as a shorter one, so that
// with all hosts busy no list of workers is made in vain.
func (s *Scheduler) canAsk(st *step) bool {
	if st.advice.asking || s.now < st.advice.retryAt {
		return false
	}
	if s.linkLoad > fullLink && !st.pressing {
		st.heldBy = "link" // calls for advice name many workers: they are the largest
		s.dirty = true
		return false
	}
	if s.advisers.pick(s.adviceTiers, st.job.rec.Queue, st.adviceCost(st.mostAsked()), s.now) == nil {
		st.heldBy = "advice backlog"
		s.dirty = true
		return false
	}
	return true
}

// mostAsked is how many workers one call about the step names at most. As many as
// double the length of the call are asked about in any case: in a full region a
// step that knows a few good workers finds no room on any of them and asks again
// and again, and each call costs the leader as much as a start.
func (st *step) mostAsked() int {
	if st.rec.Gang {
		return maxAsked
	}
	most := max(fewAsked, askedPerTask*len(st.tasks))
	if a := st.job.rec.Policy.GetAdvice(); a.GetEachMs() > 0 {
		most = max(most, int(a.GetDecideMs()/a.GetEachMs()))
	}
	return min(maxAsked, most)
}

func (s *Scheduler) ask(st *step, room bool) {
	if st.advice.known > 0 && !room {
		return
	}
	names := s.adviceWanted(st)
	if len(names) == 0 {
		return
	}
	cost := st.adviceCost(len(names))
	host := s.advisers.pick(s.adviceTiers, st.job.rec.Queue, cost, s.now)
	if host == nil {
		st.heldBy = "advice backlog"
		s.dirty = true
		return
	}
	st.advice.asking = true
	call := Advise{
		Host: host.name, Job: st.job.rec.Id, Occurrence: st.occ.k, Step: st.index, Workers: names, Expected: cost,
	}
	call.Timeout = host.ask(call.about(), cost, s.now)
	s.emit(call)
}

// claimRoom reports whether the step's waiting tasks could start if their
// tickets were good, and takes the room for the rest of this pass, so that of
// many steps that wait for the same room only the first ask for tickets.
func (s *Scheduler) claimRoom(st *step) bool {
	want, need := 0, 1
	for _, t := range st.tasks {
		if t.waiting() {
			want++
		}
	}
	if st.rec.Gang {
		need = len(st.tasks)
	}
	ahead := st.adviceCost(len(s.workerList)) + adviceMargin
	found := 0
	for _, w := range s.usableNow {
		if found >= want {
			break
		}
		if !s.suits(st, w) || s.keptApart(st, w) {
			continue
		}
		room := w.free().Sub(w.claimed)
		if w.reserved == st || w.kept == st || len(w.runs) > 0 && st.rec.Gang {
			room = room.Add(s.freedWithin(w, ahead))
		}
		if n := min(timesIn(st.room(), room), want-found); n > 0 {
			w.claimed = w.claimed.Add(st.room().Times(int64(n)))
			found += n
		}
	}
	return found >= need
}

func (st *step) adviceCost(workers int) time.Duration {
	a := st.job.rec.Policy.GetAdvice()
	return time.Duration((a.GetDecideMs() + a.GetEachMs()*float64(workers)) * float64(time.Millisecond))
}

// adviceWanted returns the workers to ask about now: good ones whose tickets
// expire and those that nothing is known of, the ones with room first.
func (s *Scheduler) adviceWanted(st *step) []string {
	var roomy, full []string
	stale, unknown := 0, 0
	soonest := s.now + st.adviceCost(len(s.workerList)) + adviceMargin
	for _, w := range s.workerList {
		if !w.listed || w.entry.Draining || !s.suits(st, w) {
			continue
		}
		m := st.advice.mark(w)
		switch {
		case m == nil:
			unknown++
		case m.good && m.until < soonest:
			stale++
		default:
			continue
		}
		if st.room().Fits(w.free()) {
			roomy = append(roomy, w.entry.ID)
		} else {
			full = append(full, w.entry.ID)
		}
	}
	if stale == 0 && st.advice.known > 0 && unknown <= st.advice.known/4 {
		// A few new workers are worth no call of their own.
		return nil
	}
	names := append(roomy, full...)
	return names[:min(len(names), st.mostAsked())]
}

// noteAdviser notes what an answer tells of the host that was asked.
func (s *Scheduler) noteAdviser(ev Advised) {
	switch {
	case !ev.Failed:
		s.advisers.answered(ev.Order.Host, ev.Order.about(), s.now)
	case ev.NotSent:
		s.advisers.notAsked(ev.Order.Host, ev.Order.about(), s.now)
	default:
		s.advisers.unanswered(ev.Order.Host, ev.Order.about(), s.now)
	}
}

func (s *Scheduler) advised(ev Advised) {
	s.noteAdviser(ev)
	t := s.find(model.TaskID{Job: ev.Order.Job, Occurrence: ev.Order.Occurrence, Step: ev.Order.Step})
	if t == nil {
		return
	}
	st := t.step
	st.advice.asking = false
	if ev.Failed {
		st.advice.retryAt = s.now + adviceRetry
		return
	}
	if st.advice.firstAt == 0 {
		st.advice.firstAt = s.now
	}
	if st.open == 0 {
		return // done meanwhile: nothing of it starts any more
	}
	tickets := make(map[string]string, len(ev.Tickets))
	for _, k := range ev.Tickets {
		tickets[k.Worker] = k.Ticket
	}
	until := ev.At + time.Duration(st.job.rec.Policy.GetAdvice().GetValidMs())*time.Millisecond - adviceMargin
	for _, id := range ev.Order.Workers {
		w, known := s.workers[id]
		if !known {
			continue // it has left since
		}
		ticket, good := tickets[id]
		m := adviceMark{worker: w, good: good, ticket: ticket}
		if good {
			m.until = until
		}
		st.advice.note(m)
	}
	s.dirty = true
}
