package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const testStall = 1600 * time.Millisecond

// stallWorld returns a world in which the leader stands still, for longer than the lease of a worker,
// while a task there ends as done. The answer that lists the end has come too late when the leader
// goes on. The job is urgent, so its lease is a short one.
func stallWorld(t *testing.T, advice *record.Advice) *world {
	w := mixedWorld(t, 2)
	w.runTime = func(model.TaskID) time.Duration { return 200 * time.Millisecond }
	j := urgentJob("u1")
	j.Policy.Advice = advice
	w.submitTo(j, "urgent")
	for w.starts[model.TaskID{Job: "u1"}] == 0 {
		w.run(time.Millisecond)
	}
	w.run(20 * time.Millisecond) // until the start is answered
	w.stall(testStall, 10*time.Millisecond)
	for _, fw := range w.workers {
		fw.answersLost = len(fw.runs) > 0
		w.after(testStall, func() { fw.answersLost = false })
	}
	return w
}

// Guards against a task that runs again after it was done: its worker has listed the end while the
// leader stood still, and the leader counts the run as lost before it reads that answer.
func TestRunIsNotLostWhileLeaderStandsStill(t *testing.T) {
	for name, advice := range map[string]*record.Advice{
		"with advice":    {DecideMs: 20, EachMs: 2, ValidMs: 2000},
		"without advice": nil,
	} {
		t.Run(name, func(t *testing.T) {
			w := stallWorld(t, advice)
			w.run(20 * time.Second)
			w.mustRunOnce("u1")
		})
	}
}

// Guards against a task that runs again after it was done: its worker has listed the end, and the
// answer is on its way for longer than the lease. An earlier probe of the worker has failed.
func TestRunIsNotLostWhileAnswerIsAwaited(t *testing.T) {
	w := mixedWorld(t, 2)
	w.runTime = func(model.TaskID) time.Duration { return 200 * time.Millisecond }
	for _, fw := range w.workers {
		fw.answersLost = true
		w.after(time.Second, func() { fw.answersLost = false })
	}
	w.run(2 * time.Second)
	w.submitTo(urgentJob("u1"), "urgent")
	for w.starts[model.TaskID{Job: "u1"}] == 0 {
		w.run(time.Millisecond)
	}
	w.run(20 * time.Millisecond) // until the start is answered
	for _, fw := range w.workers {
		if len(fw.runs) > 0 {
			fw.answerDelay = 2 * time.Second
		}
	}
	w.run(20 * time.Second)
	w.mustRunOnce("u1")
}

// Guards against a run that is never counted as lost because the leader has stood still: its worker
// has become unreachable meanwhile.
func TestRunOnUnreachableWorkerIsLostAfterStall(t *testing.T) {
	w := stallWorld(t, nil)
	for _, fw := range w.workers {
		fw.unreachable = len(fw.runs) > 0
	}
	w.run(testStall + urgentUseless/2)
	w.mustComplete("u1")
}
