package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// A caller's job of two tasks that start together waits for ever, though the
// region is empty. Its leader was killed between the record of the assignment
// and the starts. The next leader finds that one member never arrived, and
// orders the other's stop, before the host list has told it the worker's
// address: it must not send that stop into the void for ever.
func TestInheritedGangThatNeverStarted(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.lead()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("gang", &record.Step{Count: 2, Gang: true}))
	for assigned := false; !assigned; { // the record is in the log, its answer on the way
		w.run(time.Millisecond)
		for _, e := range w.entries {
			assigned = assigned || e.GetAssigned() != nil
		}
	}
	w.stopLeading()
	w.run(time.Second)
	w.lead()
	w.run(10 * time.Second)
	w.mustComplete("gang")
}

// An invoice is billed once although the leader dies while it runs: the next
// leader finds it on its worker and takes it over.
func TestRunningTaskIsTakenOver(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.lead()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 3}))
	w.run(200 * time.Millisecond)
	w.stopLeading()
	w.run(100 * time.Millisecond)
	w.lead()
	w.run(3 * time.Second)
	w.mustComplete("a")
	for id, n := range w.starts {
		if n != 1 {
			t.Errorf("task %v started %d times", id, n)
		}
	}
}

// The leader dies and a worker that runs a task is cut off at the same time.
// The next leader cannot ask whether the task runs. It must not start it
// elsewhere before the lease is over for certain, and must do so then.
func TestCutWorkerUnderNewLeader(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.lead()
	w.run(100 * time.Millisecond)
	w.runTime = func(model.TaskID) time.Duration { return 30 * time.Second }
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.stopLeading()
	w.workers["w1"].cut = true
	w.addWorker("w2", 1)
	w.lead()
	w.run(8 * time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Fatalf("%d runs on w2 while the lease of w1 may last", n)
	}
	w.run(6 * time.Second)
	if n := len(w.workers["w2"].runs); n != 1 {
		t.Fatalf("%d runs on w2 after the lease of w1 is over, want 1", n)
	}
}

// A worker vanishes for good while it runs a caller's task, and the leader
// stays. The leader goes on asking it; those renewals must not make its lease
// seem to last for ever, or the task is never started elsewhere.
func TestGoneWorkerFreesItsWork(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.runTime = func(model.TaskID) time.Duration { return 3 * time.Second }
	w.lead()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.workers["w1"].cut = true
	w.addWorker("w2", 1)
	w.run(testLease + 5*time.Second)
	w.mustComplete("a")
}

// The log cannot be reached from the leader, for longer than a successor waits.
// The leader must stop renewing leases: on a worker that the successor cannot
// reach, its renewals would keep a task alive that is started again elsewhere.
func TestNoRenewalWithoutProofOfLead(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.lead()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.logDown = true
	w.run(leadershipProofTTL + 100*time.Millisecond)
	until := w.workers["w1"].until
	w.run(2 * time.Second)
	if later := w.workers["w1"].until; later != until {
		t.Errorf("the lease was renewed by %d ms", later-until)
	}
}

// Guards against a count of waiting jobs that is too low: jobs whose starts never arrived
// count as begun for the next leader.
func TestJobThatNeverBeganWaits(t *testing.T) {
	for name, advice := range map[string]*record.Advice{"without advice": nil, "with advice": {DecideMs: 5, EachMs: 1, ValidMs: 2000}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			fw := w.addWorker("w1", 8)
			w.lead()
			w.run(100 * time.Millisecond)
			w.late = func(call string) time.Duration { return map[string]time.Duration{"start": time.Hour}[call] }
			j := oneStep("a", &record.Step{Count: 1})
			j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000, Advice: advice}
			w.submit(j)
			w.run(100 * time.Millisecond)
			w.stopLeading()
			fw.entry.Draining = true // no work goes there any more
			w.lead()
			if w.states["a"] != StateRunning {
				t.Errorf("the job is %v before its worker has answered, want running", w.states["a"])
			}
			w.run(100 * time.Millisecond)
			if w.states["a"] != StateQueued {
				t.Errorf("the job is %v, want queued", w.states["a"])
			}
		})
	}
}
