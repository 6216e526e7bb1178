package sched

import (
	"math"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// service is the state of a declared service and its replicas in this zone.
type service struct {
	id       ident.ServiceID
	job      ident.JobID
	team     *team
	wanted   int
	need     resource.Vector
	units    int64
	replicas map[ident.AttemptID]*attempt
	byStart  []*attempt // the replicas, in order of start
	spread   *place.ReplicaCounts

	next         int           // index of the next replica
	noRoomMark   uint64        // position in the log of freed room when no worker fitted; zero if not set
	failures     int           // consecutive failures of replicas
	backoffEnd   monotonicTime // end of the backoff after a failure
	lastFailedOn place.Ref     // worker of the last failure, or place.None
	removed      bool
}

func (s *Scheduler) serviceDeclared(ev ServiceDeclared) {
	svc, known := s.services[ev.Service]
	if !known {
		svc = &service{
			id:           ev.Service,
			job:          ev.Job,
			replicas:     map[ident.AttemptID]*attempt{},
			spread:       place.NewReplicaCounts(),
			lastFailedOn: place.None,
		}
		s.services[ev.Service] = svc
		s.serviceOf[ev.Job] = svc
		s.serviceList = append(s.serviceList, svc)
	}
	svc.removed = false
	svc.team = s.team(ev.Team)
	svc.wanted = max(ev.Replicas, 0)
	svc.need = place.ComputeResources(ev.Need)
	svc.units = resource.LimitUnits(ev.Need)
	svc.noRoomMark = 0
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

// replicaRestored adopts a replica that is already running. The replica keeps
// the job id that it got from the scheduler that started it.
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
		need:    place.ComputeResources(ev.Need),
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
	svc.byStart = append(svc.byStart, a)
	svc.spread.Add(s.cell, ref, 1)
}

// replicaEnded removes a replica that ended. After consecutive failures the
// service starts replicas with a growing backoff.
func (s *Scheduler) replicaEnded(a *attempt, e ending) {
	svc := a.service
	delete(svc.replicas, a.id)
	for i, other := range svc.byStart {
		if other == a {
			svc.byStart = append(svc.byStart[:i], svc.byStart[i+1:]...)
			break
		}
	}
	svc.spread.Add(s.cell, a.worker, -1)
	s.dirty = true
	switch {
	case e.refused && e.backoff:
		svc.backoffEnd = s.now + s.opts.BackoffMin
		s.setTimer(timer{at: svc.backoffEnd, kind: timerService, service: svc})
	case a.stopping != "" || e.lost || e.refused:
	case a.started && s.now-a.since >= s.opts.BackoffMax:
		svc.failures = 0
	default:
		svc.lastFailedOn = a.worker
		svc.backoffEnd = s.now + exponentialBackoff(s.opts.BackoffMin, s.opts.BackoffMax, svc.failures)
		svc.failures++
		s.setTimer(timer{at: svc.backoffEnd, kind: timerService, service: svc})
	}
	if svc.removed && len(svc.byStart) == 0 {
		s.dropService(svc)
	}
}

func (s *Scheduler) dropService(svc *service) {
	delete(s.services, svc.id)
	for job, other := range s.serviceOf {
		if other == svc {
			delete(s.serviceOf, job)
		}
	}
	for i, other := range s.serviceList {
		if other == svc {
			s.serviceList = append(s.serviceList[:i], s.serviceList[i+1:]...)
			return
		}
	}
}

// reconcileServices brings every service to its wanted number of replicas.
func (s *Scheduler) reconcileServices() {
	for i := 0; i < len(s.serviceList); {
		svc := s.serviceList[i]
		s.reconcile(svc)
		if svc.removed && len(svc.byStart) == 0 {
			s.dropService(svc)
			continue
		}
		i++
	}
}

// counted reports whether a replica counts toward the wanted number: it is not
// being stopped, and its worker is not being removed.
func (s *Scheduler) counted(a *attempt) bool {
	return a.stopping == "" && s.cell.Worker(a.worker).Bars&place.BarLeaving == 0
}

// reconcile starts missing replicas and stops surplus ones. A replica on a
// leaving worker is stopped only after its replacement has started, so a planned
// removal never takes the service below its wanted number.
func (s *Scheduler) reconcile(svc *service) {
	counted, up, leaving := 0, 0, 0
	for _, a := range svc.byStart {
		switch {
		case a.stopping != "":
			continue
		case s.counted(a):
			counted++
		default:
			leaving++
		}
		if a.started {
			up++
		}
	}
	for counted < svc.wanted && s.startReplica(svc) {
		counted++
	}
	if counted < svc.wanted {
		s.displaceForReplicas(svc, svc.wanted-counted)
	}
	for ; leaving > 0 && up > svc.wanted; leaving-- {
		if s.stopLeaving(svc) {
			up--
		}
	}
	for ; counted > svc.wanted; counted-- {
		s.stopSurplus(svc)
	}
}

func (s *Scheduler) startReplica(svc *service) bool {
	if s.now < svc.backoffEnd || s.blocked(svc.team, svc.units) {
		return false
	}
	if svc.noRoomMark != 0 && !s.cell.MayFitSince(svc.noRoomMark, &svc.need) {
		return false
	}
	ref := s.placer.Spread(svc.need, svc.spread, svc.lastFailedOn)
	if ref == place.None {
		ref = s.emptied(svc)
	}
	if ref == place.None || !s.cell.Reserve(ref, svc.need) {
		svc.noRoomMark = s.cell.FreedPosition()
		return false
	}
	if !s.tryUse(svc.team, svc.units, s.now) {
		s.cell.Unreserve(ref, svc.need)
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

// displaceForReplicas displaces tasks for missing replicas that fit on no worker.
// Callers of a service wait for an answer, and a zone full of batch work may
// have no room for hours.
func (s *Scheduler) displaceForReplicas(svc *service, missing int) {
	if s.opts.FirstFit || s.now < s.displaceAt || s.now < svc.backoffEnd || s.blocked(svc.team, svc.units) {
		return
	}
	for _, e := range s.displacements {
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

// emptied returns a worker that was emptied for the service and has room for a
// replica now, or place.None.
func (s *Scheduler) emptied(svc *service) place.Ref {
	for _, e := range s.displacements {
		w := s.cell.Worker(e.worker)
		if e.service == svc && w.Bars == place.BarHeld && svc.need.Fits(w.Free) {
			return e.worker
		}
	}
	return place.None
}

// stopLeaving stops one replica whose worker is being removed. It reports
// whether that replica had started.
func (s *Scheduler) stopLeaving(svc *service) bool {
	for _, a := range svc.byStart {
		if a.stopping == "" && !s.counted(a) {
			s.stop(a, ports.ControlStop)
			return a.started
		}
	}
	return false
}

// stopSurplus stops one surplus replica: the newest that has not started or,
// if all have, the newest in the rack with the most replicas.
func (s *Scheduler) stopSurplus(svc *service) {
	var worst *attempt
	replicasInRack := func(a *attempt) int32 {
		if !a.started {
			return math.MaxInt32
		}
		return svc.spread.InRack(s.cell.Worker(a.worker).Rack)
	}
	for _, a := range svc.byStart {
		if s.counted(a) && (worst == nil || replicasInRack(a) >= replicasInRack(worst)) {
			worst = a
		}
	}
	if worst != nil {
		s.stop(worst, ports.ControlStop)
	}
}
