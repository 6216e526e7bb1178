package host

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/fireflyfold/fireflyfold/record"
)

// taskStateBytes is the size of the state of a task in a snapshot of its job, with a checkpoint and
// the address of its worker.
const taskStateBytes = 200

// JobTooLargeError reports that a submission has more tasks than the log can keep the state of.
type JobTooLargeError struct {
	Field string // of the submission
	Value int64
	Bound int64 // the largest value that is accepted beside the other fields
}

// Error implements error.
func (e *JobTooLargeError) Error() string {
	return fmt.Sprintf("%s is %d, the largest value accepted here is %d", e.Field, e.Value, e.Bound)
}

// maxJobTasks returns how many tasks a job may have, all occurrences together: a snapshot of their
// state has to fit into one call to the log.
func (h *Host) maxJobTasks() int64 { return int64(h.settings.MaxAppendBytes / taskStateBytes) }

// checkJobSize checks that a job has no more than most tasks. It returns nil if so.
func checkJobSize(job *record.Job, most int64) *JobTooLargeError {
	var tasks int64
	for i, st := range job.Steps {
		if left := most - tasks; int64(st.Count) > left {
			return &JobTooLargeError{Field: fmt.Sprintf("steps[%d].count", i), Value: int64(st.Count), Bound: left}
		}
		tasks += int64(st.Count)
	}
	if bound := most / max(tasks, 1); int64(job.RepeatCount) > bound {
		return &JobTooLargeError{Field: "repeatCount", Value: int64(job.RepeatCount), Bound: bound}
	}
	return nil
}

// rejectJob answers a submission that is not accepted. The body names the field and its bound.
func (c *call) rejectJob(err *JobTooLargeError) {
	c.host.log.WithError(err).WithField("job", c.job).Info("submission rejected")
	body, encodeErr := json.Marshal(map[string]any{"error": err.Error(), "field": err.Field, "bound": err.Bound})
	if encodeErr != nil {
		panic(encodeErr) // strings and integers always encode
	}
	c.answer(http.StatusBadRequest, body)
}
