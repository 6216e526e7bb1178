package sched

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Reasons reported for jobs that end without success.
const (
	reasonCancelled = "cancelled"
	reasonDeadline  = "its deadline passed before it could start"
	reasonLost      = "the worker was lost while it ran"
	reasonStopped   = "it was stopped while it ran"
)

func (s *Scheduler) jobAccepted(ev JobAccepted) {
	if _, known := s.jobs[ev.Job]; known {
		return
	}
	j := s.newJob(ev.Job, ev.Spec, ev.Age)
	s.setDeadline(j)
	s.requeue(j)
	s.predictArrival(j)
}

func (s *Scheduler) newJob(id ident.JobID, spec work.Spec, age monotonicTime) *job {
	spec.Tasks = max(spec.Tasks, 1)
	j := &job{
		id:       id,
		spec:     spec,
		need:     place.ComputeResources(spec.Need),
		units:    resource.LimitUnits(spec.Need),
		team:     s.team(spec.Team),
		family:   s.families.of(spec.Team, spec.Name),
		accepted: s.now - age,
		last:     spec.Tasks,
	}
	s.seq++
	j.item.Owner = j
	j.item.Seq = s.seq
	j.item.Due = s.due(j)
	s.jobs[id] = j
	return j
}

func (s *Scheduler) setDeadline(j *job) {
	if j.spec.Deadline > 0 {
		s.setTimer(timer{at: j.accepted + j.spec.Deadline/nearDeadlineDivisor, kind: timerWake, job: j})
		s.setTimer(timer{at: j.accepted + j.spec.Deadline, kind: timerDeadline, job: j})
	}
}

// deadlinePassed gives up the tasks that were never attempted. Tasks first
// attempted before the deadline may still be retried.
func (s *Scheduler) deadlinePassed(j *job) {
	before := j.waiting()
	j.last = j.fresh
	j.ready = slices.DeleteFunc(j.ready, func(i int32) bool { return j.tasks[i].attempts == 0 })
	if j.waiting() == before {
		return
	}
	j.reason = reasonDeadline
	s.settle(j)
}

func (s *Scheduler) jobCancelled(id ident.JobID) {
	j, ok := s.jobs[id]
	if !ok || j.closed {
		return
	}
	j.closed = true
	j.reason = reasonCancelled
	s.stopAttempts(j)
	s.settle(j)
}

// stopAttempts stops every open attempt of a job.
func (s *Scheduler) stopAttempts(j *job) {
	if j.open == 0 {
		return
	}
	for i := range j.tasks {
		if a := j.tasks[i].run; a != nil {
			s.stop(a, ports.ControlStop)
		}
	}
}

// settle ends a job that has no open, waiting or delayed task left. Otherwise
// it updates the job's entry in the queue.
func (s *Scheduler) settle(j *job) {
	if j.ended {
		return
	}
	if j.broken && j.open == 0 && !j.closed {
		s.endRound(j)
	}
	s.requeue(j)
	if j.open > 0 || j.waiting() > 0 {
		return
	}
	if j.delayed > 0 && !j.closed {
		return
	}
	s.finish(j)
}

// finish ends a job and emits JobEnded with its outcome.
func (s *Scheduler) finish(j *job) {
	end := JobEnded{Job: j.id, Reason: j.reason}
	switch {
	case j.done == j.spec.Tasks:
		end.Outcome = work.OutcomeRan
		end.Reason = ""
	case j.executed == 0:
		end.Outcome = work.OutcomeNotRun
	case j.uncertain:
		end.Outcome = work.OutcomeUnknown
	default:
		end.Outcome = work.OutcomeRan
		end.Failed = true
	}
	j.ended = true
	s.updateLoad(j)
	s.endHold(j.hold)
	delete(s.jobs, j.id)
	s.pruneTimers(j)
	s.emit(end)
}

func (s *Scheduler) jobRestored(ev JobRestored) {
	if _, known := s.jobs[ev.Job]; known {
		return
	}
	j := s.newJob(ev.Job, ev.Spec, ev.Age)
	for _, known := range ev.Tasks {
		s.restoreTask(j, known)
	}
	if j.gang() && j.fresh > 0 {
		s.restoreGang(j)
	}
	s.setDeadline(j)
	s.settle(j)
}

// restoreTask restores the state of a task that was attempted before the
// takeover.
func (s *Scheduler) restoreTask(j *job, restored RestoredTask) {
	if restored.Index < 0 || restored.Index >= j.spec.Tasks || restored.Attempts == 0 {
		return
	}
	for j.fresh <= restored.Index {
		j.ready = append(j.ready, int32(j.takeFresh()))
	}
	j.ready = slices.DeleteFunc(j.ready, func(i int32) bool { return int(i) == restored.Index })
	t := &j.tasks[restored.Index]
	t.attempts = int32(restored.Attempts)
	t.displaced = int32(restored.Displaced)
	ran := restored.Attempts - restored.Refused
	if restored.Running {
		ran--
	}
	t.failures = int32(max(ran-restored.Displaced, 0))
	j.executed += max(ran, 0)
	switch {
	case restored.Done:
		t.done = true
		j.done++
	case restored.Failed:
		j.failed++
		j.reason = restored.Reason
	case restored.Running:
		s.restoreAttempt(j, restored)
	case ran > 0 && j.spec.NonIdempotent:
		j.uncertain = true
		j.failed++
		j.reason = reasonLost
	default:
		j.ready = append(j.ready, int32(restored.Index))
	}
}

// restoreAttempt adopts a running attempt. If its worker is not known, the
// attempt counts as lost.
func (s *Scheduler) restoreAttempt(j *job, restored RestoredTask) {
	a := s.newAttempt(j, restored.Index)
	ref, ok := s.cell.Lookup(restored.Worker)
	if !ok {
		s.opts.Limits.Done(j.team.ID, j.units)
		s.conclude(a, ending{lost: true, reason: reasonLost})
		return
	}
	s.cell.Adopt(ref, j.need)
	j.team.unitsInUse += j.units
	s.begin(a, ref)
	a.started = restored.Started
	a.since = s.now - restored.Ran
}
