package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a task that is held for half a minute as if it had crashed four workers, although none of
// them is known to have begun it: they are cut off one after another, each after the task was sent to it, and
// the start is never carried out.
func TestRunsThatNeverBeganHoldNoTask(t *testing.T) {
	id := model.TaskID{Job: "a"}
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			for i := range 8 {
				w.addWorker(fmt.Sprintf("w%d", i), 8)
			}
			w.startLeader()
			w.run(time.Second)
			cut := make(map[string]bool)
			w.callDelay = func(call string) time.Duration {
				r := w.sched.findTask(id)
				if call != "start" || r == nil || r.run == nil {
					return 0
				}
				if name := r.run.ref.ID; cut[name] || len(cut) < maxOpenCrashes {
					cut[name] = true
					w.after(450*time.Millisecond, func() { w.workers[name].unreachable = true })
					return dropped
				}
				return 0
			}
			j := advised("a", &record.Step{Count: 1, Gang: gang})
			j.Steps[0].EstimateMs = 500
			w.submit(j)
			w.run(20 * time.Second)
			if w.starts[id] == 0 {
				w.fatal("not started after %d workers were cut off: %s", len(cut), describeTasks(w.sched.jobs["a"]))
			}
		})
	}
}

// Guards against a task that each new leader holds for another half a minute: four workers under it have
// fallen silent, and leaders are replaced before the time is over.
func TestNewLeadersDoNotProlongTheHold(t *testing.T) {
	id := model.TaskID{Job: "a"}
	w := newWorld(t, 1)
	w.takesLong("a", time.Minute)
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	w.startLeader()
	w.run(time.Second)
	j := advised("a", &record.Step{Count: 1})
	j.Steps[0].EstimateMs = 500
	w.submit(j)
	for range maxOpenCrashes {
		w.untilTask(id, func(t *task) bool { return t.run != nil && t.run.phase == phaseRunning })
		lost := w.sched.findTask(id).run
		w.workers[lost.ref.ID].unreachable = true
		w.untilTask(id, func(t *task) bool { return t.run != lost })
	}
	starts := w.starts[id]
	for range 5 {
		w.run(9 * time.Second)
		w.stopLeader()
		w.startLeader()
	}
	if w.starts[id] == starts {
		w.fatal("not started again 45 s after the last loss: %s", describeTasks(w.sched.jobs["a"]))
	}
}

// untilTask runs the world until a condition holds for a task.
func (w *world) untilTask(id model.TaskID, is func(*task) bool) {
	w.t.Helper()
	for range 3000 {
		if is(w.sched.findTask(id)) {
			return
		}
		w.run(5 * time.Millisecond)
	}
	w.fatal("%v is not in the expected state: %s", id, describeTasks(w.sched.jobs[id.Job]))
}
