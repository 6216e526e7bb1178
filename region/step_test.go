package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Steps of every form run to completion, in the order of their dependencies.
func TestAllStepFormsComplete(t *testing.T) {
	cases := map[string]*record.Job{
		"plain":    oneStep("plain", &record.Step{Count: 5}),
		"gang":     oneStep("gang", &record.Step{Count: 4, Gang: true}),
		"rack":     oneStep("rack", &record.Step{Count: 4, Gang: true, SameRack: true}),
		"spread":   oneStep("spread", &record.Step{Count: 4, AntiAffinity: 1}),
		"label":    oneStep("label", &record.Step{Count: 2, Requires: "b"}),
		"data":     oneStep("data", &record.Step{Count: 2, Affinity: "r2-1"}),
		"copies":   oneStep("copies", &record.Step{Count: 2, Speculative: true}),
		"fills":    oneStep("fills", &record.Step{Count: 2, Fills: true, Image: "x"}),
		"repeated": {Id: "repeated", RepeatCount: 3, FirstRunUnixMs: (time.Hour + time.Second).Milliseconds(), IntervalMs: 300},
		"chain":    {Id: "chain"},
	}
	cases["repeated"].Steps = oneStep("", &record.Step{Count: 2}).Steps
	first := oneStep("", &record.Step{Count: 2}).Steps[0]
	second := oneStep("", &record.Step{Count: 3, DependsOn: []int32{0}}).Steps[0]
	cases["chain"].Steps = []*record.Step{first, second}
	for name, job := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			for i := range 4 {
				fw := w.addWorker(fmt.Sprintf("w%d", i), 4)
				fw.entry.Labels = []string{"a", "r1-1"}
				if i >= 2 {
					fw.entry.Labels = []string{"b", "r2-1"}
				}
			}
			w.startLeader()
			w.submit(job)
			w.run(8 * time.Second)
			w.mustComplete(job.Id)
		})
	}
}

// A step with advice starts only on workers for which the advice service issues a ticket.
func TestStepWithAdviceNeedsTicket(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 6 {
		w.addWorker(fmt.Sprintf("w%d", i), 4)
	}
	w.issuesTicket = func(_, worker string) bool { return worker == "w3" }
	w.startLeader()
	j := oneStep("a", &record.Step{Count: 10})
	j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000,
		Advice: &record.Advice{DecideMs: 50, EachMs: 1, ValidMs: 2000}}
	w.submit(j)
	w.run(6 * time.Second)
	w.mustComplete("a")
	for id, fw := range w.workers {
		if id != "w3" && fw.nextEnd > 0 {
			t.Errorf("worker %s ran %d tasks without a ticket", id, fw.nextEnd)
		}
	}
}

// A task that fails on every run is started as often as the queue's maximum attempts
// allow; then its job fails and none of its tasks runs on.
func TestJobFailsAfterMaxAttempts(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4)
	w.addWorker("w2", 4)
	w.fails = func(id model.TaskID, _ int32) bool { return id.Index == 0 }
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 2}))
	w.run(10 * time.Second)
	if w.states["a"] != StateFailed {
		t.Fatalf("job is %v, want failed", w.states["a"])
	}
	if n := w.starts[model.TaskID{Job: "a"}]; n != 3 {
		t.Errorf("started %d times, want 3", n)
	}
}

// A workspace never uses more than its cap, however much capacity is free.
func TestWorkspaceCapIsNotExceeded(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 32)
	w.startLeader()
	config := testConfig()
	config.Workspaces["ws"] = model.Workspace{Name: "ws", Cap: model.Resources{MilliCPU: 3000}}
	w.step(ConfigRead{Config: config})
	w.submit(oneStep("a", &record.Step{Count: 20}))
	for range 200 {
		w.run(50 * time.Millisecond)
		if n := len(w.workers["w1"].runs); n > 3 {
			t.Fatalf("%d tasks run, want at most 3, the workspace's cap", n)
		}
	}
	w.mustComplete("a")
}

// When a caller cancels a job, its running tasks are stopped and no more are started.
func TestCancelStopsRunningTasks(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 8}))
	w.run(time.Second)
	w.cancel("a")
	w.run(time.Second)
	if n := len(w.workers["w1"].runs); n != 0 {
		t.Errorf("%d tasks still run after the cancellation", n)
	}
	if w.states["a"] != StateCancelled {
		t.Errorf("job is %v, want cancelled", w.states["a"])
	}
}

// Tasks on one worker start but make no progress, while the worker answers every
// probe. Without a check of progress the job would wait for them forever: they are
// stopped there and run on the other worker.
func TestHangingTasksAreMoved(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4).hangs = true
	w.addWorker("w2", 4)
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 6}))
	w.run(8 * time.Second)
	w.mustComplete("a")
}

// One worker runs every task six times slower, answers every probe and fails no
// task. Urgent jobs arrive at a steady rate and would each be late there; their slow
// tasks must be moved to other workers before the result is useless.
func TestUrgentTasksAreMovedOffSlowWorker(t *testing.T) {
	w := mixedWorld(t, 3)
	for i := range 40 {
		w.submitTo(urgentJob(fmt.Sprintf("u%d", i)), "urgent")
		w.run(50 * time.Millisecond)
	}
	var slowWorker *fakeWorker
	for _, name := range w.names {
		if fw := w.workers[name]; slowWorker == nil || len(fw.runs) > len(slowWorker.runs) {
			slowWorker = fw
		}
	}
	slowWorker.slowdown = 6
	doneAt, submittedAt := make(map[string]time.Duration), make(map[string]time.Duration)
	for i := range 60 {
		id := fmt.Sprintf("u%d", 100+i)
		w.submitTo(urgentJob(id), "urgent")
		submittedAt[id] = w.now
		w.run(50 * time.Millisecond)
		noteDone(w, doneAt)
	}
	for range 100 {
		w.run(50 * time.Millisecond)
		noteDone(w, doneAt)
	}
	for id, submitted := range submittedAt {
		if end, ok := doneAt[id]; !ok || end-submitted > urgentUseless {
			t.Errorf("job %s completed too late or not at all: after %v", id, end-submitted)
		}
	}
}

// A task takes three and a half times as long as its queue's tasks usually do, on a
// healthy worker. Stopping it would waste its work without a benefit.
func TestLongTaskOnHealthyWorkerIsNotMoved(t *testing.T) {
	w := mixedWorld(t, 2)
	for i := range 20 {
		w.submitTo(urgentJob(fmt.Sprintf("u%d", i)), "urgent")
		w.run(100 * time.Millisecond)
	}
	w.runTime = func(model.TaskID) time.Duration { return 7 * urgentRun / 2 }
	w.submitTo(urgentJob("u-long"), "urgent")
	w.run(3 * time.Second)
	w.mustComplete("u-long")
	if n := w.starts[model.TaskID{Job: "u-long"}]; n != 1 {
		t.Errorf("started %d times", n)
	}
}

// A task takes ten times as long as its queue's tasks on any worker. It may be moved
// once, since its worker may be slow, but not each time: it would never complete.
func TestLongTaskIsMovedAtMostOnce(t *testing.T) {
	w := mixedWorld(t, 2)
	for i := range 20 {
		w.submitTo(urgentJob(fmt.Sprintf("u%d", i)), "urgent")
		w.run(100 * time.Millisecond)
	}
	w.runTime = func(model.TaskID) time.Duration { return 10 * urgentRun }
	w.submitTo(urgentJob("u-long"), "urgent")
	w.run(15 * time.Second)
	w.mustComplete("u-long")
	if n := w.starts[model.TaskID{Job: "u-long"}]; n > 2 {
		t.Errorf("started %d times", n)
	}
}

// A long-running task is restarted after every end, without a limit of attempts, until
// its job is cancelled.
func TestLongRunningIsRestarted(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4)
	w.fails = func(_ model.TaskID, run int32) bool { return run%2 == 0 }
	w.longRunning = true
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 1, LongRunning: true}))
	w.run(10 * time.Second)
	id := model.TaskID{Job: "a"}
	if n := w.starts[id]; n < 10 {
		t.Errorf("started %d times in 10 s, want at least 10 with runs of 0.5 s", n)
	}
	if w.states["a"] != StateRunning {
		t.Errorf("job is %v, want running", w.states["a"])
	}
	w.cancel("a")
	w.run(2 * time.Second)
	n := w.starts[id]
	w.run(2 * time.Second)
	if w.starts[id] != n {
		t.Error("task started after its job was cancelled")
	}
}

// All workers are full of long batch tasks when a long-running service is submitted.
// It must run within seconds: it preempts the batch tasks that lose least work, and
// those complete later.
func TestLongRunningTaskPreemptsBatch(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 4)
	w.addWorker("w2", 4)
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "service" {
			return time.Hour
		}
		return 20 * time.Second
	}
	w.startLeader()
	w.submit(oneStep("batch", &record.Step{Count: 8}))
	w.run(2 * time.Second)
	w.submit(oneStep("service", &record.Step{Count: 1, LongRunning: true, Request: &record.Resources{MilliCpu: 2000, MemoryMib: 100}}))
	w.run(3 * time.Second)
	running := 0
	for _, fw := range w.workers {
		for id := range fw.runs {
			if id.Job == "service" {
				running++
			}
		}
	}
	if running != 1 {
		t.Fatalf("%d tasks of the service run after 3 s, want 1", running)
	}
	w.run(60 * time.Second)
	w.mustComplete("batch")
}

// Gang members wait for a member that never starts, and occupy their capacity in vain.
// The worker of one member does not answer its starts; the scheduler gives them up and
// sends a stop, which is not answered either:
//
//	31.724 task 1 starts and waits for the others
//	32.606 run stopped        task 0  its worker did not answer
//	33.222 stop failed        task 0  no answer (three times)
//	34.724 task 1 ends alone
//
// Once one member's start is aborted, the run cannot become complete: the others must
// be stopped then, not when that member is settled.
func TestGangIsStoppedWhenOneStartIsAborted(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.addWorker("w2", 1)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("gang", &record.Step{Count: 2, Gang: true}))
	for assigned := false; !assigned; {
		w.run(time.Millisecond)
		for _, e := range w.entries {
			assigned = assigned || e.GetAssigned() != nil
		}
	}
	w.workers["w1"].unreachable = true
	w.run(testGangWait + time.Second)
	if alone := w.workers["w2"].gangTimeouts; len(alone) != 0 {
		t.Errorf("%v waited until the time-out for a member whose start had been aborted", alone)
	}
	w.workers["w1"].unreachable = false
	w.run(15 * time.Second)
	w.mustComplete("gang")
}
