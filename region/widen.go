package region

import "time"

// widenAfter is how long a step waits for a place on the active workers before others are
// activated for it, and the shortest time until still others are.
const widenAfter = 150 * time.Millisecond

// widen activates workers for a step that has waited for a place on the active ones and has no call
// for advice in flight: as many as are expected to hold its waiting tasks.
func (s *Scheduler) widen(st *step) {
	p, known := s.pools[st.job.rec.Policy.GetService()]
	if !known || p.onStandby == 0 || s.now < max(st.waitingSince, st.widenedAt)+widenAfter {
		return
	}
	if st.advice.inFlight > 0 || st.heldBy == heldByCap || st.heldBy == heldByLink || st.heldBy == heldByAdvisers || !s.anyStartable(st) {
		return
	}
	st.widenedAt = s.now
	places := float64(st.countWaiting())
	if st.needsAdvice() {
		places /= st.job.queue.eligible.Get()
	}
	activated := s.activateSuitable(p, st, int(places)+1)
	if activated > 0 {
		s.explain(st.job.rec.Id, "workers activated for step", Field{"step", st.index}, Field{"workers", activated}, Field{"held_by", st.heldBy},
			Field{"waited_ms", (s.now - st.waitingSince).Milliseconds()})
	}
}

// activateSuitable activates racks on standby that are expected to have that many places for tasks
// of the step, taking the zones in turn. It returns how many workers it has activated.
func (s *Scheduler) activateSuitable(p *pool, st *step, places int) int {
	activated := 0
	var chosen []*rack
	for depth := 0; places > 0; depth++ {
		left := false
		for _, zone := range p.zones {
			racks := p.standby[zone]
			if depth >= len(racks) || places <= 0 || s.drains.Contains(zone) {
				continue
			}
			left = true
			r := racks[len(racks)-1-depth]
			if n := s.placesOn(r, st); n > 0 {
				places -= n
				activated += len(r.workers)
				chosen = append(chosen, r)
			}
		}
		if !left {
			break
		}
	}
	for _, r := range chosen {
		s.activate(r)
	}
	return activated
}

// placesOn returns how many tasks of the step the workers of a rack hold if they are empty.
func (s *Scheduler) placesOn(r *rack, st *step) int {
	n := 0
	for _, w := range r.workers {
		if w.listed && !w.entry.Draining && s.suits(st, w) {
			n += st.mostOn(w.entry.Capacity)
		}
	}
	return n
}

// activateNearData activates the rack that a step's data is on.
func (s *Scheduler) activateNearData(st *step) {
	if st.rec.Affinity == "" {
		return
	}
	if p, known := s.pools[st.job.rec.Policy.GetService()]; known {
		if r, known := p.racks[st.rec.Affinity]; known && !r.active {
			s.activate(r)
		}
	}
}
