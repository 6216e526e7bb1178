package request

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/work"
)

// Cause is the reason why a request ended without an answer.
type Cause string

// The causes. Each maps to one fixed outcome.
const (
	CauseOverload   Cause = "overload"       // the queue is full, or the last try did not run
	CauseDeadline   Cause = "deadline"       // the deadline passed, or cannot be met
	CauseLimit      Cause = "team-limit"     // the team's upper limit is reached
	CauseNoWorker   Cause = "no-worker"      // no reachable worker serves the service
	CauseDraining   Cause = "draining"       // this host is draining
	CauseDuplicate  Cause = "duplicate"      // the request ID was received before
	CauseCallerGone Cause = "caller-gone"    // the caller disconnected while the request waited
	CauseAnswerLost Cause = "answer-lost"    // sent to a worker, and no complete answer arrived
	CauseTimedOut   Cause = "timed-out"      // stopped at its deadline after it was sent
	CauseFailed     Cause = "upstream-error" // every try failed
	CauseClaim      Cause = "claim"          // the idempotency key could not be claimed in the log
)

// outcomes maps each cause to the outcome that a caller may conclude from it.
var outcomes = map[Cause]work.Outcome{
	CauseOverload:   work.OutcomeNotRun,
	CauseDeadline:   work.OutcomeNotRun,
	CauseLimit:      work.OutcomeNotRun,
	CauseNoWorker:   work.OutcomeNotRun,
	CauseDraining:   work.OutcomeNotRun,
	CauseDuplicate:  work.OutcomeUnknown,
	CauseCallerGone: work.OutcomeNotRun,
	CauseAnswerLost: work.OutcomeUnknown,
	CauseTimedOut:   work.OutcomeUnknown,
	CauseFailed:     work.OutcomeUnknown,
	CauseClaim:      work.OutcomeNotRun,
}

// RejectedError reports that a request ended without an answer.
type RejectedError struct {
	Cause Cause
	// RetryAfter is how long the caller should wait before it retries; zero if
	// unknown.
	RetryAfter time.Duration
	// MayHaveRun is set when an earlier try of the same request was sent and
	// got no answer. A later refusal for lack of capacity must then not report
	// that the request did not run.
	MayHaveRun bool
}

// Outcome returns what the caller may conclude: unknown if MayHaveRun is set,
// otherwise the outcome of the cause.
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
