package region

import (
	"time"

	"github.com/fireflyfold/fireflyfold/adviceplan"
	"github.com/fireflyfold/fireflyfold/model"
)

// longCallShare is the part of a ticket's validity that a call naming maxAdviceWorkers takes at
// least where calls are planned. With shorter ones, several calls in a row give tickets that are
// valid together.
const longCallShare = 0.5

const (
	// overloadShare is the part of the cores of all usable workers that waiting tasks ask for from
	// which on the region is overloaded. Below it a gang finds room on some of the many workers
	// that a call names, and runs need not be stopped for it at once.
	overloadShare = 0.5
	// overloadCheckInterval is the shortest time between two counts of the waiting tasks.
	overloadCheckInterval = 100 * time.Millisecond
)

// overload is what the newest count of the waiting tasks showed.
type overload struct {
	overloaded bool
	checkedAt  time.Duration
}

// checkOverload counts the waiting tasks again if the last count is old.
func (s *Scheduler) checkOverload() {
	if s.now-s.overload.checkedAt < overloadCheckInterval {
		return
	}
	s.overload.checkedAt = s.now
	var capacity, waiting int64
	for _, w := range s.usableNow {
		capacity += w.entry.Capacity.MilliCPU
	}
	for _, st := range s.ready.steps {
		if st.job.ended() {
			continue
		}
		for _, t := range st.tasks {
			if t.waiting() {
				waiting += st.demand().MilliCPU
			}
		}
	}
	s.overload.overloaded = float64(waiting) > overloadShare*float64(capacity)
}

// maxPlannedWorkers is the largest number of workers in a region where calls are planned. A plan looks
// at all of them, and the calls grow with the hosts: with 3,000 workers, plans of 3 ms each would take
// half of a core.
const maxPlannedWorkers = 1000

// plansAdvice reports whether calls for advice about the step are planned for all its tasks
// together, and room is made for them as soon as its tickets are there: it is a gang, a call takes
// long compared with the validity of its tickets, and advice is scarce.
func (s *Scheduler) plansAdvice(st *step) bool {
	if len(s.workerList) > maxPlannedWorkers || !st.rec.Gang || !st.needsAdvice() || !st.job.queue.scarcity.Scarce() {
		return false
	}
	valid := time.Duration(st.job.rec.Policy.GetAdvice().GetValidMs()) * time.Millisecond
	return float64(st.adviceCost(maxAdviceWorkers)) >= longCallShare*float64(valid)
}

// observeAdvice records for each queue whether its calls were held back since the last pass, in an
// overloaded region.
func (s *Scheduler) observeAdvice() {
	s.checkOverload()
	for _, q := range s.estimates.list {
		before := q.scarcity.Scarce()
		q.scarcity.Observe(s.now, q.adviceHeldBack && s.overload.overloaded)
		q.adviceHeldBack = false
		switch {
		case q.scarcity.Scarce() == before:
		case before:
			s.explain("", "advice is plentiful again", Field{"queue", q.name})
		default:
			s.explain("", "advice is scarce", Field{"queue", q.name}, Field{"hosts", len(s.advisers.hosts)},
				Field{"eligible_share", q.eligible.Get()})
		}
	}
}

// lateWithoutAdvice reports whether a gang without valid tickets would start too late even if it
// were advised at once.
func (s *Scheduler) lateWithoutAdvice(st *step) bool {
	return st.advice.inFlight == 0 && s.now > st.advice.validTo && s.plansAdvice(st) &&
		s.now+st.adviceCost(minAdviceWorkers) > st.latestStart
}

// planAdvice returns the workers that the next calls about a gang name.
func (s *Scheduler) planAdvice(st *step) [][]string {
	var (
		candidates []adviceplan.Candidate
		names      []string
	)
	answer := st.adviceCost(maxAdviceWorkers)
	for _, w := range s.active {
		if s.usable(w) && s.suits(st, w) {
			candidates = append(candidates, s.adviceCandidate(st, w, answer))
			names = append(names, w.entry.ID)
		}
	}
	var calls [][]string
	for _, plan := range adviceplan.Plan(candidates, len(st.tasks), maxAdviceWorkers, st.job.queue.eligible.Get()) {
		call := make([]string, 0, len(plan))
		for _, i := range plan {
			call = append(call, names[i])
		}
		calls = append(calls, call)
	}
	return calls
}

// requestPlanned sends the planned calls about a gang. Each worker that they name is promised its
// expected part of the gang until the answer. Otherwise gangs that ask at one time would all ask
// about the same workers, those with most room, and most would find it taken.
func (s *Scheduler) requestPlanned(st *step) {
	calls := s.planAdvice(st)
	named := 0
	for _, names := range calls {
		named += len(names)
	}
	if named == 0 {
		return
	}
	st.advice.promise.part = st.demand().Times(int64(len(st.tasks))).DividedBy(int64(named))
	promise := func(part []string) {
		for _, name := range part {
			st.advice.promise.add(s.workers[name])
		}
	}
	for _, names := range calls {
		if !s.sendParts(st, names, promise) {
			return
		}
	}
}

// roomPromise is room on workers that calls for advice in flight name: the part of a gang that is
// expected to start on each.
type roomPromise struct {
	part    model.Resources
	workers []*worker
}

func (p *roomPromise) add(w *worker) {
	w.promised = w.promised.Add(p.part)
	p.workers = append(p.workers, w)
}

func (p *roomPromise) withdraw() {
	for _, w := range p.workers {
		w.promised = w.promised.Sub(p.part)
	}
	*p = roomPromise{}
}

// adviceCandidate returns what a plan has to know of a worker, when the answer takes a time. Runs
// that may give way to the gang do not use up places.
func (s *Scheduler) adviceCandidate(st *step, w *worker, answer time.Duration) adviceplan.Candidate {
	c := adviceplan.Candidate{Reserved: w.reserved == st || w.softReserved == st}
	if m := st.advice.mark(w); m != nil {
		c.Eligible = true // others are left out by suits
		c.Fresh = m.until > s.now+answer+adviceMargin
	}
	if w.reserved == nil || c.Reserved {
		room := s.roomFor(st, w, answer)
		if !s.plansAdvice(st) {
			room = w.free().Add(s.freedWithin(w, answer)) // nothing gives way to it for a while
		}
		c.Places = st.mostOn(room.Sub(w.promised))
	}
	return c
}

// roomFor returns the room on a worker after some time if its deferrable runs of lower priority
// are stopped.
func (s *Scheduler) roomFor(st *step, w *worker, after time.Duration) model.Resources {
	room := w.free()
	priority := st.job.rec.Policy.GetPriority()
	for _, r := range w.runs {
		givesWay := r.phase == phaseRunning && !r.latencySensitive && !r.task.step.rec.Gang && !r.task.step.rec.LongRunning &&
			r.task.step.job.rec.Policy.GetPriority() > priority
		if !r.idle && (givesWay || r.endsAt < s.now+after) {
			room = room.Add(r.demand)
		}
	}
	return room
}
