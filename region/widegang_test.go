package region

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// misjudgedChain is a chain of three tasks that each take ten times the declared time, so that the
// last of them can no longer earn credit when it becomes ready.
func misjudgedChain(id string) *record.Job {
	j := &record.Job{Id: id, Policy: &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 1.5, TargetLatencyMs: 250}}
	for i := range int32(3) {
		st := oneStep("", &record.Step{Count: 1, EstimateMs: 160, Request: &record.Resources{MilliCpu: 2000, MemoryMib: 1024}}).Steps[0]
		if i > 0 {
			st.DependsOn = []int32{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// wideGang is a gang whose tasks each take more than half of a worker of 32 cores.
func wideGang(tasks int32) *record.Job {
	j := oneStep("gang", &record.Step{Count: tasks, Gang: true, EstimateMs: 640, Request: &record.Resources{MilliCpu: 16100, MemoryMib: 1024}})
	j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 1.5, TargetLatencyMs: 250}
	return j
}

// wideGangWorld has 12 workers of 32 cores. Tasks take ten times the declared time.
func wideGangWorld(t *testing.T) *world {
	w := newWorld(t, 1)
	for i := range 12 {
		w.addWorker(fmt.Sprintf("w%02d", i), 32)
	}
	w.runTime = func(model.TaskID) time.Duration { return 1600 * time.Millisecond }
	w.startLeader()
	w.run(time.Second)
	return w
}

// Guards against a step whose long wait shows in no log line, or with room as its reason although
// all workers are empty and reserved.
func TestLongWaitIsLoggedWithReservation(t *testing.T) {
	w := wideGangWorld(t)
	w.submit(wideGang(14))
	w.run(5 * time.Second)
	w.submit(misjudgedChain("a"))
	w.run(15 * time.Second)
	for _, line := range w.explanations {
		if strings.Contains(line, " a step waits ") && strings.Contains(line, "{held_by reserved}") && strings.Contains(line, "{reserved_for gang}") {
			return
		}
	}
	t.Error("no line says that the step waits behind the reservation of the gang")
}
