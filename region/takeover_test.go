package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a gang of two that waits forever in an empty region. The leader was
// stopped after the assignment was recorded and before the starts were sent. The next
// leader finds that one member never started and stops the other before it has read the
// worker's address from the host list: it must not send that stop to no address forever.
func TestInheritedIncompleteGangIsRestarted(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("gang", &record.Step{Count: 2, Gang: true}))
	for assigned := false; !assigned; { // the record is in the log, its ack in flight
		w.run(time.Millisecond)
		for _, e := range w.entries {
			assigned = assigned || e.GetAssigned() != nil
		}
	}
	w.stopLeader()
	w.run(time.Second)
	w.startLeader()
	w.run(10 * time.Second)
	w.mustComplete("gang")
}

// A task that runs when its leader fails runs only once: the next leader finds it on its
// worker and adopts it.
func TestNewLeaderAdoptsRunningTask(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 3}))
	w.run(200 * time.Millisecond)
	w.stopLeader()
	w.run(100 * time.Millisecond)
	w.startLeader()
	w.run(3 * time.Second)
	w.mustComplete("a")
	for id, n := range w.starts {
		if n != 1 {
			t.Errorf("task %v started %d times", id, n)
		}
	}
}

// The leader fails and a worker that runs a task becomes unreachable at the same time.
// The next leader cannot ask the worker whether the task runs. It must not start the task
// on another worker before the lease has certainly expired, and must do so then.
func TestNewLeaderWaitsForLeaseOfUnreachableWorker(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.runTime = func(model.TaskID) time.Duration { return 30 * time.Second }
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.stopLeader()
	w.workers["w1"].unreachable = true
	w.addWorker("w2", 1)
	w.startLeader()
	w.run(8 * time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Fatalf("%d runs on w2 before the lease of w1 has certainly expired, want 0", n)
	}
	w.run(6 * time.Second)
	if n := len(w.workers["w2"].runs); n != 1 {
		t.Fatalf("%d runs on w2 after the lease of w1 has expired, want 1", n)
	}
}

// A worker becomes unreachable and stays so while it runs a task, under the same leader.
// The leader keeps sending it renewals. These must not extend the lease that the leader
// assumes, or the task is never started on another worker.
func TestTasksOfUnreachableWorkerAreRestarted(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.runTime = func(model.TaskID) time.Duration { return 3 * time.Second }
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.workers["w1"].unreachable = true
	w.addWorker("w2", 1)
	w.run(testLease + 5*time.Second)
	w.mustComplete("a")
}

// The leader does not reach the log for longer than a new leader waits. It must stop
// renewing leases: on a worker that the new leader cannot reach, renewals would keep a task
// alive that the new leader starts again on another worker.
func TestNoLeaseRenewalWithoutProofOfLeadership(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.logDown = true
	w.run(leadershipProofTTL + 100*time.Millisecond)
	until := w.workers["w1"].until
	w.run(2 * time.Second)
	if later := w.workers["w1"].until; later != until {
		t.Errorf("the lease was extended by %d ms without a proof of leadership", later-until)
	}
}

// Guards against a count of waiting jobs that is too low: the next leader would count jobs
// whose starts never reached their worker as started.
func TestJobWithoutReceivedStartsIsQueued(t *testing.T) {
	for name, advice := range map[string]*record.Advice{"without advice": nil, "with advice": {DecideMs: 5, EachMs: 1, ValidMs: 2000}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			fw := w.addWorker("w1", 8)
			w.startLeader()
			w.run(100 * time.Millisecond)
			w.callDelay = func(call string) time.Duration { return map[string]time.Duration{"start": time.Hour}[call] }
			j := oneStep("a", &record.Step{Count: 1})
			j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000, Advice: advice}
			w.submit(j)
			w.run(100 * time.Millisecond)
			w.stopLeader()
			fw.entry.Draining = true // no new work is placed there
			w.startLeader()
			if w.states["a"] != StateRunning {
				t.Errorf("job is %v before its worker has answered, want running", w.states["a"])
			}
			w.run(100 * time.Millisecond)
			if w.states["a"] != StateQueued {
				t.Errorf("job is %v after its worker has answered, want queued", w.states["a"])
			}
		})
	}
}
