package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// adviceMargin is subtracted from a ticket's validity: the answer takes time to
	// reach the leader, and the start to reach the worker.
	adviceMargin = 200 * time.Millisecond
	// maxAdviceWorkers is the largest number of workers in one call for advice.
	maxAdviceWorkers = 100
	// minAdviceWorkers is the smallest limit on the workers in one call. Workers with
	// room come first; further calls name more if these are not enough.
	minAdviceWorkers = 12
	// adviceWorkersPerTask is how many workers a call names for each task: a third to
	// two thirds of the workers are eligible, and some fill up before the answer.
	adviceWorkersPerTask = 4
	// adviceRetryPause is the backoff of a step after a failed call for advice.
	adviceRetryPause = 200 * time.Millisecond
)

// adviceState holds the answers of the advice service about the workers for a step.
type adviceState struct {
	marks    []adviceMark  // by the worker's slot
	known    int           // number of workers with an answer
	eligible []*worker     // those of them that may run the step
	inFlight int           // calls that have not been answered
	firstAt  time.Duration // time of the first answer
	validTo  time.Duration // until when the tickets of the newest answer are valid
	promise  roomPromise   // for the calls in flight
	retryAt  time.Duration
}

// adviceMark is the advice service's answer about one worker. The set of workers that
// are eligible for a step never changes; tickets expire.
type adviceMark struct {
	worker   *worker // nil without an answer
	eligible bool
	ticket   string
	issuedBy time.Duration // the ticket was issued before this time
	until    time.Duration
}

// mark returns the answer about a worker, or nil if there is none. Slots are reused, so
// the answer in the worker's slot may be about another worker.
func (a *adviceState) mark(w *worker) *adviceMark {
	if w.slot >= len(a.marks) || a.marks[w.slot].worker != w {
		return nil
	}
	return &a.marks[w.slot]
}

// store stores the answer about a worker.
func (a *adviceState) store(m adviceMark) {
	if missing := m.worker.slot + 1 - len(a.marks); missing > 0 {
		a.marks = append(a.marks, make([]adviceMark, missing)...)
	}
	old := a.mark(m.worker)
	if old == nil {
		a.known++
	}
	if m.eligible && (old == nil || !old.eligible) {
		a.eligible = append(a.eligible, m.worker)
	}
	a.marks[m.worker.slot] = m
}

func (a *adviceState) expire(w *worker) {
	if m := a.mark(w); m != nil {
		m.until = 0
	}
}

// candidates returns the workers that advice does not exclude for the step. A step
// with advice has few; skipping the others makes a scheduling pass over a region of 350
// workers several times cheaper (BenchmarkPass).
func (s *Scheduler) candidates(st *step) []*worker {
	if st.needsAdvice() {
		return st.advice.eligible
	}
	return s.active
}

// needsAdvice reports whether the step's tasks need a ticket of the advice service.
func (st *step) needsAdvice() bool { return st.job.rec.Policy.GetAdvice() != nil }

// ticketHolds reports whether the step needs no ticket, or has a valid one for the
// worker.
func (st *step) ticketHolds(w *worker, now time.Duration) bool {
	if !st.needsAdvice() {
		return true
	}
	m := st.advice.mark(w)
	return m != nil && m.eligible && now < m.until
}

// ruledOut reports whether the advice service answered that the worker may not run
// the step.
func (st *step) ruledOut(w *worker) bool {
	if !st.needsAdvice() {
		return false
	}
	m := st.advice.mark(w)
	return m != nil && !m.eligible
}

// claim is room on a worker for which a step requests tickets.
type claim struct {
	worker *worker
	room   model.Resources
}

// refreshAdvice requests advice for the step if it lacks valid tickets and has room to
// use them: first about all workers, later about the eligible ones whose tickets expire.
// Repeated calls for steps without room would keep the advice service busy with answers
// that are never used, and delay the steps that could start.
func (s *Scheduler) refreshAdvice(st *step) {
	if st.needsAdvice() {
		room := s.claimRoom(st)
		if !room && st.advice.inFlight == 0 && st.heldBy == reasonNames[rejectAdvice] {
			st.heldBy = heldByUnasked
		}
		if s.canRequestAdvice(st) {
			s.requestAdvice(st, room)
		}
	}
}

// requestFirstAdvice requests advice for a step that has none and no room yet, if a
// host's backlog at the advice service permits it.
func (s *Scheduler) requestFirstAdvice(st *step) {
	if st.needsAdvice() && st.advice.known == 0 && s.canRequestAdvice(st) {
		s.requestAdvice(st, false)
	}
}

// canRequestAdvice reports whether a call about the step could be sent now, and records
// what blocks it. It checks the longest possible call, which is accepted wherever a
// shorter one is. With all hosts busy, no list of workers is built.
func (s *Scheduler) canRequestAdvice(st *step) bool {
	if st.advice.inFlight > 0 || s.now < st.advice.retryAt {
		return false
	}
	if s.linkLoad > fullLink && !st.latencySensitive {
		st.heldBy = heldByLink // calls for advice name many workers and are the largest calls
		s.dirty = true
		return false
	}
	return s.pickAdviser(st, st.adviceCost(st.maxWorkersPerCall())) != nil
}

// pickAdviser returns the host for a call about the step that takes the given time, or nil if all
// have calls to wait for.
func (s *Scheduler) pickAdviser(st *step, cost time.Duration) *adviser {
	factor := backlogFactor
	if s.plansAdvice(st) {
		factor = scarceBacklogFactor
	}
	host := s.advisers.pickWithin(s.adviceTiers, st.job.rec.Queue, cost, factor, s.now)
	if host == nil {
		st.heldBy = heldByAdvisers
		st.job.queue.adviceHeldBack = true
		s.dirty = true
	}
	return host
}

// maxWorkersPerCall returns the largest number of workers in one call about the step. It
// is at least the number that doubles the service time of the call: in a full region, a
// step with few eligible workers finds no room on them and requests advice repeatedly,
// and each call costs the leader as much as a start.
func (st *step) maxWorkersPerCall() int {
	if st.rec.Gang {
		return maxAdviceWorkers
	}
	most := max(minAdviceWorkers, adviceWorkersPerTask*len(st.tasks))
	if a := st.job.rec.Policy.GetAdvice(); a.GetEachMs() > 0 {
		most = max(most, int(min(a.GetDecideMs()/a.GetEachMs(), maxAdviceWorkers)))
	}
	return min(maxAdviceWorkers, most)
}

func (s *Scheduler) requestAdvice(st *step, room bool) {
	if st.advice.known > 0 && !room {
		return
	}
	if s.plansAdvice(st) || st.rec.Gang && s.idleAdvisers() > 0 {
		s.requestPlanned(st)
		return
	}
	s.sendParts(st, s.workersToAsk(st), func([]string) {})
}

// sendAdvise sends a call for advice about the step that names these workers, and reports whether
// a host accepts it.
func (s *Scheduler) sendAdvise(st *step, names []string) bool {
	cost := st.adviceCost(len(names))
	host := s.pickAdviser(st, cost)
	if host == nil {
		return false
	}
	st.advice.inFlight++
	kind := "first"
	if st.advice.known > 0 {
		kind = "again"
	}
	s.emit(Count{Name: "advice_calls", Why: kind})
	call := Advise{
		Host: host.name, Job: st.job.rec.Id, Occurrence: st.occ.k, Step: st.index, Workers: names, Expected: cost,
	}
	call.Timeout = host.enqueue(call.stepKey(), cost, s.now)
	s.emit(call)
	return true
}

// claimRoom reports whether the step's waiting tasks could start with valid tickets, and
// claims the room for the rest of this pass: of many steps that wait for the same room,
// only the first request tickets.
//
// The guard is against a gang that has too few places, claims those that there are in each pass and requests
// nothing: tasks that could start there would have no tickets for as long as it waits. Its claims hold as its
// reservations do (reservationsLapsed).
func (s *Scheduler) claimRoom(st *step) bool {
	respectsAll := !s.reservationsLapsed(st)
	s.claims = s.claims[:0]
	want := 0
	for _, t := range st.tasks {
		if t.waiting() && !s.held(t) {
			want++
		}
	}
	answerTime := s.longestCall(st) + adviceMargin
	found := 0
	for _, w := range s.usableNow {
		if found >= want {
			break
		}
		room := w.free().Sub(w.claimed)
		if respectsAll {
			room = room.Sub(w.claimedInVain)
		}
		if w.reserved == st || w.softReserved == st || len(w.runs) > 0 && st.rec.Gang {
			room = room.Add(s.freedWithin(w, answerTime))
		}
		// Under load most workers have no room, which is the cheapest check.
		n := min(timesIn(st.demand(), room), want-found)
		if n <= 0 || !s.suits(st, w) || s.keptApart(st, w) || !s.takes(w, st) {
			continue
		}
		s.claims = append(s.claims, claim{worker: w, room: st.demand().Times(int64(n))})
		found += n
	}
	enough := found >= st.tasksTogether()
	for _, c := range s.claims {
		if enough {
			c.worker.claimed = c.worker.claimed.Add(c.room)
		} else {
			c.worker.claimedInVain = c.worker.claimedInVain.Add(c.room)
		}
	}
	return enough
}

// adviceCost returns the expected service time of a call that names this many workers.
func (st *step) adviceCost(workers int) time.Duration {
	a := st.job.rec.Policy.GetAdvice()
	return time.Duration((a.GetDecideMs() + a.GetEachMs()*float64(workers)) * float64(time.Millisecond))
}

// longestCall returns the expected service time of the longest call about the step.
func (s *Scheduler) longestCall(st *step) time.Duration {
	return st.adviceCost(min(len(s.active), st.maxWorkersPerCall()))
}

// workersToAsk returns the workers to name in a call now: eligible ones whose tickets
// expire and those without an answer. Workers with room come first.
//
// Only workers count that may get new work. A call names few workers: the eligible ones of a zone that is
// cut off, which are listed and look empty once their leases are over, would fill each call, and no worker
// that answers would be asked about.
func (s *Scheduler) workersToAsk(st *step) []string {
	var withRoom, full []string
	stale, known, unknown := 0, 0, 0
	room := 0 // tasks that the eligible workers could run if they were empty
	neededUntil := s.now + s.longestCall(st) + adviceMargin
	for _, w := range s.active {
		if !s.mayGetWork(w) || !s.suits(st, w) {
			continue
		}
		m := st.advice.mark(w)
		if m != nil {
			known++
		}
		if m != nil && m.eligible {
			room += st.mostOn(w.entry.Capacity)
		}
		switch {
		case m == nil:
			unknown++
		case m.eligible && m.until < neededUntil:
			stale++
		default:
			continue
		}
		if st.demand().Fits(w.free()) {
			withRoom = append(withRoom, w.entry.ID)
		} else {
			full = append(full, w.entry.ID)
		}
	}
	if stale == 0 && unknown <= known/4 && room >= st.tasksTogether() {
		// A few new workers do not justify a separate call.
		return nil
	}
	names := append(withRoom, full...)
	return names[:min(len(names), st.maxWorkersPerCall())]
}

// mayGetWork reports whether calls for advice name the worker.
//
// The guard is against tasks that wait behind calls about workers that are silent, or do not exist: another
// writer may put any number of sound entries into the host list. A worker that is yet to be probed is asked
// about, as its answer usually comes before the advice.
func (s *Scheduler) mayGetWork(w *worker) bool {
	silent := s.now-w.probedAt >= maxProbeAge
	if w.probedAt == 0 {
		silent = w.probeMissed || w.replaced
	}
	return w.listed && !silent && !w.entry.Draining && !s.drains.Contains(w.entry.Zone)
}

// mostOn returns how many tasks of the step may run on a worker with this room.
func (st *step) mostOn(room model.Resources) int {
	n := timesIn(st.demand(), room)
	if limit := int(st.rec.AntiAffinity); limit > 0 {
		n = min(n, limit)
	}
	return n
}

// tasksTogether returns how many tasks of the step must start together.
func (st *step) tasksTogether() int {
	if st.rec.Gang {
		return len(st.tasks)
	}
	return 1
}

// updateBacklog updates the backlog of the host through which the call was sent.
func (s *Scheduler) updateBacklog(ev AdviceAnswered) {
	switch {
	case !ev.Failed:
		s.advisers.answered(ev.Request.Host, ev.Request.stepKey(), s.now)
	case ev.NotSent:
		s.advisers.notSent(ev.Request.Host, ev.Request.stepKey(), s.now)
	default:
		s.advisers.unanswered(ev.Request.Host, ev.Request.stepKey(), s.now)
	}
}

func (s *Scheduler) adviceAnswered(ev AdviceAnswered) {
	s.updateBacklog(ev)
	t := s.findTask(model.TaskID{Job: ev.Request.Job, Occurrence: ev.Request.Occurrence, Step: ev.Request.Step})
	if t == nil {
		return
	}
	st := t.step
	st.advice.inFlight--
	if st.advice.inFlight == 0 {
		st.advice.promise.withdraw()
	}
	if ev.Failed {
		st.advice.retryAt = s.now + adviceRetryPause
		return
	}
	if st.advice.firstAt == 0 {
		st.advice.firstAt = s.now
	}
	if st.open == 0 {
		return // the step is done, and nothing of it starts any more
	}
	tickets := make(map[string]string, len(ev.Tickets))
	for _, k := range ev.Tickets {
		tickets[k.Worker] = k.Ticket
	}
	until := ev.At + time.Duration(st.job.rec.Policy.GetAdvice().GetValidMs())*time.Millisecond - adviceMargin
	st.advice.validTo = max(st.advice.validTo, until)
	asked, eligible := 0, 0
	for _, id := range ev.Request.Workers {
		w, known := s.workers[id]
		if !known {
			continue // it has left the host list since the call
		}
		ticket, good := tickets[id]
		if st.advice.mark(w) == nil {
			asked++
			if good {
				eligible++
			}
		}
		m := adviceMark{worker: w, eligible: good, ticket: ticket, issuedBy: ev.At}
		if good {
			m.until = until
			st.renewTicket(m)
		}
		st.advice.store(m)
	}
	st.job.queue.eligible.Observe(asked, eligible)
	s.dirty = true
}
