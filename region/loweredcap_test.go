package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// assignedAboveCap returns a world in which the tasks of a step are assigned, the log is down, and
// the cap of their workspace is lowered to three tasks.
func assignedAboveCap(t *testing.T, st *record.Step) *world {
	t.Helper()
	w := newWorld(t, 1)
	w.addWorker("w1", 32)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", st))
	w.logDown = true
	w.run(50 * time.Millisecond)
	if w.sched.used["ws"].MilliCPU <= 3000 {
		t.Fatalf("%v assigned, want more than the cap", w.sched.used["ws"])
	}
	config := testConfig()
	config.Workspaces["ws"] = model.Workspace{Name: "ws", Cap: model.Resources{MilliCPU: 3000}}
	w.step(ConfigRead{Config: config})
	return w
}

// Guards against starts above a cap that was lowered while they waited for a slow log.
func TestLoweredCapBindsAssignedStart(t *testing.T) {
	w := assignedAboveCap(t, &record.Step{Count: 20})
	w.run(time.Second)
	w.logDown = false
	w.run(6 * time.Second)
	if n := len(w.workers["w1"].runs); n != 3 {
		t.Errorf("%d tasks run, want 3, the workspace's cap", n)
	}
}

// Guards against a member of a gang that runs alone since a cap was lowered between its start and
// those of the others.
func TestLoweredCapSplitsNoGang(t *testing.T) {
	for _, sent := range []bool{false, true} {
		w := assignedAboveCap(t, &record.Step{Count: 4, Gang: true})
		first := w.sched.findTask(model.TaskID{Job: "a"}).run
		if sent {
			first.phase = phaseSending
		}
		w.logDown = false
		w.run(time.Second)
		want := 0
		if sent {
			want = 3 // those that are not sent yet
		}
		if n := len(w.workers["w1"].runs); n != want {
			t.Errorf("first member sent %v: %d others started, want %d", sent, n, want)
		}
	}
}
