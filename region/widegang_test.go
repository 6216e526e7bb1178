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

// mustCompleteChain submits a misjudged chain, and fails the test unless it completes in its run
// time and 3 s for each of its tasks.
func (w *world) mustCompleteChain() {
	w.t.Helper()
	w.submit(misjudgedChain("chain"))
	w.run(14 * time.Second)
	w.mustComplete("chain")
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

// takesLong sets the run time of the tasks of one job.
func (w *world) takesLong(job string, runTime time.Duration) {
	others := w.runTime
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == job {
			return runTime
		}
		return others(id)
	}
}

// Guards against a step whose long wait shows in no log line, or with room as its reason although
// all workers are empty and reserved.
func TestLongWaitIsLoggedWithReservation(t *testing.T) {
	w := wideGangWorld(t)
	w.takesLong("busy", time.Minute)
	w.submitTo(oneStep("busy", &record.Step{Count: 7, EstimateMs: 60000, Request: &record.Resources{MilliCpu: 32000, MemoryMib: 100}}), "other")
	w.run(time.Second)
	w.submit(wideGang(12))
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

// Guards against accepted jobs that wait for ever with all workers empty, because a gang of more
// tasks than all workers hold reserves each of them against work that has no credit left.
func TestGangWiderThanRegionHoldsUpNoOtherJob(t *testing.T) {
	w := wideGangWorld(t)
	w.submit(wideGang(14))
	w.run(5 * time.Second)
	var jobs []string
	for i := range 6 {
		jobs = append(jobs, fmt.Sprintf("chain%d", i))
		w.submit(misjudgedChain(jobs[i]))
		w.run(250 * time.Millisecond)
	}
	w.run(14 * time.Second)
	w.mustComplete(jobs...)
}

// Guards against the same where the gang is as wide as the region, but a service that runs until it
// is cancelled has some of the room.
func TestGangThatServicesLeaveNoRoomForHoldsUpNoOtherJob(t *testing.T) {
	w := wideGangWorld(t)
	w.longRunning = true
	w.takesLong("service", time.Hour)
	w.submit(oneStep("service", &record.Step{Count: 4, LongRunning: true, AntiAffinity: 1, Request: &record.Resources{MilliCpu: 31000, MemoryMib: 100}}))
	w.run(time.Second)
	w.submit(wideGang(12))
	w.run(5 * time.Second)
	w.mustCompleteChain()
	w.cancel("service")
	w.run(5 * time.Second)
	w.mustComplete("gang")
}

// Guards against a gang that waits for ever although it has enough workers, because gangs that can
// never start before it have all reservations that keep other work off.
func TestGangCollectsRoomBesideGangsWiderThanRegion(t *testing.T) {
	w := wideGangWorld(t)
	w.takesLong("full", 6*time.Second)
	w.submitTo(fullRegion(), "other")
	w.run(time.Second)
	for i := range 2 {
		j := wideGang(14)
		j.Id = fmt.Sprintf("a%d", i) // before "gang" in the order of equal steps
		w.submit(j)
	}
	w.submit(wideGang(6))
	for i := range 120 {
		w.submit(misjudgedBatch(fmt.Sprintf("batch%d", i)))
	}
	w.run(14 * time.Second)
	w.mustComplete("gang")
}

// fullRegion is a job that takes all of the 12 workers for ten times the declared time.
func fullRegion() *record.Job {
	return oneStep("full", &record.Step{Count: 12, EstimateMs: 160, Request: &record.Resources{MilliCpu: 32000, MemoryMib: 100}})
}

// misjudgedBatch is a job of 20 tasks that each take ten times the declared time.
func misjudgedBatch(id string) *record.Job {
	j := oneStep(id, &record.Step{Count: 20, EstimateMs: 160, Request: &record.Resources{MilliCpu: 2000, MemoryMib: 1024}})
	j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 1.5, TargetLatencyMs: 250}
	return j
}

// Guards against jobs that wait for ever for new tickets of the advice service, because a gang that
// can never start claims the room of all workers in each pass before them.
func TestGangWiderThanRegionLeavesAdviceToOtherJobs(t *testing.T) {
	w := wideGangWorld(t)
	w.takesLong("full", 15*time.Second)
	w.submitTo(fullRegion(), "other")
	w.run(time.Second)
	w.submit(withAdvice(wideGang(14), true))
	w.run(time.Second)
	w.submit(withAdvice(oneStep("job", &record.Step{Count: 2, EstimateMs: 900, Request: &record.Resources{MilliCpu: 2000, MemoryMib: 100}}), true))
	w.run(25 * time.Second)
	w.mustComplete("full", "job")
}

// Guards against accepted jobs that wait for ever with all workers empty, because a gang that waits
// for something other than room, here its tickets, reserves all of them.
func TestGangWithoutTicketsHoldsUpNoOtherJob(t *testing.T) {
	w := wideGangWorld(t)
	w.newAdviceService("h1").idleAt["h1"] = w.now + time.Hour // all calls time out
	gang := withAdvice(wideGang(12), true)
	gang.Policy.Priority = 0 // the gang goes before the job
	w.submit(gang)
	w.run(5 * time.Second)
	w.mustCompleteChain()
}

// Guards against the same where the gang waits for a worker that is listed and does not answer.
func TestGangThatNeedsSilentWorkerHoldsUpNoOtherJob(t *testing.T) {
	w := wideGangWorld(t)
	silent := w.workers["w11"]
	silent.unreachable = true
	w.run(time.Second)
	w.submit(wideGang(12))
	w.run(5 * time.Second)
	w.mustCompleteChain()
	silent.unreachable = false
	w.run(10 * time.Second)
	w.mustComplete("gang")
}
