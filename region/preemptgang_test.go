package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// fullWorld is full of long deferrable tasks with a low priority when a gang arrives that must
// start within seconds.
func fullWorld(t *testing.T, checkpointing bool, stretch float64) *world {
	w := newWorld(t, 1)
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "gang" {
			return 4 * time.Second
		}
		return 30 * time.Second
	}
	w.startLeader()
	slow := oneStep("slow", &record.Step{Count: 64, EstimateMs: 30000, Checkpointing: checkpointing})
	slow.Policy = &record.Policy{Service: "svc", Priority: 2, MaxAttempts: 3, Stretch: stretch, TargetLatencyMs: 1000}
	w.submit(slow)
	w.run(5 * time.Second)
	gang := oneStep("gang", &record.Step{Count: 4, Gang: true, EstimateMs: 4000, Request: &record.Resources{MilliCpu: 6000, MemoryMib: 100}})
	gang.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2.2, TargetLatencyMs: 1000}
	w.submitTo(gang, "gangs")
	return w
}

// A gang in a region full of deferrable work is not late: runs with checkpoints give way to it,
// no more than it needs, and are resumed.
func TestDeferrableRunsGiveWayToGang(t *testing.T) {
	w := fullWorld(t, true, 4)
	w.run(9 * time.Second)
	w.mustComplete("gang")
	stopped := 0
	for i := range 64 {
		if w.starts[model.TaskID{Job: "slow", Index: int32(i)}] > 1 {
			stopped++
		}
	}
	if stopped > 24 {
		t.Errorf("%d runs were stopped for 24 cores", stopped)
	}
	w.run(90 * time.Second)
	w.mustComplete("slow")
}

// Runs whose work would be lost, or whose job would be late, do not give way.
func TestRunsThatLoseTooMuchDoNotGiveWay(t *testing.T) {
	for name, w := range map[string]*world{"no checkpoints": fullWorld(t, false, 4), "no slack": fullWorld(t, true, 1.01)} {
		w.run(20 * time.Second)
		for i := range 64 {
			if n := w.starts[model.TaskID{Job: "slow", Index: int32(i)}]; n > 1 {
				t.Fatalf("%s: a run was preempted", name)
			}
		}
		w.run(120 * time.Second)
		w.mustComplete("gang", "slow")
	}
}
