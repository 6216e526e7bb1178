package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a task that waits for minutes with most of the room free: a gang that has too few places
// claims those that there are in each pass, without asking for advice, and so no call is sent for the task.
func TestGangWithoutRoomHoldsUpNoAdvice(t *testing.T) {
	w := newWorld(t, 1)
	w.takesLong("filler", 2*time.Minute)
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	w.startLeader()
	w.run(time.Second)
	w.submit(oneStep("filler", &record.Step{Count: 4, EstimateMs: 120_000, AntiAffinity: 1, Request: &record.Resources{MilliCpu: 3000, MemoryMib: 100}}))
	w.run(time.Second)
	gang := advised("gang", &record.Step{Count: 6, Gang: true, Request: &record.Resources{MilliCpu: 4000, MemoryMib: 100}})
	gang.Steps[0].EstimateMs = 500
	w.submit(gang)
	single := advised("single", &record.Step{Request: &record.Resources{MilliCpu: 2000, MemoryMib: 100}})
	single.Policy.Priority, single.Steps[0].EstimateMs = 2, 500
	w.submit(single)
	w.run(20 * time.Second)
	if w.starts[model.TaskID{Job: "single"}] == 0 {
		w.fatal("not started in 20 s with 20 of 32 cores free: %s", describeTasks(w.sched.jobs["single"]))
	}
}
