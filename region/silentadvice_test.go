package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a step that waits beside idle workers: the eligible ones that it knows have fallen silent
// and are still listed, and each call for advice names them, in place of the new ones.
func TestAdviceIsAskedAboutWorkersThatAnswer(t *testing.T) {
	for _, added := range []int{1, 4} {
		for name, step := range map[string]*record.Step{"task": {Count: 1}, "gang": {Count: 2, Gang: true}} {
			t.Run(fmt.Sprint(name, " ", added), func(t *testing.T) {
				w := newWorld(t, 1)
				w.takesLong("filler", time.Minute)
				const known = 120
				for i := range known {
					w.addWorker(fmt.Sprintf("w%03d", i), 8)
				}
				w.startLeader()
				w.run(time.Second)
				w.submit(oneStep("filler", &record.Step{Count: known, EstimateMs: 60_000, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}}))
				w.run(500 * time.Millisecond)
				w.submit(advised("a", step))
				w.run(2 * time.Second)
				for _, fw := range w.workers {
					fw.unreachable = true
				}
				w.cancel("filler")
				w.run(8 * time.Second)
				if len(w.sched.findTask(model.TaskID{Job: "a"}).step.advice.eligible) == 0 {
					t.Fatal("no worker is known to be eligible")
				}
				for i := range added {
					w.addWorker(fmt.Sprintf("x%d", i), 8)
				}
				w.run(2 * time.Second)
				if w.starts[model.TaskID{Job: "a"}] == 0 {
					w.fatal("not started on the new workers: %s", describeTasks(w.sched.jobs["a"]))
				}
			})
		}
	}
}
