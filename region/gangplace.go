package region

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
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
	s.roomiest.taken = true
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
	for _, w := range s.candidates(st) {
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
		places = append(places, gangPlace{worker: w, n: n, apart: s.apartScore(st, w)})
		total += n
	}
	if total < len(st.tasks) {
		return nil, counts.summary()
	}
	return spreadGang(uniform(places, len(st.tasks)), len(st.tasks)), ""
}

// uniform returns the places of those that have room for all members whose workers differ
// least in speed: a gang is as slow as its slowest member, and the room of the faster ones
// is held for nothing meanwhile. Among sets that are as good the faster one counts.
func uniform(places []gangPlace, members int) []gangPlace {
	slices.SortStableFunc(places, func(a, b gangPlace) int { return cmp.Compare(b.worker.speed.log, a.worker.speed.log) })
	var (
		best   []gangPlace
		spread = math.Inf(1)
		room   int
		from   int
	)
	for to, p := range places {
		room += p.n
		for room-places[from].n >= members {
			room -= places[from].n
			from++
		}
		if d := places[from].worker.speed.log - p.worker.speed.log; room >= members && d < spread-speedTolerance {
			best, spread = places[from:to+1], d
		}
	}
	return best
}

// speedTolerance is a difference in speed that does not count.
const speedTolerance = 0.03

// gangPlace is a worker and how many members it takes.
type gangPlace struct {
	worker *worker
	n      int
	apart  float64 // rank by the other work there
}

// before reports whether a gang rather takes a: by the other work there, then
// those that take the most members.
func (a gangPlace) before(b gangPlace) bool {
	if a.apart != b.apart {
		return a.apart > b.apart
	}
	return a.n > b.n
}

// spreadGang takes the places that are left with the least room first.
func spreadGang(places []gangPlace, members int) []*worker {
	chosen := make([]*worker, 0, members)
	for len(chosen) < members {
		best := 0
		for i := range places {
			if places[i].n > 0 && (places[best].n == 0 || places[i].before(places[best])) {
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
	for _, w := range s.usableNow {
		if w.reserved != nil || w.kept != nil || !s.suits(st, w) || s.keptApart(st, w) {
			continue
		}
		if n := timesIn(st.room(), w.free().Add(s.freedWithin(w, soonFree))); n > 0 {
			places = append(places, gangPlace{worker: w, n: n})
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
		if r.endsAt < s.now+within {
			sum = sum.Add(r.room)
		}
	}
	return sum
}
