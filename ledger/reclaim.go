package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// ReclaimEvent is something that a Reclaimer learns.
type ReclaimEvent interface{ reclaimEvent() }

// ReclaimTick lets time pass.
type ReclaimTick struct{}

// Workers lists the workers of the zone, as a fresh answer of the host list has
// them. A worker that is no longer listed counts until WorkerGone says that no
// task can run on it any more.
type Workers struct{ Workers []ident.WorkerID }

// WorkerGone says that no task can run on a worker any more, and that nobody
// can start one there.
type WorkerGone struct{ Worker ident.WorkerID }

// Suspect names a member of this zone that seems dead.
type Suspect struct{ Holder ident.Holder }

// Alive takes a suspicion back.
type Alive struct{ Holder ident.Holder }

// LeaseSeen says that a control lease is alive now, and lasts at least Left
// longer by a conservative count.
type LeaseSeen struct {
	Worker ident.WorkerID
	Class  ports.LeaseClass
	Holder ident.Holder
	Left   time.Duration
	// Tasks are the running tasks of the class on this worker, as this process
	// knows them now.
	Tasks []RunningTask
}

// RunningTask is a task that runs on a worker.
type RunningTask struct {
	ID    string
	By    ident.Holder // whose units it uses: Fold.Heir of who started it
	Team  ident.TeamID
	Units int64
}

func (ReclaimTick) reclaimEvent() {}
func (Workers) reclaimEvent()     {}
func (WorkerGone) reclaimEvent()  {}
func (Suspect) reclaimEvent()     {}
func (Alive) reclaimEvent()       {}
func (LeaseSeen) reclaimEvent()   {}

// ReclaimCommand is something that a Reclaimer decides.
type ReclaimCommand interface{ reclaimCommand() }

// Proved reports that at this moment a suspect can start nothing, on any worker
// of the zone. Adopted are its compute tasks that run on under this process.
// The proof speaks of this moment only: it must reach Holder.Step as
// ReclaimProved before anything else is read from the ledger.
type Proved struct {
	Dead    ident.Holder
	Adopted []RunningTask
}

func (Proved) reclaimCommand() {}

// Adoption sums the adopted tasks by team, as ReclaimProved wants them.
func (p Proved) Adoption() map[ident.TeamID]int64 {
	out := map[ident.TeamID]int64{}
	for _, t := range p.Adopted {
		out[t.Team] += t.Units
	}
	return out
}

// Reclaimer is the part of a zone's scheduler that proves members of its zone
// dead. It is not safe for concurrent use.
type Reclaimer struct {
	self     ident.Holder
	listLag  time.Duration
	workers  map[ident.WorkerID]bool
	listedAt time.Duration // when the workers were last listed
	suspects map[ident.Holder]bool
	leases   map[leaseKey]seenLease
}

type leaseKey struct {
	worker ident.WorkerID
	class  ports.LeaseClass
}

// seenLease is what was last seen of a lease: its holder has it without a break
// since one moment, until before another.
type seenLease struct {
	holder       ident.Holder
	since, until time.Duration
	tasks        []RunningTask
}

// NewReclaimer returns a reclaimer that knows of no worker and no suspect. The
// host list is at most listLag behind.
func NewReclaimer(self ident.Holder, listLag time.Duration) *Reclaimer {
	return &Reclaimer{
		self:     self,
		listLag:  listLag,
		workers:  map[ident.WorkerID]bool{},
		suspects: map[ident.Holder]bool{},
		leases:   map[leaseKey]seenLease{},
	}
}

// Step handles one event at the given time of the process's own clock.
func (r *Reclaimer) Step(now time.Duration, ev ReclaimEvent) []ReclaimCommand {
	switch ev := ev.(type) {
	case Workers:
		r.listedAt = now
		for _, w := range ev.Workers {
			r.workers[w] = true
		}
	case WorkerGone:
		r.drop(ev.Worker)
	case Suspect:
		r.suspects[ev.Holder] = true
	case Alive:
		delete(r.suspects, ev.Holder)
	case LeaseSeen:
		r.see(now, ev)
	}
	return r.prove(now)
}

func (r *Reclaimer) see(now time.Duration, ev LeaseSeen) {
	key := leaseKey{ev.Worker, ev.Class}
	seen := seenLease{holder: ev.Holder, since: now, until: now + ev.Left, tasks: ev.Tasks}
	if before, ok := r.leases[key]; ok && before.holder == ev.Holder && now < before.until {
		seen.since = before.since
	}
	r.leases[key] = seen
}

func (r *Reclaimer) drop(w ident.WorkerID) {
	delete(r.workers, w)
	delete(r.leases, leaseKey{w, ports.ClassSlots})
	delete(r.leases, leaseKey{w, ports.ClassCompute})
}

// prove reports the suspects whose death is proved now, each once.
func (r *Reclaimer) prove(now time.Duration) []ReclaimCommand {
	var out []ReclaimCommand
	for _, dead := range slices.SortedFunc(maps.Keys(r.suspects), compareHolders) {
		adopted, ok := r.proveOne(now, dead)
		if !ok {
			continue
		}
		delete(r.suspects, dead)
		out = append(out, Proved{Dead: dead, Adopted: adopted})
	}
	return out
}

// proveOne reports whether the suspect can start nothing at this moment, and
// which of its tasks run on under this process.
//
// It guards against units taken from a holder that still uses them. Each class
// of each worker of the zone must be leased by somebody else at one and the same
// moment: leases seen one after the other could each be followed by a return of
// the suspect. They must have been so for as long as a new worker may be missing
// from the list, so that the suspect cannot have gone over to one that this
// process does not know without a time when it held no lease; see
// LeasesHeld. Its requests must have ended, since nobody here learns of their
// end later; its compute tasks must run under this process, which counts them.
func (r *Reclaimer) proveOne(now time.Duration, dead ident.Holder) ([]RunningTask, bool) {
	if len(r.workers) == 0 || dead == r.self || now-r.listedAt > r.listLag {
		return nil, false
	}
	var adopted []RunningTask
	for _, w := range slices.Sorted(maps.Keys(r.workers)) {
		slots := r.leases[leaseKey{w, ports.ClassSlots}]
		compute := r.leases[leaseKey{w, ports.ClassCompute}]
		if !r.settled(now, slots) || !r.settled(now, compute) {
			return nil, false
		}
		if slots.holder == dead || compute.holder != r.self {
			return nil, false
		}
		if len(startedBy(slots.tasks, dead)) > 0 {
			return nil, false
		}
		adopted = append(adopted, startedBy(compute.tasks, dead)...)
	}
	return adopted, true
}

// settled reports whether a lease is alive and was so, under one holder, while
// two answers of the host list could lag.
func (r *Reclaimer) settled(now time.Duration, l seenLease) bool {
	return now < l.until && now-l.since >= 2*r.listLag
}

// startedBy lists the tasks that use a holder's units.
func startedBy(tasks []RunningTask, by ident.Holder) []RunningTask {
	var out []RunningTask
	for _, t := range tasks {
		if t.By == by {
			out = append(out, t)
		}
	}
	return out
}
