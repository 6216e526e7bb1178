package request

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/work"
)

// Cause says why a request ended without an answer.
type Cause string

// The causes, each with one fixed outcome.
const (
	CauseOverload  Cause = "overload"       // too much waits already
	CauseDeadline  Cause = "deadline"       // the deadline passed, or cannot be met
	CauseLimit     Cause = "team-limit"     // the team's upper limit is in use
	CauseNoWorker  Cause = "no-worker"      // no reachable worker answers for the service
	CauseDraining  Cause = "draining"       // this host is stopping
	CauseDuplicate Cause = "duplicate"      // the identifier was taken before
	CauseGone      Cause = "caller-gone"    // the caller went away while it waited
	CauseLost      Cause = "answer-lost"    // sent to a worker and no whole answer came
	CauseTimedOut  Cause = "timed-out"      // stopped at its deadline after it was sent
	CauseFailed    Cause = "upstream-error" // failed on every try
	CauseClaim     Cause = "claim"          // its idempotency key could not be claimed in the log
)

// outcomes maps each cause to the one outcome a caller may conclude from it.
var outcomes = map[Cause]work.Outcome{
	CauseOverload:  work.OutcomeNotRun,
	CauseDeadline:  work.OutcomeNotRun,
	CauseLimit:     work.OutcomeNotRun,
	CauseNoWorker:  work.OutcomeNotRun,
	CauseDraining:  work.OutcomeNotRun,
	CauseDuplicate: work.OutcomeUnknown,
	CauseGone:      work.OutcomeNotRun,
	CauseLost:      work.OutcomeUnknown,
	CauseTimedOut:  work.OutcomeUnknown,
	CauseFailed:    work.OutcomeUnknown,
	CauseClaim:     work.OutcomeNotRun,
}

// RejectedError ends a request without an answer.
type RejectedError struct {
	Cause Cause
	// RetryAfter is when it is worth asking again; zero if the router cannot say.
	RetryAfter time.Duration
	// MayHaveRun tells that an earlier try of the same request was sent and
	// got no answer. A later refusal for want of room must not then claim that
	// the request did not run.
	MayHaveRun bool
}

// Outcome returns what the caller may conclude.
func (e *RejectedError) Outcome() work.Outcome {
	if e.MayHaveRun {
		return work.OutcomeUnknown
	}
	if o, ok := outcomes[e.Cause]; ok {
		return o
	}
	return work.OutcomeUnknown
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("request rejected: %s (%s)", e.Cause, e.Outcome())
}
