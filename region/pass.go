package region

import (
	"cmp"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// passEvery is the shortest time between two looks for room. Events come
	// some hundred times a second; a pass for several of them costs as much as
	// for one.
	passEvery = 4 * time.Millisecond
	// passPerStep lengthens that time for each step that waits: 10 ms more at
	// 500 steps.
	passPerStep = 20 * time.Microsecond
	// headTries and tailTries bound the steps of a class that are looked at
	// closely in one pass without success: the most urgent ones, and as many
	// further ones in turn, so that a step behind many that fit nowhere has its
	// look too.
	headTries = 24
	tailTries = 24
)

// schedule starts what fits, most urgent first.
func (s *Scheduler) schedule() {
	if !s.leading() || s.config == nil || !s.dirty || s.now-s.lastPass < s.passPause() {
		return
	}
	s.lastPass = s.now
	s.dirty = false
	if !s.proven() || s.logStalled() || s.linkLoad > overfullLink {
		return
	}
	s.pacer.refill(s.opts.StartsPerS, s.now)
	s.usableNow = s.usableNow[:0]
	before := s.overdueBefore()
	for _, w := range s.order {
		w.overdue = w.pendingOrders.overdue(before)
		w.claimed = model.Resources{}
		w.wasReserved, w.reserved, w.kept = cmp.Or(w.reserved, w.kept), nil, nil
		if s.usable(w) {
			s.usableNow = append(s.usableNow, w)
		}
	}
	s.roomiest.valid = false
	for c, steps := range s.byClass() {
		s.pass(steps, class(c))
	}
}

// roomiest is the most of each resource that is free on any one worker. A step
// that asks for more finds no room, which is then known without a look at all
// workers: under load most waiting steps are settled by it. Assignments make it
// too large until it is worked out again, which only costs a close look at a step.
type roomiest struct {
	valid     bool
	taken     bool // room was taken since
	byService map[string]*roomiestOf
}

// roomiestOf is the most of each resource that is free on any worker of a service.
type roomiestOf struct {
	free model.Resources // on workers that no gang waits for
	kept model.Resources // the same with those that gangs keep from late work only
	any  model.Resources // on all workers
}

// hopeless reports whether no worker has room for one task of the step.
func (s *Scheduler) hopeless(st *step) bool {
	if !s.roomiest.valid {
		s.findRoomiest()
	}
	of, known := s.roomiest.byService[st.job.rec.Policy.GetService()]
	if !known {
		return true
	}
	switch {
	case st.rec.Gang || s.passesReserved(st):
		return !st.room().Fits(of.any)
	case s.classOf(st) <= classExcess:
		return !st.room().Fits(of.kept)
	}
	return !st.room().Fits(of.free)
}

func (s *Scheduler) findRoomiest() {
	s.roomiest = roomiest{valid: true, byService: make(map[string]*roomiestOf)}
	var (
		of      *roomiestOf
		service string
	)
	for _, w := range s.usableNow {
		if of == nil || w.entry.Service != service {
			service = w.entry.Service
			of = s.roomiest.of(service)
		}
		free := w.free()
		of.any = most(of.any, free)
		if w.reserved == nil {
			of.kept = most(of.kept, free)
		}
		if w.reserved == nil && w.kept == nil {
			of.free = most(of.free, free)
		}
	}
}

func (r *roomiest) of(service string) *roomiestOf {
	of, known := r.byService[service]
	if !known {
		of = &roomiestOf{}
		r.byService[service] = of
	}
	return of
}

func most(a, b model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// passPause is the shortest time between two passes: longer with more steps to
// walk, so that a backlog does not take the processor from the answers of the
// workers.
func (s *Scheduler) passPause() time.Duration {
	return passEvery + time.Duration(len(s.ready.steps))*passPerStep
}

// class ranks steps by what can still be earned.
type class int

const (
	classOnTime  class = iota // the objective can be met
	classExcess               // so can it, but the workspace sends more than its share
	classPartial              // late, yet worth a part
	classRest                 // nothing is earned any more; it is owed all the same
	classes
)

// classOf returns the step's class now. Under overload the steps that can still
// meet their objective go first: by deadline alone, each would start just when
// it is too late, and none would be on time.
func (s *Scheduler) classOf(st *step) class {
	switch {
	case st.rec.LongRunning:
		return classOnTime // it is to be at work at any time, not by an objective
	case s.now > st.lateAt:
		return classRest
	case s.now > st.key:
		return classPartial
	case st.job.excess:
		return classExcess
	}
	return classOnTime
}

// byClass splits the ready steps, each class in the order of urgency. Steps
// that have nothing to start any more leave the list.
func (s *Scheduler) byClass() [classes][]*step {
	var out [classes][]*step
	keep := s.ready.steps[:0]
	for _, st := range s.ready.steps {
		if st.job.over() || !st.anyWaiting() {
			st.queued = false
			continue
		}
		st.pressing = s.pressing(st)
		keep = append(keep, st)
		c := s.classOf(st)
		out[c] = append(out[c], st)
	}
	clear(s.ready.steps[len(keep):])
	s.ready.steps = keep
	return out
}

// pass starts what fits of some steps.
func (s *Scheduler) pass(steps []*step, c class) {
	gangs, tries := 0, 0
	turn := s.turns[c]
	for i, st := range steps {
		if s.now < st.notUntil {
			continue
		}
		if !s.canStart() {
			st.blocked = "link"
			s.dirty = true
			return
		}
		reserving := st.rec.Gang && gangs < reservedGangs+keptGangs && (gangs < reservedGangs || c <= classExcess)
		if !reserving && s.hopeless(st) {
			st.blocked = reasonNames[rejectRoom]
			s.makeRoom(st)
			if c <= classExcess {
				s.requestFirstAdvice(st)
			}
			continue
		}
		if tries >= headTries && (i < turn || tries >= headTries+tailTries) {
			continue
		}
		if s.place(st) {
			continue
		}
		if s.roomiest.taken {
			s.roomiest.valid = false
		}
		s.makeRoom(st)
		tries++
		if tries > headTries {
			s.turns[c] = i + 1
		}
		if reserving {
			gangs++
			s.reserve(st, gangs <= reservedGangs)
		}
		s.refreshAdvice(st)
	}
	if tries < headTries+tailTries {
		s.turns[c] = 0
	}
}

// place starts what it can of a step and reports whether nothing of it waits.
func (s *Scheduler) place(st *step) bool {
	if st.rec.Gang {
		return s.placeGang(st)
	}
	s.placeTasks(st)
	return !st.anyWaiting()
}
