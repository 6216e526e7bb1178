package leader

import (
	"cmp"
	"fmt"
	"math"
	"strings"

	"github.com/fireflyfold/fireflyfold/record"
)

// taskBytes is the least size of the state of a task in a snapshot of its job. Hosts accept no job
// whose tasks would take more than one append.
const taskBytes = 200

// InvalidRecordError reports a record of the intake that no host writes.
type InvalidRecordError struct {
	Job     string
	Problem string
}

// Error implements error.
func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("record of job %.64q: %s", e.Job, e.Problem)
}

// checkIntake returns an *InvalidRecordError for a submission that the scheduler cannot keep.
// callBytes is the maximum size of an append, or 0 if there is none.
//
// The guard is against leaders that end one after the other: another program has written to the topic
// of the intake, and each leader reads the record anew. Hosts check what callers submit.
func checkIntake(r *record.Intake, callBytes int) error {
	job := r.GetSubmitted()
	if job == nil {
		return nil
	}
	invalid := func(format string, args ...any) error {
		return &InvalidRecordError{Job: job.Id, Problem: fmt.Sprintf(format, args...)}
	}
	if job.Id == "" || strings.Contains(job.Id, ".") { // dots separate it from the numbers of a task
		return invalid("its id names no task")
	}
	most := int64(cmp.Or(callBytes, math.MaxInt) / taskBytes)
	var tasks int64
	for i, s := range job.Steps {
		if s.Count < 0 || int64(s.Count) > most-tasks {
			return invalid("step %d has %d tasks, and the job may have %d", i, s.Count, most)
		}
		tasks += int64(s.Count)
		for _, on := range s.DependsOn {
			if on < 0 || int(on) >= i {
				return invalid("step %d depends on step %d", i, on)
			}
		}
	}
	if int64(job.RepeatCount) > most/max(tasks, 1) {
		return invalid("it has %d occurrences of %d tasks", job.RepeatCount, tasks)
	}
	return nil
}
