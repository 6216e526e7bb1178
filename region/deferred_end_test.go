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

// Guards against the same with a probe that is sent after the start.
func TestLateAcknowledgementAfterLateStart(t *testing.T) {
	const hold = 4 * time.Second
	h, fw := newHeldWorld(t, 8)
	h.listAfter = 1500 * time.Millisecond
	h.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "a" {
			return 500 * time.Millisecond
		}
		return 3 * time.Second
	}
	h.submit(deferrable("b", &record.Step{}))
	h.untilTrue("b runs", func() bool { return len(fw.runs) > 0 })
	h.advance(2500 * time.Millisecond)
	h.calls, h.delays = 0, []time.Duration{hold, dropped, dropped, dropped}
	probeHeld := false
	h.probeHeld = func() time.Duration {
		w := h.sched.workers["w1"]
		if h.calls == 0 || probeHeld || w.ends.committed == 0 || w.ackFence == 0 {
			return 0
		}
		probeHeld = true
		return h.firstSent + hold + 700*time.Millisecond - h.now
	}
	h.submitHeld(deferrable("a", &record.Step{}))
	h.until(1500 * time.Millisecond)
	fw.unreachable = true
	h.addWorker("w2", 8)
	h.restartBefore(fw, hold)
	h.finish("a")
}

// Guards against a start after the job was shown as completed: an earlier run, on a worker
// that was out of reach, is done, while a start of the present one may still be executed.
func TestEarlierRunDoneWhileStartIsOpen(t *testing.T) {
	for name, hold := range map[string]time.Duration{"second start sent": 9 * time.Second, "in doubt": 11 * time.Second} {
		t.Run(name, func(t *testing.T) {
			h, fw := newHeldWorld(t, 8, 0, hold, dropped, dropped, dropped)
			h.runTime = func(model.TaskID) time.Duration { return 3 * time.Second }
			h.submitHeld(deferrable("a", &record.Step{}))
			w2 := h.addWorker("w2", 8)
			h.until(1500 * time.Millisecond)
			fw.unreachable = true
			h.untilTrue("run 2 is sent", func() bool { return h.calls >= 2 })
			sent := h.now
			h.advance(100 * time.Millisecond)
			if name == "in doubt" {
				h.restart(w2)
			}
			h.advance(time.Second)
			fw.unreachable = false
			h.advance(sent + hold - rebirthLead - h.now)
			h.restart(w2)
			h.finish("a")
		})
	}
}

// Guards against an acknowledgement of ends that are not in the log: a deferred one was
// applied while the log is down, and a later one was in the log before.
func TestDeferredEndWithLogDown(t *testing.T) {
	h, _ := newHeldWorld(t, 8, dropped)
	h.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "b" {
			return 3 * time.Second
		}
		return time.Second
	}
	h.submitHeld(deferrable("a", &record.Step{}))
	h.submit(deferrable("b", &record.Step{}))
	window := callTimeout + lateCallWindow
	h.until(window - 100*time.Millisecond)
	h.logDown = true
	h.until(window + 500*time.Millisecond)
	h.changeLeader()
	h.logDown = false
	h.advance(40 * time.Second)
	h.mustRunOnce("a")
	h.mustRunOnce("b")
}

// Guards against a run whose end is deferred although its start calls are long over: the next
// leader would not know.
func TestOldStartCallsAreSettled(t *testing.T) {
	h, _ := newHeldWorld(t, 8, dropped)
	h.runTime = func(model.TaskID) time.Duration { return 61 * time.Second }
	h.submitHeld(deferrable("a", &record.Step{}))
	h.until(60 * time.Second)
	h.changeLeader()
	h.until(65 * time.Second)
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
	h.onSent = func(int) {
		until := h.now + callTimeout + 10*time.Millisecond // no probe is answered before the start times out
		h.losesAnswer = func(string) bool { return h.now < until }
	}
	h.submitHeld(deferrable("a", &record.Step{}))
	h.advance(2 * time.Second)
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

// Guards against a task that runs again after its job was completed: another worker has the
// address for a moment, the first one is back there under its id, and executes the start.
func TestLateStartAfterAnotherWorkerAtAddress(t *testing.T) {
	const hold = 9 * time.Second
	h, fw := newHeldWorld(t, 8, hold)
	h.submitHeld(deferrable("a", &record.Step{}))
	h.addWorker("w2", 8)
	h.until(5 * time.Second)
	gone, other := fw.entry, fw.entry
	other.ID, other.BornUnix = "w3", h.now.Milliseconds()
	fw.clearState(h.world)
	fw.listed = &gone
	fw.unreachable = true
	h.addWorker("w3", 8)
	h.workers["w3"].entry = other
	h.deliver(WorkerListed{Entry: other})
	h.until(hold - rebirthLead)
	h.workers["w3"].unreachable = true
	h.restart(fw)
	h.finish("a")
}
