package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// Task is what the stream says of one task of a job. The zero value is a task
// that was never assigned.
type Task struct {
	Attempts int            `json:"n,omitempty"` // attempts assigned so far
	Open     bool           `json:"o,omitempty"` // the newest attempt is open
	Worker   ident.WorkerID `json:"w,omitempty"` // of the open attempt
	Epoch    Epoch          `json:"e,omitempty"` // in which the open attempt was assigned
	Lease    ports.Epoch    `json:"l,omitempty"` // as in Assigned
	Boot     uint64         `json:"b,omitempty"` // as in Assigned
	Result   Result         `json:"r,omitempty"` // of the newest closed attempt
	Refused  int            `json:"x,omitempty"` // attempts that truly never started, unrecorded ones included
	Stopped  int            `json:"s,omitempty"` // attempts that were stopped
}

// closed returns the task after its open attempt has ended.
func (t Task) closed(r Result) Task {
	next := Task{Attempts: t.Attempts, Result: r, Refused: t.Refused, Stopped: t.Stopped}
	switch r {
	case ResultNeverStarted:
		next.Refused++
	case ResultStopped:
		next.Stopped++
	}
	return next
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

// AcceptedTime returns the wall clock of acceptance, for people only.
func (j *Job) AcceptedTime() time.Time { return time.UnixMilli(j.AcceptedAt) }

// gaveUpKey reports whether a repeat of the job's key is a new job.
func (j *Job) gaveUpKey() bool { return j.Ended && j.Outcome == work.OutcomeNotRun }

// openAttempts lists the open attempts in order of index.
func (j *Job) openAttempts() []OpenAttempt {
	var out []OpenAttempt
	for _, i := range slices.Sorted(maps.Keys(j.Tasks)) {
		t := j.Tasks[i]
		if !t.Open {
			continue
		}
		out = append(out, OpenAttempt{
			Attempt: ident.AttemptID{Job: j.Job, Index: i, Attempt: t.Attempts},
			Worker:  t.Worker,
			Epoch:   t.Epoch,
			Lease:   t.Lease,
			Boot:    t.Boot,
		})
	}
	return out
}

// OpenAttempt is an attempt that has not been closed.
type OpenAttempt struct {
	Attempt ident.AttemptID
	Worker  ident.WorkerID
	Epoch   Epoch
	Lease   ports.Epoch
	Boot    uint64
}

// JobState writes a job again, whole, before its older records expire. A
// reader that knows the job learns only that it is found here as well.
type JobState struct {
	Accepted
	Tasks     map[int]Task `json:"tasks,omitempty"`
	Cancelled bool         `json:"can,omitempty"`
	Ended     bool         `json:"ended,omitempty"`
	Outcome   work.Outcome `json:"out,omitempty"`
	Reason    string       `json:"why,omitempty"`
	ForgetAt  int64        `json:"until,omitempty"`
}

// stateOf returns the record that writes the job again.
func stateOf(j *Job) *JobState {
	return &JobState{
		Accepted:  j.Accepted,
		Tasks:     j.Tasks,
		Cancelled: j.Cancelled,
		Ended:     j.Ended,
		Outcome:   j.Outcome,
		Reason:    j.Reason,
		ForgetAt:  j.ForgetAt,
	}
}

// restore folds a job that is written again. Its writer formed the record from
// the state right before it, so a reader that has the job finds it unchanged.
//
// A reader that started behind the job's earlier records may meanwhile have
// taken an acceptance of the same job or key, which the writer's own state
// rejected: what the record says replaces it.
func (f *Fold) restore(st *JobState, before Anchor) RejectReason {
	j := &Job{
		Accepted:  st.Accepted,
		Tasks:     maps.Clone(st.Tasks),
		Cancelled: st.Cancelled,
		Ended:     st.Ended,
		Outcome:   st.Outcome,
		Reason:    st.Reason,
		ForgetAt:  st.ForgetAt,
	}
	if j.Tasks == nil {
		j.Tasks = map[int]Task{}
	}
	for _, t := range j.Tasks {
		if t.Open {
			j.OpenTasks++
		}
	}
	rival := f.ByKey(j.Key)
	if rival != nil && rival.Job != j.Job && !j.gaveUpKey() {
		delete(f.jobs, rival.Job)
	}
	f.insert(j, before)
	if j.Ended {
		f.ended.push(forgetEntry{at: j.ForgetAt, job: j.Job})
	}
	return accepted
}
