package region

import (
	"testing"
	"time"
)

// A task is done and its worker reports the end, but the answer waits in the leader's
// own saturated link for longer than the lease. A leader that then counts the run as
// lost starts the task again. It waits for the worker while its link is full, but at
// most for maxExpiryDelay, since the worker may really be lost.
func TestRunIsNotLostWhileLinkIsFull(t *testing.T) {
	lostAfter := func(load float64) time.Duration {
		w := mixedWorld(t, 1)
		w.submitTo(urgentJob("u1"), "urgent")
		for len(w.sched.workerList[0].runs) == 0 || w.sched.workerList[0].runs[0].phase != phaseRunning {
			w.run(5 * time.Millisecond)
		}
		w.workers["w0"].unreachable = true
		expiry := w.sched.workerList[0].lapsesAt()
		w.linkLoad = load
		for at := w.now; w.now < at+10*time.Second; w.run(5 * time.Millisecond) {
			if len(w.sched.workerList) == 0 || len(w.sched.workerList[0].runs) == 0 {
				return w.now - expiry
			}
		}
		t.Fatal("the run was not counted as lost within 10 s")
		return 0
	}
	if got := lostAfter(0); got > time.Second {
		t.Errorf("run lost %v after its lease expired with the link free, want at most 1 s", got)
	}
	if got := lostAfter(1); got < maxExpiryDelay/2 || got > maxExpiryDelay+time.Second {
		t.Errorf("run lost %v after its lease expired with the link full, want about %v", got, maxExpiryDelay)
	}
}
