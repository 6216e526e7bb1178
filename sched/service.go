package sched

import (
	"math"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// service is a declared service and its replicas in this zone.
type service struct {
	id       ident.ServiceID
	job      ident.JobID
	team     *team
	wanted   int
	need     resource.Vector
	units    int64
	replicas map[ident.AttemptID]*attempt
	order    []*attempt // the same, by start
	spread   *place.Spread

	next     int    // index of the next replica
	mark     uint64 // position in the log of freed room when none fitted
	failures int    // of replicas in a row
	notUntil timeOf // no start before this time, after a failure
	last     place.Ref
	removed  bool
}

func (s *Scheduler) serviceDeclared(ev ServiceDeclared) {
	svc, known := s.services[ev.Service]
	if !known {
		svc = &service{
			id:       ev.Service,
			job:      ev.Job,
			replicas: map[ident.AttemptID]*attempt{},
			spread:   place.NewSpread(),
			last:     place.None,
		}
		s.services[ev.Service] = svc
		s.serviceOf[ev.Job] = svc
		s.inOrder = append(s.inOrder, svc)
	}
	svc.removed = false
	svc.team = s.team(ev.Team)
	svc.wanted = max(ev.Replicas, 0)
	svc.need = place.Compute(ev.Need)
	svc.units = resource.LimitUnits(ev.Need)
	svc.mark = 0
	s.dirty = true
}

func (s *Scheduler) serviceRemoved(id ident.ServiceID) {
	svc, ok := s.services[id]
	if !ok {
		return
	}
	svc.removed = true
	svc.wanted = 0
	s.dirty = true
}

// replicaRestored adopts a replica that runs already. Its identifier keeps the
// job number of the scheduler that started it.
func (s *Scheduler) replicaRestored(ev ReplicaRestored) {
	ref, ok := s.cell.Lookup(ev.Worker)
	if !ok {
		return
	}
	svc, known := s.services[ev.Service]
	if !known {
		s.serviceDeclared(ServiceDeclared{Service: ev.Service, Job: ev.ID.Job, Team: ev.Team, Need: ev.Need})
		svc = s.services[ev.Service]
		svc.removed = true
	}
	if _, twice := svc.replicas[ev.ID]; twice {
		return
	}
	s.serviceOf[ev.ID.Job] = svc
	if ev.ID.Job == svc.job {
		svc.next = max(svc.next, ev.ID.Index+1)
	}
	a := &attempt{
		id:      ev.ID,
		service: svc,
		team:    s.team(ev.Team),
		need:    place.Compute(ev.Need),
		units:   resource.LimitUnits(ev.Need),
		since:   s.now,
		started: true,
	}
	a.team.unitsInUse += a.units
	s.cell.Adopt(ref, a.need)
	s.beginReplica(a, ref)
	s.dirty = true
}

func (s *Scheduler) beginReplica(a *attempt, ref place.Ref) {
	s.begin(a, ref)
	a.expected = math.MaxInt64
	svc := a.service
	svc.replicas[a.id] = a
	svc.order = append(svc.order, a)
	svc.spread.Add(s.cell, ref, 1)
}

// replicaEnded forgets a replica that ended. Replicas that keep failing are
// started again after a growing back-off.
func (s *Scheduler) replicaEnded(a *attempt, e ending) {
	svc := a.service
	delete(svc.replicas, a.id)
	for i, other := range svc.order {
		if other == a {
			svc.order = append(svc.order[:i], svc.order[i+1:]...)
			break
		}
	}
	svc.spread.Add(s.cell, a.worker, -1)
	s.dirty = true
	switch {
	case e.refused && e.backoff:
		svc.notUntil = s.now + s.opts.BackoffMin
		s.after(timer{at: svc.notUntil, kind: timerService, service: svc})
	case a.stopping != "" || e.lost || e.refused:
	case a.started && s.now-a.since >= s.opts.BackoffMax:
		svc.failures = 0
	default:
		svc.last = a.worker
		svc.notUntil = s.now + exponentialBackoff(s.opts.BackoffMin, s.opts.BackoffMax, svc.failures)
		svc.failures++
		s.after(timer{at: svc.notUntil, kind: timerService, service: svc})
	}
	if svc.removed && len(svc.order) == 0 {
		s.forgetService(svc)
	}
}

func (s *Scheduler) forgetService(svc *service) {
	delete(s.services, svc.id)
	for job, other := range s.serviceOf {
		if other == svc {
			delete(s.serviceOf, job)
		}
	}
	for i, other := range s.inOrder {
		if other == svc {
			s.inOrder = append(s.inOrder[:i], s.inOrder[i+1:]...)
			return
		}
	}
}

// reconcileServices brings every service to its count.
func (s *Scheduler) reconcileServices() {
	for i := 0; i < len(s.inOrder); {
		svc := s.inOrder[i]
		s.reconcile(svc)
		if svc.removed && len(svc.order) == 0 {
			s.forgetService(svc)
			continue
		}
		i++
	}
}

// staying reports whether a replica counts toward the wanted number: it is not
// being stopped and its worker is not being removed.
func (s *Scheduler) staying(a *attempt) bool {
	return a.stopping == "" && s.cell.Worker(a.worker).Bars&place.BarLeaving == 0
}

// reconcile starts replicas that are missing and stops those that are too
// many. A replica on a leaving worker is stopped only when its replacement has
// started, so that a planned change never takes the service below its count.
func (s *Scheduler) reconcile(svc *service) {
	stay, up, leaving := 0, 0, 0
	for _, a := range svc.order {
		switch {
		case a.stopping != "":
			continue
		case s.staying(a):
			stay++
		default:
			leaving++
		}
		if a.started {
			up++
		}
	}
	for stay < svc.wanted && s.startReplica(svc) {
		stay++
	}
	if stay < svc.wanted {
		s.displaceForReplicas(svc, svc.wanted-stay)
	}
	for ; leaving > 0 && up > svc.wanted; leaving-- {
		if s.stopLeaving(svc) {
			up--
		}
	}
	for ; stay > svc.wanted; stay-- {
		s.stopCrowded(svc)
	}
}

func (s *Scheduler) startReplica(svc *service) bool {
	if s.now < svc.notUntil || s.blocked(svc.team, svc.units) {
		return false
	}
	if svc.mark != 0 && !s.cell.MayFitSince(svc.mark, &svc.need) {
		return false
	}
	ref := s.placer.Spread(svc.need, svc.spread, svc.last)
	if ref == place.None {
		ref = s.emptied(svc)
	}
	if ref == place.None || !s.cell.Reserve(ref, svc.need) {
		svc.mark = s.cell.Freed()
		return false
	}
	if !s.tryUse(svc.team, svc.units, s.now) {
		s.cell.Undo(ref, svc.need)
		return false
	}
	a := &attempt{
		id:      ident.AttemptID{Job: svc.job, Index: svc.next, Attempt: 1},
		service: svc,
		team:    svc.team,
		need:    svc.need,
		units:   svc.units,
		since:   s.now,
	}
	svc.next++
	s.beginReplica(a, ref)
	s.trial(ref)
	s.emit(Assign{
		ID:      a.id,
		Worker:  s.cell.Worker(ref).ID,
		Team:    svc.team.ID,
		Need:    svc.need,
		Service: svc.id,
	})
	return true
}

// displaceForReplicas checkpoints displaceable tasks where replicas are missing
// and no worker has room for them. Callers of a service wait for an answer now,
// and a zone full of batch work may not come free for hours.
func (s *Scheduler) displaceForReplicas(svc *service, missing int) {
	if s.opts.FirstFit || s.now < s.displaceAt || s.now < svc.notUntil || s.blocked(svc.team, svc.units) {
		return
	}
	for _, e := range s.making {
		if e.service == svc {
			missing--
		}
	}
	if missing <= 0 {
		return
	}
	workers, found := s.victims(svc.need, nil, int64(missing))
	if found == 0 {
		s.displaceAt = s.now + displaceEvery
		s.wake(&s.wakes.displace, s.displaceAt)
		return
	}
	for _, ref := range workers {
		s.checkpoint(ref, svc.need, nil)
	}
	s.holdDisplacing(workers, displacement{service: svc})
}

// emptied returns a worker on which room was made for the service, or
// place.None.
func (s *Scheduler) emptied(svc *service) place.Ref {
	for _, e := range s.making {
		w := s.cell.Worker(e.worker)
		if e.service == svc && w.Bars == place.BarHeld && svc.need.Fits(w.Free) {
			return e.worker
		}
	}
	return place.None
}

// stopLeaving stops one replica whose worker is being removed, and reports
// whether it had started.
func (s *Scheduler) stopLeaving(svc *service) bool {
	for _, a := range svc.order {
		if a.stopping == "" && !s.staying(a) {
			s.stop(a, ports.ControlStop)
			return a.started
		}
	}
	return false
}

// stopCrowded stops the replica that is worth least: one that has not started,
// then the newest in the rack with the most.
func (s *Scheduler) stopCrowded(svc *service) {
	var worst *attempt
	crowd := func(a *attempt) int32 {
		if !a.started {
			return math.MaxInt32
		}
		return svc.spread.InRack(s.cell.Worker(a.worker).Rack)
	}
	for _, a := range svc.order {
		if s.staying(a) && (worst == nil || crowd(a) >= crowd(worst)) {
			worst = a
		}
	}
	if worst != nil {
		s.stop(worst, ports.ControlStop)
	}
}
