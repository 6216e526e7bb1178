package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// readEndSteps are the kinds of steps that the tests of read ends play.
func readEndSteps() map[string]*record.Step {
	return map[string]*record.Step{"task": {Count: 1}, "gang": {Count: 3, Gang: true}}
}

// submitReadEnd submits a job with the step, which is done after two seconds on w1, and returns its first task.
func submitReadEnd(w *world, step *record.Step, advice bool) *task {
	j := oneStep("a", &record.Step{Count: step.Count, Gang: step.Gang})
	if advice {
		j = withAdvice(j, true)
	}
	w.submit(j)
	return w.sched.findTask(model.TaskID{Job: "a"})
}

// Guards against a task that is started again after its end was read: an earlier run is listed as done
// while the start of a later run has no answer, and the end of the later run is read first.
func TestTaskIsNotStartedAgainAfterItsEndIsRead(t *testing.T) {
	for name, step := range readEndSteps() {
		for _, advice := range []bool{false, true} {
			for back := time.Duration(0); back < 1500*time.Millisecond; back += 50 * time.Millisecond {
				t.Run(fmt.Sprint(name, " advice ", advice, " ", back), func(t *testing.T) {
					w := newWorld(t, 1)
					w.runTime = func(model.TaskID) time.Duration { return 2 * time.Second }
					w1 := w.addWorker("w1", 8)
					w.startLeader()
					w.run(100 * time.Millisecond)
					task := submitReadEnd(w, step, advice)
					for len(w1.runs) == 0 {
						w.run(time.Millisecond)
					}
					w2 := w.addWorker("w2", 8)
					w.run(1900 * time.Millisecond)
					w1.answersLost = true // the end is listed, and not read until back
					for len(w2.runs) == 0 {
						if task.run != nil && task.run.number == 2 {
							w2.answersLost = true // the start of run 2 is executed, and not answered
						}
						w.run(time.Millisecond)
					}
					w.run(back)
					w1.answersLost = false
					w.after(30*time.Millisecond, func() { w2.answersLost = false })
					for end := w.now + 5*time.Second; w.counts["given_up_runs_done"] == 0 && w.now < end; {
						w.run(time.Millisecond)
					}
					newest := task.lastRun
					w.run(20 * time.Second)
					if task.lastRun > newest {
						t.Errorf("run %d was started after run 1 had been read as done", task.lastRun)
					}
				})
			}
		}
	}
}
