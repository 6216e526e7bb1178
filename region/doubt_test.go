package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// underWay is enough for looks that a leader which is gone has ordered.
const underWay = 300 * time.Millisecond

// lateStart has w1 and w2 and a job whose start on w1 is carried out after a while; w1 dies
// before that.
func lateStart(t *testing.T, late time.Duration, step *record.Step) (*world, *fakeWorker) {
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
	step.EstimateMs = 10_000 // patient work has leases that outlive the delay
	w.submit(oneStep("a", step))
	w.run(100 * time.Millisecond)
	w.addWorker("w2", 8)
	w.run(100 * time.Millisecond)
	return w, fw
}

// mustRunOnce fails unless the job of one task is completed and was started once.
func (w *world) mustRunOnce(id string) {
	w.t.Helper()
	w.mustComplete(id)
	if n := w.starts[model.TaskID{Job: id}]; n != 1 {
		w.t.Errorf("started %d times, want once", n)
	}
}

// Guards against a task that runs twice: its start is carried out in its worker's third
// life, after the second one has shown that nothing runs there.
func TestStartInTheThirdLife(t *testing.T) {
	w, fw := lateStart(t, 2*time.Second, &record.Step{Count: 1})
	crash(w, fw)
	w.run(time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start at w1 may come", n)
	}
	w.stopLeader()
	w.run(underWay)
	crash(w, fw)
	w.run(time.Second)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.startLeader()
	w.run(20 * time.Second)
	w.mustRunOnce("a")
}

// Guards against the same under a new leader, which does not know what its predecessor's
// calls have come to.
func TestInheritedStartInTheNextLife(t *testing.T) {
	w, fw := lateStart(t, 4*time.Second, &record.Step{Count: 1})
	w.stopLeader()
	w.run(500 * time.Millisecond)
	w.startLeader()
	w.run(500 * time.Millisecond) // w1 has answered and lists nothing
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start at w1 may come", n)
	}
	w.stopLeader()
	w.run(underWay)
	crash(w, fw)
	w.run(4 * time.Second)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.startLeader()
	w.run(20 * time.Second)
	w.mustComplete("a")
}

// Guards against a task that waits for ever behind a start that never comes.
func TestDoubtEnds(t *testing.T) {
	w, fw := lateStart(t, time.Hour, &record.Step{Count: 1})
	crash(w, fw)
	w.run(lateCall + 15*time.Second)
	w.mustComplete("a")
}

// Guards against a doubt that ends too soon: the next life does not answer, and what it may
// have been granted is over before the start is.
func TestDoubtOutlivesTheLeaseOfTheNextLife(t *testing.T) {
	w, fw := lateStart(t, time.Hour, &record.Step{Count: 1})
	sent := w.now
	crash(w, fw)
	fw.unreachable = true
	w.run(lateCall - time.Second - (w.now - sent))
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the start at w1 may come", n)
	}
}

// Guards against a wait for a start that no later life can carry out: its ticket holds in
// the life that it was given for alone.
func TestStartWithTicketIsNotWaitedFor(t *testing.T) {
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
		t.Errorf("%d runs in the next life, want the new one", n)
	}
}

// Guards against a wait for a start at an address that another worker has taken: that one
// refuses what names the earlier id.
func TestAddressTakenByAnotherWorker(t *testing.T) {
	w, fw := lateStart(t, time.Hour, &record.Step{Count: 1})
	next := fw.entry
	next.ID, next.BornUnix = "w3", 2
	fw.unreachable = true
	w.deliver(WorkerListed{Entry: next})
	w.run(200 * time.Millisecond)
	if n := len(w.workers["w2"].runs); n != 1 {
		t.Errorf("%d runs on w2, want 1", n)
	}
}

// Guards against a member of a gang that holds its room for ever: its start comes late, when
// the others have been stopped.
func TestLateMemberOfAGangIsStopped(t *testing.T) {
	w, fw := lateStart(t, 2*time.Second, &record.Step{Count: 2, Gang: true})
	w.stopLeader()
	w.run(underWay)
	crash(w, fw)
	w.run(2 * time.Second)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want the late one", n)
	}
	w.startLeader()
	w.run(time.Second)
	for id, r := range fw.runs {
		if r.number == 1 {
			t.Errorf("%v run 1 still waits for the others", id)
		}
	}
	w.run(20 * time.Second)
	w.mustComplete("a")
}

// Guards against a task that runs again after it was done: its start came late, in its
// worker's next life, and a new leader takes the run for over with the earlier one.
func TestLateRunIsTakenOver(t *testing.T) {
	w, fw := lateStart(t, 2*time.Second, &record.Step{Count: 1})
	w.stopLeader()
	w.run(underWay)
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

// Guards against an end that is forgotten unread: its worker left, was forgotten and is back
// under its id, and a look at the earlier life would carry the token of the new one.
func TestTokenRisesAfterAWorkerWasForgotten(t *testing.T) {
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
		t.Fatal("the worker is not forgotten")
	}
	fw.unreachable = false
	fw.entry.BornUnix++
	w.deliver(WorkerListed{Entry: fw.entry})
	w.run(100 * time.Millisecond)
	if fw.fence <= before {
		t.Errorf("token %d in the new life, %d in the one before", fw.fence, before)
	}
}

// Guards against a task that is started elsewhere while one of two starts of its run may come:
// the other was carried out, and the worker lists its end.
func TestEndOfARunThatWasStartedTwice(t *testing.T) {
	w, fw := lateStart(t, 2*time.Second, &record.Step{Count: 1})
	id := model.TaskID{Job: "a"}
	r := w.sched.find(id).run
	w.deliver(StartAnswered{Order: model.StartRequest{RunID: r.id(), Worker: r.ref}, Err: CallNoAnswer})
	w.run(100 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Fatalf("%d runs on w1, want that of the second start", n)
	}
	w.end(fw, id, record.Outcome_OUTCOME_LOST)
	w.run(time.Second)
	if n := len(fw.runs) + len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs while the first start may come", n)
	}
}

// Guards against a wait for a start that may run beside another: copies of the step's tasks
// are allowed.
func TestSpeculativeStartIsNotWaitedFor(t *testing.T) {
	w, fw := lateStart(t, time.Hour, &record.Step{Count: 1, Speculative: true})
	crash(w, fw)
	w.run(500 * time.Millisecond)
	if n := len(fw.runs) + len(w.workers["w2"].runs); n != 1 {
		t.Errorf("%d runs, want the new one", n)
	}
}
