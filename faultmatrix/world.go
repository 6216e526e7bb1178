package faultmatrix

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflyfold/fireflyfold/faultmatrix/agenda"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Size of the fleet of a cell.
const (
	hostsPerZone   = 2
	workersPerZone = 3
)

// Zones of the fleet of a cell.
const (
	zoneA ident.Zone = "a"
	zoneB ident.Zone = "b"
)

var zones = []ident.Zone{zoneA, zoneB}

// Lease times of a cell, shorter than in production.
const (
	leaseTTL = 3 * time.Second
	taskTTL  = 9 * time.Second
	driftMax = 0.02
)

// service is the upstream that answers requests on every worker.
const service ident.ServiceID = "svc"

// workerSize is the size of every worker.
var workerSize = resource.Vector{MilliCPU: 4000, MemoryMiB: 8192, Slots: 4, Connections: 32}

// World is a fleet in virtual time.
type World struct {
	agenda.Agenda
	rng     *rand.Rand
	net     *network
	log     *standin.LogState
	list    *standin.HostListState
	audit   *standin.Audit
	workers map[ident.WorkerID]*standin.WorkerState
	places  map[ident.WorkerID]ident.Zone
	ids     []ident.WorkerID
	hosts   []*host // one life each; the newest of a name comes last
	lives   ident.Incarnation
	load    *load
	ops     *operators
	hist    *History
	onStep  func(Step, *host, ident.WorkerID) // what a cell waits for; nil for nothing
}

// NewWorld returns a fleet that is just starting. Everything drawn in it comes
// from the seed.
func NewWorld(seed uint64) *World {
	w := &World{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		log:     standin.NewLogState(standin.LogConfig{}),
		list:    standin.NewHostListState(listLag),
		audit:   standin.NewAudit(),
		workers: map[ident.WorkerID]*standin.WorkerState{},
		places:  map[ident.WorkerID]ident.Zone{},
		hist:    &History{},
	}
	w.net = newNetwork(w)
	w.ops = newOperators(w)
	w.load = newLoad(w)
	for _, zone := range zones {
		w.addWorkers(zone)
	}
	w.ops.configure()
	for _, zone := range zones {
		for i := range hostsPerZone {
			w.boot(ident.HostID(fmt.Sprintf("%s%d", zone, i+1)), zone)
		}
	}
	w.tickWorkers()
	return w
}

func (w *World) addWorkers(zone ident.Zone) {
	for i := range workersPerZone {
		id := ident.WorkerID(fmt.Sprintf("w%s%d", zone, i+1))
		state := standin.NewWorkerState(standin.WorkerConfig{
			Worker: id, Zone: zone, Rack: string(zone), Size: workerSize, Services: []ident.ServiceID{service},
		}, w.audit)
		w.workers[id] = state
		w.places[id] = zone
		w.ids = append(w.ids, id)
		w.list.Change(0, standin.HostChange{Workers: []ports.WorkerEntry{state.Config().Entry(string(id))}})
	}
}

// workerTick is how often workers look at their clocks.
const workerTick = 50 * time.Millisecond

func (w *World) tickWorkers() {
	for _, id := range w.ids {
		w.workers[id].Tick(w.Now())
	}
	w.After(workerTick, w.tickWorkers)
}

// boot starts a life of a host and lists it.
func (w *World) boot(id ident.HostID, zone ident.Zone) *host {
	w.lives++
	h := newHost(w, ident.Holder{Host: id, Incarnation: w.lives}, zone)
	w.hosts = append(w.hosts, h)
	w.list.Change(w.Now(), standin.HostChange{Hosts: []ports.HostEntry{h.entry(ports.StateLive)}})
	h.start()
	return h
}

// live returns the newest life of a host, nil if it is dead.
func (w *World) live(id ident.HostID) *host {
	for i := len(w.hosts) - 1; i >= 0; i-- {
		if w.hosts[i].id == id {
			if w.hosts[i].alive {
				return w.hosts[i]
			}
			return nil
		}
	}
	return nil
}

// liveIn lists the live hosts of a zone in order of their starts.
func (w *World) liveIn(zone ident.Zone) []*host {
	var list []*host
	for _, h := range w.hosts {
		if h.alive && h.zone == zone {
			list = append(list, h)
		}
	}
	return list
}

// scheduler returns the host that schedules a zone, nil if there is none.
func (w *World) scheduler(zone ident.Zone) *host {
	for _, h := range w.liveIn(zone) {
		if !h.paused && h.eng.Schedules() {
			return h
		}
	}
	return nil
}

// wallStart is the wall clock at the virtual time zero.
var wallStart = time.Unix(1_800_000_000, 0).UTC()

func (w *World) wall() time.Time { return wallStart.Add(w.Now()) }

// config folds the configuration as the log has it.
func (w *World) config() *fleet.State {
	follower := fleet.NewFollower()
	faults := w.log.Faults()
	w.log.SetFaults(standin.LogFaults{})
	defer w.log.SetFaults(faults)
	page, _, err := w.log.Read(w.Now(), configStream, 0, standin.MaxPage)
	if err != nil {
		panic(err) // a log without faults answers
	}
	if _, err := follower.Add(page); err != nil {
		panic(err) // operators write only records that the fold can read
	}
	if state := follower.State(); state != nil {
		return state
	}
	return fleet.Empty()
}
