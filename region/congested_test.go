package region

import (
	"testing"
	"time"
)

// A task is done, its worker lists the end, and the answer that tells of it waits in the
// leader's own full link for longer than the lease. The leader took the run for dead and
// started the task again. It waits for the worker as long as its link is full, but no
// longer than maxExpiryDelay: the worker may really be gone.
func TestLeaseThatEndsWhileTheLinkIsFull(t *testing.T) {
	lostAfter := func(load float64) time.Duration {
		w := mixedWorld(t, 1)
		w.submitTo(urgentJob("u1"), "urgent")
		for len(w.sched.order[0].runs) == 0 || w.sched.order[0].runs[0].phase != phaseRunning {
			w.run(5 * time.Millisecond)
		}
		w.workers["w0"].unreachable = true
		over := w.sched.order[0].lapsesAt()
		w.linkLoad = load
		for at := w.now; w.now < at+10*time.Second; w.run(5 * time.Millisecond) {
			if len(w.sched.order) == 0 || len(w.sched.order[0].runs) == 0 {
				return w.now - over
			}
		}
		t.Fatal("the run is never lost")
		return 0
	}
	if got := lostAfter(0); got > time.Second {
		t.Errorf("lost %v after the end of its lease with the link free", got)
	}
	if got := lostAfter(1); got < maxExpiryDelay/2 || got > maxExpiryDelay+time.Second {
		t.Errorf("lost %v after the end of its lease with the link full, want some %v", got, maxExpiryDelay)
	}
}
