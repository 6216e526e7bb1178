package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a wrong reason for which a step waits: a gang without an answer of the advice service is
// held by advice, as single tasks are, and not by its service.
func TestStepWithoutAnswerIsHeldByAdvice(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.addWorker("w1", 8)
			w.startLeader()
			w.run(100 * time.Millisecond)
			j := withAdvice(oneStep("a", &record.Step{Count: 2, Gang: gang}), true)
			j.Policy.Advice.DecideMs = 500
			w.submit(j)
			w.run(200 * time.Millisecond)
			if by := w.sched.findTask(model.TaskID{Job: "a"}).step.heldBy; by != "advice" {
				t.Errorf("held by %q, want advice", by)
			}
		})
	}
}
