package region

import (
	"cmp"
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
	// widenAfter is how long a step waits for a place on the active workers before others are
	// activated for it, and the shortest time until still others are.
	widenAfter = 150 * time.Millisecond
	// maxClockAge is the largest age of a worker's clock reading from which a lease is computed.
	// After it, a clock that drifts may be off by a sixth of the shortest lease.
	maxClockAge = 10 * time.Second
)

// pool is the workers of one service, in racks. Those of active racks are probed and considered by
// placement. The others are on standby: they have no runs, and only their entries are followed.
type pool struct {
	service   string
	racks     map[string]*rack
	standby   map[string][]*rack // racks on standby by zone; the last one is activated first
	zones     []string           // keys of standby, in ascending order
	size      workset.Sizer
	onStandby int             // racks on standby
	active    int             // workers of active racks
	waiting   model.Resources // what the waiting tasks of the newest observeDemand request
}

// rack is workers of one service that are activated and sent to standby together: those with one
// rack label, as steps may ask for one rack, or a single worker without one.
type rack struct {
	pool       *pool
	key        string
	zone       string
	workers    []*worker
	active     bool
	quietSince time.Duration // since when none of its workers has work; 0 if one has
}

// isActive reports whether the leader probes the worker and considers it for placement. One without
// an entry is active until it is forgotten.
func (w *worker) isActive() bool { return w.rack == nil || w.rack.active }

// hasWork reports whether a worker has runs, or a call or end of one that is to be followed up.
func (w *worker) hasWork() bool {
	return len(w.runs) > 0 || len(w.pendingCalls) > 0 || w.strays > 0 || w.ends.highest > w.ends.acked
}

// settled reports whether a worker can be left without probes: it has no work, and if an earlier
// leader has used it, it has shown that to this one.
func (w *worker) settled() bool { return !w.hasWork() && !w.unread }

// wanted reports whether a step counts on the worker.
func (w *worker) wanted() bool {
	return w.reserved != nil || w.softReserved != nil || w.keptFreeFor != nil || w.promised != model.Resources{}
}

// rackKey returns the key of the rack of a worker with the entry.
func rackKey(e model.WorkerEntry) string {
	return cmp.Or(e.Rack(), "worker "+e.ID)
}

// poolFor returns the pool of a service.
func (s *Scheduler) poolFor(service string) *pool {
	p, known := s.pools[service]
	if !known {
		p = &pool{service: service, racks: make(map[string]*rack), standby: make(map[string][]*rack)}
		s.pools[service] = p
		s.poolList = append(s.poolList, p)
	}
	return p
}

// joinRack moves a worker to the rack that its entry names. The rack becomes active with a worker
// that is inUse, which is not to go to standby.
func (s *Scheduler) joinRack(w *worker, inUse bool) {
	key := rackKey(w.entry)
	if w.rack != nil && w.rack.key == key && w.rack.pool.service == w.entry.Service {
		return
	}
	s.leaveRack(w)
	p := s.poolFor(w.entry.Service)
	r, known := p.racks[key]
	if !known {
		r = &rack{pool: p, key: key, zone: w.entry.Zone}
		p.racks[key] = r
		p.addStandby(r)
	}
	w.rack = r
	r.workers = append(r.workers, w)
	switch {
	case r.active:
		p.active++
		s.activateWorker(w)
	case inUse || p.active < s.targetOf(p):
		s.activate(r)
	default:
		s.deactivateWorker(w)
	}
}

// leaveRack removes a worker from its rack, and the rack with its last worker.
func (s *Scheduler) leaveRack(w *worker) {
	r := w.rack
	if r == nil {
		return
	}
	if r.active {
		r.pool.active--
	}
	w.rack = nil
	r.workers = slices.DeleteFunc(r.workers, func(o *worker) bool { return o == w })
	if len(r.workers) == 0 {
		if !r.active {
			r.pool.removeStandby(r)
		}
		delete(r.pool.racks, r.key)
	}
}

func (p *pool) addStandby(r *rack) {
	if _, known := p.standby[r.zone]; !known {
		at, _ := slices.BinarySearch(p.zones, r.zone)
		p.zones = slices.Insert(p.zones, at, r.zone)
	}
	p.standby[r.zone] = append(p.standby[r.zone], r)
	p.onStandby++
}

func (p *pool) removeStandby(r *rack) {
	p.standby[r.zone] = slices.DeleteFunc(p.standby[r.zone], func(o *rack) bool { return o == r })
	p.onStandby--
}

// activate makes the workers of a rack active and probes them.
func (s *Scheduler) activate(r *rack) {
	r.pool.removeStandby(r)
	r.active, r.quietSince = true, 0
	r.pool.active += len(r.workers)
	for _, w := range r.workers {
		s.activateWorker(w)
	}
}

func (s *Scheduler) activateWorker(w *worker) {
	if !w.inActive {
		w.inActive = true
		s.active = append(s.active, w)
		s.emit(Count{Name: "workers_activated"})
	}
	s.probe(w, 0)
}

func (s *Scheduler) deactivateWorker(w *worker) {
	if w.inActive {
		w.inActive = false
		s.active = slices.DeleteFunc(s.active, func(o *worker) bool { return o == w })
	}
}

// sendToStandby ends the probes of a rack's workers.
func (s *Scheduler) sendToStandby(r *rack) {
	r.active = false
	r.pool.active -= len(r.workers)
	r.pool.addStandby(r)
	for _, w := range r.workers {
		s.deactivateWorker(w)
		s.emit(Count{Name: "workers_to_standby"})
	}
}

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

// widen activates workers for a step that has waited for a place on the active ones and has no call
// for advice in flight: as many as are expected to hold its waiting tasks.
func (s *Scheduler) widen(st *step) {
	p, known := s.pools[st.job.rec.Policy.GetService()]
	if !known || p.onStandby == 0 || s.now < max(st.waitingSince, st.widenedAt)+widenAfter {
		return
	}
	if st.advice.inFlight > 0 || st.heldBy == heldByCap || st.heldBy == heldByLink || st.heldBy == heldByAdvisers || !s.moreRoomHelps(st) {
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
