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
	// reservedGangs is how many gangs collect room at a time. Each keeps other
	// batch work off a few workers while it waits.
	reservedGangs = 2
	// keptGangs is how many further gangs that can still be on time collect room
	// before work that is late already. As many as come in the time that one
	// needs to collect, about 2 a second for 3 s.
	keptGangs = 6
	// soonFree is how far ahead a gang counts room that running tasks are
	// expected to free.
	soonFree = 4 * time.Second
)

// reason tells why a worker cannot take a task now.
type reason int

const (
	fits reason = iota
	rejectService
	rejectState
	rejectLabel
	rejectAdvice
	rejectRoom
	rejectSpread
	rejectInterference
	rejectReserved
	reasons
)

var reasonNames = [reasons]string{"fits", "service", "state", "label", "advice", "room", "spread", "interference", "reserved"}

// rejected counts workers by what each filter rejected.
type rejected [reasons]int

// summary names the filter that rejected most of the workers that the step
// could use at all.
func (r *rejected) summary() string {
	best := rejectState
	for i := rejectState; i < reasons; i++ {
		if r[i] > r[best] {
			best = i
		}
	}
	if r[best] == 0 {
		return reasonNames[rejectService]
	}
	return reasonNames[best]
}

// schedule starts what fits, most urgent first.
func (s *Scheduler) schedule() {
	if !s.leading() || s.config == nil || !s.dirty || s.now-s.lastPass < s.passPause() {
		return
	}
	s.lastPass = s.now
	s.dirty = false
	if !s.proven() || s.logStalled() {
		return
	}
	for _, w := range s.order {
		w.claimed = model.Resources{}
		w.wasReserved, w.reserved, w.kept = cmp.Or(w.reserved, w.kept), nil, nil
	}
	s.roomiest.valid = false
	for c, steps := range s.byClass() {
		s.pass(steps, class(c))
	}
}

// roomiest is the most of each resource that is free on any one worker. A step
// that asks for more finds no room, which is then known without a look at all
// workers: under load most waiting steps are settled by it.
type roomiest struct {
	valid bool
	free  map[string]model.Resources // by service, on workers that no gang waits for
	kept  map[string]model.Resources // the same with those that gangs keep from late work only
	any   map[string]model.Resources // by service, on all workers
}

// hopeless reports whether no worker has room for one task of the step.
func (s *Scheduler) hopeless(st *step) bool {
	if !s.roomiest.valid {
		s.findRoomiest()
	}
	of := s.roomiest.free
	switch {
	case st.rec.Gang || s.passesReserved(st):
		of = s.roomiest.any
	case s.classOf(st) <= classExcess:
		of = s.roomiest.kept
	}
	return !st.room().Fits(of[st.job.rec.Policy.GetService()])
}

func (s *Scheduler) findRoomiest() {
	s.roomiest = roomiest{
		valid: true, free: make(map[string]model.Resources),
		kept: make(map[string]model.Resources), any: make(map[string]model.Resources),
	}
	for _, w := range s.order {
		if !s.usable(w) {
			continue
		}
		service, free := w.entry.Service, w.free()
		s.roomiest.any[service] = most(s.roomiest.any[service], free)
		if w.reserved == nil {
			s.roomiest.kept[service] = most(s.roomiest.kept[service], free)
		}
		if w.reserved == nil && w.kept == nil {
			s.roomiest.free[service] = most(s.roomiest.free[service], free)
		}
	}
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
		reserving := st.rec.Gang && gangs < reservedGangs+keptGangs && (gangs < reservedGangs || c <= classExcess)
		if !reserving && s.hopeless(st) {
			st.blocked = reasonNames[rejectRoom]
			if c <= classExcess {
				s.wantFirstAdvice(st)
			}
			continue
		}
		if tries >= headTries && (i < turn || tries >= headTries+tailTries) {
			continue
		}
		if s.place(st) {
			continue
		}
		tries++
		if tries > headTries {
			s.turns[c] = i + 1
		}
		if reserving {
			gangs++
			s.reserve(st, gangs <= reservedGangs)
		}
		s.wantAdvice(st)
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

// explainPlaced logs the tasks of a step that were assigned in this pass, with
// what decided it.
func (s *Scheduler) explainPlaced(st *step, workers []string) {
	if len(workers) == 0 {
		return
	}
	s.explain(st.job.rec.Id, "assigned", Field{"occurrence", st.occ.k}, Field{"step", st.index}, Field{"workers", workers},
		Field{"waited_ms", (s.now - st.openAt).Milliseconds()}, Field{"slack_ms", (st.key - s.now).Milliseconds()},
		Field{"advised_ms_after", (st.advice.firstAt - st.openAt).Milliseconds()}, Field{"held_by", st.blocked})
}

// placeTasks starts as many waiting tasks of a step as fit.
func (s *Scheduler) placeTasks(st *step) {
	var placed []string
	defer func() { s.explainPlaced(st, placed) }()
	for _, t := range st.tasks {
		if !t.waiting() {
			continue
		}
		if !s.withinCap(st, 1) {
			st.blocked = "cap"
			return
		}
		w, why := s.best(st)
		if w == nil {
			st.blocked = why
			return
		}
		s.assign(t, w, t.lastRun+1)
		placed = append(placed, w.entry.ID)
	}
	st.blocked = ""
}

// best returns the worker that suits the step best, or the main reason why
// there is none.
func (s *Scheduler) best(st *step) (*worker, string) {
	var (
		best      *worker
		bestScore float64
		counts    rejected
	)
	for _, w := range s.order {
		why := s.reject(st, w)
		counts[why]++
		if why != fits {
			continue
		}
		if score := s.score(st, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return nil, counts.summary()
	}
	s.roomiest.valid = false // the caller takes room there
	return best, ""
}

// reject is the chain of filters that a worker passes before a task goes
// there, the cheapest and most decisive ones first.
func (s *Scheduler) reject(st *step, w *worker) reason {
	switch {
	case w.entry.Service != st.job.rec.Policy.GetService():
		return rejectService
	case !s.usable(w):
		return rejectState
	case !st.room().Fits(w.free()):
		return rejectRoom
	case st.rec.Requires != "" && !w.entry.HasLabel(st.rec.Requires):
		return rejectLabel
	case !st.ticketHolds(w, s.now):
		return rejectAdvice
	case st.rec.AntiAffinity > 0 && st.runsOn(w) >= int(st.rec.AntiAffinity):
		return rejectSpread
	case st.disturbs(w):
		return rejectInterference
	case !s.admits(w, st):
		return rejectReserved
	}
	return fits
}

// passesReserved reports whether the step may use workers where a gang collects
// room: only urgent small tasks that can still be on time, as they are over soon.
func (s *Scheduler) passesReserved(st *step) bool {
	return st.job.rec.Policy.GetPriority() == 0 && s.now <= st.key && !st.rec.LongRunning
}

// admits reports whether the step may use a worker for which gangs wait.
func (s *Scheduler) admits(w *worker, st *step) bool {
	if w.reserved != nil && w.reserved != st && !s.passesReserved(st) {
		return false
	}
	return w.kept == nil || w.kept == st || s.classOf(st) <= classExcess
}

// usable reports whether new work may go to the worker at all.
func (s *Scheduler) usable(w *worker) bool {
	return w.listed && !w.entry.Draining && w.fenced &&
		s.now-w.lookedAt < reachable && s.now >= w.pausedTo && w.health.trusted(s.now)
}

// runsOn counts the runs of the step on the worker.
func (st *step) runsOn(w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.task.step == st {
			n++
		}
	}
	return n
}

// disturbs reports whether the step and what runs on the worker would disturb
// each other: tasks that fill slow down tasks that serve users under a latency
// target, by amounts that nobody declares.
func (st *step) disturbs(w *worker) bool {
	if !st.rec.Fills && st.rec.TargetMs == 0 {
		return false
	}
	for _, r := range w.runs {
		other := r.task.step.rec
		if st.rec.Fills && other.TargetMs > 0 || st.rec.TargetMs > 0 && other.Fills {
			return true
		}
	}
	return false
}

// withinCap reports whether n more tasks keep the workspace within its upper
// limit.
func (s *Scheduler) withinCap(st *step, n int64) bool {
	ws, known := s.config.Workspaces[st.job.rec.Workspace]
	if !known {
		return true
	}
	after := s.used[ws.Name].Add(st.request.Times(n))
	return under(after.MilliCPU, ws.Cap.MilliCPU) && under(after.MemoryMiB, ws.Cap.MemoryMiB) &&
		under(after.Accelerators, ws.Cap.Accelerators)
}

func under(value, limit int64) bool { return limit <= 0 || value <= limit }

// Weights of the score, in the unit of one thousandth of a core left over.
const (
	nearDataBonus   = 1e6 // on the data's rack a task takes a half or a third of the time
	reservedPenalty = 1e5 // small urgent tasks go to workers that no gang waits for, if they can
)

// score ranks workers that fit: the one that is left with the least room is
// best, so that large holes stay for large tasks.
func (s *Scheduler) score(st *step, w *worker) float64 {
	score := -float64(w.free().MilliCPU - st.request.MilliCPU)
	if st.rec.Affinity != "" && w.entry.HasLabel(st.rec.Affinity) {
		score += nearDataBonus
	}
	if w.reserved != nil && w.reserved != st {
		score -= reservedPenalty
	}
	return score - w.health.penalty(s.now)
}

// placeGang starts all tasks of a gang or none.
func (s *Scheduler) placeGang(st *step) bool {
	if !st.gangWaits() {
		return true // members of the last run are still to end
	}
	n := len(st.tasks)
	if !s.withinCap(st, int64(n)) {
		st.blocked = "cap"
		return true // room does not help: nothing is to be reserved
	}
	chosen, why := s.gangWorkers(st, "")
	if st.rec.SameRack {
		chosen, why = s.oneRack(st)
	}
	if chosen == nil {
		st.blocked = why
		return false
	}
	s.roomiest.valid = false
	number := st.nextGangRun()
	placed := make([]string, 0, n)
	for i, t := range st.tasks {
		s.assign(t, chosen[i], number)
		placed = append(placed, chosen[i].entry.ID)
	}
	s.explainPlaced(st, placed)
	st.blocked = ""
	return true
}

// oneRack tries to place a gang on one rack; across racks its tasks take a
// multiple of the time.
func (s *Scheduler) oneRack(st *step) ([]*worker, string) {
	tried := make(map[string]bool)
	for _, w := range s.order {
		rack := w.entry.Rack()
		if rack == "" || tried[rack] {
			continue
		}
		tried[rack] = true
		if chosen, _ := s.gangWorkers(st, rack); chosen != nil {
			return chosen, ""
		}
	}
	return s.gangWorkers(st, "")
}

// gangWorkers chooses a worker for each member, on one rack if rack is not
// empty: first those that take the most members.
func (s *Scheduler) gangWorkers(st *step, rack string) ([]*worker, string) {
	var (
		counts rejected
		places []gangPlace
		total  int
	)
	for _, w := range s.order {
		if rack != "" && w.entry.Rack() != rack {
			continue
		}
		why := s.reject(st, w)
		counts[why]++
		if why != fits {
			continue
		}
		n := timesIn(st.room(), w.free())
		if limit := int(st.rec.AntiAffinity); limit > 0 {
			n = min(n, limit)
		}
		places = append(places, gangPlace{w, n})
		total += n
	}
	if total < len(st.tasks) {
		return nil, counts.summary()
	}
	return spreadGang(places, len(st.tasks)), ""
}

// gangPlace is a worker and how many members it takes.
type gangPlace struct {
	worker *worker
	n      int
}

// spreadGang takes the places that are left with the least room first.
func spreadGang(places []gangPlace, members int) []*worker {
	chosen := make([]*worker, 0, members)
	for len(chosen) < members {
		best := 0
		for i := range places {
			if places[i].n > 0 && (places[best].n == 0 || places[i].n > places[best].n) {
				best = i
			}
		}
		for places[best].n > 0 && len(chosen) < members {
			chosen = append(chosen, places[best].worker)
			places[best].n--
		}
	}
	return chosen
}

// timesIn returns how many times a request fits into room.
func timesIn(request, room model.Resources) int {
	const unbounded = 1 << 20
	n := int64(unbounded)
	if request.MilliCPU > 0 {
		n = min(n, room.MilliCPU/request.MilliCPU)
	}
	if request.MemoryMiB > 0 {
		n = min(n, room.MemoryMiB/request.MemoryMiB)
	}
	if request.Accelerators > 0 {
		n = min(n, room.Accelerators/request.Accelerators)
	}
	return int(max(n, 0))
}

// reserve keeps other batch work off the workers where a gang can soonest have
// room, as many as it needs. Without it small tasks take every hole that a wide
// gang waits for, and it starts only when the load falls. Workers that were
// reserved for the gang before come first: room that was collected on one worker
// is lost when the gang moves to another. The first gangs reserve against all but
// urgent small tasks, further ones against late work alone.
func (s *Scheduler) reserve(st *step, firmly bool) {
	var places []gangPlace
	for _, w := range s.order {
		if w.reserved != nil || w.kept != nil || !s.usable(w) || !s.suits(st, w) {
			continue
		}
		if n := timesIn(st.room(), w.free().Add(s.freedWithin(w, soonFree))); n > 0 {
			places = append(places, gangPlace{w, n})
		}
	}
	total := 0
	for total < len(st.tasks) && len(places) > 0 {
		best := 0
		for i := range places {
			if st.prefers(places[i], places[best]) {
				best = i
			}
		}
		total += places[best].n
		if firmly {
			places[best].worker.reserved = st
		} else {
			places[best].worker.kept = st
		}
		s.roomiest.valid = false
		places = append(places[:best], places[best+1:]...)
	}
}

// prefers reports whether a gang rather collects room at a than at b.
func (st *step) prefers(a, b gangPlace) bool {
	if keepA, keepB := a.worker.wasReserved == st, b.worker.wasReserved == st; keepA != keepB {
		return keepA
	}
	return a.n > b.n
}

// suits reports whether the worker could ever run the step.
func (s *Scheduler) suits(st *step, w *worker) bool {
	return w.entry.Service == st.job.rec.Policy.GetService() &&
		(st.rec.Requires == "" || w.entry.HasLabel(st.rec.Requires)) &&
		!st.ruledOut(w) && st.room().Fits(w.entry.Capacity)
}

// freedWithin returns the room of the runs on a worker that are expected to end
// within a time.
func (s *Scheduler) freedWithin(w *worker, within time.Duration) model.Resources {
	var sum model.Resources
	for _, r := range w.runs {
		if s.estimates.endsAt(r) < s.now+within {
			sum = sum.Add(r.room)
		}
	}
	return sum
}
