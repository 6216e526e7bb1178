package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

func newCompactionWorld(t *testing.T) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 4}))
	w.run(compactAfter + 10*time.Second)
	if w.states["a"] != StateCompleted {
		t.Fatalf("job a is %v", w.states["a"])
	}
	return w, fw
}

// Guards against memory that grows with the tasks of all jobs for which callers may still ask.
func TestEndedJobsKeepOnlyTheirEnd(t *testing.T) {
	w, _ := newCompactionWorld(t)
	if j := w.sched.jobs["a"]; len(j.occs) > 0 || len(j.rec.Steps) > 0 {
		t.Errorf("%d occurrences and %d steps are kept of a job that has ended", len(j.occs), len(j.rec.Steps))
	}
	if got, most := w.sched.JobMemory(), JobMemory(&record.Job{Id: "a", Queue: "q", Workspace: "ws"}); got > most {
		t.Errorf("%d bytes are counted for a job that has ended, want %d at most", got, most)
	}
	w.submit(oneStep("a", &record.Step{Count: 4}))
	w.run(5 * time.Second)
	if n := w.starts[model.TaskID{Job: "a"}]; n != 1 || w.states["a"] != StateCompleted {
		t.Errorf("%d starts of a task of a job that was submitted again after its end, which is %v", n, w.states["a"])
	}
}

// Guards against a run of a job that has ended which goes on because the job's tasks are forgotten.
func TestLateRunOfEndedJobIsStopped(t *testing.T) {
	w, fw := newCompactionWorld(t)
	late := model.TaskID{Job: "a", Index: 1}
	fw.runs[late] = &fakeRun{number: 2, request: model.Resources{MilliCPU: 100}, startedAt: w.now}
	fw.until = fw.clock(w.now) + time.Hour.Milliseconds()
	w.run(5 * time.Second)
	if r, runs := fw.runs[late]; runs && !r.done {
		t.Error("a run of a job that has ended goes on")
	}
}
