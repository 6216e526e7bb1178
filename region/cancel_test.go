package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// A caller cancels a job that is shown as completed. The next leader must show it as completed
// too, although it reads the cancellation before the ends of the job's runs.
func TestCancelAfterCompletionDoesNotChangeState(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4)
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 3}))
	w.run(3 * time.Second)
	w.mustComplete("a")
	w.cancel("a")
	w.run(time.Second)
	w.stopLeader()
	w.startLeader()
	w.run(time.Second)
	w.mustComplete("a")
}

// A job is cancelled while its tasks are about to end, and they end before they are stopped. The
// next leader must show it as cancelled too.
func TestTasksThatEndAfterCancelDoNotChangeState(t *testing.T) {
	for name, fails := range map[string]bool{"done": false, "failed": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.addWorker("w1", 4)
			w.fails = func(model.TaskID, int32) bool { return fails }
			w.startLeader()
			j := oneStep("a", &record.Step{Count: 3})
			j.Policy = &record.Policy{Service: "svc", MaxAttempts: 1, Stretch: 2, TargetLatencyMs: 1000}
			w.submit(j)
			for w.workers["w1"].nextEnd == 0 {
				w.run(time.Millisecond)
			}
			w.cancel("a")
			w.run(2 * time.Second)
			if w.states["a"] != StateCancelled {
				t.Fatalf("job is %v, want cancelled", w.states["a"])
			}
			w.stopLeader()
			w.startLeader()
			w.run(time.Second)
			if w.states["a"] != StateCancelled {
				t.Errorf("job is %v under the next leader, want cancelled", w.states["a"])
			}
		})
	}
}

// Guards against a job that another workspace cancels, or whose cancellation is lost, where the
// cancellation is read before the submission.
func TestEarlyCancellationHoldsForItsWorkspace(t *testing.T) {
	for workspace, want := range map[string]State{"other": StateCompleted, "ws": StateCancelled} {
		w := newWorld(t, 1)
		w.addWorker("w1", 4)
		w.startLeader()
		w.cancelFor("a", workspace)
		w.run(100 * time.Millisecond)
		w.submit(oneStep("a", &record.Step{Count: 1}))
		w.run(5 * time.Second)
		if w.states["a"] != want {
			t.Errorf("cancelled for %s: job is %v, want %v", workspace, w.states["a"], want)
		}
	}
}
