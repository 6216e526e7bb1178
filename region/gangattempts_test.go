package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a gang that is given up too early: one run in which two members end as failed is
// one attempt.
func TestGangRunWithTwoFailedMembersIsOneAttempt(t *testing.T) {
	for _, failing := range []int32{1, 2, 4} {
		w := newWorld(t, 1)
		w.membersFailTogether = true
		for _, id := range []string{"w1", "w2"} {
			w.addWorker(id, 2)
		}
		w.fails = func(id model.TaskID, run int32) bool { return id.Index >= 4-failing && run <= 2 }
		w.startLeader()
		w.submit(oneStep("gang", &record.Step{Count: 4, Gang: true}))
		w.run(10 * time.Second)
		w.mustComplete("gang")
	}
}

// Guards against a gang that fails in each run and is never given up.
func TestGangFailsAfterMaxAttempts(t *testing.T) {
	w := newWorld(t, 1)
	w.membersFailTogether = true
	w.addWorker("w1", 4)
	w.fails = func(id model.TaskID, _ int32) bool { return id.Index >= 2 }
	w.startLeader()
	w.submit(oneStep("gang", &record.Step{Count: 4, Gang: true}))
	w.run(10 * time.Second)
	if w.states["gang"] != StateFailed {
		t.Fatalf("job is %v, want failed", w.states["gang"])
	}
	if n := w.starts[model.TaskID{Job: "gang"}]; n != 3 {
		t.Errorf("started %d times, want 3", n)
	}
}
