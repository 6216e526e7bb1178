package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

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
	h.restartBefore(fw, hold)
	h.finish("b")
	h.mustComplete("a")
}

// Guards against a workspace above its cap: the next incarnation executes the late starts of
// runs whose ends are deferred, while other tasks use what they had.
func TestCapIsKeptForLateStarts(t *testing.T) {
	const hold, tasks = 9 * time.Second, 20
	delays := make([]time.Duration, tasks)
	for i := range delays {
		delays[i] = hold
	}
	h, fw := newHeldWorld(t, 40, delays...)
	h.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "a" {
			return time.Second
		}
		return 20 * time.Second
	}
	h.submitHeld(deferrable("a", &record.Step{Count: tasks}))
	h.addWorker("w2", 60)
	h.until(3 * time.Second)
	if n := h.sched.workers["w1"].idleRuns; n != tasks {
		t.Fatalf("%d ends are deferred, want %d", n, tasks)
	}
	h.submit(deferrable("b", &record.Step{Count: 40}))
	h.restartBefore(fw, hold)
	h.advance(time.Minute)
	h.mustComplete("a", "b")
}

// Guards against a task of a service that waits because room that is kept for late starts
// looks free: nothing is preempted for it.
func TestPreemptionLeavesRoomForLateStarts(t *testing.T) {
	h, _ := newHeldWorld(t, 1, dropped)
	h.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "a" {
			return time.Second
		}
		return 40 * time.Second
	}
	h.submitHeld(deferrable("a", &record.Step{}))
	h.addWorker("w2", 1)
	h.submitTo(deferrable("b", &record.Step{}), "q2")
	h.untilTrue("a has ended", func() bool { return h.doneRuns[model.TaskID{Job: "a"}] > 0 })
	h.advance(100 * time.Millisecond)
	from := h.now
	h.submit(oneStep("service", &record.Step{Count: 1, LongRunning: true}))
	h.untilTrue("the service runs", func() bool { return h.starts[model.TaskID{Job: "service"}] > 0 })
	if took := h.now - from; took > preemptDelay+time.Second {
		t.Errorf("it runs after %v, want at most a second after %v", took, preemptDelay)
	}
}

// Guards against room that is counted as free and as freed soon.
func TestFreedRoomExcludesDeferredEnds(t *testing.T) {
	h, _ := newHeldWorld(t, 8, dropped)
	h.submitHeld(deferrable("a", &record.Step{}))
	h.until(5 * time.Second)
	w := h.sched.workers["w1"]
	if w.idleRuns != 1 {
		t.Fatal("no end is deferred")
	}
	if sum := w.free().Add(h.sched.freedWithin(w, time.Minute)); !sum.Fits(w.entry.Capacity) {
		t.Errorf("%v is free or freed soon, the capacity is %v", sum, w.entry.Capacity)
	}
}

// Guards against a worker whose list of ends is full, so that later ends are not seen: every
// fortieth start gets no answer, and each defers acknowledgements.
func TestListOfEndsIsNotFilledByLostStarts(t *testing.T) {
	const seconds = 60
	h, fw := newHeldWorld(t, 16)
	h.runTime = func(model.TaskID) time.Duration { return 200 * time.Millisecond }
	h.onSent = func(n int) {
		for len(h.delays) < n {
			h.delays = append(h.delays, 0)
		}
		if n%40 == 0 {
			h.delays[n-1] = dropped
		}
	}
	var jobs []string
	most := 0
	for i := range seconds * 10 {
		id := fmt.Sprint("j", i)
		jobs = append(jobs, id)
		h.submit(deferrable(id, &record.Step{Count: 2}))
		h.run(100 * time.Millisecond)
		most = max(most, len(fw.ends))
	}
	if most >= maxEndsListed {
		t.Errorf("%d ends without an acknowledgement, a list holds %d", most, maxEndsListed)
	}
	h.run(2 * time.Minute)
	h.mustComplete(jobs...)
}
