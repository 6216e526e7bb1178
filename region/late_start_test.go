package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// inFlightTime is enough for the probes of a stopped leader to arrive.
const inFlightTime = 300 * time.Millisecond

// lateStartWorld returns a world with workers w1 and w2 and a job whose start on w1 is executed
// with a delay, and w1, which the caller crashes before that.
func lateStartWorld(t *testing.T, late time.Duration, step *record.Step) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 10 * time.Second }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	first := true
	w.callDelay = func(call string) time.Duration {
		if call != "start" || !first {
			return 0
		}
		first = false
		return late
	}
	step.EstimateMs = 10_000 // deferrable work has leases longer than the delay
	w.submit(oneStep("a", step))
	w.run(100 * time.Millisecond)
	w.addWorker("w2", 8)
	w.run(100 * time.Millisecond)
	return w, fw
}

// mustRunOnce fails the test unless the job of one task is completed and was started once.
func (w *world) mustRunOnce(id string) {
	w.t.Helper()
	w.mustComplete(id)
	if n := w.starts[model.TaskID{Job: id}]; n != 1 {
		w.t.Errorf("started %d times, want once", n)
	}
}

// Guards against a task that runs twice: its start is executed in its worker's third
// incarnation, after the second one has answered a probe and listed no run.
func TestLateStartInThirdIncarnation(t *testing.T) {
	w, fw := lateStartWorld(t, 2*time.Second, &record.Step{Count: 1})
	crash(w, fw)
	w.run(time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start on w1 may still be executed", n)
	}
	w.stopLeader()
	w.run(inFlightTime)
	crash(w, fw)
	w.run(time.Second)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.startLeader()
	w.run(20 * time.Second)
	w.mustRunOnce("a")
}

// Guards against the same under a new leader, which does not know the outcome of the calls of
// the earlier one.
func TestInheritedLateStartInNextIncarnation(t *testing.T) {
	w, fw := lateStartWorld(t, 4*time.Second, &record.Step{Count: 1})
	w.stopLeader()
	w.run(500 * time.Millisecond)
	w.startLeader()
	w.run(500 * time.Millisecond) // w1 has answered and lists nothing
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start on w1 may still be executed", n)
	}
	w.stopLeader()
	w.run(inFlightTime)
	crash(w, fw)
	w.run(4 * time.Second)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.startLeader()
	w.run(20 * time.Second)
	w.mustComplete("a")
}

// Guards against a task that waits without limit for a start that is never executed.
func TestWaitForLateStartEnds(t *testing.T) {
	w, fw := lateStartWorld(t, time.Hour, &record.Step{Count: 1})
	crash(w, fw)
	w.run(lateCallWindow + 15*time.Second)
	w.mustComplete("a")
}

// Guards against a wait for a late start that ends too soon: the next incarnation does not
// answer, and any lease of it has expired before the start can no longer be executed.
func TestWaitForLateStartOutlastsNextLease(t *testing.T) {
	w, fw := lateStartWorld(t, time.Hour, &record.Step{Count: 1})
	sent := w.now
	crash(w, fw)
	fw.unreachable = true
	w.run(lateCallWindow - time.Second - (w.now - sent))
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start on w1 may still be executed", n)
	}
}

// Guards against a wait for a start that no later incarnation accepts: its ticket is valid
// only in the incarnation for which it was issued.
func TestNoWaitForLateStartWithTicket(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 10 * time.Second }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.callDelay = func(call string) time.Duration { return map[string]time.Duration{"start": time.Hour}[call] }
	j := oneStep("a", &record.Step{Count: 1})
	j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000,
		Advice: &record.Advice{DecideMs: 5, EachMs: 1, ValidMs: 2000}}
	w.submit(j)
	w.run(200 * time.Millisecond)
	w.callDelay = func(string) time.Duration { return 0 }
	crash(w, fw)
	w.run(500 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Errorf("%d runs in the next incarnation, want the new one", n)
	}
}

// Guards against a task that runs twice: another worker has the address of a start that may
// still be executed, and the worker that the start names may have the address again before that.
func TestLateStartAtReassignedAddressIsAwaited(t *testing.T) {
	w, fw := lateStartWorld(t, time.Hour, &record.Step{Count: 1})
	next := fw.entry
	next.ID, next.BornUnix = "w3", 2
	fw.unreachable = true
	w.deliver(WorkerListed{Entry: next})
	w.run(lateCallWindow - time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start may still be executed", n)
	}
	w.run(time.Second + maxSendDelay + w.sched.maxLease() + 2*lapseMargin)
	if n := len(w.workers["w2"].runs); n != 1 {
		t.Errorf("%d runs on w2, want 1", n)
	}
}

// Guards against a member of a gang that keeps its room without limit: its start is executed
// after the other members were stopped.
func TestLateGangMemberIsStopped(t *testing.T) {
	w, fw := lateStartWorld(t, 2*time.Second, &record.Step{Count: 2, Gang: true})
	w.stopLeader()
	w.run(inFlightTime)
	crash(w, fw)
	w.run(2 * time.Second)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.startLeader()
	w.run(time.Second)
	for id, r := range fw.runs {
		if r.number == 1 {
			t.Errorf("%v run 1 still waits for the other members", id)
		}
	}
	w.run(20 * time.Second)
	w.mustComplete("a")
}

// Guards against a task that runs again after it was done: its start was executed late, in
// its worker's next incarnation, and a new leader would end the run together with the
// earlier incarnation.
func TestAdoptedLateStartIsRecorded(t *testing.T) {
	w, fw := lateStartWorld(t, 2*time.Second, &record.Step{Count: 1})
	w.stopLeader()
	w.run(inFlightTime)
	crash(w, fw)
	w.run(2 * time.Second)
	w.startLeader()
	w.run(100 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.stopLeader()
	w.startLeader()
	w.run(20 * time.Second)
	w.mustRunOnce("a")
}

// Guards against an end that is acknowledged before it is read: its worker left, was removed
// and came back under its id, and a probe of the earlier incarnation would have the fencing
// token of the new one.
func TestFencingTokenRisesAfterWorkerIsRemoved(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	before := fw.fence
	w.deliver(WorkerUnlisted{ID: "w1"})
	fw.clearState(w)
	fw.unreachable = true
	w.run(5 * time.Second)
	if len(w.sched.workers) != 0 {
		t.Fatal("the worker is not removed")
	}
	fw.unreachable = false
	fw.entry.BornUnix++
	w.deliver(WorkerListed{Entry: fw.entry})
	w.run(100 * time.Millisecond)
	if fw.fence <= before {
		t.Errorf("fencing token %d in the new incarnation, want more than the %d before", fw.fence, before)
	}
}

// Guards against a task that is started elsewhere while one of two starts of its run may still
// be executed: the other one was executed, and the worker lists its end.
func TestWaitForLateStartAfterSecondStartEnds(t *testing.T) {
	w, fw := lateStartWorld(t, 2*time.Second, &record.Step{Count: 1})
	id := model.TaskID{Job: "a"}
	r := w.sched.findTask(id).run
	w.deliver(StartAnswered{Request: model.StartRequest{RunID: r.id(), Worker: r.ref}, Err: CallNoAnswer})
	w.run(100 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want that of the second start", n)
	}
	w.end(fw, id, record.Outcome_OUTCOME_LOST)
	w.run(time.Second)
	if n := len(fw.runs) + len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs while the first start may still be executed", n)
	}
}

// Guards against a wait for a late start of a speculative task, of which several copies may
// run at the same time.
func TestNoWaitForSpeculativeLateStart(t *testing.T) {
	w, fw := lateStartWorld(t, time.Hour, &record.Step{Count: 1, Speculative: true})
	crash(w, fw)
	w.run(500 * time.Millisecond)
	if n := len(fw.runs) + len(w.workers["w2"].runs); n != 1 {
		t.Errorf("%d runs, want the new one", n)
	}
}
