package sched

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Reasons of jobs that end without success.
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

func (s *Scheduler) newJob(id ident.JobID, spec work.Spec, age timeOf) *job {
	spec.Tasks = max(spec.Tasks, 1)
	j := &job{
		id:       id,
		spec:     spec,
		need:     place.Compute(spec.Need),
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
		s.after(timer{at: j.accepted + j.spec.Deadline/nearDeadlineDivisor, kind: timerWake, job: j})
		s.after(timer{at: j.accepted + j.spec.Deadline, kind: timerDeadline, job: j})
	}
}

// deadlinePassed gives up the tasks that were never attempted. Tasks that
// began in time may be tried again.
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

// settle ends a job that has nothing left to run, and otherwise keeps its
// place in the order of waiting.
func (s *Scheduler) settle(j *job) {
	if j.over {
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

// finish ends a job and says with which outcome.
func (s *Scheduler) finish(j *job) {
	end := JobEnded{Job: j.id, Reason: j.reason}
	switch {
	case j.done == j.spec.Tasks:
		end.Outcome = work.OutcomeRan
		end.Reason = ""
	case j.begun == 0:
		end.Outcome = work.OutcomeNotRun
	case j.uncertain:
		end.Outcome = work.OutcomeUnknown
	default:
		end.Outcome = work.OutcomeRan
		end.Failed = true
	}
	j.over = true
	s.weigh(j)
	s.endHold(j.hold)
	delete(s.jobs, j.id)
	s.forgetTimers(j)
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

// restoreTask takes over what is known of a task that was attempted.
func (s *Scheduler) restoreTask(j *job, known RestoredTask) {
	if known.Index < 0 || known.Index >= j.spec.Tasks || known.Attempts == 0 {
		return
	}
	for j.fresh <= known.Index {
		j.ready = append(j.ready, int32(j.takeFresh()))
	}
	j.ready = slices.DeleteFunc(j.ready, func(i int32) bool { return int(i) == known.Index })
	t := &j.tasks[known.Index]
	t.attempts = int32(known.Attempts)
	t.displaced = int32(known.Displaced)
	ran := known.Attempts - known.Refused
	if known.Running {
		ran--
	}
	t.failures = int32(max(ran-known.Displaced, 0))
	j.begun += max(ran, 0)
	switch {
	case known.Done:
		t.done = true
		j.done++
	case known.Failed:
		j.failed++
		j.reason = known.Reason
	case known.Running:
		s.restoreAttempt(j, known)
	case ran > 0 && j.spec.NonIdempotent:
		j.uncertain = true
		j.failed++
		j.reason = reasonLost
	default:
		j.ready = append(j.ready, int32(known.Index))
	}
}

// restoreAttempt takes over a running attempt. If its worker is not known it
// counts as lost.
func (s *Scheduler) restoreAttempt(j *job, known RestoredTask) {
	a := s.newAttempt(j, known.Index)
	ref, ok := s.cell.Lookup(known.Worker)
	if !ok {
		s.opts.Limits.Done(j.team.ID, j.units)
		s.conclude(a, ending{lost: true, reason: reasonLost})
		return
	}
	s.cell.Adopt(ref, j.need)
	j.team.unitsInUse += j.units
	s.begin(a, ref)
	a.started = known.Started
	a.since = s.now - known.Ran
}
