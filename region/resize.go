package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/workset"
)

const (
	// resizeInterval is the time between two comparisons of the active workers with the demand.
	resizeInterval = 100 * time.Millisecond
	// minQuiet is how long all workers of a rack have had no work before they go to standby.
	minQuiet = 3 * time.Second
)

// resizePools activates racks where the demand asks for more workers, and sends racks without work
// to standby where it asks for fewer.
func (s *Scheduler) resizePools() {
	if s.now-s.resizedAt < resizeInterval {
		return
	}
	s.resizedAt = s.now
	s.observeDemand()
	for _, p := range s.poolList {
		before := p.active
		reachable := s.reachable(p)
		s.grow(p, s.targetOf(p)-reachable)
		s.shrink(p, reachable)
		if p.active != before {
			s.explain("", "active workers changed", Field{"service", p.service}, Field{"active", p.active}, Field{"before", before},
				Field{"target", s.targetOf(p)}, Field{"racks_on_standby", p.onStandby})
		}
	}
}

// targetOf returns how many workers of a pool are to be active.
func (s *Scheduler) targetOf(p *pool) int {
	return p.size.Target(s.opts.MinActive)
}

// observeDemand records how many workers of each service the tasks that run or wait would fill.
func (s *Scheduler) observeDemand() {
	for _, p := range s.poolList {
		p.waiting = model.Resources{}
	}
	for _, st := range s.ready.steps {
		if p, known := s.pools[st.job.rec.Policy.GetService()]; known && !st.job.ended() && st.heldBy != heldByCap {
			p.waiting = p.waiting.Add(st.demand().Times(int64(st.countWaiting())))
		}
	}
	for _, p := range s.poolList {
		p.size.Observe(s.now, s.demandInWorkers(p))
	}
}

// countWaiting returns how many tasks of the step have yet to be assigned.
func (st *step) countWaiting() int {
	n := 0
	for _, t := range st.tasks {
		if t.waiting() {
			n++
		}
	}
	return n
}

// demandInWorkers returns how many workers of the size that is usual among the active ones the
// tasks of a pool would fill, by the resource of which they need most.
func (s *Scheduler) demandInWorkers(p *pool) float64 {
	demand := p.waiting
	var capacity model.Resources
	for _, w := range s.active {
		if w.rack != nil && w.rack.pool == p {
			demand = demand.Add(w.used)
			capacity = capacity.Add(w.entry.Capacity)
		}
	}
	most := 0.0
	for _, share := range [][2]int64{{demand.MilliCPU, capacity.MilliCPU}, {demand.MemoryMiB, capacity.MemoryMiB}, {demand.Accelerators, capacity.Accelerators}} {
		if share[1] > 0 {
			most = max(most, float64(share[0])/float64(share[1]))
		}
	}
	return most * float64(p.active)
}

// reachable returns how many active workers of a pool may get work, or are expected to once they
// have answered.
func (s *Scheduler) reachable(p *pool) int {
	n := 0
	for _, w := range s.active {
		if w.rack != nil && w.rack.pool == p && w.listed && !w.entry.Draining && !w.probeMissed && !s.drains.Contains(w.entry.Zone) {
			n++
		}
	}
	return n
}

// grow activates racks with at least that many workers, those of the zones with fewest active
// workers first.
func (s *Scheduler) grow(p *pool, workers int) {
	if workers <= 0 {
		return
	}
	inZone := make(map[string]int, len(p.zones))
	for _, w := range s.active {
		if w.rack != nil && w.rack.pool == p {
			inZone[w.entry.Zone]++
		}
	}
	for workers > 0 {
		zone, found := p.emptiestZone(inZone, &s.drains.ZoneDrains)
		if !found {
			return
		}
		r := p.standby[zone][len(p.standby[zone])-1]
		s.activate(r)
		inZone[zone] += len(r.workers)
		workers -= len(r.workers)
	}
}

// emptiestZone returns the zone with the fewest active workers among those that have racks on
// standby and are not drained.
func (p *pool) emptiestZone(inZone map[string]int, drains *model.ZoneDrains) (zone string, found bool) {
	for _, z := range p.zones {
		if len(p.standby[z]) > 0 && !drains.Contains(z) && (!found || inZone[z] < inZone[zone]) {
			zone, found = z, true
		}
	}
	return zone, found
}

// shrink sends racks that have had no work for a while to standby, while there is a surplus of
// active workers.
func (s *Scheduler) shrink(p *pool, reachable int) {
	surplus := workset.Surplus(reachable, s.targetOf(p))
	if surplus == 0 {
		return
	}
	var quiet []*rack
	for _, w := range s.active {
		if r := w.rack; r != nil && r.pool == p && r.workers[0] == w && s.quietFor(r) >= minQuiet {
			quiet = append(quiet, r)
		}
	}
	for _, r := range quiet {
		if surplus < len(r.workers) {
			return
		}
		surplus -= len(r.workers)
		s.sendToStandby(r)
	}
}

// quietFor returns for how long no worker of a rack is known to have had work.
func (s *Scheduler) quietFor(r *rack) time.Duration {
	if slices.ContainsFunc(r.workers, func(w *worker) bool { return !w.settled() || w.wanted() }) {
		r.quietSince = 0
		return 0
	}
	if r.quietSince == 0 {
		r.quietSince = s.now
	}
	return s.now - r.quietSince
}
