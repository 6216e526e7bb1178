package region

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// retentionWorld has a log that keeps records for 20 s, and runs a job until it is cancelled. The host
// that accepts it has a clock that is ahead by the skew.
func retentionWorld(t *testing.T, skew time.Duration) *world {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires, w.longRunning = 20*time.Second, true, true
	w.runTime = func(model.TaskID) time.Duration { return time.Hour }
	w.addWorker("w1", 4)
	w.startLeader()
	w.submitAt(oneStep("service", &record.Step{Count: 1, LongRunning: true}), "q", w.now+skew)
	return w
}

// mustStillRun fails the test unless the task of the job of retentionWorld runs and has been started
// once.
func (w *world) mustStillRun() {
	w.t.Helper()
	if n := w.starts[model.TaskID{Job: "service"}]; len(w.workers["w1"].runs) != 1 || n != 1 {
		w.fatal("%d tasks run, started %d times", len(w.workers["w1"].runs), n)
	}
}

// Guards against a job that is forgotten, and its run stopped, because each new leader puts off
// writing it again: its last record expires.
func TestJobOutlivesRetentionAcrossLeaderChanges(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 8 * time.Second, 9500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			w := retentionWorld(t, 0)
			for range 12 {
				w.run(pause)
				w.stopLeader()
				w.run(500 * time.Millisecond)
				w.startLeader()
			}
			w.run(time.Second)
			w.mustStillRun()
		})
	}
}

// Guards against the same where the time of day of the accepting host or of leaders is wrong.
func TestJobOutlivesRetentionAcrossLeaderChangesWithWrongClocks(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, -30 * time.Second, 30 * time.Second, time.Hour} {
		t.Run(skew.String(), func(t *testing.T) {
			w := retentionWorld(t, skew)
			for i := range 12 {
				w.run(8 * time.Second)
				w.stopLeader()
				w.run(500 * time.Millisecond)
				w.clockSkew = skew * time.Duration(i%2) // of the next leader
				w.startLeader()
			}
			w.run(time.Second)
			w.mustStillRun()
		})
	}
}

// checkRecordSizes fails the test if the log would reject an entry for its size.
func (w *world) checkRecordSizes(entries []*record.Entry) {
	for _, e := range entries {
		if n := proto.Size(e); w.recordBytes > 0 && n > w.recordBytes {
			w.fatal("an entry of %d bytes, the log accepts %d", n, w.recordBytes)
		}
	}
}

// Guards against a job whose snapshot grows with the tasks that have run until the log rejects it:
// the leader, and each successor, could log nothing more. No task of it runs twice.
func TestSnapshotOfManyTasksFitsIntoRecords(t *testing.T) {
	const tasks = 300
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires, w.recordBytes = 20*time.Second, true, 4000
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Step == 1 {
			return time.Minute
		}
		return 500 * time.Millisecond
	}
	w.addWorker("w1", 64)
	w.startLeader()
	j := oneStep("a", &record.Step{Count: 200, EstimateMs: 500, Request: &record.Resources{MilliCpu: 100, MemoryMib: 1}})
	j.Steps = append(j.Steps, oneStep("", &record.Step{Count: tasks - 200, EstimateMs: 60000, Request: &record.Resources{MilliCpu: 100, MemoryMib: 1}}).Steps...)
	w.submit(j)
	for range 7 {
		w.run(8 * time.Second)
		w.stopLeader()
		w.run(500 * time.Millisecond)
		w.startLeader()
	}
	w.run(20 * time.Second)
	w.mustComplete("a")
	if len(w.starts) != tasks {
		t.Errorf("%d tasks were started, want %d", len(w.starts), tasks)
	}
	for id, n := range w.starts {
		if n != 1 {
			t.Errorf("task %v was started %d times", id, n)
		}
	}
}

// Guards against a snapshot that counts as complete although a leader died before it had written its
// last part: what the missing parts hold would expire.
func TestIncompleteSnapshotIsWrittenAgain(t *testing.T) {
	w := retentionWorld(t, 0)
	w.run(11 * time.Second)
	n := len(w.entries) - 1
	for ; n >= 0 && w.entries[n].GetKept() == nil; n-- {
	}
	if n < 0 {
		t.Fatal("no snapshot was written")
	}
	w.entries[n].GetKept().More = true // its last part was lost with the leader
	w.stopLeader()
	w.run(time.Second)
	before := len(w.entries)
	w.startLeader()
	w.run(time.Second)
	for _, e := range w.entries[before:] {
		if e.GetKept() != nil {
			return
		}
	}
	t.Error("the next leader wrote no snapshot")
}
