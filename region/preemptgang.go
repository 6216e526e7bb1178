package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// gangPreemptShare is the part of its slack that a gang waits for room before runs are
	// preempted for it. Most gangs find room before, and preempted work is done again in part.
	gangPreemptShare = 0.5
	// gangPreemptInterval is the shortest time between two preemptions for one gang: the runs
	// have to stop, and its tickets may have to be renewed.
	gangPreemptInterval = 2 * time.Second
	// gangPreemptRetry is the shortest time between two searches for runs that give way to one
	// gang: a search looks at every run on the workers that the gang may use.
	gangPreemptRetry = 250 * time.Millisecond
	// preemptCost is the time by which a preempted run ends later at least: its stop, the wait
	// for another worker and the restore of its checkpoint.
	preemptCost = 3 * time.Second
	// stopTime is how long a stop usually takes until the worker lists the end.
	stopTime = 300 * time.Millisecond
	// maxGangLoss is the largest loss for a gang, as a part of the gang's own core-time.
	maxGangLoss = 0.1
	// maxScarceGangLoss replaces maxGangLoss where advice is scarce: a gang that does not start
	// with the tickets that it has asks again, and other gangs wait for that call.
	maxScarceGangLoss = 0.25
)

// preemption is what stopping some runs on a worker gives a gang.
type preemption struct {
	worker  *worker
	victims []*run
	members int           // how many members of the gang fit then
	loss    time.Duration // core-time that is lost
}

// preemptForGang preempts deferrable runs of queues with a lower priority for a gang that would
// soon be too late. The workers with the least loss are chosen, among those that the gang may
// use, and reserved for it; it reports whether there are some.
func (s *Scheduler) preemptForGang(st *step) bool {
	atOnce := s.plansAdvice(st)
	preemptAt := st.readyAt
	if !atOnce {
		preemptAt += time.Duration(gangPreemptShare * float64(st.latestStart-st.readyAt))
	}
	if s.classOf(st) != classOnTime || s.now < preemptAt || s.now < st.nextPreemptSearch ||
		!st.gangWaits() || !s.withinCap(st, int64(len(st.tasks))) {
		return false
	}
	st.nextPreemptSearch = s.now + gangPreemptRetry
	chosen, loss := s.choosePreemptions(st, atOnce)
	maxLoss := maxGangLoss
	if atOnce {
		maxLoss = maxScarceGangLoss
	}
	if chosen == nil || float64(loss) > maxLoss*float64(st.coreTime()) {
		return false
	}
	st.nextPreemptSearch = s.now + gangPreemptInterval
	for _, p := range chosen {
		p.worker.reserved, p.worker.softReserved = st, nil
		for _, r := range p.victims {
			s.stopRun(r, "makes room for a gang")
			r.expectEnd(s.now + stopTime)
		}
	}
	if atOnce {
		s.keepRoom(st, chosen)
	}
	s.freeBounds.valid = false
	return true
}

// choosePreemptions returns the preemptions that together give room to all members, and their
// loss, or nil if there are not enough. If advised is set, the gang must have tickets that are
// valid until the runs have stopped.
func (s *Scheduler) choosePreemptions(st *step, advised bool) (chosen []preemption, loss time.Duration) {
	var all []preemption
	for _, w := range s.candidates(st) {
		if !s.usable(w) || w.reserved != nil && w.reserved != st || !s.suits(st, w) {
			continue
		}
		if advised && !st.ticketHolds(w, s.now+stopTime) {
			continue
		}
		if p := s.preemptionOn(st, w); p.members > 0 {
			all = append(all, p)
		}
	}
	slices.SortStableFunc(all, func(a, b preemption) int {
		return cmp.Compare(a.loss*time.Duration(b.members), b.loss*time.Duration(a.members))
	})
	members := 0
	for _, p := range all {
		if members >= len(st.tasks) {
			break
		}
		chosen = append(chosen, p)
		members += p.members
		loss += p.loss
	}
	if members < len(st.tasks) {
		return nil, 0
	}
	return chosen, loss
}

// preemptionOn returns how many members of the gang fit on a worker if the runs that may give
// way are stopped, and the runs that have to be.
func (s *Scheduler) preemptionOn(st *step, w *worker) preemption {
	free := w.free()
	for _, r := range w.runs {
		if r.phase == phaseStopping && !r.idle {
			free = free.Add(r.demand)
		}
	}
	p := preemption{worker: w, members: timesIn(st.demand(), free)}
	var pending []*run
	var pendingLoss time.Duration
	for _, r := range s.preemptible(w) {
		if !s.givesWay(r, st) {
			continue
		}
		pending, pendingLoss = append(pending, r), pendingLoss+s.preemptionLoss(r)
		free = free.Add(r.demand)
		if n := timesIn(st.demand(), free); n > p.members {
			p.members, p.victims, p.loss = n, append(p.victims, pending...), p.loss+pendingLoss
			pending, pendingLoss = nil, 0
		}
	}
	return p
}

// givesWay reports whether a run may be preempted for the gang: it is deferrable, its queue has
// a lower priority, and its job earns as much if the run ends later by preemptCost.
func (s *Scheduler) givesWay(r *run, gang *step) bool {
	st := r.task.step
	if r.latencySensitive || st.job.rec.Policy.GetPriority() <= gang.job.rec.Policy.GetPriority() {
		return false
	}
	runTime := st.runTimeOn(r.worker)
	end := r.progressedAt + runTime*time.Duration(100-min(r.percent, 100))/100
	for _, latest := range [...]time.Duration{st.latestStart + runTime, st.latestForCredit + runTime} {
		if end <= latest+preemptCost { // the end is an estimate: one that seems late may not be
			return end+preemptCost <= latest
		}
	}
	return true
}

// coreTime returns the core-time that all tasks of the step are expected to take.
func (st *step) coreTime() time.Duration {
	return st.job.runTime(st.rec) * time.Duration(int64(len(st.tasks))*st.request.MilliCPU) / model.MilliPerCore
}
