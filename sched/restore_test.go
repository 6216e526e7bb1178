package sched

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// A scheduler crashes while the last of several tasks runs. The new scheduler
// restores the job from a record that names only that task. The restore must
// return, and each of the earlier tasks must be waiting exactly once.
func TestRestoreOfALaterTaskKeepsEarlierTasksWaiting(t *testing.T) {
	s := New(Options{})
	const tasks = 4
	job := ident.JobID{Zone: "a", Host: "h", Incarnation: 1, Seq: 1}
	need := resource.Vector{MilliCPU: 1000}
	s.Step(0, WorkerAdded{Worker: "w", Rack: "r", Size: need.Times(tasks)})
	cmds := s.Step(time.Second, JobRestored{
		Job:  job,
		Spec: work.Spec{Kind: work.KindBatch, Team: "t", Need: need, Tasks: tasks, MaxAttempts: 2},
		Tasks: []RestoredTask{{
			Index: tasks - 1, Attempts: 1, Running: true, Started: true, Worker: "w",
		}},
	})
	started := map[int]bool{}
	for _, cmd := range cmds {
		if a, ok := cmd.(Assign); ok {
			if started[a.ID.Index] || a.ID.Index == tasks-1 {
				t.Errorf("task %d started twice", a.ID.Index)
			}
			started[a.ID.Index] = true
		}
	}
	if len(started) != tasks-1 {
		t.Errorf("started %v, want the first %d tasks", started, tasks-1)
	}
}
