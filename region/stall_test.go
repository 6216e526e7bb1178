package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const testStall = 1600 * time.Millisecond

// listedEndWorld returns a world in which an urgent task, whose lease is a short one, has ended as
// done, its worker has listed the end, and the leader has not read the answer. lose says how it is
// kept from doing so. Earlier probes of the worker have failed.
func listedEndWorld(t *testing.T, advice *record.Advice, lose func(*fakeWorker)) (*world, *fakeWorker) {
	w := mixedWorld(t, 2)
	for _, fw := range w.workers {
		fw.answersLost = true
		w.after(time.Second, func() { fw.answersLost = false })
	}
	w.run(2 * time.Second)
	w.runTime = func(model.TaskID) time.Duration { return 60 * time.Millisecond }
	j := urgentJob("u1")
	j.Policy.Advice = advice
	w.submitTo(j, "urgent")
	for w.starts[model.TaskID{Job: "u1"}] == 0 {
		w.run(time.Millisecond)
	}
	w.run(2 * testDelay) // until the start is answered
	var on *fakeWorker
	for _, fw := range w.workers {
		if len(fw.runs) > 0 {
			on = fw
			lose(fw)
		}
	}
	for on.listedEnds == 0 {
		w.run(time.Millisecond)
	}
	return w, on
}

func loseAnswers(fw *fakeWorker) { fw.answersLost = true }

// Guards against a task that runs again after it was done: its worker has listed the end just before
// the leader stands still, the call has timed out when it goes on, and the leader counts the run as
// lost before it has called the worker again.
func TestRunIsNotLostWhileLeaderStandsStill(t *testing.T) {
	for name, advice := range map[string]*record.Advice{
		"with advice":    {DecideMs: 20, EachMs: 2, ValidMs: 2000},
		"without advice": nil,
	} {
		for _, after := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", answers lost for ", after, " more"), func(t *testing.T) {
				w, fw := listedEndWorld(t, advice, loseAnswers)
				w.stall(testStall, 10*time.Millisecond)
				w.after(testStall+after, func() { fw.answersLost = false })
				w.run(20 * time.Second)
				w.mustRunOnce("u1")
			})
		}
	}
}

// Guards against a task that runs again after it was done: its worker has listed the end, and the
// answer is on its way for longer than the lease.
func TestRunIsNotLostWhileAnswerIsAwaited(t *testing.T) {
	w, _ := listedEndWorld(t, nil, func(fw *fakeWorker) { fw.answerDelay = 2 * time.Second })
	w.run(20 * time.Second)
	w.mustRunOnce("u1")
}

// Guards against a run that is never counted as lost: its worker is gone, and the leader stands still
// again and again.
func TestRunIsLostAlthoughLeaderStallsAgainAndAgain(t *testing.T) {
	w, fw := listedEndWorld(t, nil, loseAnswers)
	fw.unreachable = true
	expiry := w.sched.workers[fw.entry.ID].lapsesAt()
	for end := w.now + 20*time.Second; w.now < end; w.run(300 * time.Millisecond) {
		w.stall(250*time.Millisecond, 10*time.Millisecond)
		if w.states["u1"] == StateCompleted {
			if late := w.now - expiry; late > 2*maxExpiryDelay {
				t.Errorf("completed %v after the lease has expired, want at most %v", late, 2*maxExpiryDelay)
			}
			return
		}
	}
	t.Error("not completed within 20 s")
}

// Guards against a run that is never counted as lost because the leader has stood still: its worker
// has become unreachable meanwhile.
func TestRunOnUnreachableWorkerIsLostAfterStall(t *testing.T) {
	w, fw := listedEndWorld(t, nil, loseAnswers)
	fw.unreachable = true
	w.stall(testStall, 10*time.Millisecond)
	w.run(testStall + urgentUseless/2)
	w.mustComplete("u1")
}
