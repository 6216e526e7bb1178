package region

import (
	"fmt"
	"strings"
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

// Guards against a step that is said to wait for advice although no call is sent for it: a more urgent step
// asks about all the room that there is.
func TestStepWithoutCallForAdviceSaysSo(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 2)
	w.startLeader()
	w.takesLong("filler", 7400*time.Millisecond)
	w.run(100 * time.Millisecond)
	w.submit(oneStep("filler", &record.Step{Count: 2, EstimateMs: 8000}))
	w.run(100 * time.Millisecond)
	w.submit(withAdvice(oneStep("b", &record.Step{Count: 2}), true))
	w.run(7 * time.Second)
	j := withAdvice(oneStep("a", &record.Step{Count: 2}), true)
	j.Policy.Priority, j.Policy.Advice.DecideMs = 0, 5000
	w.submit(j)
	w.run(1500 * time.Millisecond)
	lines := w.waitReports("b")
	if newest := lines[len(lines)-1]; !strings.Contains(newest, "{held_by advice unasked}") {
		t.Errorf("not said that no call is sent: %s", newest)
	}
}

// waitReports returns the lines "step waits" of a job.
func (w *world) waitReports(job string) []string {
	var lines []string
	for _, line := range w.explanations {
		if strings.Contains(line, " "+job+" step waits ") {
			lines = append(lines, line)
		}
	}
	return lines
}

// mustReport fails the test unless the first line "step waits" of a job has these fields.
func (w *world) mustReport(job string, fields ...string) {
	w.t.Helper()
	lines := w.waitReports(job)
	if len(lines) == 0 {
		w.fatal("no line says for what %s waits", job)
	}
	for _, f := range fields {
		if !strings.Contains(lines[0], "{"+f) {
			w.t.Errorf("no field %q in %s", f, lines[0])
		}
	}
}

// silentAtStart lets a worker fall silent when the first start is on its way.
func (w *world) silentAtStart(fw *fakeWorker) {
	w.callDelay = func(call string) time.Duration {
		if call == "start" {
			fw.unreachable = true
			w.callDelay = func(string) time.Duration { return 0 }
		}
		return 0
	}
}

// Guards against a task that waits without any line about it: its last run is in doubt. The line names
// the run, its worker, and until when it is waited for; of a gang, that of the member.
func TestWaitForRunInDoubtIsReported(t *testing.T) {
	for name, step := range map[string]*record.Step{"task": {}, "gang": {Gang: true, Count: 3, AntiAffinity: 1}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			fw := w.addWorker("w1", 8)
			if step.Gang {
				w.addWorker("w2", 8)
				w.addWorker("w3", 8)
			}
			w.startLeader()
			w.run(2 * time.Second)
			w.silentAtStart(fw)
			w.submit(advised("a", step))
			w.run(9 * time.Second)
			lines := w.waitReports("a")
			if len(lines) == 0 {
				w.fatal("no line says for what the job waits")
			}
			if newest := lines[len(lines)-1]; !strings.Contains(newest, "{held_by run in doubt}") || !strings.Contains(newest, "{worker w1}") || !strings.Contains(newest, "{until_ms ") {
				t.Errorf("not the run in doubt on w1: %s", newest)
			}
		})
	}
}

// Guards against a wait that no line tells of: the last run is being stopped at a worker that does not
// answer, or was started by an earlier leader at one that has not answered since.
func TestWaitForSilentWorkerIsReported(t *testing.T) {
	t.Run("stopping", func(t *testing.T) {
		w := newWorld(t, 1)
		w.runTime = func(model.TaskID) time.Duration { return time.Minute }
		fw := w.addWorker("w1", 8)
		w.startLeader()
		w.run(time.Second)
		w.submit(oneStep("a", &record.Step{EstimateMs: 60_000, Count: 1}))
		w.run(2 * time.Second)
		fw.unreachable = true
		w.run(500 * time.Millisecond)
		w.sched.stopRun(w.sched.findTask(model.TaskID{Job: "a"}).run, "test")
		w.run(4500 * time.Millisecond)
		w.mustReport("a", "held_by run stopping}", "worker w1}", "until_ms ")
	})
	t.Run("inherited", func(t *testing.T) {
		w := newWorld(t, 1)
		w.runTime = func(model.TaskID) time.Duration { return time.Minute }
		fw := w.addWorker("w1", 8)
		w.startLeader()
		w.run(time.Second)
		w.submit(oneStep("a", &record.Step{EstimateMs: 60_000, Count: 1}))
		w.run(2 * time.Second)
		fw.unreachable = true
		w.stopLeader()
		w.startLeader()
		w.run(5 * time.Second)
		w.mustReport("a", "held_by run inherited}", "worker w1}", "until_ms ", "looked_ms_ago -1}")
	})
}

// Guards against a task that is held for crashes and whose step is said to wait for nothing or for
// isolation, or without until when.
func TestWaitForCrashesIsReported(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	c := w.addCrashers(func(id model.TaskID) bool { return id.Job == "bad" })
	c.dark, c.down = true, time.Hour
	w.startLeader()
	w.run(time.Second)
	w.submit(withAdvice(oneStep("bad", &record.Step{Count: 1}), true))
	w.run(20 * time.Second)
	for _, line := range w.waitReports("bad") {
		if strings.Contains(line, "{held_by crashes}") && strings.Contains(line, "{until_ms ") {
			return
		}
	}
	w.fatal("no line says that the task is held for crashes")
}

// Guards against a wait for workers that runs on probation close whose line does not name their job.
func TestWaitForClosedWorkersIsReported(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w0", 8)
	c := w.addCrashers(func(model.TaskID) bool { return false })
	c.down, c.sameID = time.Second, true
	w.longRunning = true
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "s" {
			return time.Hour
		}
		return time.Second
	}
	w.startLeader()
	w.submit(oneStep("s", &record.Step{Count: 1, LongRunning: true, Request: &record.Resources{MilliCpu: 6000, MemoryMib: 100}}))
	w.run(20 * time.Second)
	for range isolateAfter {
		c.crash(w, fw)
		w.run(3 * time.Second)
	}
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(5 * time.Second)
	w.mustReport("a", "held_by isolation}", "closed_for s}", "closed_workers 1}", "closed_ms ")
	w.run(25 * time.Second)
	w.mustComplete("a")
}

// Guards against a waiting task that is in no queue and for which nothing tells of it. The line says so,
// and the step is queued again.
func TestWaitOutsideTheQueueIsReported(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.startLeader()
	w.run(time.Second)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.sched.dequeue(w.sched.findTask(model.TaskID{Job: "a"}).step)
	w.run(6 * time.Second)
	w.mustReport("a", "held_by not queued}")
	w.mustComplete("a")
}

// Guards against a log that a backlog fills: each step is reported when its wait has doubled, and a tick
// reports one at most.
func TestReportsOfWaitsAreBounded(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Hour }
	w.addWorker("w1", 1)
	w.startLeader()
	w.run(time.Second)
	for i := range 40 {
		w.submit(oneStep(fmt.Sprintf("j%02d", i), &record.Step{Count: 1, EstimateMs: 60_000}))
	}
	w.run(42 * time.Second)
	at := make(map[string]int)
	for i := 1; i < 40; i++ {
		lines := w.waitReports(fmt.Sprintf("j%02d", i))
		if len(lines) != 4 {
			t.Fatalf("%d lines about a step that waits for 42 s, want 4: %q", len(lines), lines)
		}
		for _, line := range lines {
			if at[strings.Fields(line)[0]]++; at[strings.Fields(line)[0]] > 1 {
				t.Fatalf("two lines in a tick: %s", line)
			}
		}
	}
}

// Guards against a step that nothing reports any more: it was looked at in the tick in which its task began
// to wait.
func TestStepIsWatchedWhoseTaskBeginsToWait(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.startLeader()
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(time.Second)
	task := w.sched.findTask(model.TaskID{Job: "a"})
	if !task.step.watched || task.run == nil {
		t.Fatalf("the step is watched %v, run %v", task.step.watched, task.run)
	}
	task.step.lookAt = w.sched.now
	w.sched.release(task.run)
	task.waitsSince = w.sched.now
	w.sched.reportWaits()
	if !task.step.watched {
		t.Error("no line would tell that the task waits")
	}
}
