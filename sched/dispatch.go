package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
)

// lookEvery is the time until the other classes of a team with too many
// different needs are looked at, if nothing else happens.
const lookEvery = 100 * time.Millisecond

// dispatch starts waiting work in its order until nothing that waits can
// start. Work that does not fit is passed over, so that no room stays free
// that other work could use, except what a hold keeps.
func (s *Scheduler) dispatch() {
	for {
		s.startHeld()
		s.startWaiting()
		if !s.endDisplacements() {
			break
		}
	}
	s.makeRoom()
}

// makeRoom looks after work that could not start.
func (s *Scheduler) makeRoom() {
	if s.opts.FirstFit {
		return
	}
	if s.queue.PartialScan() {
		s.wake(&s.wakes.look, s.now+lookEvery)
	}
	s.displace()
	s.rebalance()
	s.planHolds()
}

// startAlike starts jobs of the same class as a job until one cannot start.
func (s *Scheduler) startAlike(j *job) {
	class := j.item.Class()
	for class != nil && class.Len() > 0 && s.open(class) {
		s.start(class.Head().Owner)
	}
}

func (s *Scheduler) startWaiting() {
	for {
		item := s.first()
		if item == nil {
			return
		}
		s.start(item.Owner)
	}
}

func (s *Scheduler) first() *queue.Item[*job] {
	if s.opts.FirstFit {
		return s.queue.Oldest(s.openFunc)
	}
	return s.queue.First(s.openFunc)
}

// open reports whether the head of a class might start: its team's units were
// not refused, and room came free since it last failed to fit.
func (s *Scheduler) open(class *queue.Class[*job]) bool {
	if class.FailedAt != 0 && !s.mayFit(class) {
		return false
	}
	return !s.blocked(class.Head().Owner.team, class.Shape.Units)
}

// mayFit reports whether room that could take one task of the class came free
// since class.FailedAt.
func (s *Scheduler) mayFit(class *queue.Class[*job]) bool {
	position := s.cell.FreedPosition()
	if class.FailedAt == position {
		return false
	}
	if s.cell.MayFitSince(class.FailedAt, &class.Shape.Need) {
		return true
	}
	class.FailedAt = position
	return false
}

// limited reports whether the upper limit of its team stops a job.
func (s *Scheduler) limited(j *job) bool { return s.blocked(j.team, j.startUnits()) }

// startUnits returns the units that the job needs to start anything.
func (j *job) startUnits() int64 {
	if j.gang() {
		return j.units * int64(j.spec.Tasks)
	}
	return j.units
}

// start starts one task of a job, or all of a gang. If there is no room it
// sets FailedAt of the job's class.
func (s *Scheduler) start(j *job) {
	if j.gang() {
		if !s.placeGang(j) && !s.limited(j) {
			j.item.Class().FailedAt = s.cell.FreedPosition()
		}
		return
	}
	ref := s.look(j, j.peekLast())
	if ref == place.None {
		ref = s.lookHeld(j)
	}
	if ref == place.None || !s.cell.Reserve(ref, j.need) {
		j.item.Class().FailedAt = s.cell.FreedPosition()
		return
	}
	if !s.tryUse(j.team, j.units, j.item.Due) {
		s.cell.Unreserve(ref, j.need)
		return
	}
	s.assign(j, ref)
	s.started(j)
}

// look returns a worker that takes one task of the job now, or place.None.
func (s *Scheduler) look(j *job, avoid place.Ref) place.Ref {
	if s.opts.FirstFit {
		return s.placer.FirstFit(j.need)
	}
	if s.opts.Batch == BatchSpread && !j.gang() {
		return s.placer.Emptiest(j.need, avoid)
	}
	return s.placer.Pack(j.need, avoid)
}

// assign starts the next task of a job on a worker where its room and units
// are taken.
func (s *Scheduler) assign(j *job, ref place.Ref) {
	index := j.take()
	j.tasks[index].attempts++
	a := s.newAttempt(j, index)
	s.begin(a, ref)
	s.trial(ref)
	s.emit(Assign{
		ID:      a.id,
		Worker:  s.cell.Worker(ref).ID,
		Team:    j.spec.Team,
		Need:    j.need,
		Run:     j.spec.Run,
		Limit:   j.spec.Limit,
		Payload: j.spec.Payload,
	})
}

// trial bars a worker that comes back from a quarantine until the task that
// was just placed on it has ended.
func (s *Scheduler) trial(ref place.Ref) {
	if s.host(ref).onTrial() {
		s.cell.Bar(ref, place.BarProbing)
	}
}

// started updates the order of waiting after tasks of the job were assigned.
func (s *Scheduler) started(j *job) {
	s.predictionDue(j)
	s.weigh(j)
	j.team.RecordStart(j.item.Class())
	if j.waiting() == 0 {
		s.queue.Remove(&j.item)
		s.endHold(j.hold)
	}
}
