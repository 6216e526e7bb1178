package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/workset"
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

// settled reports whether a worker can be left without probes: it has no work, if an earlier
// leader has used it, it has shown that to this one, and it is not awaited after a crash.
func (w *worker) settled() bool { return !w.hasWork() && !w.unread && !w.succeeds }

// needsNoProbe reports whether a settled worker is left without probes: it is on standby, or
// another one has answered in its place. The next entry ends the latter.
func (w *worker) needsNoProbe() bool { return w.settled() && (!w.isActive() || w.replaced) }

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
