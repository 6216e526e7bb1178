package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/work"
)

// Task is what the stream says of one task of a job. The zero value is a task
// that was never assigned.
type Task struct {
	Attempts int            `json:"n,omitempty"` // attempts assigned so far
	Open     bool           `json:"o,omitempty"` // the newest attempt is open
	Worker   ident.WorkerID `json:"w,omitempty"` // of the open attempt
	Epoch    Epoch          `json:"e,omitempty"` // in which the open attempt was assigned
	Lease    platform.Epoch `json:"l,omitempty"` // as in Assigned
	Result   Result         `json:"r,omitempty"` // of the newest closed attempt
}

// Done reports whether the task succeeded and needs no further attempt.
func (t Task) Done() bool { return !t.Open && t.Result == ResultSucceeded }

// Job is what the stream says of one job. Callers must not change it.
type Job struct {
	Accepted
	Tasks     map[int]Task // by index; a task that was never assigned is absent
	OpenTasks int          // tasks with an open attempt
	Cancelled bool
	Ended     bool
	Outcome   work.Outcome // valid once Ended
	Reason    string       // why it was cancelled or ended
	// ForgetAt is the stream's time, in milliseconds, from which an ended job is
	// forgotten.
	ForgetAt int64

	base Anchor // from where a reader finds the job whole
}

// Anchor is a position in the stream with all that a reader needs to judge the
// records behind it.
type Anchor struct {
	After      platform.Offset `json:"after"`           // the next record read is After+1
	Epoch      Epoch           `json:"epoch,omitempty"` // in force there
	Num        uint64          `json:"num,omitempty"`   // highest number of the epoch so far
	FenceClock int64           `json:"fc,omitempty"`    // stream's time at the epoch's fence, ms
	Clock      int64           `json:"clock,omitempty"` // stream's time, ms
}

// JobState writes a job again, whole, before its older records expire. A
// reader that knows the job learns nothing from it.
type JobState struct {
	Accepted
	Tasks     map[int]Task `json:"tasks,omitempty"`
	Cancelled bool         `json:"can,omitempty"`
	Ended     bool         `json:"ended,omitempty"`
	Outcome   work.Outcome `json:"out,omitempty"`
	Reason    string       `json:"why,omitempty"`
	ForgetAt  int64        `json:"until,omitempty"`
}

// Mark states a fact about the stream before it: a reader that starts at Start
// finds everything that lives. The fact stays true whoever wrote it and
// whatever follows, so a mark is believed even when its writer's epoch is over.
type Mark struct {
	Start Anchor `json:"start"`
}

// OpenAttempt is an attempt that has not been closed.
type OpenAttempt struct {
	Attempt ident.AttemptID
	Worker  ident.WorkerID
	Epoch   Epoch
	Lease   platform.Epoch
}

// AcceptedTime returns the wall clock of acceptance, for people only.
func (j *Job) AcceptedTime() time.Time { return time.UnixMilli(j.AcceptedAt) }
