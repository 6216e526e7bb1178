package region

import (
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// explained reports whether a message was logged with all of the given fields.
func (w *world) explained(message string, fields ...string) bool {
	for _, line := range w.explanations {
		found := strings.Contains(line, message)
		for _, f := range fields {
			found = found && strings.Contains(line, "{"+f+"}")
		}
		if found {
			return true
		}
	}
	return false
}

// A new leader tells which workers with runs of its predecessor it reaches, which it does not, and
// of which jobs these runs are.
func TestNewLeaderReportsInheritedRuns(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.addWorker("w1", 2)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 2}))
	w.run(200 * time.Millisecond)
	w.addWorker("w2", 1)
	w.run(100 * time.Millisecond)
	w.submit(oneStep("b", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.stopLeader()
	w.cancel("b")
	w.workers["w2"].unreachable = true
	w.startLeader()
	w.run(inheritedReportDelay + 100*time.Millisecond)
	for _, want := range [][]string{
		{"runs inherited", "workers 2", "runs 3", "runs_of_ended_jobs 1"},
		{"cancelled before this leader", "runs 1"},
		{"inherited runs reached", "worker w1", "born 1", "listed true", "runs 2"},
		{"inherited runs not reached", "worker w2", "born 1", "address 10.0.0.1:w2", "listed true", "runs 1", "runs_of_ended_jobs 1"},
	} {
		if !w.explained(want[0], want[1:]...) {
			t.Errorf("not logged: %q", want)
		}
	}
	if t.Failed() {
		t.Log(strings.Join(w.explanations, "\n"))
	}
}
