package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// testRemaining is how long the workers of these tests serve on after they have begun to drain.
const testRemaining = 4 * time.Second

// drainWorker lets a worker write that it drains and leaves after testRemaining, and an entry is read late.
func (w *world) drainWorker(fw *fakeWorker, late time.Duration) {
	fw.entry.Draining, fw.entry.Remaining, fw.entry.ClockMs = true, testRemaining, fw.clock(w.now)
	e := fw.entry
	w.after(late, func() { w.deliver(WorkerListed{Entry: e}) })
	w.after(testRemaining, func() { w.leave(fw) })
}

// leave removes a worker. Ends that it has listed stay ends of their tasks.
func (w *world) leave(fw *fakeWorker) {
	fw.unreachable = true
	delete(w.workers, fw.entry.ID)
	for i, name := range w.names {
		if name == fw.entry.ID {
			w.names = append(w.names[:i:i], w.names[i+1:]...)
			break
		}
	}
	w.deliver(WorkerUnlisted{ID: fw.entry.ID})
}

// leavingWorld returns a world in which w1 runs the tasks of job a for the time that is left until it
// leaves, less before, and loses its answers from just before the end of the runs.
func leavingWorld(t *testing.T, j *record.Job, before time.Duration) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	left := testRemaining - before
	w.runTime = func(model.TaskID) time.Duration { return left }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(j)
	for len(fw.runs) < int(j.Steps[0].Count) {
		w.run(time.Millisecond)
	}
	w.addWorker("w2", 8)
	w.after(left-time.Millisecond, func() { fw.answersLost = true })
	return w, fw
}

// Guards against a task that runs again after it was done: its worker lists the end in an answer that
// is lost because the worker leaves.
func TestEndInLastAnswerOfLeavingWorker(t *testing.T) {
	for name, j := range map[string]*record.Job{
		"task":             oneStep("a", &record.Step{Count: 1}),
		"task with ticket": withAdvice(oneStep("a", &record.Step{Count: 1}), true),
		"several tasks":    oneStep("a", &record.Step{Count: 4}),
		"gang":             oneStep("a", &record.Step{Count: 2, Gang: true}),
		"gang with ticket": withAdvice(oneStep("a", &record.Step{Count: 2, Gang: true}), true),
	} {
		for _, before := range []time.Duration{2 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", before), func(t *testing.T) {
				w, fw := leavingWorld(t, j, before)
				w.drainWorker(fw, 0)
				w.run(30 * time.Second)
				w.mustComplete("a")
			})
		}
	}
}

// Guards against the same where the entry of the worker is read late, or by a new leader: its clock
// tells when it leaves.
func TestEndInLastAnswerOfLeavingWorkerWhoseEntryIsOld(t *testing.T) {
	t.Run("read late", func(t *testing.T) {
		w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 1}), 50*time.Millisecond)
		w.drainWorker(fw, testRemaining/2)
		w.run(30 * time.Second)
		w.mustComplete("a")
	})
	t.Run("read by a new leader", func(t *testing.T) {
		w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 1}), 50*time.Millisecond)
		w.drainWorker(fw, 0)
		w.run(testRemaining / 2)
		w.stopLeader()
		w.run(100 * time.Millisecond)
		w.startLeader()
		w.run(30 * time.Second)
		w.mustComplete("a")
	})
}

// Guards against tasks that wait for the lease of a worker that has left: they run elsewhere before
// it has, from their checkpoints.
func TestTasksOfLeavingWorkerRunElsewhere(t *testing.T) {
	for name, step := range map[string]*record.Step{
		"tasks":        {Count: 3, Checkpointing: true},
		"gang":         {Count: 3, Gang: true},
		"long-running": {Count: 1, LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			w, fw := leavingWorld(t, oneStep("a", step), -time.Minute)
			w.longRunning = step.LongRunning
			w.drainWorker(fw, 0)
			w.run(testRemaining)
			if n := len(w.workers["w2"].runs); n != int(step.Count) {
				t.Errorf("%d runs on w2 when w1 has left, want %d", n, step.Count)
			}
			if len(fw.runs) > 0 {
				t.Errorf("%d runs on w1 when it leaves, want none", len(fw.runs))
			}
		})
	}
}

// Guards against work that is thrown away: a run that is not expected to end before all runs on its leaving
// worker are stopped is stopped at once, and one that is goes on.
func TestRunThatOutlastsLeavingWorkerIsEvictedAtOnce(t *testing.T) {
	for _, c := range []struct {
		estimate, stopTime time.Duration
		evicted            bool
	}{
		{testRemaining / 2, 0, false},
		{2 * testRemaining, 0, true},
		{testRemaining - evictionMargin - 400*time.Millisecond, 0, false},
		{testRemaining - evictionMargin - 400*time.Millisecond, 900 * time.Millisecond, true},
	} {
		w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 1, EstimateMs: c.estimate.Milliseconds()}), testRemaining/2)
		w.sched.opts.StopTime = c.stopTime
		w.drainWorker(fw, 0)
		w.run(testRemaining / 4)
		if evicted := len(fw.runs) == 0; evicted != c.evicted {
			t.Errorf("a run that is expected to take %v on a worker that leaves in %v, with stops of %v: evicted %v, want %v", c.estimate, testRemaining, c.stopTime, evicted, c.evicted)
		}
	}
}

// Guards against a stop that takes as long as it may: the run must have ended when its worker leaves.
func TestRunIsEvictedInTimeForItsStop(t *testing.T) {
	const stopTime = 900 * time.Millisecond
	w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 1}), -time.Minute)
	w.sched.opts.StopTime = stopTime
	w.callDelay = func(call string) time.Duration {
		if call == "stop" {
			return stopTime
		}
		return 0
	}
	w.drainWorker(fw, 0)
	w.run(testRemaining - evictionMargin/2)
	if len(fw.runs) > 0 {
		t.Errorf("%d runs on w1 shortly before it leaves, want none", len(fw.runs))
	}
}

// Guards against work that is thrown away after a change of leaders: the new one counts the run time of
// an inherited run from its own first look, and knows by its progress that little is left.
func TestInheritedRunThatIsNearlyDoneIsNotEvicted(t *testing.T) {
	const runTime = 5 * time.Second
	w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 1, EstimateMs: runTime.Milliseconds()}), testRemaining-runTime)
	w.run(runTime - 600*time.Millisecond)
	w.stopLeader()
	w.run(50 * time.Millisecond)
	w.startLeader()
	w.run(50 * time.Millisecond)
	w.drainWorker(fw, 0)
	w.run(400 * time.Millisecond)
	if len(fw.runs) != 1 {
		t.Errorf("%d runs on a worker that leaves in %v, want one that ends in 100 ms", len(fw.runs), testRemaining)
	}
}

// Guards against ticks that grow with the runs of leaving workers: one that stops nothing sorts no runs.
func TestTickOfLeavingWorkerAllocatesNothing(t *testing.T) {
	w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 4, EstimateMs: 100}), testRemaining/2)
	w.drainWorker(fw, 0)
	w.run(10 * time.Millisecond)
	if n := testing.AllocsPerRun(100, w.sched.evictLeaving); n > 0 {
		t.Errorf("%v allocations in a tick, want none", n)
	}
	if len(w.sched.leaving) != 1 || len(fw.runs) != 4 {
		t.Errorf("%d workers leave, with %d runs, want 1 with 4", len(w.sched.leaving), len(fw.runs))
	}
}

// Guards against a start that is in flight when its runs are evicted: the run must not be there
// when the worker leaves.
func TestStartInFlightWhenWorkerIsEvicted(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.callDelay = func(call string) time.Duration {
		if call == "start" {
			return testRemaining - time.Second
		}
		return 0
	}
	w.submit(oneStep("a", &record.Step{Count: 1}))
	task := model.TaskID{Job: "a"}
	for w.sched.findTask(task) == nil || w.sched.findTask(task).run == nil || w.sched.findTask(task).run.phase != phaseSending {
		w.run(time.Millisecond)
	}
	w.drainWorker(fw, 0)
	w.run(testRemaining - time.Millisecond)
	if len(fw.runs) > 0 {
		t.Errorf("%d runs on a worker that is about to leave, want none", len(fw.runs))
	}
}

// A worker that drains without saying for how long, or that does not drain any more, keeps its runs.
func TestWorkerThatMayStayIsNotEvicted(t *testing.T) {
	for name, edit := range map[string]func(*model.WorkerEntry){
		"time not known":      func(e *model.WorkerEntry) { e.Remaining = 0 },
		"ready again":         func(e *model.WorkerEntry) { e.Draining, e.Remaining = false, 0 },
		"more time than runs": func(e *model.WorkerEntry) { e.Remaining = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			w, fw := leavingWorld(t, oneStep("a", &record.Step{Count: 1}), -4*time.Second)
			fw.entry.Draining, fw.entry.Remaining, fw.entry.ClockMs = true, testRemaining, fw.clock(w.now)
			if name == "ready again" {
				w.deliver(WorkerListed{Entry: fw.entry})
				w.run(time.Second)
			}
			edit(&fw.entry)
			w.deliver(WorkerListed{Entry: fw.entry})
			w.run(2 * testRemaining)
			if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
				t.Errorf("started %d times, want once", n)
			}
		})
	}
}

// Random histories in which workers leave, each with the answers of its last milliseconds, and others
// come. No task may run again after it was done.
func TestHistoriesWithLeavingWorkers(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			leavingHistory(newWorld(t, seed))
		})
	}
}

func leavingHistory(w *world) {
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	w.runTime = func(model.TaskID) time.Duration {
		return 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(5*time.Second)))
	}
	w.startLeader()
	var jobs []string
	for i := range 400 {
		w.run(50 * time.Millisecond)
		if i%4 == 0 {
			j := randomJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
		}
		if i%20 == 0 {
			w.replaceLeaving(fmt.Sprintf("w%d", 8+i/20))
		}
	}
	w.mustEnd(jobs)
	if len(w.sched.leaving) > 0 {
		w.fatal("%d workers that have left are still expected to leave", len(w.sched.leaving))
	}
}

// replaceLeaving adds a worker, and lets a random one that stays drain and leave.
func (w *world) replaceLeaving(id string) {
	w.addWorker(id, 8)
	fw := w.workers[w.names[w.rng.IntN(len(w.names))]]
	if fw.entry.Draining {
		return
	}
	w.drainWorker(fw, time.Duration(w.rng.Int64N(int64(300*time.Millisecond))))
	w.after(testRemaining-time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), func() { fw.answersLost = true })
}

// Guards against a task that runs again after it was done: its end is deferred, as two start calls got no
// answer, and goes with the worker that leaves.
func TestDeferredEndOfLeavingWorker(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 400 * time.Millisecond }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.callDelay = func(call string) time.Duration {
		if call == "start" {
			return 1300 * time.Millisecond
		}
		return 0
	}
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(2500 * time.Millisecond)
	w.callDelay = func(string) time.Duration { return 0 }
	w.addWorker("w2", 8)
	w.drainWorker(fw, 0)
	w.run(40 * time.Second)
	w.mustComplete("a")
}

// Guards against a start that is sent to a worker that is about to leave: the run was assigned, and its record
// not committed, before the worker was known to drain.
func TestStartIsNotSentToADrainingWorker(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.logDown = true
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	fw.entry.Draining = true
	w.deliver(WorkerListed{Entry: fw.entry})
	w.addWorker("w2", 8)
	w.logDown = false
	w.flushLog()
	w.run(20 * time.Second)
	w.mustComplete("a")
}

// Guards against stops that are refused because more calls are made to one worker at a time than the pool
// of connections allows.
func TestEvictionIsPaced(t *testing.T) {
	const runs = 100
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", runs)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: runs, EstimateMs: time.Minute.Milliseconds()}))
	w.run(time.Second)
	stopped := func() int { return runs - len(fw.runs) }
	w.drainWorker(fw, 0)
	for before := 0; before < runs; {
		w.run(20 * time.Millisecond)
		if n := stopped() - before; n > maxEvictionsPerTick {
			t.Fatalf("%d runs stopped within a tick, want at most %d", n, maxEvictionsPerTick)
		}
		before = stopped()
		if w.now > time.Hour+testRemaining {
			t.Fatalf("%d of %d runs stopped in time", before, runs)
		}
	}
}
