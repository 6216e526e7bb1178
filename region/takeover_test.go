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
	w.run(logProofLife + 100*time.Millisecond)
	until := w.workers["w1"].until
	w.run(2 * time.Second)
	if later := w.workers["w1"].until; later != until {
		t.Errorf("the lease was renewed by %d ms", later-until)
	}
}
