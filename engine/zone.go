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

// zoneScheduler is the state of the zone's services and jobs on the host that
// schedules the zone. Services run as soon as compute leases are held; jobs
// also require that this host owns the zone's stream.
type zoneScheduler struct {
	sched           *sched.Scheduler
	limits          *zoneLimits
	epoch           jobs.Epoch // of the owned stream; zero while this host does not own it
	schedulerNumber uint64     // of this scheduler, from 1 within the host's incarnation
	workers         map[ident.WorkerID]*zoneWorker
	attempts        attemptBook
	services        map[ident.ServiceID]fleet.Service

	// opened is set once, for every listed worker, the lease was gained or the
	// worker failed to answer, or once openBy has passed. Before that, workers
	// have no capacity in the scheduler: it would otherwise start replicas on the
	// first worker gained that already run on other workers.
	opened bool
	openBy time.Duration
	failed map[ident.WorkerID]bool // workers that failed to answer a lease call

	yieldUntil time.Duration // ownership is not requested before this time; zero for no wait

	recovery   *jobs.Recovery
	recovering map[ident.JobID]int // open attempts of earlier owners to settle
}

// zoneWorker is the state of one worker of the zone.
type zoneWorker struct {
	id     ident.WorkerID
	rack   string
	size   resource.Vector
	held   bool // this host holds the compute lease
	epoch  ports.Epoch
	boot   uint64
	tasks  []ports.TaskReport // from the last report
	sentAt time.Duration      // when that report was requested
	lostAt time.Duration      // when the lease was lost, while it is not held
	// foreign is the sum of the resources of running tasks unknown to the
	// scheduler: those of jobs that are not restored yet, or of another owner.
	foreign  resource.Vector
	marked   bool // accepts no new work: leaving by the host list, or marked by an operator
	quiesced bool // being handed over to another host: no new starts
}

// zoneLimits provides the limit units of this host to the scheduler. It
// excludes the units of adopted tasks, which a dead holder still holds.
type zoneLimits struct {
	units    *ledger.Holder
	borrowed map[ident.TeamID]int64 // units that the next Done must not return
}

// TryUse implements sched.Limits: it takes units of a team's limit from those
// of this host and reports whether enough were free.
func (l *zoneLimits) TryUse(team ident.TeamID, units int64) bool { return l.units.TryUse(team, units) }

// Done implements sched.Limits: it returns units to this host, except borrowed
// units.
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
		schedulerNumber: e.zoneLife,
		sched:           sched.New(opts),
		limits:          limits,
		workers:         map[ident.WorkerID]*zoneWorker{},
		attempts:        newAttemptBook(),
		services:        map[ident.ServiceID]fleet.Service{},
		recovering:      map[ident.JobID]int{},
		failed:          map[ident.WorkerID]bool{},
		openBy:          e.now + openWaitTTLs*e.leaseTTL(),
	}
}

// openWaitTTLs is the number of lease TTLs that a new scheduler waits for the
// workers of its zone: one for the earlier holder's leases to expire, one to
// ask again.
const openWaitTTLs = 2

// leaseTTL returns the TTL of control leases.
func (e *Engine) leaseTTL() time.Duration {
	if e.opts.Lease.TTL > 0 {
		return e.opts.Lease.TTL
	}
	return lease.DefaultTTL
}

// tryOpen adds the workers' capacity to the scheduler once their replicas are
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

// schedulerWanted starts or ends scheduling of the zone by this host. Ending it
// stops no task: the next scheduler finds the running tasks on the workers and
// in the log.
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

// configureZone applies teams, services and marks of the configuration to the
// scheduler.
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

// serviceJob returns the job identifier for the replicas of a service that this
// scheduler starts. Its sequence number is derived from the service's name and
// is the same at every call.
//
// A host that loses the stream and regains it has a new scheduler, which does
// not know the replicas started shortly before and numbers its own from the
// beginning. Two replicas could then run under one name. The sequence number
// therefore also depends on schedulerNumber.
func (e *Engine) serviceJob(id ident.ServiceID) ident.JobID {
	return ident.JobID{Zone: e.opts.Zone, Host: e.opts.Self.Host, Incarnation: e.opts.Self.Incarnation, Seq: serviceSeq(id, e.zone.schedulerNumber)}
}

// markCompute drains, cordons or uncordons a worker in the scheduler.
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

// addWorker adds a worker to the scheduler with the capacity that foreign tasks
// leave, or without capacity until the zone is opened.
func (e *Engine) addWorker(w *zoneWorker) {
	if !e.zone.opened {
		e.stepSched(sched.WorkerAdded{Worker: w.id, Rack: w.rack})
		return
	}
	if w.marked || w.quiesced {
		return
	}
	e.stepSched(sched.WorkerAdded{Worker: w.id, Rack: w.rack, Size: w.size.Sub(w.foreign)})
}
