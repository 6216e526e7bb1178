package engine

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/work"
)

// JobRefusal is the reason for which a call about a job was refused.
type JobRefusal string

// The refusals of job calls.
const (
	RefusedNoFit    JobRefusal = "no-fit"    // no worker of the zone can run it, or its record is too large
	RefusedBusy     JobRefusal = "busy"      // the backlog is too large
	RefusedLog      JobRefusal = "log"       // the log did not append the record in time
	RefusedNotHere  JobRefusal = "not-here"  // this host does not schedule the zone
	RefusedNotFound JobRefusal = "not-found" // no such job of this team
	RefusedUnknown  JobRefusal = "unknown"   // the log did not answer in time; it may have the record
)

// JobRefusedError reports that a call about a job was refused.
type JobRefusedError struct {
	Refusal    JobRefusal
	Detail     string
	RetryAfter time.Duration // zero if a retry does not help
}

// Outcome returns the outcome of the refused call: unknown if its record may be
// in the log, otherwise not run.
func (e *JobRefusedError) Outcome() work.Outcome {
	if e.Refusal == RefusedUnknown {
		return work.OutcomeUnknown
	}
	return work.OutcomeNotRun
}

// Error implements error.
func (e *JobRefusedError) Error() string {
	return fmt.Sprintf("job refused: %s: %s", e.Refusal, e.Detail)
}

// ClaimError reports that a submission or request was refused because its
// idempotency key was used before.
type ClaimError struct {
	Job      ident.JobID  // the first use of the key
	Conflict bool         // the key was used for other work
	Outcome  work.Outcome // of the first use, unknown until it ends; not run on a conflict
	Running  bool         // the first use has not ended yet
}

// Error implements error.
func (e *ClaimError) Error() string {
	switch {
	case e.Conflict:
		return "the idempotency key was used for other work"
	case e.Running:
		return "the first use of the idempotency key, " + e.Job.String() + ", has not ended yet"
	}
	return fmt.Sprintf("the first use of the idempotency key, %s, ended as %q; its answer is not kept", e.Job, e.Outcome)
}
