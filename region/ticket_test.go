package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// The tests of this file begin the next incarnation of a worker unnoticed. A start that names the
// earlier one reaches it, and its ticket was issued for it.

// Guards against a task that runs twice at once: its ticket was issued, and its start executed, in
// the incarnation that an unverified entry names.
func TestStartWithTicketOfUnverifiedIncarnation(t *testing.T) { randomHistory(t, 66186) }

// unnoticedWorld returns a world in which the next incarnation of w1 has begun, and neither the host
// list nor a probe has shown it.
func unnoticedWorld(t *testing.T, cores int64) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 10 * time.Second }
	fw := w.addWorker("w1", cores)
	w.startLeader()
	w.run(300 * time.Millisecond)
	w.beginUnnoticed(fw)
	return w, fw
}

// beginUnnoticed begins the next incarnation of a worker, with a new clock, once a probe is answered.
func (w *world) beginUnnoticed(fw *fakeWorker) {
	before := w.sched.workers[fw.entry.ID].probedAt
	for w.sched.workers[fw.entry.ID].probedAt == before {
		w.run(time.Millisecond)
	}
	earlier := fw.entry
	fw.clearState(w)
	fw.listed = &earlier
	fw.bornAt = w.now
	fw.entry.BornUnix++
}

// show writes the entry of the present incarnation into the host list.
func (w *world) show(fw *fakeWorker) {
	fw.listed = nil
	w.deliver(WorkerListed{Entry: fw.entry})
}

func advised(id string, s *record.Step) *record.Job {
	s.Count, s.EstimateMs = max(1, s.Count), 10_000
	j := oneStep(id, s)
	j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000,
		Advice: &record.Advice{DecideMs: 5, EachMs: 1, ValidMs: 2000}}
	return j
}

// untilStarted runs the world until the task of a job is started.
func (w *world) untilStarted(job string) {
	w.t.Helper()
	for range 1000 {
		if w.starts[model.TaskID{Job: job}] > 0 {
			return
		}
		w.run(time.Millisecond)
	}
	w.fatal("job %s is not started", job)
}

// Guards against the same with an entry that is read only after the start was answered.
func TestStartAnsweredByUnlistedIncarnation(t *testing.T) {
	jobs := map[string]*record.Job{"with advice": advised("a", &record.Step{}), "without advice": deferrable("a", &record.Step{})}
	for name, j := range jobs {
		t.Run(name, func(t *testing.T) {
			w, fw := unnoticedWorld(t, 8)
			w.submit(j)
			w.untilStarted("a")
			w.run(2 * testDelay)
			w.addWorker("w2", 8)
			w.show(fw)
			w.run(20 * time.Second)
			w.mustRunOnce("a")
		})
	}
}

// Guards against the same under a new leader, which reads in the log that the run was assigned to
// the earlier incarnation.
func TestInheritedStartWithTicketOfNextIncarnation(t *testing.T) {
	w, fw := unnoticedWorld(t, 8)
	w.submit(advised("a", &record.Step{}))
	w.untilStarted("a")
	w.stopLeader()
	w.addWorker("w2", 8)
	fw.listed = nil
	w.startLeader()
	w.run(20 * time.Second)
	w.mustRunOnce("a")
}

// Guards against a task that runs twice at once: its start is held up, a probe shows that the
// incarnation that it names has ended, and the next one executes it before it is listed.
func TestLateStartWithTicketOfNextIncarnation(t *testing.T) {
	w, fw := unnoticedWorld(t, 8)
	w.callDelay = func(call string) time.Duration { return map[string]time.Duration{"start": time.Second}[call] }
	w.submit(advised("a", &record.Step{}))
	w.run(50 * time.Millisecond)
	w.callDelay = func(string) time.Duration { return 0 }
	w.addWorker("w2", 8)
	w.run(1500 * time.Millisecond)
	w.show(fw)
	w.run(30 * time.Second)
	w.mustRunOnce("a")
}

// Guards against a task that runs twice at once: the next incarnation has executed its start, is cut
// off before the answer, and its lease lasts longer than that of the earlier one.
func TestLeaseOfStartWithTicketOfNextIncarnation(t *testing.T) {
	w, fw := unnoticedWorld(t, 8)
	w.show(fw)
	w.run(2 * testLease)
	w.beginUnnoticed(fw)
	j := advised("a", &record.Step{})
	j.Steps[0].EstimateMs = 500 // a short lease
	w.submit(j)
	w.losesAnswer = func(string) bool { return true }
	w.untilStarted("a")
	w.losesAnswer = func(string) bool { return false }
	fw.unreachable = true
	w.addWorker("w2", 8)
	w.run(40 * time.Second)
	w.mustComplete("a")
}

// Guards against a task that starts again after it was done: a probe of the earlier incarnation is
// held up, and acknowledges the end of the run in the next one before it was read.
func TestLateProbeDropsEndOfStartWithTicket(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 200 * time.Millisecond }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	held := false
	w.callDelay = func(call string) time.Duration {
		if call != "hold" || held || w.sched.workers["w1"].ackFence == 0 {
			return 0
		}
		held = true
		return 700 * time.Millisecond
	}
	w.submit(advised("earlier", &record.Step{}))
	for !held {
		w.run(time.Millisecond)
	}
	earlier := fw.entry
	fw.clearState(w)
	fw.listed, fw.bornAt = &earlier, w.now
	fw.entry.BornUnix++
	w.submit(advised("a", &record.Step{}))
	w.untilStarted("a")
	w.run(time.Second)
	w.show(fw)
	w.run(10 * time.Second)
	w.mustRunOnce("a")
}

// Guards against a worker above its capacity: its next incarnation executes the late start of a run
// whose end is deferred, and those with tickets for the room of that run.
func TestNextLifeHasRoomForStartWithTicket(t *testing.T) {
	for name, jobs := range map[string][]*record.Job{
		"at once":             {advised("b", &record.Step{Count: 2})},
		"one after the other": {advised("b", &record.Step{}), advised("c", &record.Step{})},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.runTime = func(id model.TaskID) time.Duration {
				if id.Job == "a" {
					return time.Second
				}
				return 10 * time.Second
			}
			fw := w.addWorker("w1", 2)
			w.startLeader()
			w.run(100 * time.Millisecond)
			fw.unreachable = true
			w.submit(deferrable("a", &record.Step{}))
			w.run(100 * time.Millisecond)
			r := w.sched.findTask(model.TaskID{Job: "a"}).run
			first := model.StartRequest{RunID: r.id(), Worker: r.target(), UntilMs: r.leaseUntil, Fence: w.sched.fenceOf(r.worker)}
			fw.unreachable = false
			for !r.idle {
				w.run(time.Millisecond)
			}
			w.beginUnnoticed(fw)
			for _, j := range jobs {
				w.submit(j)
				w.run(25 * time.Millisecond)
			}
			w.start(fw, first)
			w.show(fw)
			w.run(time.Minute)
			w.mustComplete("a", "b")
		})
	}
}

// Guards against an end that waits: the next incarnation has executed one of two starts that got no
// answer, and lists the end of their run.
func TestEndOfStartWithTicketIsNotDeferred(t *testing.T) {
	w, fw := unnoticedWorld(t, 8)
	w.runTime = func(model.TaskID) time.Duration { return 700 * time.Millisecond }
	w.losesAnswer = func(string) bool { return true }
	w.submit(advised("a", &record.Step{}))
	w.untilStarted("a")
	w.run(900 * time.Millisecond)
	w.losesAnswer = func(string) bool { return false }
	w.show(fw)
	w.run(500 * time.Millisecond)
	w.mustRunOnce("a")
	if n := w.sched.jobs["a"].occs[0].steps[0].tasks[0].lastRun; n != 1 {
		t.Errorf("run %d was assigned", n)
	}
}

// Guards against a task that waits for a start that no incarnation accepts any more: the next one has
// answered and does not list its run.
func TestWaitForStartWithTicketEndsWithNextAnswer(t *testing.T) {
	w, fw := unnoticedWorld(t, 8)
	w.callDelay = func(call string) time.Duration { return map[string]time.Duration{"start": time.Hour}[call] }
	w.submit(advised("a", &record.Step{}))
	w.run(50 * time.Millisecond)
	w.callDelay = func(string) time.Duration { return 0 }
	w.show(fw)
	w.run(500 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Errorf("%d runs in the next incarnation, want the new one", n)
	}
}

// Guards against a task that starts again after it was done: of two probes with one fencing token
// that acknowledge ends, the first is held up and drops the end of a late start.
func TestLostAcknowledgementDropsEndOfLateStart(t *testing.T) {
	const hold = 2 * time.Second
	h, fw := newHeldWorld(t, 8)
	h.listAfter = 1200 * time.Millisecond
	h.runTime = func(model.TaskID) time.Duration { return 500 * time.Millisecond }
	var heldAt time.Duration
	h.probeHeld = func() time.Duration {
		if heldAt > 0 || h.sched.workers["w1"].ackFence == 0 {
			return 0
		}
		heldAt = h.now
		h.note("a probe that acknowledges an end is held up")
		return 6 * time.Second
	}
	h.submit(deferrable("earlier", &record.Step{}))
	h.untilTrue("a probe is held up", func() bool { return heldAt > 0 })
	h.advance(3200 * time.Millisecond)
	h.calls, h.delays = 0, []time.Duration{hold}
	h.submitHeld(deferrable("a", &record.Step{}))
	h.until(200 * time.Millisecond)
	fw.unreachable = true
	h.addWorker("w2", 8)
	h.restartBefore(fw, hold)
	h.finish("a")
}

// Guards against a wait that costs a task its time: its start got no answer, and the incarnation that
// it names has answered a probe since the ticket was issued.
func TestNoWaitForStartWithTicketOfKnownIncarnation(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 1)
	w.startLeader()
	w.run(2 * testLease)
	j := advised("a", &record.Step{Count: 2}) // the second task starts after the first, with the same ticket
	j.Steps[0].EstimateMs = 500
	w.submit(j)
	w.untilStarted("a")
	w.run(300 * time.Millisecond)
	w.losesAnswer = func(call string) bool { return call == "start" }
	for w.starts[model.TaskID{Job: "a", Index: 1}] == 0 {
		w.run(time.Millisecond)
	}
	fw.unreachable = true
	w.addWorker("w2", 1)
	w.run(shortLease + 2*time.Second)
	w.mustComplete("a")
}

// Guards against a task that runs twice at once: the next incarnation has answered its start, and is
// known from an answer to a probe long before it is listed.
func TestStartAnsweredByIncarnationListedLate(t *testing.T) {
	for name, j := range map[string]*record.Job{"with advice": advised("a", &record.Step{}), "without advice": deferrable("a", &record.Step{})} {
		t.Run(name, func(t *testing.T) {
			w, fw := unnoticedWorld(t, 8)
			w.submit(j)
			w.untilStarted("a")
			w.addWorker("w2", 8)
			w.run(2 * time.Second)
			w.show(fw)
			w.run(20 * time.Second)
			w.mustRunOnce("a")
		})
	}
}

// Guards against a task that waits for the end of a lease: its start was answered just before its
// worker crashed, and another worker answers at the address.
func TestNoWaitForAnsweredStartAtReassignedAddress(t *testing.T) {
	for name, j := range map[string]*record.Job{"with advice": advised("a", &record.Step{}), "without advice": deferrable("a", &record.Step{})} {
		t.Run(name, func(t *testing.T) {
			w, fw := unnoticedWorld(t, 8)
			w.submit(j)
			w.untilStarted("a")
			w.run(2 * testDelay)
			fw.clearState(w)
			fw.replaced = true
			w.run(500 * time.Millisecond)
			next := w.newWorker("w2", 8)
			next.entry.Address, next.entry.BornUnix = fw.entry.Address, fw.entry.BornUnix+1
			w.deliver(WorkerListed{Entry: next.entry})
			w.run(time.Second)
			if n := len(next.runs); n != 1 {
				t.Errorf("%d runs on the worker that has the address, want 1", n)
			}
		})
	}
}
