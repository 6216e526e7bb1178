package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// The tests of this file force one order of events each: a start call without an answer is
// held up, and is executed in its worker's next incarnation, before that has answered a
// probe. They do not depend on how the scheduler avoids the failure.

// Guards against a task that runs again after its job was completed: its first start is held
// up, the second one was executed.
func TestFirstStartInNextLifeAfterDone(t *testing.T) {
	eachHold(t, func(t *testing.T, hold time.Duration) {
		h, fw := newHeldWorld(t, 8, hold)
		h.submitHeld(deferrable("a", &record.Step{}))
		h.restartBefore(fw, hold)
		h.finish("a")
	})
}

// Guards against the same where the next incarnation begins, and the start is executed, while
// there is no leader.
func TestFirstStartInNextLifeWithoutLeader(t *testing.T) {
	eachHold(t, func(t *testing.T, hold time.Duration) {
		h, fw := newHeldWorld(t, 8, hold)
		h.submitHeld(deferrable("a", &record.Step{}))
		h.until(hold - 100*time.Millisecond)
		h.stopLeader()
		h.restartBefore(fw, hold)
		h.startLeader()
		h.finish("a")
	})
}

// Guards against the same where the first start was executed without an answer, and the
// second one is held up.
func TestSecondStartInNextLifeAfterDone(t *testing.T) {
	eachHold(t, func(t *testing.T, hold time.Duration) {
		h, fw := newHeldWorld(t, 8, 0, hold)
		h.onSent = func(n int) {
			if n == 1 {
				until := h.now + 300*time.Millisecond
				h.losesAnswer = func(string) bool { return h.now < until }
			}
		}
		h.submitHeld(deferrable("a", &record.Step{}))
		h.until(600 * time.Millisecond)
		if h.calls < 2 {
			h.finish("a") // a scheduler without a second start
			return
		}
		h.restartBefore(fw, hold+430*time.Millisecond)
		h.finish("a")
	})
}

// Guards against a start beyond the allowed attempts: the run of the other start has failed,
// and its job was shown as failed.
func TestFirstStartInNextLifeAfterLastFailure(t *testing.T) {
	eachHold(t, func(t *testing.T, hold time.Duration) {
		h, fw := newHeldWorld(t, 8, hold)
		h.fails = func(model.TaskID, int32) bool { return true }
		j := deferrable("a", &record.Step{})
		j.Policy = &record.Policy{Service: "svc", MaxAttempts: 1, Stretch: 2, TargetLatencyMs: 1000}
		h.submitHeld(j)
		h.restartBefore(fw, hold)
		h.advance(45 * time.Second)
		if h.states["a"] != StateFailed {
			h.fatal("job is %v, want failed", h.states["a"])
		}
	})
}

// Guards against a task that runs twice at once, or again after it was done: a run of it has
// failed, the next one is on another worker, and a start of the failed one is executed.
func TestFirstStartInNextLifeAfterFailure(t *testing.T) {
	for name, second := range map[string]time.Duration{"next run done": time.Second, "next run under way": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			eachHold(t, func(t *testing.T, hold time.Duration) {
				h, fw := newHeldWorld(t, 8, hold)
				h.fails = func(_ model.TaskID, run int32) bool { return run == 1 }
				h.runTime = func(model.TaskID) time.Duration {
					if h.failures[model.TaskID{Job: "a"}] > 0 {
						return second
					}
					return time.Second
				}
				h.submitHeld(deferrable("a", &record.Step{}))
				h.addWorker("w2", 8)
				h.restartBefore(fw, hold)
				h.finish("a")
			})
		})
	}
}

// Guards against the loss of an outstanding start at a change of leader: the new one knows
// from the log only that the run was assigned, or that it has ended.
func TestFirstStartInNextLifeAfterChangeOfLeader(t *testing.T) {
	id := model.TaskID{Job: "a"}
	changes := map[string]func(h *heldWorld, fw *fakeWorker) bool{
		"before the end": func(h *heldWorld, fw *fakeWorker) bool {
			return len(fw.runs) > 0 && h.now > h.firstSent+800*time.Millisecond
		},
		"before the acknowledgement": func(h *heldWorld, fw *fakeWorker) bool { return len(fw.ends) > 0 },
		"after the acknowledgement":  func(h *heldWorld, fw *fakeWorker) bool { return h.doneRuns[id] > 0 && len(fw.ends) == 0 },
	}
	for name, due := range changes {
		t.Run(name, func(t *testing.T) {
			eachHold(t, func(t *testing.T, hold time.Duration) {
				h, fw := newHeldWorld(t, 8, hold)
				h.submitHeld(deferrable("a", &record.Step{}))
				for h.now < h.firstSent+hold-4*rebirthLead && !due(h, fw) {
					h.advance(time.Millisecond)
				}
				h.changeLeader()
				h.restartBefore(fw, hold)
				h.finish("a")
			})
		})
	}
}

// Guards against a task that runs twice at once: after a change of leader the worker lists
// the run, which says nothing of the other start. The worker crashes, and the task is
// started elsewhere.
func TestFirstStartInNextLifeOfInheritedRun(t *testing.T) {
	for name, change := range map[string]bool{"one leader": false, "two leaders": true} {
		t.Run(name, func(t *testing.T) {
			eachHold(t, func(t *testing.T, hold time.Duration) {
				h, fw := newHeldWorld(t, 8, hold)
				h.runTime = func(model.TaskID) time.Duration { return 15 * time.Second }
				h.submitHeld(deferrable("a", &record.Step{}))
				h.addWorker("w2", 8)
				h.until(900 * time.Millisecond)
				if change {
					h.changeLeader()
				}
				h.listAfter = 0
				h.until(hold - 2*rebirthLead)
				fw.unreachable = true // the first probe of the next incarnation is lost
				h.until(hold - rebirthLead)
				h.restart(fw)
				fw.unreachable = true
				h.until(hold)
				fw.unreachable = false
				h.finish("a")
			})
		})
	}
}

// Guards against a task that starts again after callers saw its job as completed: the end is
// in the log, and its worker crashes before the acknowledgement.
func TestFirstStartInNextLifeAfterPublication(t *testing.T) {
	h, fw := newHeldWorld(t, 8, dropped)
	id := model.TaskID{Job: "a"}
	var request model.StartRequest
	h.onSent = func(n int) {
		if n == 1 {
			request = h.requestOf(id)
		}
	}
	h.runTime = func(model.TaskID) time.Duration { return 2500 * time.Millisecond }
	h.submitHeld(deferrable("a", &record.Step{}))
	for h.now < h.firstSent+11*time.Second && h.ended["a"] == StateUnknown {
		h.advance(time.Millisecond)
	}
	h.restart(fw)
	h.advance(rebirthLead)
	h.note("the held-up start arrives, outcome %d", h.start(fw, request))
	h.finish("a")
}

// Guards against a gang member that starts again after its gang was done: its first start is
// held up. One member lists the end for all.
func TestGangStartInNextLifeAfterDone(t *testing.T) {
	for name, other := range map[string]bool{"end listed by its own worker": false, "end listed by another worker": true} {
		t.Run(name, func(t *testing.T) {
			eachHold(t, func(t *testing.T, hold time.Duration) {
				delays := []time.Duration{hold}
				if other {
					delays = []time.Duration{hold, dropped} // the member whose start is held up joins first
				}
				h, _ := newHeldWorld(t, 1, delays...)
				h.addWorker("w2", 1)
				h.advance(100 * time.Millisecond)
				h.submitHeld(deferrable("a", &record.Step{Count: 2, Gang: true}))
				fw := h.workerOf(model.TaskID{Job: "a"}) // the first start is that of the first member
				h.restartBefore(fw, hold)
				h.finish("a")
			})
		})
	}
}
