package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/queue"
)

// rescanInterval is the delay before dispatch runs again after a scan that
// skipped classes, because a team has too many of them, if no event comes first.
const rescanInterval = 100 * time.Millisecond

// dispatch starts waiting work in queue order until none can start. Work that
// does not fit is skipped, so capacity that other work can use is not left
// idle, except on held workers.
func (s *Scheduler) dispatch() {
	for {
		s.startHeld()
		s.startWaiting()
		if !s.endDisplacements() {
			break
		}
	}
	s.freeCapacity()
}

// freeCapacity frees or reserves capacity for work that could not start: it
// displaces tasks, rebalances the shares and plans holds.
func (s *Scheduler) freeCapacity() {
	if s.opts.FirstFit {
		return
	}
	if s.queue.PartialScan() {
		s.wake(&s.wakes.rescan, s.now+rescanInterval)
	}
	s.displace()
	s.rebalance()
	s.planHolds()
}

// startSameClass starts jobs of the same class as j until one cannot start.
func (s *Scheduler) startSameClass(j *job) {
	class := j.item.Class()
	for class != nil && class.Len() > 0 && s.mayStart(class) {
		s.start(class.Head().Owner)
	}
}

func (s *Scheduler) startWaiting() {
	for {
		item := s.nextStartable()
		if item == nil {
			return
		}
		s.start(item.Owner)
	}
}

// nextStartable returns the next job in the queue whose class might start, or
// nil.
func (s *Scheduler) nextStartable() *queue.Item[*job] {
	if s.opts.FirstFit {
		return s.queue.Oldest(s.openFunc)
	}
	return s.queue.First(s.openFunc)
}

// mayStart reports whether the head of a class might start: the units of its
// team are not refused, and capacity was freed since the class last failed to
// fit.
func (s *Scheduler) mayStart(class *queue.Class[*job]) bool {
	if class.FailedAt != 0 && !s.mayFit(class) {
		return false
	}
	return !s.blocked(class.Head().Owner.team, class.Shape.Units)
}

// mayFit reports whether capacity that was freed since class.FailedAt may fit
// one of its tasks.
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

// limitBlocks reports whether the upper limit of its team blocks a job.
func (s *Scheduler) limitBlocks(j *job) bool { return s.blocked(j.team, j.startUnits()) }

// startUnits returns the limit units that the job needs to start: those of one
// task, or of all tasks of a gang.
func (j *job) startUnits() int64 {
	if j.gang() {
		return j.units * int64(j.spec.Tasks)
	}
	return j.units
}

// start starts one task of a job, or all tasks of a gang. If it does not fit,
// start sets FailedAt of the job's class to the current position in the log of
// freed capacity.
func (s *Scheduler) start(j *job) {
	if j.gang() {
		if !s.placeGang(j) && !s.limitBlocks(j) {
			j.item.Class().FailedAt = s.cell.FreedPosition()
		}
		return
	}
	ref := s.pickWorker(j, j.peekLast())
	if ref == place.None {
		ref = s.pickHeldWorker(j)
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
	s.tasksAssigned(j)
}

// pickWorker returns a worker on which a task of the job fits now, or
// place.None. The worker avoid is the last choice.
func (s *Scheduler) pickWorker(j *job, avoid place.Ref) place.Ref {
	if s.opts.FirstFit {
		return s.placer.FirstFit(j.need)
	}
	if s.opts.Batch == BatchSpread && !j.gang() {
		return s.placer.Emptiest(j.need, avoid)
	}
	return s.placer.Pack(j.need, avoid)
}

// assign starts the next task of a job on a worker. Its capacity and units are
// already reserved.
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

// trial bars a worker that returns from quarantine until the task that was just
// assigned to it has ended.
func (s *Scheduler) trial(ref place.Ref) {
	if s.workerState(ref).needsProbe() {
		s.cell.Bar(ref, place.BarProbing)
	}
}

// tasksAssigned updates the queue after tasks of the job were assigned.
func (s *Scheduler) tasksAssigned(j *job) {
	s.recordStart(j)
	s.updateLoad(j)
	j.team.RecordStart(j.item.Class())
	if j.waiting() == 0 {
		s.queue.Remove(&j.item)
		s.endHold(j.hold)
	}
}
