package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against jobs that do not count as pending although none of their tasks has begun: an earlier leader
// has assigned them to a worker that did not get the start, and cannot be reached since.
func TestJobOnUnreachedWorkerIsPendingAfterChangeOfLeader(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.addWorker("w1", 8)
	w.startLeader()
	w.run(time.Second)
	w.submit(oneStep("runs", &record.Step{Count: 1}))
	w.run(time.Second)
	w.submit(oneStep("waits", &record.Step{Count: 1}))
	for task := (model.TaskID{Job: "waits"}); w.sched.findTask(task) == nil || w.sched.findTask(task).run == nil || w.sched.findTask(task).run.phase != phaseSending; {
		w.run(time.Millisecond)
	}
	w.workers["w1"].unreachable = true
	w.run(300 * time.Millisecond)
	if n := w.starts[model.TaskID{Job: "waits"}]; n != 0 || w.pending["runs"] {
		t.Fatalf("%d starts, pending %v", n, w.pending)
	}
	w.stopLeader()
	w.startLeader()
	w.run(inheritedGrace + 100*time.Millisecond)
	if !w.pending["waits"] || w.states["waits"] != StateRunning {
		t.Errorf("the job that waits: pending %v, shown as %v", w.pending["waits"], w.states["waits"])
	}
	w.workers["w1"].unreachable = false
	w.run(3 * time.Second)
	if w.pending["runs"] {
		t.Error("a job that runs counts as pending")
	}
}

// Guards against jobs that run and count as pending after each change of leader.
func TestRunningJobIsNotPendingAfterChangeOfLeader(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.addWorker("w1", 8)
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(time.Second)
	w.stopLeader()
	w.startLeader()
	for range 100 {
		if w.pending["a"] {
			t.Fatal("a job that runs counts as pending")
		}
		w.run(20 * time.Millisecond)
	}
}
