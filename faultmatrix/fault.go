package faultmatrix

import (
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Fault is something that goes wrong.
type Fault string

// The faults.
const (
	FaultNone       Fault = "none"
	FaultDies       Fault = "process dies"
	FaultPauses     Fault = "process pauses past its lease"
	FaultWorkerDies Fault = "worker dies"
	FaultWorkerGone Fault = "worker out of reach"
	FaultWorkerFail Fault = "worker fails everything"
	FaultLost       Fault = "message lost"
	FaultDoubled    Fault = "message doubled"
	FaultLate       Fault = "message late"
	FaultDisorder   Fault = "message out of order"
	FaultLogDown    Fault = "log down"
	FaultLogSlow    Fault = "log slow"
	FaultLogLost    Fault = "answer of the log lost after the effect"
	FaultCutZone    Fault = "zone cut from zone"
	FaultCutLog     Fault = "zone cut from the platform"
	FaultCutBoth    Fault = "zone cut from both"
	FaultListStale  Fault = "list stale"
	FaultDrift      Fault = "clock drift"
	FaultCancels    Fault = "wave of cancellations"
	FaultRace       Fault = "operators racing"
	FaultKey        Fault = "key withdrawn meanwhile"
)

// Faults lists every fault of the brief.
var Faults = []Fault{
	FaultDies, FaultPauses, FaultWorkerDies, FaultWorkerGone, FaultWorkerFail,
	FaultLost, FaultDoubled, FaultLate, FaultDisorder,
	FaultLogDown, FaultLogSlow, FaultLogLost,
	FaultCutZone, FaultCutLog, FaultCutBoth,
	FaultListStale, FaultDrift, FaultCancels, FaultRace, FaultKey,
}

// How long faults last.
const (
	faultFor     = 12 * time.Second
	pauseFor     = 3*leaseTTL + time.Second
	restartIn    = 5 * time.Second // of a process that died
	logSlowness  = 1500 * time.Millisecond
	lostAnswers  = 6
	driftOfHosts = -driftMax / 2.1 // the host's clock runs slow,
	driftOfTasks = driftMax / 2.1  // the worker's fast: the holder believes longer
)

// strike lets a fault happen at a step of h, which may concern a worker.
func (w *World) strike(fault Fault, step Step, h *host, worker ident.WorkerID) {
	if worker == "" {
		worker = w.ids[0]
	}
	switch fault {
	case FaultDies:
		w.kill(h)
	case FaultPauses:
		h.pause()
		w.After(pauseFor, func() {
			if h.alive {
				h.resume()
			}
		})
	case FaultWorkerDies:
		w.workerFault(worker, standin.WorkerFaults{Killed: true})
	case FaultWorkerGone:
		w.workerFault(worker, standin.WorkerFaults{Paused: true})
	case FaultWorkerFail:
		w.workerFault(worker, standin.WorkerFaults{FailAll: true})
	case FaultLost, FaultDoubled, FaultLate, FaultDisorder:
		w.strikeMessages(fault, step, h)
	case FaultLogDown:
		w.log.SetFaults(standin.LogFaults{Down: true})
	case FaultLogSlow:
		w.log.SetFaults(standin.LogFaults{Slow: logSlowness})
	case FaultLogLost:
		w.log.LoseAnswers(lostAnswers)
	case FaultCutZone, FaultCutLog, FaultCutBoth:
		w.strikeLinks(fault)
	default:
		w.strikePeople(fault, h)
	}
}

// kill ends a process at once; another one is started in its place.
func (w *World) kill(h *host) {
	h.die()
	w.After(restartIn, func() { w.boot(h.id, h.zone) })
}

// workerFault puts a worker out of order for faultFor.
func (w *World) workerFault(id ident.WorkerID, faults standin.WorkerFaults) {
	faults.Drift = w.workers[id].Faults().Drift
	w.workers[id].SetFaults(w.Now(), faults)
	w.After(faultFor, func() { w.workers[id].SetFaults(w.Now(), standin.WorkerFaults{Drift: faults.Drift}) })
}

func (w *World) strikeMessages(fault Fault, step Step, h *host) {
	w.net.faulty = step
	w.net.fault = map[Fault]messageFault{
		FaultLost: messageLost, FaultDoubled: messageDoubled, FaultLate: messageLate, FaultDisorder: messageOutOfOrder,
	}[fault]
	if step == StepDrain {
		// A drain is no message but many: all that the host sends meanwhile.
		w.net.fromAll, w.net.host = true, h.id
	}
}

func (w *World) strikeLinks(fault Fault) {
	if fault != FaultCutLog {
		w.net.cut(placeOf(zoneA), placeOf(zoneB))
	}
	if fault != FaultCutZone {
		w.net.cut(placeOf(zoneA), placePlatform)
	}
}

// strikePeople lets lists, clocks, callers and operators go wrong.
func (w *World) strikePeople(fault Fault, h *host) {
	switch fault {
	case FaultListStale:
		w.staleList(h)
	case FaultDrift:
		for _, other := range w.liveIn(zoneA) {
			other.setRate(1 + driftOfHosts)
		}
		for _, id := range w.ids {
			w.workers[id].SetFaults(w.Now(), standin.WorkerFaults{Drift: driftOfTasks})
		}
	case FaultCancels:
		for _, rec := range w.hist.Jobs {
			if rec.Accepted && rec.Done == 0 {
				w.load.cancel(rec)
			}
		}
		w.cancelRequests()
	case FaultRace:
		w.ops.race()
	case FaultKey:
		w.ops.withdrawKey(teams[0])
	}
}

// staleList freezes the host list, while a host of the zone dies for good and
// another takes its place under a name that the list does not show.
func (w *World) staleList(h *host) {
	w.list.SetLag(faultFor + restartIn)
	for _, other := range w.liveIn(zoneA) {
		if other != h {
			other.die()
			w.list.Change(w.Now(), standin.HostChange{GoneHosts: []ident.HostID{other.id}})
			w.boot(other.id+"x", zoneA)
			break
		}
	}
}

func (w *World) cancelRequests() {
	for _, h := range w.hosts {
		for _, id := range sortedIDs(h.calls) {
			h.wake(func() { h.step(engine.RequestCancelled{ID: id}) })
		}
	}
}

// heal ends every fault that does not end by itself.
func (w *World) heal() {
	w.net.heal()
	w.log.SetFaults(standin.LogFaults{})
	w.list.SetLag(time.Second)
	for _, h := range w.hosts {
		if h.alive {
			h.setRate(1)
			w.list.Change(w.Now(), standin.HostChange{Hosts: []ports.HostEntry{h.entry(ports.StateLive)}})
		}
	}
	for _, id := range w.ids {
		faults := w.workers[id].Faults()
		faults.Drift = 0
		w.workers[id].SetFaults(w.Now(), faults)
	}
}
