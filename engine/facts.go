package engine

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Facts is a snapshot of the engine's state for operators. It is immutable.
type Facts struct {
	ConfigAge    time.Duration
	LogReachable bool
	Draining     bool
	Scheduler    bool   // owns the zone's job stream
	Epoch        uint64 // of that ownership; zero if this host is not the scheduler
	WaitingReqs  int
	InFlight     int64
	Counters     request.Counters
	Workers      []WorkerFacts // of this host's zone
	Units        []UnitFacts
	JobsWaiting  int // jobs of the zone, if this host is its scheduler
	JobsRunning  int
	Recovering   bool // attempts of an earlier scheduler or an unreachable worker are being settled
	Silences     []Silence
}

// Silence is the time since the last digest of a peer.
type Silence struct {
	Host ident.HostID
	For  time.Duration
}

// WorkerFacts is this host's state of one worker.
type WorkerFacts struct {
	Entry       ports.WorkerEntry
	SlotsHeld   bool
	ComputeHeld bool
	Quarantined bool // gets only probe requests, because requests failed there
	Requests    int64
	Tasks       int
	Used        resource.Vector // by running tasks, as last reported
}

// UnitFacts is the number of units of one team's limit that this host holds and
// uses.
type UnitFacts struct {
	Team ident.TeamID
	Held int64
	Used int64
}

// Facts returns a snapshot of the engine's state.
func (e *Engine) Facts() Facts {
	f := Facts{
		ConfigAge:    e.config.age(e.now),
		LogReachable: !e.config.logReadFailed,
		Draining:     e.draining,
		Scheduler:    e.Schedules(),
		WaitingReqs:  e.router.Waiting(),
		InFlight:     e.router.InFlight(""),
		Counters:     e.router.Counters(),
	}
	f.Workers = e.workerFacts()
	for _, p := range e.view.Hosts {
		if silence, heard := e.members.Silence(p.Holder, e.now); heard {
			f.Silences = append(f.Silences, Silence{Host: p.Host, For: silence})
		}
	}
	if state := e.config.state(); state != nil {
		for _, t := range state.Teams() {
			f.Units = append(f.Units, UnitFacts{Team: t.ID, Held: e.units.Held(t.ID), Used: e.units.Used(t.ID)})
		}
	}
	if e.Schedules() {
		f.Epoch = uint64(e.zone.epoch)
		f.Recovering = e.zone.recovery != nil
		f.JobsWaiting, f.JobsRunning = e.owner.State().Count()
	}
	return f
}

func (e *Engine) workerFacts() []WorkerFacts {
	quarantined := map[ident.WorkerID]bool{}
	for _, id := range e.router.Quarantined() {
		quarantined[id] = true
	}
	entries := e.members.Workers()
	list := make([]WorkerFacts, 0, len(entries))
	for _, entry := range entries {
		slots := lease.Key{Worker: entry.Worker, Class: ports.ClassSlots}
		compute := lease.Key{Worker: entry.Worker, Class: ports.ClassCompute}
		w := WorkerFacts{
			Entry:       entry,
			SlotsHeld:   e.leases.Left(slots, e.now) > 0,
			ComputeHeld: e.leases.Left(compute, e.now) > 0,
			Quarantined: quarantined[entry.Worker],
			Requests:    e.router.InFlight(entry.Worker),
		}
		for _, t := range e.reports[compute] {
			if !t.Ended {
				w.Tasks++
				w.Used = w.Used.Add(t.Need)
			}
		}
		list = append(list, w)
	}
	return list
}
