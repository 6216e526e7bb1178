package region

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a checkpoint that no record of the log has room for: the log would reject the record of
// the run's end, or the job's snapshot, and each leader would step down. The end counts all the same, and
// the task goes on from its last checkpoint that fits.
func TestCheckpointTooLongForRecordsIsNotKept(t *testing.T) {
	const firstFits = 2 * time.Second // for how long the checkpoints of a run are short
	for name, c := range map[string]struct {
		step       *record.Step
		leaderDies bool
		outcome    record.Outcome // of the first run of task 0
		ended      int64          // runs with a checkpoint that is not kept
	}{
		"run that is done":       {step: &record.Step{Count: 2}, outcome: record.Outcome_OUTCOME_DONE, ended: 2},
		"run that failed":        {step: &record.Step{Count: 2}, outcome: record.Outcome_OUTCOME_FAILED, ended: 3},
		"gang that failed":       {step: &record.Step{Count: 2, Gang: true}, outcome: record.Outcome_OUTCOME_FAILED},
		"run in a snapshot":      {step: &record.Step{Count: 2}, outcome: record.Outcome_OUTCOME_DONE, leaderDies: true},
		"failed in the snapshot": {step: &record.Step{Count: 2}, outcome: record.Outcome_OUTCOME_FAILED, leaderDies: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			w.logRetention, w.recordBytes = 20*time.Second, 4000
			runTime := 3 * time.Second
			if c.leaderDies {
				runTime = 15 * time.Second // past the first snapshot
			}
			w.runTime = func(model.TaskID) time.Duration { return runTime }
			w.fails = func(id model.TaskID, run int32) bool {
				return c.outcome == record.Outcome_OUTCOME_FAILED && (id.Index == 0 || c.step.Gang) && run == 1
			}
			resumedFrom := make(map[int32]string)
			w.checkpointOf = func(id model.TaskID, r *fakeRun) string {
				if id.Index == 0 {
					resumedFrom[r.number] = r.checkpoint
				}
				if w.now-r.startedAt < firstFits {
					return "short"
				}
				return strings.Repeat("x", 5000)
			}
			w.addWorker("w1", 4)
			w.startLeader()
			w.submit(oneStep("a", c.step))
			w.run(12 * time.Second)
			if c.leaderDies {
				w.stopLeader()
				w.run(500 * time.Millisecond)
				w.startLeader()
			}
			w.run(30 * time.Second)
			w.mustComplete("a")
			if c.outcome == record.Outcome_OUTCOME_FAILED && resumedFrom[2] != "short" {
				t.Errorf("the second run was started from a checkpoint of %d bytes, want the last one that fits", len(resumedFrom[2]))
			}
			if n := w.counts["checkpoints_not_kept"]; c.ended > 0 && n != c.ended {
				t.Errorf("counted %d runs with a checkpoint that is too long, want %d", n, c.ended)
			}
			if lines := w.linesOf("checkpoint not kept"); len(lines) == 0 || c.ended > 0 && int64(len(lines)) != c.ended {
				t.Errorf("%d lines on checkpoints that are not kept, want one for each of %d runs", len(lines), c.ended)
			}
		})
	}
}

// A checkpoint in a record of an earlier leader, which may have had a higher bound, goes into no record of this
// one.
func TestReplayedCheckpointTooLongForRecordsIsNotKept(t *testing.T) {
	const recordBytes = 4000
	long := strings.Repeat("x", recordBytes-100)
	task := model.TaskID{Job: "a"}
	for name, entry := range map[string]*record.Entry{
		"end": {Kind: &record.Entry_Ended{Ended: &record.Ended{Task: task.Record(), Run: 1, Outcome: record.Outcome_OUTCOME_STOPPED, Checkpoint: long}}},
		"snapshot": {Kind: &record.Entry_Kept{Kept: &record.Kept{Job: oneStep("a", &record.Step{Count: 1}), Tasks: []*record.TaskState{
			{Task: task.Record(), Run: 1, Checkpoint: long},
		}}}},
	} {
		t.Run(name, func(t *testing.T) {
			o := testOptions()
			o.RecordBytes = recordBytes
			s := New(o)
			s.Handle(time.Hour, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: oneStep("a", &record.Step{Count: 1})}}}})
			s.Handle(time.Hour, EntriesRead{Entries: []*record.Entry{entry}})
			for _, k := range s.snapshotJob(s.jobs["a"], recordBytes-snapshotMargin) {
				if n := proto.Size(k); n > recordBytes-snapshotMargin {
					t.Errorf("a part of the snapshot has %d bytes, the log accepts %d", n, recordBytes)
				}
			}
			if got := s.findTask(task); got.lastRun != 1 || len(got.checkpoint) > recordBytes/2 {
				t.Errorf("newest run %d with a checkpoint of %d bytes", got.lastRun, len(got.checkpoint))
			}
		})
	}
}

// Guards against a checkpoint that cannot be encoded into a record: the leader would end with a panic, and so
// would each successor to which the worker lists it.
func TestCheckpointThatIsNotUTF8IsNotKept(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return 3 * time.Second }
	w.fails = func(_ model.TaskID, run int32) bool { return run == 1 }
	var resumedFrom string
	w.checkpointOf = func(_ model.TaskID, r *fakeRun) string {
		if r.number > 1 {
			resumedFrom = r.checkpoint
			return r.checkpoint
		}
		if w.now-r.startedAt < 2*time.Second {
			return "short"
		}
		return "a\xff"
	}
	w.addWorker("w1", 4)
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(12 * time.Second)
	w.mustComplete("a")
	for _, e := range w.entries {
		if _, err := proto.Marshal(e); err != nil {
			t.Errorf("an entry of the log cannot be encoded: %v", err)
		}
	}
	if resumedFrom != "short" {
		t.Errorf("the second run was started from the checkpoint %q, want the last one that can be kept", resumedFrom)
	}
	w.mustLine("checkpoint not kept", "why not UTF-8", "run 1")
}
