package region

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// maxFirmReservations is how many gangs at a time reserve workers against all other
	// batch work. Each keeps that work off a few workers while it waits.
	maxFirmReservations = 2
	// maxSoftReservations is how many further gangs that can still be on time reserve
	// workers against late work. It is the number of gangs that arrive while one
	// collects its room: about 2 a second for 3 s.
	maxSoftReservations = 6
	// freeHorizon is how far ahead a gang counts room that running tasks are expected to
	// free.
	freeHorizon = 4 * time.Second
)

// placeGang starts all tasks of a gang or none. It returns true if the gang needs no
// reservation: it was started, or more room would not help.
func (s *Scheduler) placeGang(st *step) bool {
	if !st.gangWaits() {
		return true // members of the last run have not ended yet
	}
	if slices.ContainsFunc(st.tasks, s.held) {
		st.heldBy = reasonNames[rejectIsolation]
		return true
	}
	n := len(st.tasks)
	if !s.withinCap(st, int64(n)) {
		st.heldBy = heldByCap
		return true // more room does not help, so nothing is reserved
	}
	chosen, why := s.gangWorkers(st, "")
	if st.rec.SameRack {
		chosen, why = s.sameRackWorkers(st)
	}
	if chosen == nil {
		st.heldBy = why
		return false
	}
	s.freeBounds.assigned = true
	number := st.nextGangRun()
	placed := make([]string, 0, n)
	for i, t := range st.tasks {
		s.assign(t, chosen[i], number)
		placed = append(placed, chosen[i].entry.ID)
	}
	s.explainPlaced(st, placed)
	st.heldBy = ""
	return true
}

// sameRackWorkers chooses the workers of a gang on one rack if any has room, else
// across racks, where its tasks take a multiple of the time.
func (s *Scheduler) sameRackWorkers(st *step) ([]*worker, string) {
	tried := make(map[string]bool)
	for _, w := range s.active {
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

// gangWorkers chooses a worker for each member, on one rack if rack is not empty, or
// returns the main reason why there is too little room.
func (s *Scheduler) gangWorkers(st *step, rack string) ([]*worker, string) {
	var (
		counts rejectionCounts
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
		n := min(st.mostOn(w.free()), s.lateStartRoom(st, w))
		places = append(places, gangPlace{worker: w, n: n, sharingScore: s.apartScore(st, w)})
		total += n
	}
	if total < len(st.tasks) {
		if st.needsAdvice() && len(s.candidates(st)) == 0 {
			return nil, reasonNames[rejectAdvice]
		}
		return nil, counts.summary()
	}
	if isolated := s.isolatedWaiting(st); isolated > 0 {
		return s.packIsolated(st, places, isolated)
	}
	return packGang(similarSpeedPlaces(places, len(st.tasks)), len(st.tasks)), ""
}

// packIsolated assigns the members of a gang to places, its isolated ones to workers without
// other jobs. The result is in the order of the members.
func (s *Scheduler) packIsolated(st *step, places []gangPlace, isolated int) ([]*worker, string) {
	var empty []gangPlace
	room := 0
	for _, p := range places {
		if p.worker.onlyRuns(st.job) {
			empty = append(empty, p)
			room += p.n
		}
	}
	if room < isolated {
		return nil, reasonNames[rejectIsolation]
	}
	alone := packGang(empty, isolated)
	for i := range places {
		for _, w := range alone {
			if places[i].worker == w {
				places[i].n--
			}
		}
	}
	others := packGang(places, len(st.tasks)-isolated)
	chosen := make([]*worker, 0, len(st.tasks))
	for _, t := range st.tasks {
		from := &others
		if s.mustIsolate(t) {
			from = &alone
		}
		chosen = append(chosen, (*from)[0])
		*from = (*from)[1:]
	}
	return chosen, ""
}

// similarSpeedPlaces returns the places with room for all members whose workers differ
// least in speed. A gang is as slow as its slowest member, and the resources of faster
// members are idle meanwhile. Of sets that differ equally the fastest is chosen.
func similarSpeedPlaces(places []gangPlace, members int) []gangPlace {
	slices.SortStableFunc(places, func(a, b gangPlace) int { return cmp.Compare(b.worker.speed.logRatio, a.worker.speed.logRatio) })
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
		if d := places[from].worker.speed.logRatio - p.worker.speed.logRatio; room >= members && d < spread-speedTolerance {
			best, spread = places[from:to+1], d
		}
	}
	return best
}

// speedTolerance is a difference in speed, as a logarithm, that is ignored.
const speedTolerance = 0.03

// gangPlace is a worker and how many members of a gang fit on it.
type gangPlace struct {
	worker       *worker
	n            int
	sharingScore float64 // rank by the other work there, from apartScore
}

// preferredTo reports whether a gang prefers a to b: first by the other work there,
// then by how many members fit.
func (a gangPlace) preferredTo(b gangPlace) bool {
	if a.sharingScore != b.sharingScore {
		return a.sharingScore > b.sharingScore
	}
	return a.n > b.n
}

// packGang assigns the members to places, filling each place before the next, in the
// order of preferredTo.
func packGang(places []gangPlace, members int) []*worker {
	chosen := make([]*worker, 0, members)
	for len(chosen) < members {
		best := 0
		for i := range places {
			if places[i].n > 0 && (places[best].n == 0 || places[i].preferredTo(places[best])) {
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

// reserve keeps other batch work off the workers where a gang can have room soonest, as
// many as it needs. Without it, small tasks take all room that a wide gang needs, and
// the gang starts only when the load falls. Workers already reserved for the gang come
// first, since the room collected on a worker is lost when the gang moves to another.
// The first gangs reserve firmly, against all but urgent small and long-running tasks;
// further gangs reserve against late work alone.
func (s *Scheduler) reserve(st *step, firm bool) {
	s.reservable.collect(s, st)
	for total := 0; total < len(st.tasks); {
		w, n := s.reservable.take()
		if w == nil {
			return
		}
		total += n
		if firm {
			w.reserved = st
		} else {
			w.softReserved = st
		}
		s.freeBounds.valid = false
	}
}

// reservablePlaces are the workers that a gang may reserve, in the order in which it prefers them:
// those reserved for it in the last pass, then those with most places, each in the order of the
// workers. It is used again by each gang, as several of them reserve in each pass.
type reservablePlaces struct {
	kept     []gangPlace
	byPlaces [][]gangPlace // by the number of places, the last one for that many and more
	largest  int           // index of the last of byPlaces that may have workers

	keptTaken int // how many of kept have been taken
	taken     int // how many of byPlaces[largest] have been taken
}

// collect replaces the workers by those that the gang may reserve.
func (r *reservablePlaces) collect(s *Scheduler, st *step) {
	r.reset(len(st.tasks))
	for _, w := range s.usableNow {
		if w.reserved != nil || w.softReserved != nil {
			continue
		}
		room := w.free().Add(s.freedWithin(w, freeHorizon))
		if st.advice.inFlight == 0 {
			room = room.Sub(w.promised) // to other gangs
		}
		if n := timesIn(st.demand(), room); n > 0 && s.suits(st, w) && !s.keptApart(st, w) {
			r.add(gangPlace{worker: w, n: n}, w.wasReserved == st)
		}
	}
	slices.SortStableFunc(r.kept, func(a, b gangPlace) int { return cmp.Compare(b.n, a.n) })
	slices.SortStableFunc(r.byPlaces[r.largest], func(a, b gangPlace) int { return cmp.Compare(b.n, a.n) })
}

func (r *reservablePlaces) reset(members int) {
	r.kept = r.kept[:0]
	for i := range r.byPlaces {
		r.byPlaces[i] = r.byPlaces[i][:0]
	}
	for len(r.byPlaces) <= members {
		r.byPlaces = append(r.byPlaces, nil)
	}
	r.largest, r.taken, r.keptTaken = members, 0, 0
}

func (r *reservablePlaces) add(p gangPlace, kept bool) {
	if kept {
		r.kept = append(r.kept, p)
		return
	}
	at := min(p.n, r.largest)
	r.byPlaces[at] = append(r.byPlaces[at], p)
}

// take removes the preferred worker and returns it with its places, or nil if none is left.
func (r *reservablePlaces) take() (*worker, int) {
	if r.keptTaken < len(r.kept) {
		r.keptTaken++
		return r.kept[r.keptTaken-1].worker, r.kept[r.keptTaken-1].n
	}
	for r.largest > 0 && r.taken == len(r.byPlaces[r.largest]) {
		r.largest, r.taken = r.largest-1, 0
	}
	if r.largest == 0 {
		return nil, 0
	}
	p := r.byPlaces[r.largest][r.taken]
	r.taken++
	return p.worker, p.n
}

// suits reports whether the worker could run the step if it were empty.
func (s *Scheduler) suits(st *step, w *worker) bool {
	return w.entry.Service == st.job.rec.Policy.GetService() &&
		(st.rec.Requires == "" || w.entry.HasLabel(st.rec.Requires)) &&
		!st.ruledOut(w) && st.demand().Fits(w.entry.Capacity)
}
