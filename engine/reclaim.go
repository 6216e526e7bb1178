package engine

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

const (
	// promiseTTL is how long a promise not to take a lease lasts if the host
	// that asked for it becomes unreachable and does not release it.
	promiseTTL = 2 * time.Minute
	// reclaimInterval is the interval between checks for dead holders.
	reclaimInterval = time.Second
	// suspectAfter is how long a holder of the zone must not have been heard
	// from before it is suspected. Suspicion alone has no effect; units are
	// reclaimed only after proof that the holder can start nothing.
	suspectAfter = 8 * time.Second
)

// reclaimWatch holds the promises of this host to peers and the state of
// reclaiming dead holders' units.
type reclaimWatch struct {
	promises   map[ident.WorkerID]time.Duration // expiry by worker
	wanted     map[ident.WorkerID]bool          // whether membership wants the lease of a promised worker
	heldOff    map[ident.WorkerID]bool          // recovery waits for the worker's tasks to stop
	lastOrder  map[promiseSource]uint64         // highest Order received
	ordersSent uint64                           // last Order sent
	zoneHosts  []ident.HostID                   // hosts of this zone in the host list, sorted
	listed     map[ident.HostID]bool            // all hosts in the host list

	reclaimer *ledger.Reclaimer
	workers   map[ident.WorkerID]bool // workers of the zone last passed to the reclaimer
	nextAt    time.Duration
	left      bool // this host has left the ledger, as requested by the drain
}

// promiseSource identifies the holder that asked for a promise and the worker
// concerned.
type promiseSource struct {
	from   ident.Holder
	worker ident.WorkerID
}

func newReclaimWatch(opts Options) *reclaimWatch {
	return &reclaimWatch{
		promises:  map[ident.WorkerID]time.Duration{},
		wanted:    map[ident.WorkerID]bool{},
		heldOff:   map[ident.WorkerID]bool{},
		lastOrder: map[promiseSource]uint64{},
		listed:    map[ident.HostID]bool{},
		reclaimer: ledger.NewReclaimer(opts.Self, opts.ListLag),
	}
}

// promised reports whether the compute lease of a worker must not be acquired:
// this host promised so to a peer, or it waits for the worker's tasks to stop.
func (r *reclaimWatch) promised(worker ident.WorkerID) bool {
	_, ok := r.promises[worker]
	return ok || r.heldOff[worker]
}

// holdOff stops this host's lease calls to a worker while a recovery waits for
// the worker's tasks to stop. A lease call that gets no answer could still have
// reached the worker and prolonged them.
func (e *Engine) holdOff(worker ident.WorkerID) {
	if !e.reclaim.promised(worker) {
		e.reclaim.wanted[worker] = e.members.Scheduler()
	}
	e.reclaim.heldOff[worker] = true
	e.stepLeases(lease.Want{Key: lease.Key{Worker: worker, Class: ports.ClassCompute}, Wanted: false})
}

// resume ends the effect of holdOff.
func (e *Engine) resume(worker ident.WorkerID) {
	if !e.reclaim.heldOff[worker] {
		return
	}
	delete(e.reclaim.heldOff, worker)
	e.applyWanted(worker)
}

// applyWanted applies whether membership wants a worker's compute lease, if no
// promise or holdOff covers the worker any more.
func (e *Engine) applyWanted(worker ident.WorkerID) {
	if e.reclaim.promised(worker) {
		return
	}
	wanted := e.reclaim.wanted[worker]
	delete(e.reclaim.wanted, worker)
	e.wantLease(lease.Key{Worker: worker, Class: ports.ClassCompute}, wanted)
}

func (e *Engine) hostsListed(l ports.Listing) {
	r := e.reclaim
	r.zoneHosts = r.zoneHosts[:0]
	clear(r.listed)
	for _, h := range l.Hosts {
		r.listed[h.Host] = true
		if h.Zone == e.opts.Zone {
			r.zoneHosts = append(r.zoneHosts, h.Host)
		}
	}
	slices.Sort(r.zoneHosts)
	e.stepRecovery(e.zoneHosts())
	e.zoneWorkersListed()
}

// sendAskPromise asks a peer for a promise or releases it from one.
func (e *Engine) sendAskPromise(host ident.HostID, ask AskPromise) {
	for _, p := range e.view.Hosts {
		if p.Host == host {
			e.reclaim.ordersSent++
			ask.Host = host
			ask.Addr = p.Addr
			ask.From = e.opts.Self
			ask.Order = e.reclaim.ordersSent
			e.emit(ask)
			return
		}
	}
}

// maxPromiseSources bounds the number of sources in reclaimWatch.lastOrder.
const maxPromiseSources = 4096

// recordOrder records the highest Order of a source. Hosts are replaced over
// time, so at the bound the sources without a promise in force are removed.
func (r *reclaimWatch) recordOrder(source promiseSource, order uint64) {
	if len(r.lastOrder) >= maxPromiseSources {
		maps.DeleteFunc(r.lastOrder, func(s promiseSource, _ uint64) bool { return !r.promised(s.worker) })
	}
	r.lastOrder[source] = order
}

// promiseAsked gives up the compute lease of a worker for a peer that settles
// the attempts there, and promises not to acquire it until the peer releases
// the promise. The reply says Given only once the lease is not held.
//
// A request that arrives late or twice, after the release that followed it,
// would keep this host from acquiring the lease until the promise expires,
// since no further release is sent. Requests of the same source with an Order
// that is not higher than the last are therefore ignored.
func (e *Engine) promiseAsked(ev PromiseAsked) {
	source := promiseSource{from: ev.From, worker: ev.Worker}
	if ev.Order <= e.reclaim.lastOrder[source] {
		e.emit(PromiseReply{Call: ev.Call, From: e.opts.Self})
		return
	}
	e.reclaim.recordOrder(source, ev.Order)
	key := lease.Key{Worker: ev.Worker, Class: ports.ClassCompute}
	if ev.Release {
		e.endPromise(ev.Worker)
		e.emit(PromiseReply{Call: ev.Call})
		return
	}
	if !e.reclaim.promised(ev.Worker) {
		e.reclaim.wanted[ev.Worker] = e.members.Scheduler()
	}
	e.reclaim.promises[ev.Worker] = e.now + promiseTTL
	e.stepLeases(lease.Want{Key: key, Wanted: false})
	e.emit(PromiseReply{Call: ev.Call, From: e.opts.Self, Given: e.leases.Left(key, e.now) == 0})
}

func (e *Engine) endPromise(worker ident.WorkerID) {
	if _, ok := e.reclaim.promises[worker]; !ok {
		return
	}
	delete(e.reclaim.promises, worker)
	e.applyWanted(worker)
}

func (e *Engine) promiseAnswered(ev PromiseAnswered) {
	if ev.Given {
		e.stepRecovery(jobs.PeerPromise{From: ev.From, Worker: ev.Worker, Seq: ev.Seq})
	}
}

// tickReclaim ends expired promises and, on the zone's scheduler, reclaims the
// units of dead holders of the zone.
func (e *Engine) tickReclaim() {
	for _, worker := range e.expiredPromises() {
		e.endPromise(worker)
	}
	if e.now < e.reclaim.nextAt {
		return
	}
	e.reclaim.nextAt = e.now + reclaimInterval
	e.tickLeft()
	if !e.Schedules() || e.zone.recovery != nil || !e.sizesKnown() {
		return // some tasks of dead holders may not be adopted yet
	}
	e.checkHolders()
}

func (e *Engine) expiredPromises() []ident.WorkerID {
	var expired []ident.WorkerID
	for worker, until := range e.reclaim.promises {
		if e.now >= until {
			expired = append(expired, worker)
		}
	}
	slices.Sort(expired)
	return expired
}

// checkHolders reports suspected holders of the zone to the reclaimer and
// collects the proof that they can start nothing: the present lease holder of
// each worker.
func (e *Engine) checkHolders() {
	suspects := e.suspects()
	if len(suspects) == 0 {
		return
	}
	for _, s := range suspects {
		e.stepReclaimer(ledger.Suspect{Holder: s})
	}
	for _, seen := range e.heldLeases() {
		e.stepReclaimer(seen)
	}
	for _, p := range e.members.Hosts(e.opts.Zone, e.now) {
		e.emit(AskLeases{Host: p.Host, Addr: p.Addr, SentAt: e.now})
	}
	e.stepReclaimer(ledger.ReclaimTick{})
}

// suspects returns the other holders of the zone that have not been heard from
// for suspectAfter, and earlier incarnations of this host. Holders that were
// heard from since are reported to the reclaimer as alive.
func (e *Engine) suspects() []ident.Holder {
	var list []ident.Holder
	for _, holder := range e.units.State().Members() {
		if holder == e.opts.Self || e.units.State().Zone(holder) != e.opts.Zone {
			continue
		}
		silence, heard := e.members.Silence(holder, e.now)
		switch {
		case holder.Host == e.opts.Self.Host:
			list = append(list, holder) // an earlier incarnation of this host
		case heard && silence < suspectAfter:
			e.stepReclaimer(ledger.Alive{Holder: holder})
		case e.now >= suspectAfter:
			list = append(list, holder)
		}
	}
	return list
}

// zoneWorkersListed passes the workers of the zone to the reclaimer. A worker
// that membership has removed, because it is no longer in the host list and has
// not answered for long, cannot run anything any more.
func (e *Engine) zoneWorkersListed() {
	current := map[ident.WorkerID]bool{}
	var ids []ident.WorkerID
	for _, entry := range e.members.Workers() {
		current[entry.Worker] = true
		ids = append(ids, entry.Worker)
	}
	e.stepReclaimer(ledger.Workers{Workers: ids})
	for _, id := range slices.Sorted(maps.Keys(e.reclaim.workers)) {
		if !current[id] {
			e.stepReclaimer(ledger.WorkerGone{Worker: id})
		}
	}
	e.reclaim.workers = current
}

// heldLeases returns the leases that this host holds, with the tasks that run
// under them.
func (e *Engine) heldLeases() []ledger.LeaseSeen {
	var seen []ledger.LeaseSeen
	for _, entry := range e.members.Workers() {
		for _, class := range []ports.LeaseClass{ports.ClassSlots, ports.ClassCompute} {
			key := lease.Key{Worker: entry.Worker, Class: class}
			left := e.leases.Left(key, e.now)
			if left == 0 {
				continue
			}
			seen = append(seen, ledger.LeaseSeen{
				Worker: entry.Worker,
				Class:  class,
				Holder: e.opts.Self,
				Left:   left,
				Tasks:  e.runningTasks(e.reports[key]),
			})
		}
	}
	return seen
}

// runningTasks returns the running tasks, each with the holder whose limit
// units it uses.
func (e *Engine) runningTasks(tasks []ports.TaskReport) []ledger.RunningTask {
	var list []ledger.RunningTask
	for _, t := range tasks {
		if !t.Ended {
			list = append(list, ledger.RunningTask{
				ID:    t.ID,
				By:    e.units.State().Heir(t.Holder),
				Team:  t.Team,
				Units: resource.LimitUnits(t.Need),
			})
		}
	}
	return list
}

func (e *Engine) leasesAsked(ev LeasesAsked) {
	e.emit(LeasesReply{Call: ev.Call, Leases: e.heldLeases()})
}

// leasesAnswered passes a peer's leases to the reclaimer. Their remaining time
// is counted from when the question was sent, which is not later than when the
// peer read it.
func (e *Engine) leasesAnswered(ev LeasesAnswered) {
	if !e.Schedules() {
		return
	}
	for _, seen := range ev.Leases {
		seen.Left -= e.now - ev.SentAt
		e.stepReclaimer(seen)
	}
}

func (e *Engine) stepReclaimer(ev ledger.ReclaimEvent) {
	for _, cmd := range e.reclaim.reclaimer.Step(e.now, ev) {
		if proved, ok := cmd.(ledger.Proved); ok {
			e.reclaimProved(proved)
		}
	}
}

// reclaimProved takes over the limit units of a dead holder. Its tasks that
// continue under this host are counted against the units of this host from now
// on.
func (e *Engine) reclaimProved(ev ledger.Proved) {
	e.note(NoteUnits, "takes over the limit units of "+ev.Dead.String())
	adopted := map[ident.TeamID]int64{}
	if e.zone != nil {
		for _, a := range e.zone.attempts.byID {
			if a.borrowed && a.holder == ev.Dead {
				a.borrowed = false
				adopted[a.Team] += resource.LimitUnits(a.Need)
			}
		}
	}
	e.stepUnits(ledger.ReclaimProved{Dead: ev.Dead, Adopted: adopted})
}

func (e *Engine) reclaimed(dead ident.Holder) {
	e.note(NoteUnits, "has the limit units of "+dead.String())
}

// reclaimVoid undoes the accounting of reclaimProved: another host has taken
// over the units, and the dead holder's tasks that still run use them there.
func (e *Engine) reclaimVoid(dead ident.Holder) {
	if e.zone == nil {
		return
	}
	for _, a := range e.zone.attempts.byID {
		if a.holder == dead {
			a.borrowed = true
		}
	}
}
