package engine

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/work"
)

// JobRefusal says why a call about a job was refused.
type JobRefusal string

// The refusals of job calls.
const (
	RefusedNoFit    JobRefusal = "no-fit"    // no worker of the zone could ever run it
	RefusedBusy     JobRefusal = "busy"      // too much waits already
	RefusedLog      JobRefusal = "log"       // the log did not take the record in time
	RefusedNotHere  JobRefusal = "not-here"  // this host does not schedule the zone
	RefusedNotFound JobRefusal = "not-found" // no such job of this team
	RefusedUnknown  JobRefusal = "unknown"   // the record may be in the log
)

// JobRefusedError refuses a call about a job.
type JobRefusedError struct {
	Refusal    JobRefusal
	Detail     string
	RetryAfter time.Duration // zero if waiting does not help
}

// Outcome returns what the caller may conclude of its work.
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

// ClaimError ends a submission or request because of its idempotency key.
type ClaimError struct {
	Job      ident.JobID // that has the key
	Conflict bool        // the key was used for other work
	Outcome  work.Outcome
	Running  bool // the first use still runs
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
