package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a task that runs again after it was done: a probe that acknowledges ends of
// the earlier incarnation is sent before the start, both are held up, and the next
// incarnation executes the start first.
func TestLateAcknowledgementBeforeLateStart(t *testing.T) {
	const hold = 3 * time.Second
	h, fw := newHeldWorld(t, 8)
	h.listAfter = 1200 * time.Millisecond
	h.runTime = func(model.TaskID) time.Duration { return 500 * time.Millisecond }
	h.submit(deferrable("earlier", &record.Step{}))
	h.untilTrue("the end of the earlier task is in the log", func() bool { return h.sched.workers["w1"].ends.unacked() > 0 })
	probeHeld := false
	h.probeHeld = func() time.Duration {
		if w := h.sched.workers["w1"]; probeHeld || w.ackFence != h.sched.fenceOf(w) {
			return 0
		}
		probeHeld = true
		return hold + 800*time.Millisecond
	}
	h.untilTrue("a probe that acknowledges is sent", func() bool { return probeHeld })
	h.calls, h.delays = 0, []time.Duration{hold}
	h.submitHeld(deferrable("a", &record.Step{}))
	h.until(hold - rebirthLead)
	fw.unreachable = true
	h.addWorker("w2", 8)
	h.restartBefore(fw, hold)
	h.finish("a")
}

// Guards against a worker that is idle while the end of a run on it is deferred.
func TestDeferredEndFreesRoom(t *testing.T) {
	h, fw := newHeldWorld(t, 2, 9*time.Second)
	h.submitHeld(deferrable("a", &record.Step{}))
	h.untilTrue("the task has ended", func() bool { return len(fw.ends) > 0 })
	h.submit(deferrable("b", &record.Step{Count: 2}))
	h.advance(1500 * time.Millisecond)
	h.mustComplete("b")
	if h.states["a"] == StateCompleted {
		t.Error("the job is completed while a start of its task may still be executed")
	}
	h.finish("a")
}

// Guards against a worker above its capacity: its next incarnation executes the late starts
// of runs whose ends are deferred, and one of a run that took their room.
func TestNextLifeHasRoomForLateStarts(t *testing.T) {
	const hold = 9 * time.Second
	h, fw := newHeldWorld(t, 2, hold)
	h.submitHeld(deferrable("a", &record.Step{}))
	h.untilTrue("the task has ended", func() bool { return len(fw.ends) > 0 })
	h.delays = append(h.delays, make([]time.Duration, h.calls-len(h.delays))...)
	for range 2 {
		h.delays = append(h.delays, h.firstSent+hold-h.now)
	}
	h.submit(deferrable("b", &record.Step{Count: 2}))
	h.restartBefore(fw, hold+time.Second/2)
	h.finish("b")
	h.mustComplete("a")
}

// Guards against a wait for a start whose outcome is known: the earlier leader sent it once,
// and its worker lists the run.
func TestListedRunOfEarlierLeaderIsNotAwaited(t *testing.T) {
	h, _ := newHeldWorld(t, 8)
	h.losesAnswer = func(call string) bool { return call == "start" }
	h.submitHeld(deferrable("a", &record.Step{}))
	h.advance(2 * testDelay)
	h.changeLeader()
	h.advance(1500 * time.Millisecond)
	h.mustComplete("a")
}

// Guards against a second start, whose first one was executed: the end of its run would be
// deferred.
func TestStartWithLostAnswerIsNotSentAgain(t *testing.T) {
	h, _ := newHeldWorld(t, 8)
	h.losesAnswer = func(call string) bool { return call == "start" }
	h.submitHeld(deferrable("a", &record.Step{}))
	h.advance(1500 * time.Millisecond)
	h.mustComplete("a")
	if h.calls != 1 {
		t.Errorf("%d starts were sent, want 1", h.calls)
	}
}

// Guards against an urgent task that waits until it is worthless, because its start was sent
// to a worker that had become unreachable.
func TestUrgentTaskIsNotStartedOnUnreachableWorker(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(testLease * 2)
	w.runTime = func(model.TaskID) time.Duration { return urgentRun }
	fw.unreachable = true
	w.submit(urgentJob("a"))
	w.run(20 * time.Millisecond)
	w.addWorker("w2", 8)
	w.run(urgentUseless)
	w.mustComplete("a")
}

// Guards against a worker that refuses the calls of the next leader: fencing tokens of one
// leader must stay below those of its successor.
func TestLeaderStepsDownWhenFencingTokensAreUsedUp(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	of := w.sched.workers["w1"]
	of.fenceSteps = 1<<fenceStepBits - 1
	w.sched.out = nil
	w.sched.raiseFence(of)
	if token, next := w.sched.fenceOf(of), (w.sched.fence+1)<<fenceStepBits; token >= next {
		t.Errorf("fencing token %d, want less than that of the next leader, %d", token, next)
	}
	if len(w.sched.out) != 1 {
		t.Fatalf("%d commands, want one", len(w.sched.out))
	}
	if _, ok := w.sched.out[0].(StepDown); !ok {
		t.Errorf("command %T, want StepDown", w.sched.out[0])
	}
}
