package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a long task that is stopped again and again, as it shows no progress for longer than short
// ones, and never ends.
func TestLongTaskEnds(t *testing.T) {
	const runTime = 30 * time.Minute
	for name, c := range map[string]struct {
		estimate  time.Duration
		maxStarts int
	}{
		"run time declared":     {runTime, 1},
		"declared too short":    {5 * time.Second, 8},
		"run time not declared": {0, 8},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.runTime = func(model.TaskID) time.Duration { return runTime }
			w.addWorker("w1", 8)
			w.addWorker("w2", 8)
			w.startLeader()
			w.submit(oneStep("a", &record.Step{Count: 1, EstimateMs: c.estimate.Milliseconds()}))
			for end := w.now + 2*runTime; w.states["a"] != StateCompleted && w.now < end; {
				w.run(time.Second)
			}
			w.mustComplete("a")
			if n := w.starts[model.TaskID{Job: "a"}]; n > c.maxStarts {
				t.Errorf("started %d times, want %d at most", n, c.maxStarts)
			}
		})
	}
}
