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
	// promiseFor is how long a promise not to take a lease holds when the host
	// that asked for it goes silent.
	promiseFor = 2 * time.Minute
	// reclaimEvery is the time between looks at dead holders.
	reclaimEvery = time.Second
	// suspectAfter is how long a holder of the zone must be silent to be
	// suspected. Suspicion alone does nothing; the proof decides.
	suspectAfter = 8 * time.Second
)

// reclaimWatch keeps what this host promised to others and what it knows of
// dead holders' units.
type reclaimWatch struct {
	promises  map[ident.WorkerID]time.Duration // until when
	wishes    map[ident.WorkerID]bool          // what membership wants of promised workers
	heldOff   map[ident.WorkerID]bool          // waited out by this host
	newest    map[promiseSource]uint64         // order of the newest question
	asks      uint64                           // own questions so far
	zoneHosts []ident.HostID                   // of the own zone, as listed
	listed    map[ident.HostID]bool            // all hosts, as listed

	proof   *ledger.Reclaimer
	workers map[ident.WorkerID]bool // of the zone, as last told to the reclaimer
	nextAt  time.Duration
	left    bool // the ledger membership has ended as asked
}

// promiseSource is who asked for a promise about which worker.
type promiseSource struct {
	from   ident.Holder
	worker ident.WorkerID
}

func newReclaimWatch(opts Options) *reclaimWatch {
	return &reclaimWatch{
		promises: map[ident.WorkerID]time.Duration{},
		wishes:   map[ident.WorkerID]bool{},
		heldOff:  map[ident.WorkerID]bool{},
		newest:   map[promiseSource]uint64{},
		listed:   map[ident.HostID]bool{},
		proof:    ledger.NewReclaimer(opts.Self, opts.ListLag),
	}
}

// promised reports whether the compute lease of a worker must not be asked for:
// a peer was promised so, or this host waits for the end of what runs there.
func (r *reclaimWatch) promised(worker ident.WorkerID) bool {
	_, ok := r.promises[worker]
	return ok || r.heldOff[worker]
}

// holdOff keeps this host itself from sending lease calls to a worker whose
// tasks are waited out: one without an answer could let them live on.
func (e *Engine) holdOff(worker ident.WorkerID) {
	if !e.reclaim.promised(worker) {
		e.reclaim.wishes[worker] = e.members.Scheduler()
	}
	e.reclaim.heldOff[worker] = true
	e.stepLeases(lease.Want{Key: lease.Key{Worker: worker, Class: ports.ClassCompute}, Wanted: false})
}

// resume ends holdOff.
func (e *Engine) resume(worker ident.WorkerID) {
	if !e.reclaim.heldOff[worker] {
		return
	}
	delete(e.reclaim.heldOff, worker)
	e.regain(worker)
}

// regain passes on what membership wants of a worker, once nothing forbids it.
func (e *Engine) regain(worker ident.WorkerID) {
	if e.reclaim.promised(worker) {
		return
	}
	wanted := e.reclaim.wishes[worker]
	delete(e.reclaim.wishes, worker)
	e.want(lease.Key{Worker: worker, Class: ports.ClassCompute}, wanted)
}

func (e *Engine) listedHosts(l ports.Listing) {
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

// emitPromise asks a peer for a promise, or frees it from one.
func (e *Engine) emitPromise(host ident.HostID, ask AskPromise) {
	for _, p := range e.view.Hosts {
		if p.Host == host {
			e.reclaim.asks++
			ask.Host = host
			ask.Addr = p.Addr
			ask.From = e.opts.Self
			ask.Order = e.reclaim.asks
			e.emit(ask)
			return
		}
	}
}

// maxQuestions bounds the questions that are remembered.
const maxQuestions = 4096

// remember notes the newest question of a host about a worker. Hosts come and
// go, so beyond the bound those without a promise in force are forgotten.
func (r *reclaimWatch) remember(source promiseSource, order uint64) {
	if len(r.newest) >= maxQuestions {
		maps.DeleteFunc(r.newest, func(s promiseSource, _ uint64) bool { return !r.promised(s.worker) })
	}
	r.newest[source] = order
}

// promiseAsked gives up the compute lease of a worker for a peer that settles
// what ran there, and promises not to take it again until it is released. The
// promise is given only once the lease is not held.
//
// A question that comes late or twice, after the release that followed it,
// would keep the lease from this host for as long as a promise lasts, and
// nobody would release it; so older questions of the same host are dropped.
func (e *Engine) promiseAsked(ev PromiseAsked) {
	source := promiseSource{from: ev.From, worker: ev.Worker}
	if ev.Order <= e.reclaim.newest[source] {
		e.emit(PromiseReply{Call: ev.Call, From: e.opts.Self})
		return
	}
	e.reclaim.remember(source, ev.Order)
	key := lease.Key{Worker: ev.Worker, Class: ports.ClassCompute}
	if ev.Release {
		e.endPromise(ev.Worker)
		e.emit(PromiseReply{Call: ev.Call})
		return
	}
	if !e.reclaim.promised(ev.Worker) {
		e.reclaim.wishes[ev.Worker] = e.members.Scheduler()
	}
	e.reclaim.promises[ev.Worker] = e.now + promiseFor
	e.stepLeases(lease.Want{Key: key, Wanted: false})
	e.emit(PromiseReply{Call: ev.Call, From: e.opts.Self, Given: e.leases.Left(key, e.now) == 0})
}

func (e *Engine) endPromise(worker ident.WorkerID) {
	if _, ok := e.reclaim.promises[worker]; !ok {
		return
	}
	delete(e.reclaim.promises, worker)
	e.regain(worker)
}

func (e *Engine) promiseAnswered(ev PromiseAnswered) {
	if ev.Given {
		e.stepRecovery(jobs.PeerPromise{From: ev.From, Worker: ev.Worker, Seq: ev.Seq})
	}
}

// tickReclaim ends old promises, and on the zone's scheduler looks after the
// units of dead holders of the zone.
func (e *Engine) tickReclaim() {
	for _, worker := range e.duePromises() {
		e.endPromise(worker)
	}
	if e.now < e.reclaim.nextAt {
		return
	}
	e.reclaim.nextAt = e.now + reclaimEvery
	e.tickLeft()
	if !e.Schedules() || e.zone.recovery != nil || !e.sizesKnown() {
		return // some tasks of the dead are not adopted yet
	}
	e.watchHolders()
}

func (e *Engine) duePromises() []ident.WorkerID {
	var due []ident.WorkerID
	for worker, until := range e.reclaim.promises {
		if e.now >= until {
			due = append(due, worker)
		}
	}
	slices.Sort(due)
	return due
}

// watchHolders names silent holders of the zone as suspects and gathers the
// proof that they can start nothing: who leases each worker now.
func (e *Engine) watchHolders() {
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

// suspects lists the holders of the zone that have been silent for long, and
// those that are known to have a younger life.
func (e *Engine) suspects() []ident.Holder {
	var list []ident.Holder
	for _, holder := range e.units.State().Members() {
		if holder == e.opts.Self || e.units.State().Zone(holder) != e.opts.Zone {
			continue
		}
		silence, heard := e.members.Silence(holder, e.now)
		switch {
		case holder.Host == e.opts.Self.Host:
			list = append(list, holder) // an earlier life of this host
		case heard && silence < suspectAfter:
			e.stepReclaimer(ledger.Alive{Holder: holder})
		case e.now >= suspectAfter:
			list = append(list, holder)
		}
	}
	return list
}

// zoneWorkersListed tells the reclaimer of the workers of the zone. One that
// membership has given up, after the list dropped it and it was silent for
// long, can run nothing any more.
func (e *Engine) zoneWorkersListed() {
	now := map[ident.WorkerID]bool{}
	var ids []ident.WorkerID
	for _, entry := range e.members.Workers() {
		now[entry.Worker] = true
		ids = append(ids, entry.Worker)
	}
	e.stepReclaimer(ledger.Workers{Workers: ids})
	for _, id := range slices.Sorted(maps.Keys(e.reclaim.workers)) {
		if !now[id] {
			e.stepReclaimer(ledger.WorkerGone{Worker: id})
		}
	}
	e.reclaim.workers = now
}

// heldLeases lists the leases that this host holds, with what runs under them.
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

// runningTasks lists running tasks with the holder whose units they use.
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

// leasesAnswered counts what a peer's leases had left from the moment it was
// asked, which is not later than the moment it looked.
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
	for _, cmd := range e.reclaim.proof.Step(e.now, ev) {
		if proved, ok := cmd.(ledger.Proved); ok {
			e.reclaimProved(proved)
		}
	}
}

// reclaimProved takes over the units of a dead holder. The tasks of it that
// run on under this host use them from now on.
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

// reclaimVoid takes back what reclaimProved counted: another host has the
// units, and what still runs of the dead holder's uses them there.
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
