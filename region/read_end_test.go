package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// readEndWorld is a world in which run 1 of a job's first task is done on w1, whose answers are lost, and
// is given up: run 2 is assigned on w2.
type readEndWorld struct {
	*world
	w1, w2 *fakeWorker
	task   *task
}

// eachReadEnd runs a test for tasks and gangs, with and without advice.
func eachReadEnd(t *testing.T, test func(t *testing.T, w *readEndWorld)) {
	for name, step := range map[string]*record.Step{"task": {Count: 1}, "gang": {Count: 3, Gang: true}} {
		for _, advice := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " advice ", advice), func(t *testing.T) {
				test(t, newReadEndWorld(t, withAdvice(oneStep("a", &record.Step{Count: step.Count, Gang: step.Gang}), advice)))
			})
		}
	}
}

func newReadEndWorld(t *testing.T, j *record.Job) *readEndWorld {
	w := &readEndWorld{world: newWorld(t, 1)}
	w.runTime = func(id model.TaskID) time.Duration { return 2*time.Second + time.Duration(id.Step)*10*time.Second }
	w.w1 = w.addWorker("w1", 8)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(j)
	for len(w.w1.runs) == 0 {
		w.run(time.Millisecond)
	}
	w.w2 = w.addWorker("w2", 8)
	w.run(1900 * time.Millisecond)
	w.w1.answersLost = true
	w.task = w.sched.findTask(model.TaskID{Job: "a"})
	for w.task.run == nil || w.task.run.number != 2 {
		w.run(time.Millisecond)
	}
	return w
}

// readEnd lets the leader read the end of run 1.
func (w *readEndWorld) readEnd() {
	w.w1.answersLost = false
	for end := w.now + 5*time.Second; w.counts["given_up_runs_done"] == 0 && w.now < end; {
		w.run(time.Millisecond)
	}
}

// startUnanswered lets w2 execute run 2 without an answer.
func (w *readEndWorld) startUnanswered() {
	w.w2.answersLost = true
	for len(w.w2.runs) == 0 {
		w.run(time.Millisecond)
	}
}

// mustNotStart fails the test if a run of the task is assigned after the newest one, or if its job is not
// completed in some time.
func (w *readEndWorld) mustNotStart(newest int32) {
	w.t.Helper()
	task := w.sched.findTask(model.TaskID{Job: "a"})
	w.run(30 * time.Second)
	if task.lastRun > newest {
		w.t.Errorf("run %d was started after run 1 had been read as done", task.lastRun)
	}
	w.mustComplete("a")
}

// Guards against a task that is started again after its end was read: an earlier run is listed as done
// while the start of a later run has no answer, and the end of the later run is read first.
func TestTaskIsNotStartedAgainAfterItsEndIsRead(t *testing.T) {
	for back := time.Duration(0); back < 1500*time.Millisecond; back += 50 * time.Millisecond {
		t.Run(back.String(), func(t *testing.T) {
			eachReadEnd(t, func(t *testing.T, w *readEndWorld) {
				w.startUnanswered()
				w.run(back)
				w.after(30*time.Millisecond, func() { w.w2.answersLost = false })
				w.readEnd()
				w.mustNotStart(w.task.lastRun)
			})
		})
	}
}

// Guards against the start of a run whose record is being written while an earlier run of the task, or of
// another member of its gang, is read as done.
func TestRunIsNotStartedIfAnEarlierOneIsDone(t *testing.T) {
	eachReadEnd(t, func(t *testing.T, w *readEndWorld) {
		w.logDown = true
		w.readEnd()
		w.logDown = false
		w.mustNotStart(2)
		if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
			t.Errorf("%d starts, want one", n)
		}
	})
}

// Guards against a task that is started again by the next leader: its end was read and had to wait, and
// its worker is gone.
func TestNextLeaderKnowsOfReadEnd(t *testing.T) {
	eachReadEnd(t, func(t *testing.T, w *readEndWorld) {
		w.startUnanswered()
		w.readEnd()
		w.w1.unreachable = true
		w.run(10 * time.Millisecond)
		newest := w.task.lastRun
		w.stopLeader()
		w.run(20 * time.Millisecond)
		w.w2.answersLost = false
		w.startLeader()
		w.mustNotStart(newest)
	})
}

// Guards against the same with the snapshot of a job, which replaces its earlier records.
func TestSnapshotHasReadEnd(t *testing.T) {
	eachReadEnd(t, func(t *testing.T, w *readEndWorld) {
		w.startUnanswered()
		w.readEnd()
		kept := w.sched.snapshotJob(w.task.step.job, defaultRecordBytes)[0]
		next := New(testOptions())
		next.Handle(w.now, EntriesRead{Entries: []*record.Entry{{Kind: &record.Entry_Kept{Kept: kept}}}})
		if len(next.doneEnds) != 1 || next.doneEnds[0].doneEnd.run != 1 {
			t.Errorf("the next leader knows of %d ends, want that of run 1", len(next.doneEnds))
		}
	})
}

// Guards against a task that is started again after its end was read and deferred, as a second start call
// of its run may be executed: its worker begins a next incarnation before the end is applied.
func TestReadEndOutlivesItsWorker(t *testing.T) {
	for _, restartAt := range []time.Duration{2 * time.Second, 6 * time.Second, 12 * time.Second} {
		t.Run(restartAt.String(), func(t *testing.T) {
			h, fw := newHeldWorld(t, 8, dropped)
			h.submitHeld(deferrable("a", &record.Step{}))
			h.until(restartAt)
			if h.counts["ends_deferred"] == 0 {
				t.Fatal("no end is deferred")
			}
			h.restart(fw)
			task := h.sched.findTask(model.TaskID{Job: "a"})
			h.finish("a")
			if n := task.lastRun; n != 1 {
				t.Errorf("run %d was started, want only the one that is done", n)
			}
		})
	}
}

// Guards against a job that fails although its task is done: a later run, which is stopped for that, is
// listed as failed and uses up the attempts.
func TestJobDoesNotFailByALaterRunOfADoneTask(t *testing.T) {
	for name, answered := range map[string]bool{"end is remembered": false, "end is applied": true} {
		t.Run(name, func(t *testing.T) {
			j := oneStep("a", &record.Step{Count: 1})
			j.Steps = append(j.Steps, &record.Step{Count: 1, Request: j.Steps[0].Request, EstimateMs: 500, DependsOn: []int32{0}})
			j.Policy = &record.Policy{Service: "svc", MaxAttempts: 1, Stretch: 2, TargetLatencyMs: 1000}
			w := newReadEndWorld(t, j)
			if answered {
				w.run(300 * time.Millisecond)
				w.w2.answersLost = true
			} else {
				w.startUnanswered()
			}
			w.failures[w.task.id()]++
			w.end(w.w2, w.task.id(), record.Outcome_OUTCOME_FAILED)
			w.readEnd()
			if w.task.done != answered || w.task.doneEnd == nil != answered {
				t.Fatalf("done %v, remembered %v", w.task.done, w.task.doneEnd)
			}
			w.w2.answersLost = false
			w.run(30 * time.Second)
			w.mustComplete("a")
		})
	}
}

// Guards against a task that is started again although an answer listed its end: the worker was forgotten
// while the answer that verifies its entry was on its way.
func TestEndInAnswerOfForgottenWorker(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 2 * time.Second }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.submit(withAdvice(oneStep("a", &record.Step{Count: 1}), true))
	w.run(1900 * time.Millisecond)
	fw.unreachable = true
	moved := fw.entry
	moved.Address = "10.0.0.9:1"
	w.deliver(WorkerListed{Entry: moved})
	w.deliver(WorkerUnlisted{ID: "w1"})
	for end := w.now + 30*time.Second; w.sched.workers["w1"] != nil && w.now < end; {
		w.run(time.Millisecond)
	}
	task := w.sched.findTask(model.TaskID{Job: "a"})
	done := model.End{Number: 1, RunID: model.RunID{Task: task.id(), Run: 1}, Outcome: record.Outcome_OUTCOME_DONE}
	w.step(ProbeAnswered{
		Request: model.ProbeRequest{Worker: refOf(moved)}, Verify: true, SentAt: w.now - 1500*time.Millisecond,
		Response: model.ProbeResponse{BornUnix: moved.BornUnix, Ended: []model.End{done}},
	})
	w.addWorker("w2", 8)
	w.run(20 * time.Second)
	w.mustComplete("a")
	if task.lastRun != 1 {
		t.Errorf("run %d was started after run 1 had been read as done", task.lastRun)
	}
}

// Guards against a task that is started again although its end was read: the answer that lists it comes from
// another incarnation than the one whose ends are applied, as it arrives late or verifies an entry.
func TestEndInAnswerOfAnotherIncarnation(t *testing.T) {
	for name, verify := range map[string]bool{"late": false, "verifies an entry": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.runTime = func(model.TaskID) time.Duration { return 20 * time.Second }
			fw := w.addWorker("w1", 8)
			w.startLeader()
			w.submit(withAdvice(oneStep("a", &record.Step{Count: 1}), true))
			w.run(time.Second)
			earlier := w.sched.workers["w1"].ref()
			w.issuesTicket = func(string, string) bool { return false } // the task waits
			fw.restart(w)
			w.deliver(WorkerListed{Entry: fw.entry})
			w.run(time.Second)
			done := model.End{Number: 1, RunID: model.RunID{Task: model.TaskID{Job: "a"}, Run: 1}, Outcome: record.Outcome_OUTCOME_DONE}
			w.step(ProbeAnswered{
				Request: model.ProbeRequest{Worker: earlier}, Verify: verify, SentAt: w.now - 1500*time.Millisecond,
				Response: model.ProbeResponse{BornUnix: earlier.BornUnix, Ended: []model.End{done}},
			})
			w.issuesTicket = func(string, string) bool { return true }
			task := w.sched.findTask(done.Task)
			newest := task.lastRun
			w.run(20 * time.Second)
			w.mustComplete("a")
			if task.lastRun != newest {
				t.Errorf("run %d was started after run 1 had been read as done", task.lastRun)
			}
		})
	}
}
