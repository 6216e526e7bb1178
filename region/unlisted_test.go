package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// cancelBound is how long after its cancellation is known a job's runs may go on, and
	// stopBound how long a worker takes to stop one.
	cancelBound = 3 * time.Second
	stopBound   = 900 * time.Millisecond
)

// expireEntry removes a worker's entry from the host list. The worker works on.
func (w *world) expireEntry(fw *fakeWorker) {
	fw.listed = &model.WorkerEntry{}
	w.deliver(WorkerUnlisted{ID: fw.entry.ID})
}

// minuteRun starts a task of a minute on w1, which has room for one.
func minuteRun(t *testing.T) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", 1)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	return w, fw
}

// longRun starts a task of a minute on w1, whose entry then expires. The second worker has room
// for it.
func longRun(t *testing.T) (*world, *fakeWorker) {
	w, fw := minuteRun(t)
	w.addWorker("w2", 1)
	w.expireEntry(fw)
	w.run(100 * time.Millisecond)
	return w, fw
}

// Guards against a run that goes on after its job was cancelled: its worker has no entry in the
// host list any more when a new leader takes over.
func TestCancelledRunOnUnlistedWorkerIsStopped(t *testing.T) {
	cases := map[string]struct{ before, after func(*world) }{
		"cancelled under the new leader":         {func(*world) {}, func(w *world) { w.cancel("a") }},
		"cancelled while nobody leads":           {func(w *world) { w.cancel("a") }, func(*world) {}},
		"cancelled after the worker had drained": {func(w *world) { w.workers["w1"].entry.Draining = true }, func(w *world) { w.cancel("a") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, fw := longRun(t)
			w.stopLeader()
			w.run(200 * time.Millisecond)
			c.before(w)
			w.startLeader()
			w.run(100 * time.Millisecond)
			c.after(w)
			w.run(cancelBound)
			if n := len(fw.runs); n != 0 {
				t.Errorf("%d runs %v after the cancellation, want none", n, cancelBound)
			}
		})
	}
}

// Guards against the loss of a run that goes on: its worker has no entry in the host list when a
// new leader takes over, which must renew its lease all the same.
func TestRunOnUnlistedWorkerIsRenewed(t *testing.T) {
	w, fw := longRun(t)
	w.stopLeader()
	w.run(200 * time.Millisecond)
	w.startLeader()
	w.run(70 * time.Second)
	w.mustComplete("a")
	if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
	if len(fw.ends) > 0 {
		t.Errorf("ends %v are not acknowledged", fw.ends)
	}
}

// heldStart returns a world in which the start of job a is sent to w1 and held up for some time.
func heldStart(t *testing.T, hold time.Duration) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	w.strict = newStrictLateCalls()
	w.runTime = func(model.TaskID) time.Duration { return 30 * time.Second }
	sent := false
	w.callDelay = func(call string) time.Duration {
		if call != "start" || sent {
			return 0
		}
		sent = true
		return hold
	}
	fw := w.addWorker("w1", 2)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(deferrable("a", &record.Step{Count: 1}))
	for !sent {
		w.run(10 * time.Millisecond)
	}
	return w, fw
}

// restart begins a worker's next incarnation.
func (fw *fakeWorker) restart(w *world) {
	fw.clearState(w)
	fw.bornAt = w.now
	fw.entry.BornUnix++
}

// Guards against a task that runs twice at once: a stop that is sent to an earlier incarnation of
// its worker is answered by the present one, in which the task runs.
func TestStopToEarlierIncarnationEndsNoLaterRun(t *testing.T) {
	w, fw := heldStart(t, time.Hour)
	fw.entry.Draining = true
	w.deliver(WorkerListed{Entry: fw.entry})
	fw.entry.Draining = false
	fw.restart(w)
	w.deliver(WorkerListed{Entry: fw.entry})
	w.run(200 * time.Millisecond)
	w.submit(deferrable("b", &record.Step{Count: 1}))
	w.run(500 * time.Millisecond)
	if len(fw.runs) != 1 {
		w.fatal("%d runs in the second incarnation, want that of b", len(fw.runs))
	}
	w.expireEntry(fw)
	w.addWorker("w2", 2)
	w.stopLeader()
	w.startLeader()
	w.run(10 * time.Millisecond)
	w.cancel("a")
	w.run(10 * time.Second)
	if n := w.starts[model.TaskID{Job: "b"}]; n != 1 || len(fw.runs) != 1 {
		t.Errorf("the task of b was started %d times, and its worker has %d runs, want one of each", n, len(fw.runs))
	}
}

// Guards against a task that runs twice at once: the same, but the present incarnation has not
// answered a probe when it answers the stop.
func TestStopToEarlierIncarnationBeforeFirstProbe(t *testing.T) {
	w, fw := heldStart(t, time.Hour)
	fw.restart(w)
	w.addWorker("w2", 2)
	w.deliver(WorkerListed{Entry: fw.entry})
	w.run(200 * time.Millisecond)
	w.workers["w2"].unreachable = true
	w.submit(deferrable("b", &record.Step{Count: 1}))
	w.run(500 * time.Millisecond)
	if len(fw.runs) != 1 {
		w.fatal("%d runs in the second incarnation, want that of b", len(fw.runs))
	}
	w.workers["w2"].unreachable = false
	w.expireEntry(fw)
	w.stopLeader()
	w.losesAnswer = func(call string) bool { return call == "hold" }
	w.startLeader()
	w.cancel("a")
	w.run(time.Second)
	w.losesAnswer = func(string) bool { return false }
	w.run(9 * time.Second)
	if n := w.starts[model.TaskID{Job: "b"}]; n != 1 || len(fw.runs) != 1 {
		t.Errorf("the task of b was started %d times, and its worker has %d runs, want one of each", n, len(fw.runs))
	}
}

// Guards against a leader that keeps a worker for ever which has left before its last end was
// acknowledged.
func TestWorkerThatLeftWithoutAnswerIsForgotten(t *testing.T) {
	w, fw := longRun(t)
	w.run(time.Minute - time.Second)
	w.logDown = true // no end is acknowledged
	w.run(1500 * time.Millisecond)
	if len(fw.runs) != 0 {
		w.fatal("%d runs on w1, want none", len(fw.runs))
	}
	fw.unreachable = true
	w.logDown = false
	w.run(3 * time.Second)
	if _, known := w.sched.workers["w1"]; known {
		t.Error("a worker that has left and does not answer is still known")
	}
}

// Guards against the loss of a run whose start was executed late by its worker's next incarnation
// while nobody led, if a new leader calls the earlier one before the host list has the next.
func TestLateRunInUnlistedIncarnationIsKept(t *testing.T) {
	w, fw := heldStart(t, 2*time.Second)
	w.addWorker("w2", 2)
	w.expireEntry(fw)
	w.stopLeader()
	fw.restart(w)
	w.run(2 * time.Second)
	if len(fw.runs) != 1 {
		w.fatal("%d runs in the second incarnation, want that of a", len(fw.runs))
	}
	w.startLeader()
	w.run(500 * time.Millisecond)
	w.list(fw, fw.entry)
	w.run(40 * time.Second)
	w.mustComplete("a")
	if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
}

// Random histories with entries of the host list that expire while their workers work on. Times
// of faults alternate with calm ones, in which the runs of cancelled jobs must end in time. All
// invariants of TestStrictHistories are checked as well.
func TestCancelledRunsEndInCalmTimes(t *testing.T) {
	const histories = 20
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { calmHistory(t, seed) })
	}
	for _, seed := range []uint64{1056, 1059, 1069, 1071, 1073} { // have failed
		t.Run(fmt.Sprint(seed), func(t *testing.T) { calmHistory(t, seed) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { calmHistory(t, *firstSeed+i) })
	}
}

const (
	// longLease is a lease that outlasts the time in which the runs of a cancelled job must end.
	longLease   = 10 * time.Second
	longRunTime = 6 * time.Second
	faultyTime  = 6 * time.Second
	calmTime    = 10 * time.Second
)

func calmHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	w.strict = newStrict()
	w.maxLease = longLease
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	calm := false
	w.randomizeTasks(&calm)
	w.runTime = func(model.TaskID) time.Duration {
		return 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(2*longRunTime)))
	}
	w.callDelay = func(string) time.Duration {
		if calm || w.rng.IntN(30) != 0 {
			return 0
		}
		return 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	w.startLeader()
	c := &cancellations{at: make(map[string]time.Duration)}
	for range 4 {
		calm = false
		c.during(w, faultyTime, func() { injectFault(w, 40, crashWithDowntime) })
		calm = true
		w.endFaults()
		c.calmSince = w.now
		for range 4 {
			c.cancelOne(w)
		}
		c.during(w, calmTime, func() { c.check(w) })
	}
	w.mustEnd(c.jobs)
}

// endFaults ends all faults but the expiry of entries. The region has a leader from then on.
func (w *world) endFaults() {
	w.logDown = false
	for _, fw := range w.workers {
		fw.unreachable = false
	}
	w.stopLeader()
	w.startLeader()
}

// cancellations submits jobs, cancels some of them, and knows when their runs have to end.
type cancellations struct {
	jobs      []string
	at        map[string]time.Duration // when jobs were cancelled
	calmSince time.Duration
}

// during submits and cancels jobs, and lets entries of workers expire, for some time. step is
// called every 50 ms.
func (c *cancellations) during(w *world, d time.Duration, step func()) {
	for until := w.now + d; w.now < until; {
		w.run(50 * time.Millisecond)
		if w.rng.IntN(20) == 0 {
			j := strictJob(w, fmt.Sprintf("j%03d", len(c.jobs)))
			j.Policy.Stretch = 4 // its workers have long leases
			for _, st := range j.Steps {
				st.EstimateMs = longRunTime.Milliseconds()
			}
			w.submit(j)
			c.jobs = append(c.jobs, j.Id)
		}
		if w.rng.IntN(30) == 0 {
			c.cancelOne(w)
		}
		if w.rng.IntN(60) == 0 {
			w.expireEntryForAWhile(w.workers[w.names[w.rng.IntN(len(w.names))]])
		}
		step()
	}
}

// cancelOne cancels one of the newest jobs.
func (c *cancellations) cancelOne(w *world) {
	if len(c.jobs) < 10 {
		return
	}
	id := c.jobs[len(c.jobs)-1-w.rng.IntN(10)]
	if _, cancelled := c.at[id]; !cancelled {
		c.at[id] = w.now
		w.cancelStrict(id)
	}
}

// expireEntryForAWhile removes a worker's entry from the host list. The worker writes it again
// seconds later.
func (w *world) expireEntryForAWhile(fw *fakeWorker) {
	if fw.down {
		return
	}
	w.expireEntry(fw)
	w.after(3*time.Second+time.Duration(w.rng.Int64N(int64(17*time.Second))), func() {
		if !fw.down {
			w.list(fw, fw.entry)
		}
	})
}

// check fails the test if a run of a cancelled job goes on for too long.
func (c *cancellations) check(w *world) {
	for _, name := range w.names {
		fw := w.workers[name]
		w.expireLease(fw)
		for id, r := range fw.runs {
			at, cancelled := c.at[id.Job]
			if !cancelled {
				continue
			}
			due := max(at, c.calmSince, r.startedAt) + cancelBound + stopBound
			if w.now > due {
				w.fatal("%v run %d goes on on %s, cancelled %v ago, calm since %v", id, r.number, name, w.now-at, w.now-c.calmSince)
			}
		}
	}
}
