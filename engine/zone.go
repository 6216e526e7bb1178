package engine

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
)

// zoneScheduler is the durable work of the zone, on the host that schedules
// it. Services run as soon as compute leases are held; jobs as soon as this
// host owns the zone's stream as well.
type zoneScheduler struct {
	sched    *sched.Scheduler
	limits   *zoneLimits
	epoch    jobs.Epoch // of the owned stream; zero while it is not owned
	life     uint64     // tells the schedulers of one life of the host apart
	workers  map[ident.WorkerID]*zoneWorker
	attempts attemptBook
	services map[ident.ServiceID]fleet.Service

	// opened is set once every listed worker was gained or failed to answer, or
	// openBy has passed. Before, the scheduler sees workers without room: with
	// room on the first worker gained, it would start replicas there that run
	// on the others already.
	opened bool
	openBy time.Duration
	failed map[ident.WorkerID]bool // did not answer since the start

	yieldTo time.Duration // leaves the stream to its new owner until then; zero for not

	recovery   *jobs.Recovery
	recovering map[ident.JobID]int // open attempts of earlier owners to settle
}

// zoneWorker is one worker of the zone as the scheduler sees it.
type zoneWorker struct {
	id     ident.WorkerID
	rack   string
	size   resource.Vector
	held   bool // the compute lease is held
	epoch  ports.Epoch
	boot   uint64
	tasks  []ports.TaskReport // of the last report
	sentAt time.Duration      // when that report was asked for
	lostAt time.Duration      // when the lease was lost, while it is not held
	// foreign are running tasks that the scheduler does not know yet: of jobs
	// that are not restored, or of another owner. Their room is taken.
	foreign resource.Vector
	marked  bool // takes nothing new, by the list or by an operator
	quiet   bool // is being handed over to another host
}

// zoneLimits gives the scheduler the units of this host, and keeps the units
// of adopted tasks, which a dead holder still holds, out of its account.
type zoneLimits struct {
	units    *ledger.Holder
	borrowed map[ident.TeamID]int64 // to be returned to nobody by the next Done
}

// TryUse implements sched.Limits.
func (l *zoneLimits) TryUse(team ident.TeamID, units int64) bool { return l.units.TryUse(team, units) }

// Done implements sched.Limits.
func (l *zoneLimits) Done(team ident.TeamID, units int64) {
	skip := min(l.borrowed[team], units)
	l.borrowed[team] -= skip
	if units > skip {
		l.units.Done(team, units-skip)
	}
}

func (e *Engine) newZone() *zoneScheduler {
	limits := &zoneLimits{units: e.units, borrowed: map[ident.TeamID]int64{}}
	opts := e.opts.Sched
	opts.Limits = limits
	e.zoneLife++
	return &zoneScheduler{
		life:       e.zoneLife,
		sched:      sched.New(opts),
		limits:     limits,
		workers:    map[ident.WorkerID]*zoneWorker{},
		attempts:   newAttemptBook(),
		services:   map[ident.ServiceID]fleet.Service{},
		recovering: map[ident.JobID]int{},
		failed:     map[ident.WorkerID]bool{},
		openBy:     e.now + openTTLs*e.leaseTTL(),
	}
}

// openTTLs is how many lease TTLs a new scheduler waits for the workers of its
// zone: one for the earlier holder's leases to run out, and one to ask again.
const openTTLs = 2

// leaseTTL is the control lease's length in force.
func (e *Engine) leaseTTL() time.Duration {
	if e.opts.Lease.TTL > 0 {
		return e.opts.Lease.TTL
	}
	return lease.DefaultTTL
}

// tryOpen gives the workers' room to the scheduler once their replicas are
// known.
func (e *Engine) tryOpen() {
	z := e.zone
	if z.opened || e.config.state() == nil {
		return
	}
	if e.now < z.openBy {
		entries := e.members.Workers()
		if len(entries) == 0 {
			return
		}
		for _, entry := range entries {
			w := z.workers[entry.Worker]
			if (w == nil || !w.held) && !z.failed[entry.Worker] {
				return
			}
		}
	}
	z.opened = true
	for _, w := range e.heldWorkers() {
		e.addWorker(w)
	}
	e.applyMarks()
}

// schedulerWanted starts or ends this host's work as the zone's scheduler.
// Nothing is stopped at the end: what runs is found by the successor, on the
// workers and in the log.
func (e *Engine) schedulerWanted(wanted bool) {
	switch {
	case wanted && e.zone == nil:
		e.note(NoteScheduler, "wants to schedule zone "+string(e.opts.Zone))
		e.zone = e.newZone()
		e.configureZone()
	case !wanted && e.zone != nil:
		e.note(NoteScheduler, "gives up scheduling zone "+string(e.opts.Zone))
		e.abandonRecovery()
		e.recordLeftAttempts(e.zone)
		e.zone = nil
	}
	e.stepOwner(jobs.WantOwnership{Want: wanted})
}

func (e *Engine) stepSched(ev sched.Event) {
	if e.zone == nil {
		return
	}
	e.schedPump.run(e.zone.sched.Step(e.now, ev), e.schedCommand)
}

func (e *Engine) schedCommand(cmd sched.Command) {
	if e.zone == nil {
		return
	}
	switch cmd := cmd.(type) {
	case sched.Assign:
		e.assign(cmd)
	case sched.Control:
		e.control(cmd)
	case sched.JobEnded:
		e.jobEnded(cmd)
	case sched.Want:
		e.demand.task(cmd.Team, cmd.Units)
	}
}

// configureZone puts shares and services in force in the scheduler.
func (e *Engine) configureZone() {
	state := e.config.state()
	if e.zone == nil || state == nil {
		return
	}
	teams := make([]sched.Team, 0, len(state.Teams()))
	for _, t := range state.Teams() {
		teams = append(teams, sched.Team{ID: t.ID, Weight: t.Share, Limit: t.Limit})
	}
	e.stepSched(sched.TeamsChanged{Teams: teams})
	e.declareServices(state)
	e.applyMarks()
}

func (e *Engine) declareServices(state *fleet.State) {
	wanted := map[ident.ServiceID]bool{}
	for _, s := range state.Services() {
		wanted[s.ID] = true
		if have, ok := e.zone.services[s.ID]; ok && have == s {
			continue
		}
		e.zone.services[s.ID] = s
		e.stepSched(sched.ServiceDeclared{
			Service:  s.ID,
			Job:      e.serviceJob(s.ID),
			Team:     s.Team,
			Replicas: s.ZoneReplicas(e.opts.Zone, e.opts.Zones),
			Need:     s.Need,
		})
	}
	var removed []ident.ServiceID
	for id := range e.zone.services {
		if !wanted[id] {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	for _, id := range removed {
		delete(e.zone.services, id)
		e.stepSched(sched.ServiceRemoved{Service: id})
	}
}

// serviceJob names the replicas that this scheduler starts. The name of the
// service stands in for the number, so that it is the same at every call.
//
// It guards against a replica that runs in two places under one name: a host
// that loses the stream and wins it back has a new scheduler, which does not
// know of replicas started a moment before and numbers its own from the start.
// The number of the scheduler in the name keeps them apart.
func (e *Engine) serviceJob(id ident.ServiceID) ident.JobID {
	return ident.JobID{Zone: e.opts.Zone, Host: e.opts.Self.Host, Incarnation: e.opts.Self.Incarnation, Seq: serviceSeq(id, e.zone.life)}
}

// markCompute tells the scheduler that a worker takes nothing new.
func (e *Engine) markCompute(id ident.WorkerID, leaving bool) {
	if e.zone == nil {
		return
	}
	w, ok := e.zone.workers[id]
	if !ok || !w.held {
		return
	}
	mode := fleet.ModeNone
	if state := e.config.state(); state != nil {
		mode = state.WorkerMode(id)
	}
	marked := leaving || mode != fleet.ModeNone
	if marked == w.marked {
		return
	}
	w.marked = marked
	switch {
	case leaving || mode == fleet.ModeDrain:
		e.stepSched(sched.WorkerLeaving{Worker: id})
	case marked:
		e.stepSched(sched.WorkerCordoned{Worker: id, Cordoned: true})
	default:
		e.addWorker(w)
	}
}

// addWorker tells the scheduler of a worker and of the room it has for what
// the scheduler knows.
func (e *Engine) addWorker(w *zoneWorker) {
	if !e.zone.opened {
		e.stepSched(sched.WorkerAdded{Worker: w.id, Rack: w.rack})
		return
	}
	if w.marked || w.quiet {
		return
	}
	e.stepSched(sched.WorkerAdded{Worker: w.id, Rack: w.rack, Size: w.size.Sub(w.foreign)})
}
