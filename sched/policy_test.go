package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// A gang needs half of the zone while small tasks arrive constantly. Without a
// hold it starves, because the next small task takes every freed core.
func TestGangDoesNotStarveBehindSmallWork(t *testing.T) {
	for _, hold := range []Hold{HoldPlanned, HoldDrain, HoldNone} {
		t.Run(fmt.Sprint(hold), func(t *testing.T) {
			w := newZone(t, 4, Options{Hold: hold, KeepRunning: true})
			feed := func() {
				for w.s.Waiting() < 20 {
					w.accept(batch("small", 2, 1))
				}
			}
			feed()
			job := w.accept(gang("large", 8, 2))
			for turn := 0; turn < 200 && len(w.runningOf(job)) == 0; turn++ {
				w.pass(time.Second)
				w.end(turn%len(w.running), AttemptEnded{Ran: time.Minute})
				feed()
			}
			if started := len(w.runningOf(job)) == 2; started != (hold != HoldNone) {
				t.Errorf("started: %v", started)
			}
		})
	}
}

// Workers are held for a large job. Tasks that end before its planned start may
// use them, so a hold does not delay short work; longer tasks may not.
func TestShortWorkRunsOnHeldWorkers(t *testing.T) {
	w := newZone(t, 2, Options{KeepRunning: true})
	long := batch("a", 5, 1)
	long.Run = time.Hour
	w.accept(long)
	w.accept(long)
	w.accept(gang("b", 8, 2))
	w.pass(5 * time.Second)
	short, other := batch("c", 2, 1), batch("d", 2, 1)
	other.Run = 2 * time.Hour
	if job := w.accept(other); len(w.runningOf(job)) != 0 {
		t.Errorf("long work started on a held worker")
	}
	if job := w.accept(short); len(w.runningOf(job)) != 1 {
		t.Errorf("short work did not start on a held worker")
	}
}

// The zone is full of displaceable work when an urgent job arrives. The job
// starts once a task has been checkpointed, and that task starts again later. A
// task that was displaced MaxDisplaced times is not displaced again.
func TestTaskIsDisplacedAtMostMaxDisplacedTimes(t *testing.T) {
	w := newZone(t, 1, Options{MaxDisplaced: 2, KeepRunning: true})
	plain := batch("a", 8, 1)
	plain.Displaceable = true
	victim := w.accept(plain)
	for round := range 3 {
		urgent := batch("b", 4, 1)
		urgent.Urgent = true
		job := w.accept(urgent)
		at := w.runningOf(victim)
		displaced := w.controls[w.running[at[0]].ID] == ports.ControlCheckpoint
		if displaced != (round < 2) {
			t.Fatalf("round %d: displaced %v", round, displaced)
		}
		if !displaced {
			return
		}
		w.end(at[0], AttemptEnded{Stopped: true, Ran: time.Second})
		if len(w.runningOf(job)) != 1 {
			t.Fatalf("round %d: the urgent job did not start", round)
		}
		w.end(w.runningOf(job)[0], AttemptEnded{})
		if len(w.runningOf(victim)) != 1 {
			t.Fatalf("round %d: the displaced task did not start again", round)
		}
	}
}

// One worker fails every task immediately and is therefore always idle. Without
// quarantine every job of the zone would be placed on it until all had failed.
// With quarantine all jobs succeed, and the worker is used again after repair.
func TestWorkerThatFailsEveryTaskIsQuarantined(t *testing.T) {
	w := newZone(t, 4, Options{})
	bad := worker(0)
	var jobs []ident.JobID
	for i := range 60 {
		spec := batch("a", 8, 1)
		spec.Name = fmt.Sprint(i % 5)
		jobs = append(jobs, w.accept(spec))
	}
	placed := 0
	for turn := 0; len(w.ended) < len(jobs) && turn < 2000; turn++ {
		w.pass(time.Second)
		for i := len(w.running) - 1; i >= 0; i-- {
			if w.running[i].Worker == bad {
				placed++
				w.end(i, AttemptEnded{Failed: true, Reason: "broken disk"})
			} else if turn%4 == i%4 {
				w.end(i, AttemptEnded{Ran: time.Second})
			}
		}
	}
	for _, job := range jobs {
		if end := w.ended[job]; end.Outcome != work.OutcomeRan || end.Failed {
			t.Fatalf("job %s: %+v", job, end)
		}
	}
	if placed > 12 {
		t.Errorf("%d tasks were placed on the broken worker, want at most 12", placed)
	}
	w.pass(time.Hour)
	job := w.accept(batch("a", 8, 4))
	for len(w.running) > 0 {
		w.end(0, AttemptEnded{Ran: time.Second})
	}
	if _, ended := w.ended[job]; !ended || w.s.quarantined != 0 {
		t.Errorf("job ended: %v; %d workers are quarantined, want 0", ended, w.s.quarantined)
	}
}

// All jobs of one team fail on every worker. The workers are healthy and must
// not be quarantined, or the other teams would lose their capacity.
func TestFailingJobsDoNotQuarantineWorkers(t *testing.T) {
	w := newZone(t, 8, Options{})
	for i := range 100 {
		spec := batch("broken", 8, 1)
		spec.Name = "same"
		spec.MaxAttempts = 1
		w.accept(spec)
		for len(w.running) > 0 {
			w.end(0, AttemptEnded{Failed: true, Reason: fmt.Sprint("crash ", i)})
		}
		w.pass(time.Second)
	}
	if w.s.quarantined != 0 {
		t.Errorf("%d workers are quarantined, want 0", w.s.quarantined)
	}
}

// One team submits 5,000 jobs. Work of another team that is within its fair
// share starts as soon as any task ends, regardless of that backlog.
func TestFloodDoesNotDelayAnotherTeam(t *testing.T) {
	w := newZone(t, 4, Options{KeepRunning: true})
	w.step(TeamsChanged{Teams: []Team{{ID: "flood", Weight: 1}, {ID: "calm", Weight: 1}}})
	for range 5000 {
		w.accept(batch("flood", 1, 1))
	}
	job := w.accept(batch("calm", 1, 1))
	w.end(0, AttemptEnded{})
	if len(w.runningOf(job)) != 1 {
		t.Errorf("the job of the team within its fair share did not start")
	}
}

// Limit units are refused. The scheduler emits a Want, and the work starts after
// the limit is raised. It retries by itself if no LimitChanged arrives.
func TestWorkBlockedByLimitStartsAfterItIsRaised(t *testing.T) {
	w := newZone(t, 2, Options{})
	w.units.limit["a"] = 2
	w.accept(batch("a", 1, 3))
	if want := (Want{Team: "a", Units: 1}); len(w.running) != 2 || w.commands[2] != Command(want) {
		t.Fatalf("%d run, commands %v", len(w.running), w.commands)
	}
	w.units.limit["a"] = 3
	w.pass(limitRetryDelay)
	if len(w.running) != 3 {
		t.Errorf("%d run after the limit was raised", len(w.running))
	}
}

// Limit units are refused twice within a second. Then the limit is raised and
// the LimitChanged event is lost. The retry timer of the first refusal fires
// before the second refusal expires, so another timer must follow.
func TestLimitIsRetriedAfterASecondRefusal(t *testing.T) {
	w := newZone(t, 1, Options{})
	w.units.limit["a"] = 1
	w.accept(batch("a", 1, 2))
	w.now += limitRetryDelay / 2
	w.step(LimitChanged{Team: "a"})
	w.units.limit["a"] = 2
	w.pass(limitRetryDelay)
	if len(w.running) != 2 {
		t.Errorf("%d run after the limit was raised", len(w.running))
	}
}

// A worker is drained before a planned removal. The service must not have fewer
// replicas than declared: the old replica is stopped only after its replacement
// has started, in another rack if possible.
func TestReplicaIsReplacedBeforeItIsStopped(t *testing.T) {
	w := newZone(t, 6, Options{})
	service := ident.JobID{Zone: "a", Host: "h", Incarnation: 2, Seq: 1}
	w.step(ServiceDeclared{Service: "s", Job: service, Team: "a", Replicas: 3, Need: cpu(2)})
	racks := map[string]bool{}
	for _, a := range w.running {
		ref, _ := w.s.cell.Lookup(a.Worker)
		racks[w.s.cell.RackName(w.s.cell.Worker(ref).Rack)] = true
		w.step(AttemptStarted{ID: a.ID})
	}
	if len(w.running) != 3 || len(racks) != 3 {
		t.Fatalf("%d replicas in %d racks", len(w.running), len(racks))
	}
	old := w.running[0]
	w.shut[old.Worker] = true
	w.step(WorkerLeaving{Worker: old.Worker})
	if len(w.running) != 4 || w.controls[old.ID] != "" {
		t.Fatalf("%d replicas, control %q before the replacement started", len(w.running), w.controls[old.ID])
	}
	w.step(AttemptStarted{ID: w.running[3].ID})
	if w.controls[old.ID] != ports.ControlStop {
		t.Errorf("the old replica was not stopped")
	}
	w.end(0, AttemptEnded{Stopped: true})
	w.step(ServiceDeclared{Service: "s", Job: service, Team: "a", Replicas: 1, Need: cpu(2)})
	if stopped := len(w.controls); len(w.running) != 3 || stopped != 3 {
		t.Errorf("%d replicas, %d stopped after scaling down", len(w.running), stopped)
	}
}

// The worker of a replica is lost while batch work fills the zone. Without
// displacement the replica would be missing until a batch task ends, which may
// take hours.
func TestLostReplicaDisplacesBatchWork(t *testing.T) {
	w := newZone(t, 2, Options{KeepRunning: true})
	service := ident.JobID{Zone: "a", Host: "h", Incarnation: 2, Seq: 1}
	w.step(ServiceDeclared{Service: "s", Job: service, Team: "a", Replicas: 1, Need: cpu(2)})
	lost := w.running[0].Worker
	long := batch("b", 4, 10)
	long.Displaceable = true
	w.accept(long)
	w.remove(lost)
	if len(w.controls) != 1 {
		t.Fatalf("%d controls", len(w.controls))
	}
	for i, a := range w.running {
		if w.controls[a.ID] == ports.ControlCheckpoint {
			w.end(i, AttemptEnded{Stopped: true, Ran: time.Minute})
			break
		}
	}
	if len(w.runningOf(service)) != 1 {
		t.Errorf("the replica did not start")
	}
}

// The explanation of a waiting job names what an operator needs to know: its
// place in the queue, the rejected workers by reason and the predicted start.
func TestExplainShowsWhyAJobWaits(t *testing.T) {
	w := newZone(t, 3, Options{})
	w.step(WorkerCordoned{Worker: worker(2), Cordoned: true})
	w.shut[worker(2)] = true
	w.accept(batch("b", 8, 2))
	w.accept(batch("a", 6, 1))
	job := w.accept(gang("a", 6, 2))
	w.pass(2 * time.Second)
	words := w.s.Explain(w.now, job).Words()
	for _, want := range []string{
		"is waiting", "2 waiting", "1 jobs of the team come earlier", "0 of 3 could take a task now",
		"1 turned away: lease not held or cordoned", "1 turned away: held for another job", "1 turned away: not enough free processors", "predicted start: in",
	} {
		if !strings.Contains(words, want) {
			t.Errorf("%q is missing in:\n%s", want, words)
		}
	}
	running := w.s.Explain(w.now, w.running[0].ID.Job).Words()
	if !strings.Contains(running, "runs on "+string(w.running[0].Worker)) {
		t.Errorf("worker of the running task is missing in:\n%s", running)
	}
}

// A running non-idempotent task is marked displaceable by mistake. Displacing it
// would require a second attempt, so urgent work must wait until it ends.
func TestNonIdempotentWorkIsNotDisplaced(t *testing.T) {
	w := newZone(t, 1, Options{})
	spec := batch("a", 8, 1)
	spec.Displaceable, spec.NonIdempotent = true, true
	w.accept(spec)
	urgent := batch("b", 1, 1)
	urgent.Urgent = true
	w.accept(urgent)
	w.pass(time.Minute)
	if len(w.controls) != 0 {
		t.Errorf("controls: %v", w.controls)
	}
}

// A held worker is removed. If the hold continued, it would keep the other
// workers idle for a start that can no longer happen.
func TestHoldEndsWhenItsWorkerIsRemoved(t *testing.T) {
	w := newZone(t, 2, Options{KeepRunning: true})
	w.accept(batch("a", 5, 2))
	w.accept(gang("b", 8, 2))
	w.pass(5 * time.Second)
	if len(w.s.holds) != 1 {
		t.Fatalf("%d holds", len(w.s.holds))
	}
	w.remove(worker(0))
	if held := w.s.cell.Worker(1).Bars; len(w.s.holds) != 0 || held != 0 {
		t.Errorf("%d holds and bars %d on the other worker, want none", len(w.s.holds), held)
	}
}

// A team without competition fills the zone with long tasks. When work of another
// team arrives, the shares must become equal before those tasks end.
func TestRebalanceReachesFairShares(t *testing.T) {
	w := newZone(t, 4, Options{})
	long := batch("first", 1, 64)
	long.Displaceable = true
	w.accept(long)
	job := w.accept(batch("second", 1, 64))
	for range 60 {
		w.pass(time.Second)
		for i := len(w.running) - 1; i >= 0; i-- {
			if w.controls[w.running[i].ID] != "" {
				w.end(i, AttemptEnded{Stopped: true, Ran: time.Second})
			}
		}
	}
	if got := len(w.runningOf(job)); got < 15 || got > 17 {
		t.Errorf("the second team runs %d of 32 tasks, want 15 to 17", got)
	}
}

// Two jobs of one team wait. The one with the earlier deadline starts first,
// although it was accepted later.
func TestEarliestDeadlineStartsFirst(t *testing.T) {
	w := newZone(t, 1, Options{})
	w.accept(batch("a", 8, 1))
	relaxed, tight := batch("a", 8, 1), batch("a", 8, 1)
	relaxed.Deadline, tight.Deadline = time.Hour, time.Minute
	w.accept(relaxed)
	job := w.accept(tight)
	w.end(0, AttemptEnded{})
	if len(w.runningOf(job)) != 1 {
		t.Errorf("the job with the earlier deadline did not start first")
	}
}

// A team fills its zone with long tasks, then submits an approval with a
// deadline. No task ends before that deadline: without displacement the approval
// would end as not run, although the team has displaceable work of its own.
func TestWorkNearItsDeadlineDisplacesWorkOfItsTeam(t *testing.T) {
	w := newZone(t, 1, Options{})
	long := batch("a", 4, 2)
	long.Displaceable = true
	w.accept(long)
	approval := batch("a", 1, 1)
	approval.NonIdempotent = true
	approval.Deadline = 10 * time.Second
	job := w.accept(approval)
	w.pass(5 * time.Second)
	for i, a := range w.running {
		if w.controls[a.ID] == ports.ControlCheckpoint {
			w.end(i, AttemptEnded{Stopped: true, Ran: time.Second})
			break
		}
	}
	if len(w.runningOf(job)) != 1 || len(w.controls) != 1 {
		t.Errorf("%d approvals run after %d controls", len(w.runningOf(job)), len(w.controls))
	}
}

// A worker does not execute the control that checkpoints a task, because the
// control is lost or the worker cannot checkpoint. The control must be resent,
// and the hold of the worker for urgent work must end.
func TestControlIsResentAndItsHoldEnds(t *testing.T) {
	w := newZone(t, 1, Options{Hold: HoldNone})
	long := batch("a", 6, 1)
	long.Displaceable = true
	w.accept(long)
	urgent := batch("b", 4, 1)
	urgent.Urgent = true
	w.accept(urgent)
	sent := 0
	for range 6 {
		for _, c := range w.commands {
			if _, ok := c.(Control); ok {
				sent++
			}
		}
		w.now += controlResendInterval
		w.step(Tick{})
	}
	if sent < 5 {
		t.Errorf("the control was sent %d times, want at least 5", sent)
	}
	if job := w.accept(batch("c", 2, 1)); len(w.runningOf(job)) != 1 {
		t.Errorf("the worker is still held")
	}
}

// A task is checkpointed for urgent work and does not stop. The urgent work must
// not wait until the hold of that worker ends (30 s): after 1 s another task is
// displaced.
func TestUrgentWorkDisplacesAnotherTaskWhenOneDoesNotStop(t *testing.T) {
	w := newZone(t, 2, Options{KeepRunning: true})
	plain := batch("a", 8, 2)
	plain.Displaceable = true
	w.accept(plain)
	urgent := batch("b", 8, 1)
	urgent.Urgent = true
	w.accept(urgent)
	if n := len(w.controls); n != 1 {
		t.Fatalf("%d tasks got a control at once, want 1", n)
	}
	w.pass(stopGrace)
	if n := len(w.controls); n != 2 {
		t.Errorf("%d tasks got a control after %s, want 2", n, stopGrace)
	}
}
