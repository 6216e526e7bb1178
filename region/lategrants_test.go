package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// In these tests the next incarnation of w1 has begun unnoticed and executes all calls, but no answer
// comes back. Its lease decides when the task may start on w2.

// lateGrantWorld is such a world. delay returns how late the n-th call of a kind is executed that is
// sent after arm was called, from 0.
type lateGrantWorld struct {
	*world
	fw    *fakeWorker
	calls map[string]int
}

func newLateGrantWorld(t *testing.T, delay func(call string, n int) time.Duration) *lateGrantWorld {
	w, fw := unnoticedWorld(t, 8)
	w.runTime = func(model.TaskID) time.Duration { return 40 * time.Second }
	w.fails = func(model.TaskID, int32) bool { return false }
	g := &lateGrantWorld{world: w, fw: fw, calls: make(map[string]int)}
	fw.answersLost = true
	w.callDelay = func(call string) time.Duration {
		n := g.calls[call]
		g.calls[call]++
		return delay(call, n)
	}
	return g
}

// finish adds the worker on which the task is started again, and fails the test unless it is.
func (g *lateGrantWorld) finish(limit time.Duration) {
	g.t.Helper()
	g.addWorker("w2", 8)
	a := model.TaskID{Job: "a"}
	g.run(limit)
	if g.starts[a] != 2 {
		g.fatal("started %d times within %v, want 2", g.starts[a], limit)
	}
}

// unansweredStart starts a task with a ticket on w1, which does not answer.
func unansweredStart(t *testing.T) (*world, *run) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(time.Second)
	w.callDelay = func(call string) time.Duration {
		fw.unreachable = fw.unreachable || call == "start"
		return 0
	}
	w.submit(advised("a", &record.Step{}))
	w.run(200 * time.Millisecond)
	return w, w.sched.findTask(model.TaskID{Job: "a"}).run
}

// Guards against a task that waits for a probe which was sent after its start and before the start
// was answered: such a probe grants nothing until the incarnation has answered another one.
func TestProbeBesideUnansweredStartGrantsNothing(t *testing.T) {
	w, r := unansweredStart(t)
	fw := r.worker
	grants := func() bool {
		fw.probing, fw.probeMissed, fw.clockAt = false, false, w.now
		w.sched.out = nil
		w.sched.now = w.now
		w.sched.probe(fw, 0)
		return w.sched.out[0].(Probe).Request.UntilMs > 0
	}
	if grants() {
		t.Error("a lease is granted before the start is answered")
	}
	fw.probedAt = w.now
	if !grants() {
		t.Error("no lease is granted although the incarnation of the start answers")
	}
}

// Guards against a task that waits for a start which was not executed: that is known only after the run is
// being stopped, or in doubt, as a new connection to its worker takes long to fail.
func TestStartThatWasNotSentIsNotAwaited(t *testing.T) {
	for name, giveUp := range map[string]func(*Scheduler, *run){
		"stopping": func(s *Scheduler, r *run) { s.stopRun(r, "test") },
		"in doubt": func(s *Scheduler, r *run) { s.awaitLateStart(r, "test") },
	} {
		t.Run(name, func(t *testing.T) {
			w, r := unansweredStart(t)
			giveUp(w.sched, r)
			request := model.StartRequest{RunID: r.id(), Worker: r.target(), Fence: w.sched.fenceOf(r.worker)}
			w.step(StartAnswered{Request: request, Err: CallNotSent})
			if r.task.run != nil {
				t.Errorf("the run is still in phase %d", r.task.run.phase)
			}
		})
	}
}

// Guards against a task that runs twice at once: the advice service issues the ticket of an earlier
// start once more, which makes that start valid again.
func TestTicketIssuedAgainIsAwaited(t *testing.T) {
	for _, again := range []bool{true, false} {
		w, r := unansweredStart(t)
		before := r.calls.expireAt
		ticket := "another"
		if again {
			ticket = r.ticket
		}
		r.task.step.advice.inFlight++
		call := Advise{Job: "a", Workers: []string{"w1"}}
		w.step(AdviceAnswered{Request: call, Tickets: []model.Ticket{{Worker: "w1", Ticket: ticket}}, At: w.now})
		if later := r.calls.expireAt > before; later != again {
			t.Errorf("the same ticket %v: awaited for longer %v", again, later)
		}
	}
}

// Guards against a task that runs twice at once: a worker that guards its capacity takes the lease of
// a late start which it refuses for want of room, whatever its ticket.
func TestLeaseOfStartWithoutRoomIsAwaited(t *testing.T) {
	w, r := unansweredStart(t)
	if until := r.worker.grants.last(r.calls.fence); until != r.calls.expireAt {
		t.Errorf("leases are granted until %v, want the end of the ticket at %v", until, r.calls.expireAt)
	}
	w.sched.config.Services = map[string]model.Service{"svc": {Name: "svc", EnforcesCapacity: true}}
	if until := w.sched.startGrantsUntil(r, w.now); until != w.now+lateCallWindow {
		t.Errorf("leases are granted until %v, want %v", until, w.now+lateCallWindow)
	}
}

const noDelay = time.Duration(0)

// secondStartLate delays the second start that is sent.
func secondStartLate(call string, n int) time.Duration {
	if call == "start" && n == 1 {
		return 5 * time.Second
	}
	return noDelay
}

// Guards against a task that runs twice at once: its start is executed in the last moment in which its
// ticket is valid, and its lease counts from then.
func TestTaskAwaitsLeaseOfLastValidMoment(t *testing.T) {
	g := newLateGrantWorld(t, func(call string, _ int) time.Duration {
		if call == "start" {
			return 1980 * time.Millisecond
		}
		return noDelay
	})
	g.submit(advised("a", &record.Step{}))
	g.run(3 * time.Second)
	g.callDelay = func(string) time.Duration { return 0 }
	g.finish(9 * time.Second)
}

// Guards against a task that runs twice at once: a probe that was sent before its start renews the
// lease of the incarnation that has executed the start.
func TestLateProbeDoesNotProlongStartWithTicket(t *testing.T) {
	g := newLateGrantWorld(t, func(call string, n int) time.Duration {
		if call == "hold" && n == 0 {
			return 5 * time.Second
		}
		return noDelay
	})
	for g.calls["hold"] == 0 {
		g.run(time.Millisecond)
	}
	g.submit(advised("a", &record.Step{}))
	g.untilStarted("a")
	g.finish(12 * time.Second)
}

// Guards against a task that runs twice at once: a second call of its start renews the lease of the
// incarnation that has executed the first one, after its ticket has expired.
func TestSecondStartDoesNotProlongStartWithTicket(t *testing.T) {
	g := newLateGrantWorld(t, secondStartLate)
	g.submit(advised("a", &record.Step{}))
	g.untilStarted("a")
	g.run(1500 * time.Millisecond)
	g.callDelay = func(string) time.Duration { return 0 }
	g.finish(12 * time.Second)
}

// Guards against a task that runs twice at once: the start of another task, which needs no ticket and
// was sent later, renews the lease of the incarnation that has executed its start.
func TestLateStartOfAnotherTaskIsAwaited(t *testing.T) {
	g := newLateGrantWorld(t, secondStartLate)
	g.submit(advised("a", &record.Step{}))
	g.untilStarted("a")
	g.submit(deferrable("b", &record.Step{}))
	g.run(time.Second)
	if g.calls["start"] != 2 {
		g.fatal("%d starts, want one of each job", g.calls["start"])
	}
	g.callDelay = func(string) time.Duration { return 0 }
	g.finish(25 * time.Second)
}

// Guards against a task that runs twice at once: the start of another task renews the lease of the
// incarnation that has executed its start, as it comes after a stop of that other task.
func TestStartAfterItsStopDoesNotProlong(t *testing.T) {
	g := newLateGrantWorld(t, secondStartLate)
	g.submit(advised("a", &record.Step{}))
	g.submit(advised("b", &record.Step{}))
	g.run(100 * time.Millisecond)
	if g.calls["start"] != 2 || g.starts[model.TaskID{Job: "a"}] != 1 {
		g.fatal("%d starts, want one of each job", g.calls["start"])
	}
	g.cancel("b")
	g.callDelay = func(string) time.Duration { return 0 }
	g.finish(12 * time.Second)
}

// Guards against a task that runs twice at once: the incarnation that has executed its start has also
// executed that of a speculative task, whose second call renews the lease after both tickets have expired.
func TestSecondStartOfSpeculativeTaskDoesNotProlong(t *testing.T) {
	g := newLateGrantWorld(t, func(call string, n int) time.Duration {
		if call == "start" && n == 2 {
			return 5 * time.Second
		}
		return noDelay
	})
	g.issuesTicket = func(step, worker string) bool { return worker == "w1" || step[0] == 'a' }
	g.submit(advised("b", &record.Step{Speculative: true}))
	g.submit(advised("a", &record.Step{}))
	g.untilStarted("a")
	g.untilStarted("b")
	g.run(1500 * time.Millisecond)
	g.callDelay = func(string) time.Duration { return 0 }
	g.finish(12 * time.Second)
}

// Guards against a task that runs twice at once: another task was started before its worker's incarnation
// ended, and is stopped afterwards. Its start comes after the stop and renews the lease of the next one.
func TestStartOfKnownIncarnationAfterItsStopDoesNotProlong(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 40 * time.Second }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(2 * time.Second)
	g := &lateGrantWorld{world: w, fw: fw, calls: make(map[string]int)}
	g.callDelay = func(call string) time.Duration {
		if g.calls[call]++; call == "start" && g.calls[call] == 1 {
			return 5 * time.Second
		}
		return noDelay
	}
	known := g.sched.workers["w1"]
	for known.probeSentAt-g.now != 40*time.Millisecond {
		g.run(time.Millisecond)
	}
	g.submit(advised("b", &record.Step{}))
	for g.calls["start"] == 0 {
		g.run(time.Millisecond)
	}
	fw.answerDelay = 300 * time.Millisecond
	for n := g.probes["w1"]; g.probes["w1"] == n; {
		g.run(time.Millisecond)
	}
	earlier := fw.entry
	fw.clearState(w)
	fw.listed, fw.bornAt, fw.answersLost = &earlier, g.now, true
	fw.entry.BornUnix++
	g.submit(advised("a", &record.Step{}))
	g.untilStarted("a")
	b := g.sched.findTask(model.TaskID{Job: "b"}).run
	g.run(500 * time.Millisecond)
	if !b.ticketBound() || b.phase != phaseSending {
		g.fatal("bound %v, phase %d, want a start to the known incarnation without an answer", b.ticketBound(), b.phase)
	}
	g.cancel("b")
	g.callDelay = func(string) time.Duration { return 0 }
	g.finish(12 * time.Second)
}

// Guards against the same once half of the worker's fencing tokens are used: where a stop raises none, the
// start that comes after it is awaited.
func TestStartAfterItsStopIsAwaitedWithoutTokens(t *testing.T) {
	w, r := unansweredStart(t)
	steps := int64(maxFenceSteps / 2)
	for _, c := range []struct {
		steps int64
		until time.Duration
	}{{steps - 1, 0}, {steps, w.now + lateCallWindow}} {
		r.worker.fenceSteps, r.worker.grants = c.steps, lateGrants{}
		r.calls.newestFence = w.sched.fenceOf(r.worker)
		w.sched.now = w.now
		w.sched.outdateStarts(r)
		if until := r.worker.grants.last(0); until != c.until {
			t.Errorf("%d tokens used: leases are granted until %v, want %v", c.steps, until, c.until)
		}
	}
}

// Guards against a task that runs twice at once: the start of another task, which needs no ticket, renews the
// lease of the incarnation that has executed its start. It is executed late from its time-out on.
func TestStartIsAwaitedFromItsTimeout(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(time.Second)
	w.callDelay = func(call string) time.Duration { return map[string]time.Duration{"start": time.Hour}[call] }
	w.submit(deferrable("b", &record.Step{}))
	w.run(100 * time.Millisecond)
	b := w.sched.findTask(model.TaskID{Job: "b"}).run
	request := model.StartRequest{RunID: b.id(), Worker: b.target(), Fence: w.sched.fenceOf(b.worker)}
	fw.unreachable = true
	w.run(2 * time.Second)
	w.step(StartAnswered{Request: request, Err: CallNoAnswer})
	if until, want := b.worker.grants.last(request.Fence), w.now+lateCallWindow; until != want {
		t.Errorf("leases are granted until %v, want %v", until, want)
	}
}

// Guards against a task that runs twice at once: the answer to a probe shows that another incarnation has
// executed it. It has renewed the lease there.
func TestProbeOfAnotherIncarnationHasGranted(t *testing.T) {
	w, r := unansweredStart(t)
	fw := r.worker
	fw.probing, fw.probeMissed, fw.clockAt = false, false, w.now
	fw.probedAt = w.now // bound, so that the probe grants a lease
	w.sched.out, w.sched.now = nil, w.now
	w.sched.probe(fw, 0)
	probe := w.sched.out[0].(Probe).Request
	w.now += 2 * time.Second
	w.step(ProbeAnswered{Request: probe, SentAt: w.now, Err: CallOtherIncarnation})
	if until := fw.grants.last(probe.Fence); until < w.now {
		t.Errorf("leases are granted until %v, want at least until the answer at %v", until, w.now)
	}
}
