package engine

import (
	"testing"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// runRestoredJob restores a job of one task in a new scheduler, fails every
// attempt, and returns the number of attempts and how the job ended.
func runRestoredJob(t *testing.T, spec work.Spec, task jobs.Task) (attempts int, end sched.JobEnded) {
	t.Helper()
	e := &Engine{zone: &zoneScheduler{attempts: newAttemptBook()}}
	job := &jobs.Job{Accepted: jobs.Accepted{
		Job:  ident.JobID{Zone: "a", Host: "h", Incarnation: 1, Seq: 1},
		Spec: spec,
	}}
	s := sched.New(sched.Options{})
	now := sched.Options{}.BackoffMax
	commands := s.Step(now, sched.WorkerAdded{Worker: "w", Rack: "r", Size: spec.Need})
	commands = append(commands, s.Step(now, sched.JobRestored{
		Job: job.Job, Spec: spec, Tasks: []sched.RestoredTask{e.restoredTask(job, 0, task)},
	})...)
	for {
		var next sched.Event = sched.Tick{}
		for _, c := range commands {
			switch c := c.(type) {
			case sched.Assign:
				attempts++
				next = sched.AttemptEnded{ID: c.ID, Failed: true}
			case sched.JobEnded:
				return attempts, c
			}
		}
		if _, tick := next.(sched.Tick); tick {
			due, ok := s.Next()
			if !ok {
				t.Fatalf("the job never ends: the scheduler has no next event after %d attempts", attempts)
			}
			now = max(now, due)
		}
		commands = append([]sched.Command(nil), s.Step(now, next)...)
	}
}

// A zone's scheduler stops while a task is waiting. Refusals by workers and
// displacements do not count as attempts: with two refusals, one displacement
// and MaxAttempts 2, the next scheduler must still make both attempts. A
// non-idempotent task (an approval) that was only refused must be attempted and
// not end as unknown.
func TestRestoredJobKeepsItsAttempts(t *testing.T) {
	spec := work.Spec{
		Kind: work.KindBatch, Team: "t", Tasks: 1, MaxAttempts: 2, Displaceable: true,
		Need: resource.Vector{MilliCPU: 1000, MemoryMiB: 64},
	}
	once := spec
	once.NonIdempotent, once.MaxAttempts = true, 1
	fixed := spec
	fixed.Displaceable = false
	for _, c := range []struct {
		name string
		spec work.Spec
		task jobs.Task
		want int
	}{
		{"displaced last", spec, jobs.Task{Attempts: 3, Refused: 2, Stopped: 1, Result: jobs.ResultStopped}, 2},
		{"refused last", spec, jobs.Task{Attempts: 3, Refused: 2, Stopped: 1, Result: jobs.ResultNeverStarted}, 2},
		{"failed once", spec, jobs.Task{Attempts: 4, Refused: 2, Stopped: 1, Result: jobs.ResultFailed}, 1},
		{"failed twice", spec, jobs.Task{Attempts: 4, Refused: 1, Stopped: 1, Result: jobs.ResultFailed}, 0},
		{"stopped at its limit", fixed, jobs.Task{Attempts: 1, Stopped: 1, Result: jobs.ResultStopped}, 1},
		{"approval refused", once, jobs.Task{Attempts: 1, Refused: 1, Result: jobs.ResultNeverStarted}, 1},
		{"approval lost", once, jobs.Task{Attempts: 2, Refused: 1, Result: jobs.ResultLost}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			attempts, end := runRestoredJob(t, c.spec, c.task)
			if attempts != c.want {
				t.Errorf("%d further attempts, want %d; the job ended as %+v", attempts, c.want, end)
			}
		})
	}
}
