package region

import (
	"cmp"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// basePassInterval is the shortest time between two placement passes. Several hundred
	// events arrive in a second, and a pass for several of them costs as much as for
	// one.
	basePassInterval = 4 * time.Millisecond
	// passIntervalPerWorker replaces that time where there are many active workers: a pass looks at
	// each of them several times, which takes some microsecond, and is to leave most of a core for calls.
	passIntervalPerWorker = 4 * time.Microsecond
	// passIntervalPerStep lengthens that time for each waiting step: by 10 ms at 500
	// steps.
	passIntervalPerStep = 20 * time.Microsecond
	// headTries and tailTries bound the steps of a class on which placement fails in
	// one pass: the most urgent ones, and as many further ones in rotation. The
	// rotation lets a step be tried although many steps before it fit nowhere.
	headTries = 24
	tailTries = 24
)

// schedule runs a placement pass: it starts the tasks that fit, the most urgent first.
func (s *Scheduler) schedule() {
	if !s.leading() || s.config == nil || !s.dirty || s.now-s.lastPass < s.passInterval() {
		return
	}
	s.lastPass = s.now
	s.dirty = false
	if !s.leadershipConfirmed() || !s.drainsConfirmed() || s.logStalled() || s.linkLoad > overfullLink {
		return
	}
	s.pacer.refill(s.opts.StartsPerS, s.now)
	s.usableNow = s.usableNow[:0]
	before := s.overdueBefore()
	for _, w := range s.active {
		w.overdue = w.pendingCalls.overdue(before)
		w.claimed, w.claimedInVain = model.Resources{}, model.Resources{}
		w.wasReserved, w.reserved, w.softReserved = cmp.Or(w.reserved, w.softReserved), nil, nil
		w.wasKeptFreeFor, w.keptFreeFor = w.keptFreeFor, nil
		if s.usable(w) {
			s.usableNow = append(s.usableNow, w)
		}
	}
	s.freeBounds.valid = false
	s.chooseClosed()
	s.observeAdvice()
	s.reserveKeptRoom()
	byClass := s.byClass()
	s.keepWorkersFree(byClass[:])
	for c, steps := range byClass {
		s.pass(steps, class(c))
	}
}

// freeBounds holds upper bounds of the free resources of any one worker. A step that
// requests more fits on no worker, and no worker need be checked; under load that is so
// for most waiting steps. Assignments leave the bounds too high until they are computed again,
// which costs no more than a full check of a step.
type freeBounds struct {
	valid     bool
	assigned  bool // tasks were assigned since
	byService map[string]*serviceFreeBounds
}

// serviceFreeBounds is the most of each resource that is free on any worker of a service, and how
// much of it all of them use.
type serviceFreeBounds struct {
	unreserved        model.Resources // on workers without a reservation
	notFirmlyReserved model.Resources // also on workers that gangs reserve against late work only
	any               model.Resources // on all workers
	used, capacity    model.Resources // of all workers together
}

// mostlyIdle reports whether less than half of each resource of the service is in use.
func (b *serviceFreeBounds) mostlyIdle() bool { return b.used.Times(2).Fits(b.capacity) }

// infeasible reports whether no worker has room for one task of the step.
func (s *Scheduler) infeasible(st *step) bool {
	if !s.freeBounds.valid {
		s.computeFreeBounds()
	}
	of, known := s.freeBounds.byService[st.job.rec.Policy.GetService()]
	if !known {
		return true
	}
	switch {
	case st.rec.Gang || s.ignoresReservations(st):
		return !st.demand().Fits(of.any)
	case s.classOf(st) <= classOverShare:
		return !st.demand().Fits(of.notFirmlyReserved)
	}
	return !st.demand().Fits(of.unreserved)
}

// infeasibleReason names what an infeasible step waits for.
func (s *Scheduler) infeasibleReason(st *step) string {
	of, usable := s.freeBounds.byService[st.job.rec.Policy.GetService()]
	switch {
	case !usable && len(s.drains.Zones) > 0:
		return reasonNames[rejectZone]
	case usable && st.demand().Fits(of.any):
		return reasonNames[rejectReserved]
	}
	return reasonNames[rejectRoom]
}

func (s *Scheduler) computeFreeBounds() {
	s.freeBounds = freeBounds{valid: true, byService: make(map[string]*serviceFreeBounds)}
	var (
		of      *serviceFreeBounds
		service string
	)
	for _, w := range s.usableNow {
		if of == nil || w.entry.Service != service {
			service = w.entry.Service
			of = s.freeBounds.forService(service)
		}
		free := w.free()
		of.any = elementwiseMax(of.any, free)
		of.used, of.capacity = of.used.Add(w.used), of.capacity.Add(w.entry.Capacity)
		if w.reserved == nil {
			of.notFirmlyReserved = elementwiseMax(of.notFirmlyReserved, free)
		}
		if w.reserved == nil && w.softReserved == nil {
			of.unreserved = elementwiseMax(of.unreserved, free)
		}
	}
}

func (r *freeBounds) forService(service string) *serviceFreeBounds {
	of, known := r.byService[service]
	if !known {
		of = &serviceFreeBounds{}
		r.byService[service] = of
	}
	return of
}

func elementwiseMax(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// passInterval is the shortest time between two passes. It grows with the number of steps
// and workers to check, so that neither a backlog nor a large region uses the processor time
// that answers of workers need.
func (s *Scheduler) passInterval() time.Duration {
	return max(basePassInterval, time.Duration(len(s.active))*passIntervalPerWorker) + time.Duration(len(s.ready.steps))*passIntervalPerStep
}

// class ranks steps by how much credit they can still earn.
type class int

const (
	classOnTime        class = iota // the objective can be met
	classOverShare                  // the same, but the workspace is above its share
	classPartialCredit              // late, but with partial credit
	classNoCredit                   // no credit any more; still to be run
	numClasses
)

// classOf returns the step's class now. Under overload, steps that can still meet their
// objective go first: ordered by deadline alone, each step would start just when it is
// too late, and none would be on time.
func (s *Scheduler) classOf(st *step) class {
	switch {
	case st.rec.LongRunning:
		return classOnTime // it has no objective and is to run at any time
	case s.now > st.latestForCredit:
		return classNoCredit
	case s.now > st.latestStart || s.lateWithoutAdvice(st):
		return classPartialCredit
	case st.job.overShare:
		return classOverShare
	}
	return classOnTime
}

// byClass splits the ready steps into classes, each in the order of urgency, and
// removes steps with nothing to start.
func (s *Scheduler) byClass() [numClasses][]*step {
	var out [numClasses][]*step
	keep := s.ready.steps[:0]
	for _, st := range s.ready.steps {
		if st.job.ended() || !st.anyWaiting() {
			st.queued = false
			continue
		}
		st.latencySensitive = s.latencySensitive(st)
		keep = append(keep, st)
		c := s.classOf(st)
		out[c] = append(out[c], st)
	}
	clear(s.ready.steps[len(keep):])
	s.ready.steps = keep
	return out
}

// pass starts what fits of the steps of class c.
func (s *Scheduler) pass(steps []*step, c class) {
	gangs, tries := 0, 0
	start := s.tailStart[c]
	for i, st := range steps {
		if s.now < st.notUntil {
			continue
		}
		if !s.canStart() {
			st.heldBy = heldByLink
			s.dirty = true
			return
		}
		if st.rec.Gang && !s.couldHold(st) {
			st.heldBy = heldByCapacity
			s.widen(st)
			continue
		}
		reserving := st.rec.Gang && gangs < maxFirmReservations+maxSoftReservations && (gangs < maxFirmReservations || c <= classOverShare)
		if !reserving && s.infeasible(st) {
			st.heldBy = s.infeasibleReason(st)
			s.preemptFor(st)
			if c <= classOverShare {
				s.requestFirstAdvice(st)
			}
			s.widen(st)
			continue
		}
		if tries >= headTries && (i < start || tries >= headTries+tailTries) {
			continue
		}
		if s.place(st) {
			continue
		}
		if s.freeBounds.assigned {
			s.freeBounds.valid = false
		}
		preempted := s.preemptFor(st)
		tries++
		if tries > headTries {
			s.tailStart[c] = i + 1
		}
		if reserving {
			gangs++
			if !preempted {
				s.reserve(st, gangs <= maxFirmReservations)
			}
		}
		s.refreshAdvice(st)
		s.widen(st)
	}
	if tries < headTries+tailTries {
		s.tailStart[c] = 0
	}
}

// place starts what fits of a step. It reports whether the pass needs no reservation or
// preemption for it: no task of it waits or, for a gang, more room would not help.
func (s *Scheduler) place(st *step) bool {
	if st.rec.Gang {
		return s.placeGang(st)
	}
	s.placeTasks(st)
	return !s.anyStartable(st)
}
