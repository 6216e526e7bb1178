package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a task without a ticket that waits for a start which may be executed late: its
// worker was unreachable before the start was sent, and no call had shown that yet.
func TestStartWithoutTicketIsNotSentToSilentWorker(t *testing.T) {
	for name, gang := range map[string]bool{"single": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			fw := w.addWorker("w1", 8)
			w.startLeader()
			w.run(2 * time.Second)
			step := &record.Step{Gang: gang}
			if gang {
				step.Count = 3
			}
			fw.unreachable = true
			w.submit(deferrable("a", step))
			w.run(50 * time.Millisecond)
			if w.sched.findTask(model.TaskID{Job: "a"}).lastRun == 0 {
				w.fatal("not assigned to the worker that is unreachable")
			}
			w.addWorker("w2", 8)
			w.run(3 * time.Second)
			w.mustComplete("a")
		})
	}
}
