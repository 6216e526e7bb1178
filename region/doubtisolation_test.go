package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against workers that take no work of other jobs while they are idle: a run in doubt of a task under
// which workers crashed is taken for one on probation, for as long as its start may still be carried out.
func TestRunInDoubtOfSuspectClosesNoWorker(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(time.Second)
	w.callDelay = func(call string) time.Duration {
		if call == "start" {
			return dropped
		}
		return 0
	}
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.untilTask(model.TaskID{Job: "a"}, func(t *task) bool { return t.run != nil && t.run.phase == phaseSending })
	suspect := w.sched.findTask(model.TaskID{Job: "a"})
	for i := range isolateAfter {
		w.sched.countCrash(&loss{task: suspect, run: int32(-i), ref: model.WorkerRef{ID: "gone"}, lostAt: w.now, at: w.now})
	}
	w.run(100 * time.Millisecond)
	crash(w, fw)
	w.untilTask(model.TaskID{Job: "a"}, func(t *task) bool { return t.run != nil && t.run.phase == phaseLateStart })
	w.callDelay = func(string) time.Duration { return 0 }
	w.submit(oneStep("b", &record.Step{Count: 1}))
	w.run(3 * time.Second)
	if w.starts[model.TaskID{Job: "b"}] == 0 {
		w.fatal("not started beside a run in doubt: %s", describeTasks(w.sched.jobs["b"]))
	}
}

// Guards against workers that are kept free for a suspected gang which cannot start, as the run of a member is
// in doubt, or its workspace at its cap: other jobs wait beside idle workers meanwhile.
func TestNoWorkerIsKeptFreeForGangThatCannotStart(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(time.Second)
	starts := 0
	w.callDelay = func(call string) time.Duration {
		if call != "start" {
			return 0
		}
		if starts++; starts == 1 {
			return dropped // that of the member on w1
		}
		return 0
	}
	w.submit(oneStep("a", &record.Step{Count: 2, Gang: true, AntiAffinity: 1}))
	w.addWorker("w2", 8)
	w.untilTask(model.TaskID{Job: "a"}, func(t *task) bool { return t.run != nil && t.run.phase == phaseSending })
	for _, m := range w.sched.findTask(model.TaskID{Job: "a"}).step.tasks {
		for i := range isolateAfter + 1 {
			w.sched.countCrash(&loss{task: m, run: int32(-i), ref: model.WorkerRef{ID: "gone"}, lostAt: w.now, at: w.now})
		}
	}
	crash(w, fw)
	w.run(8 * time.Second)
	w.callDelay = func(string) time.Duration { return 0 }
	j := oneStep("b", &record.Step{Count: 1, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}})
	w.submit(j)
	w.run(2 * time.Second)
	if w.starts[model.TaskID{Job: "b"}] == 0 {
		w.fatal("not started: %s %s", describeTasks(w.sched.jobs["b"]), describeTasks(w.sched.jobs["a"]))
	}
}
