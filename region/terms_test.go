package region

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a wait for late starts that begins anew with each leader, and against one that
// ends too early because terms before that of the sender count as well.
func TestTermsAfterSender(t *testing.T) {
	var s terms
	for _, r := range []struct {
		fence  int64
		length time.Duration
	}{{1, 9 * time.Second}, {2, 0}, {3, time.Second}, {3, 4 * time.Second}, {5, 2 * time.Second}, {6, 3 * time.Second}, {6, 0}} {
		s.add(r.fence, r.length)
	}
	got := map[int64]time.Duration{}
	for _, fence := range []int64{0, 2, 3, 4, 5, 6, 7} {
		got[fence] = s.after(fence)
	}
	want := map[int64]time.Duration{0: 9 * time.Second, 2: 9 * time.Second, 3: 5 * time.Second, 4: 5 * time.Second, 5: 3 * time.Second, 6: 0, 7: 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a start of a replaced leader that is executed after its task was started
// elsewhere: with leaders that change every few seconds, a run whose worker has gone waits for
// the whole window, counted from the first leader after the sender, and not for much longer.
func TestWaitForLateStartCountsTermsOfSuccessors(t *testing.T) {
	const leaderEvery = 2500 * time.Millisecond
	w, gone := heldStartWorld(t)
	// The worker is lost while its start is held up, and another worker has its address.
	gone.down, gone.dark, gone.listed = true, true, &model.WorkerEntry{}
	w.callDelay = func(string) time.Duration { return 0 }
	next := w.newWorker("b", 8)
	next.entry.Address, next.entry.BornUnix = gone.entry.Address, gone.entry.BornUnix+1
	replaced := w.now
	for w.now-replaced < 3*inheritedWindow && w.starts[model.TaskID{Job: "j"}] == 0 {
		w.startLeader()
		w.run(leaderEvery)
	}
	waited := w.now - replaced
	earliest := inheritedWindow + w.sched.maxLease()
	latest := earliest + time.Duration(float64(earliest)/leaderEvery.Seconds()*termRecordInterval.Seconds()) + 2*leaderEvery
	if waited < earliest || waited > latest {
		t.Errorf("the task was started again %v after the leader was replaced, want between %v and %v", waited, earliest, latest)
	}
}

// Guards against a lease that a successor does not know of: on a worker with a start call of an
// earlier leader that may be executed, nothing is granted before the log shows that this leader
// has reached it.
func TestNoLeaseBeforeReachIsRecorded(t *testing.T) {
	w, a := heldStartWorld(t)
	granted := a.until
	w.startLeader()
	w.logDown = true
	w.run(2 * time.Second)
	if a.fence != w.sched.fenceOf(w.sched.workers["a"]) {
		t.Fatal("the worker has not been reached")
	}
	if a.until != granted {
		t.Errorf("a lease was granted although the log does not show that the worker was reached")
	}
	w.logDown = false
	w.run(time.Second)
	if a.until == granted {
		t.Errorf("no lease was granted after the record")
	}
}

// heldStartWorld returns a world in which the start of a task was sent to the worker and is held
// up.
func heldStartWorld(t *testing.T) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	a := w.addWorker("a", 8)
	w.startLeader()
	w.callDelay = func(call string) time.Duration {
		if call == "start" {
			return time.Minute
		}
		return 0
	}
	w.submit(oneStep("j", &record.Step{Count: 1}))
	w.run(300 * time.Millisecond)
	return w, a
}
