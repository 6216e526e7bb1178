package region

import (
	"unicode/utf8"

	"github.com/fireflyfold/fireflyfold/model"
)

// checkpointShare is the divisor of the size of a record that bounds a checkpoint. The other half is for
// the state of its task: an address, and a few losses of about 100 bytes each.
const checkpointShare = 2

// checkpointFailure is why a checkpoint is not kept.
type checkpointFailure string

const (
	checkpointTooLong checkpointFailure = "too long"
	checkpointNotUTF8 checkpointFailure = "not UTF-8"
)

// checkpointBound returns the size of the longest checkpoint that is kept, in bytes.
func (s *Scheduler) checkpointBound() int { return s.opts.RecordBytes / checkpointShare }

// checkCheckpoint returns why a checkpoint cannot be kept, or "".
//
// The guard is against a checkpoint that makes a record too large for the log, or that no record can
// encode: the leader would step down or end, and so would each successor to which the worker lists it.
func (s *Scheduler) checkCheckpoint(checkpoint string) checkpointFailure {
	if len(checkpoint) > s.checkpointBound() {
		return checkpointTooLong
	}
	if !utf8.ValidString(checkpoint) {
		return checkpointNotUTF8
	}
	return ""
}

// checkpointToKeep returns the checkpoint that a worker lists with a run, or "" if it cannot be kept:
// the task then goes on from the last one that can. That is reported once a run.
func (s *Scheduler) checkpointToKeep(w *worker, t *task, id model.RunID, checkpoint string) string {
	why := s.checkCheckpoint(checkpoint)
	if why == "" {
		return checkpoint
	}
	if id.Run > t.reportedRun {
		t.reportedRun = id.Run
		s.explain(id.Task.Job, "checkpoint not kept", Field{"why", string(why)}, Field{"bytes", len(checkpoint)}, Field{"bound", s.checkpointBound()},
			Field{"worker", w.entry.ID}, Field{"born", w.incarnation.BornUnix}, Field{"occurrence", id.Task.Occurrence}, Field{"step", id.Task.Step},
			Field{"task", id.Task.Index}, Field{"run", id.Run}, Field{"kept_bytes", len(t.checkpoint)})
		s.emit(Count{Name: "checkpoints_not_kept", Why: string(why)})
	}
	return ""
}

// saveCheckpoint stores a checkpoint; that of one member is valid for the whole gang. One that cannot be
// kept is of a record that another bound was valid for.
func (s *Scheduler) saveCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || s.checkCheckpoint(checkpoint) != "" {
		return
	}
	if !t.step.rec.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range t.step.tasks {
		m.checkpoint = checkpoint
	}
}
