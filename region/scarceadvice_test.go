package region

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Gangs in a region full of deferrable work, whose advice takes half of a ticket's validity and as
// much time as the service has. Guards against tickets that expire while the gang waits for room:
// each gang then asks again and again, and most of them start too late.
func TestGangsStartWithTheirFirstTicketsWhereAdviceIsScarce(t *testing.T) {
	w := scarceAdviceWorld(t, 1)
	w.newAdviceService("", "h1", "h2")
	gangs := submitGangsBesideDeferrableWork(w, 120)
	onTime, started := 0, 0
	for _, j := range gangs[len(gangs)/3:] { // the first ones show that advice is scarce
		started++
		if done, known := w.completedAt[j.Id]; known && done-w.acceptedAt[j.Id] <= 10*time.Second {
			onTime++
		}
	}
	if onTime < started*8/10 {
		t.Errorf("%d of %d gangs were on time", onTime, started)
	}
}

// scarceAdviceWorld has 80 workers of 32 cores, three in ten of which are eligible for a step.
func scarceAdviceWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	for i := range 80 {
		w.addWorker(fmt.Sprintf("w%02d", i), 32)
	}
	w.issuesTicket = func(step, worker string) bool { // three workers in ten are eligible
		h := fnv.New32a()
		h.Write([]byte(step + worker))
		return h.Sum32()%10 < 3
	}
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job[0] == 'g' {
			return 4 * time.Second
		}
		return time.Second + time.Duration(w.rng.Int64N(int64(3*time.Second)))
	}
	w.startLeader()
	return w
}

// submitGangsBesideDeferrableWork submits a gang every half second, and more deferrable work than
// there is room for.
func submitGangsBesideDeferrableWork(w *world, steps int) []*record.Job {
	var gangs []*record.Job
	deferrable := &record.Policy{Service: "svc", Priority: 2, MaxAttempts: 3, Stretch: 30, TargetLatencyMs: 3000}
	for i := range steps {
		if i%2 == 0 {
			g := oneStep(fmt.Sprintf("g%03d", i), &record.Step{
				Count: 4 + int32(w.rng.IntN(12)), Gang: true, EstimateMs: 4000,
				Request: &record.Resources{MilliCpu: 9000, MemoryMib: 1000},
			})
			g.Policy = queueWithAdvice("gangs", 440).Policy
			g.Policy.Advice.EachMs, g.Policy.Priority = 6.4, 1
			w.submitTo(g, "gangs")
			gangs = append(gangs, g)
		}
		p := oneStep(fmt.Sprintf("p%03d", i), &record.Step{
			Count: 110, Checkpointing: true, EstimateMs: 2500, Request: &record.Resources{MilliCpu: 3500, MemoryMib: 500},
		})
		p.Policy = deferrable
		w.submitTo(p, "patient")
		w.run(250 * time.Millisecond)
	}
	w.run(15 * time.Second)
	return gangs
}

// Guards against gangs that ask about the same workers at one time: the first to be answered takes
// the room, and the calls of the others were for nothing.
func TestGangsThatAskAtOneTimeNameOtherWorkers(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 60 {
		w.addWorker(fmt.Sprintf("w%02d", i), 28)
	}
	w.startLeader()
	w.newAdviceService("", "h1", "h2")
	w.run(time.Second)
	scarcity := &w.sched.estimates.forQueue("gangs").scarcity
	for at := w.now; !scarcity.Scarce(); at += 100 * time.Millisecond {
		scarcity.Observe(at, true)
	}
	named := map[string]int{}
	for _, id := range []string{"a", "b"} {
		g := oneStep(id, &record.Step{Count: 6, Gang: true, Request: &record.Resources{MilliCpu: 9000, MemoryMib: 1000}})
		g.Policy = queueWithAdvice("gangs", 440).Policy
		g.Policy.Advice.EachMs = 6.4
		w.submitTo(g, "gangs")
		w.run(30 * time.Millisecond)
		for _, worker := range w.sched.jobs[id].occs[0].steps[0].advice.promise.workers {
			named[worker.entry.ID]++
		}
	}
	if len(named) == 0 {
		t.Fatal("no gang has asked")
	}
	for name, times := range named {
		if times > 1 {
			t.Errorf("both gangs ask about %s", name)
		}
	}
	w.run(3 * time.Second)
	for _, worker := range w.sched.workerList {
		if worker.promised != (model.Resources{}) {
			t.Errorf("%s is still promised %v after the answers", worker.entry.ID, worker.promised)
		}
	}
}

// Guards against work that is lost or run twice when a leader dies after it has stopped runs for a
// gang and before it has started the gang, when calls for advice time out, and when answers to stops
// and starts are lost. The successor knows of no kept room.
func TestGangsCompleteWhenLeadersDieWhileAdviceIsScarce(t *testing.T) {
	kept := 0
	for _, seed := range []uint64{1, 2, 10} {
		kept += leadersDieWhileAdviceIsScarce(t, seed)
	}
	if kept == 0 {
		t.Error("no leader died with room kept for a gang")
	}
}

// leadersDieWhileAdviceIsScarce returns for how many gangs room was kept when leaders died.
func leadersDieWhileAdviceIsScarce(t *testing.T, seed uint64) (kept int) {
	w := scarceAdviceWorld(t, seed)
	a := w.newAdviceService("", "h1", "h2")
	w.losesAnswer = func(string) bool { return w.rng.IntN(50) == 0 }
	changes := 0
	var next func()
	next = func() {
		kept += len(w.sched.gangRooms)
		if changes++; changes > 8 {
			return
		}
		w.startLeader()
		w.step(AdviceHostsChanged{Hosts: a.hosts})
		w.after(3300*time.Millisecond, next)
	}
	w.after(4*time.Second, next)
	gangs := submitGangsBesideDeferrableWork(w, 56)
	w.run(20 * time.Second)
	for _, g := range gangs {
		w.mustComplete(g.Id)
	}
	return kept
}

// scarceGang returns a world with one waiting gang whose queue's advice is scarce, and the gang.
func scarceGang(t *testing.T) (*world, *step) {
	w := newWorld(t, 1)
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	w.issuesTicket = func(string, string) bool { return false }
	w.startLeader()
	g := oneStep("g", &record.Step{Count: 4, Gang: true, EstimateMs: 4000, Request: &record.Resources{MilliCpu: 6000, MemoryMib: 100}})
	g.Policy = queueWithAdvice("gangs", 1100).Policy
	w.submitTo(g, "gangs")
	scarcity := &w.sched.estimates.forQueue("gangs").scarcity
	for at := w.now; !scarcity.Scarce(); at += 100 * time.Millisecond {
		scarcity.Observe(at, true)
	}
	return w, w.sched.jobs["g"].occs[0].steps[0]
}

// Guards against room that other work takes while the last runs that make room for a gang stop, and
// against room that is kept after the gang's tickets have expired.
func TestRoomIsKeptWhileTicketsHold(t *testing.T) {
	w, st := scarceGang(t)
	kept := w.sched.workers["w1"]
	st.advice.validTo = w.now + time.Second
	w.sched.keepRoom(st, []preemption{{worker: kept}})
	w.sched.reserveKeptRoom()
	other := oneStep("other", &record.Step{Count: 1})
	w.submit(other)
	if kept.reserved != st || w.sched.admits(kept, w.sched.jobs["other"].occs[0].steps[0]) {
		t.Error("the room is not kept for the gang")
	}
	kept.reserved = nil
	w.sched.now = st.advice.validTo
	w.sched.reserveKeptRoom()
	if kept.reserved != nil || len(w.sched.gangRooms) > 0 {
		t.Error("the room is kept although the tickets have expired")
	}
}

// Guards against calls for advice about gangs that would start too late even if they were answered
// at once, ahead of those about gangs that can be on time.
func TestGangThatAdviceWouldReachTooLateRanksWithLateWork(t *testing.T) {
	w, st := scarceGang(t)
	classAt := func(left time.Duration) class {
		w.sched.now = st.latestStart - left
		return w.sched.classOf(st)
	}
	if got := classAt(1500 * time.Millisecond); got != classOnTime {
		t.Errorf("class %d with time for a call, want on time", got)
	}
	if got := classAt(500 * time.Millisecond); got != classPartialCredit {
		t.Errorf("class %d without time for a call, want late", got)
	}
	st.advice.validTo = st.latestStart
	if got := classAt(500 * time.Millisecond); got != classOnTime {
		t.Errorf("class %d with valid tickets, want on time", got)
	}
}

// Guards against runs that are stopped for gangs, and against gangs that ask about few workers, in a
// region that has room: many workers are free, only the advice service is busy.
func TestAdviceIsNotPlannedWhereThereIsRoom(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 80 {
		w.addWorker(fmt.Sprintf("w%02d", i), 64)
	}
	w.issuesTicket = func(string, string) bool { return false }
	w.startLeader()
	w.newAdviceService("")
	for i := range 40 {
		g := oneStep(fmt.Sprintf("g%02d", i), &record.Step{Count: 4, Gang: true, Request: &record.Resources{MilliCpu: 9000, MemoryMib: 100}})
		g.Policy = queueWithAdvice("gangs", 1100).Policy
		w.submitTo(g, "gangs")
	}
	for range 10 {
		w.run(time.Second)
		if w.sched.estimates.forQueue("gangs").scarcity.Scarce() {
			t.Fatal("calls are planned although waiting tasks ask for a third of the cores")
		}
	}
}

// Guards against plans that take the leader's processor in a region of thousands of workers.
func TestAdviceIsNotPlannedForThousandsOfWorkers(t *testing.T) {
	w, st := scarceGang(t)
	if !w.sched.plansAdvice(st) {
		t.Fatal("calls are not planned in a small region")
	}
	for i := range maxPlannedWorkers {
		w.addWorker(fmt.Sprintf("more%04d", i), 8)
	}
	if w.sched.plansAdvice(st) {
		t.Error("calls are planned in a large region")
	}
}

// Guards against tickets that count as about to expire in every large region: the time of a call
// follows from the workers that it names, not from all workers.
func TestLongestCallFollowsFromWorkersNamed(t *testing.T) {
	for _, workers := range []int{200, 2000} {
		s, _ := newBacklogScheduler(workers, 1, 0)
		st := s.ready.steps[0]
		if got, want := s.longestCall(st), st.adviceCost(maxAdviceWorkers); got != want {
			t.Errorf("%d workers: the longest call takes %v, want %v", workers, got, want)
		}
	}
}
