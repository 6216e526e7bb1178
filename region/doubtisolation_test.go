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
