package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against an end that is acknowledged without having been read: the page does not say in which
// order a worker lists its ends.
func TestEndsListedInAnyOrder(t *testing.T) {
	s := New(testOptions())
	now := time.Hour
	handle := func(ev Event) []Command {
		now += 5 * time.Millisecond
		return append([]Command(nil), s.Handle(now, ev)...)
	}
	handle(Tick{UnixMs: now.Milliseconds()})
	j := oneStep("a", &record.Step{Count: 2})
	j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000}
	j.Workspace, j.Queue = "ws", "q"
	handle(IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
	var assigned []*record.Entry
	for i := range int32(2) {
		assigned = append(assigned, &record.Entry{Fence: 1, Seq: int64(i) + 1, Kind: &record.Entry_Assigned{Assigned: &record.Assigned{
			Task: model.TaskID{Job: "a", Index: i}.Record(), Run: 1, Worker: "w1", BornUnixMs: 7, Address: "10.0.0.1:1",
		}}})
	}
	handle(EntriesRead{Entries: assigned})
	commands := handle(Lead{Fence: 2, ProvenAt: now})
	seq := int64(0)
	for range 3 {
		for _, c := range commands {
			switch c := c.(type) {
			case Append:
				seq = c.Seq
			case Probe:
				ends := []model.End{}
				for _, i := range []int32{1, 0} {
					ends = append(ends, model.End{Number: int64(i) + 1, RunID: model.RunID{Task: model.TaskID{Job: "a", Index: i}, Run: 1}, Outcome: record.Outcome_OUTCOME_DONE})
				}
				sent := now
				commands = handle(ProbeAnswered{Request: c.Request, SentAt: sent, Response: model.ProbeResponse{ClockMs: now.Milliseconds(), BornUnix: 7, Ended: ends}})
			}
		}
		for _, c := range commands {
			if c, ok := c.(Append); ok {
				seq = c.Seq
			}
		}
		handle(Committed{Seq: seq, SentAt: now})
	}
	for i := range int32(2) {
		if task := s.findTask(model.TaskID{Job: "a", Index: i}); !task.done {
			t.Errorf("task %d, whose end was listed as done, is not done (run %d, ended %d)", i, task.lastRun, task.endedRun)
		}
	}
}

// Guards against a task that waits in no queue: its worker lists the end of a run whose number is higher
// than that of the run which is alive, and this one ends after that.
func TestTaskIsQueuedAfterAnEndThatWasCounted(t *testing.T) {
	w := newWorld(t, 1)
	w.fails = func(_ model.TaskID, run int32) bool { return run == 1 }
	fw := w.addWorker("w1", 8)
	w.startLeader()
	w.run(time.Second)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	fw.nextEnd++
	fw.ends = append(fw.ends, model.End{Number: fw.nextEnd, RunID: model.RunID{Task: model.TaskID{Job: "a"}, Run: 3}, Outcome: record.Outcome_OUTCOME_LOST})
	w.run(2500 * time.Millisecond)
	w.mustComplete("a")
}
