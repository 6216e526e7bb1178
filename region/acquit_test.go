package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a job that a new leader gives up for crashes that its predecessor had forgotten.
func TestNewLeaderInheritsNoForgottenCrashes(t *testing.T) {
	w, c := newRackWorld(t, 1, 4, 4)
	w.runTime = func(model.TaskID) time.Duration { return 65 * time.Second }
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 1}))
	t.Cleanup(func() { w.logOf("a ") })
	for _, worked := range []time.Duration{time.Second, time.Second, 50 * time.Second} {
		on := w.mustRunAgain("a")
		w.run(worked)
		c.crash(w, on)
		w.run(c.down + time.Second)
		w.startLeader()
	}
	w.run(90 * time.Second)
	w.mustComplete("a")
}
