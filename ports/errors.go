package ports

import (
	"fmt"
	"time"
)

// UncertainError reports a call that may or may not have taken effect: the
// answer was lost, cut or late.
type UncertainError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%s: outcome uncertain: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NotSentError reports a call that never reached the other side.
type NotSentError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("%s: not sent: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnavailableError reports that the platform refused a call because it is
// down or over its rate. Nothing took effect.
type UnavailableError struct {
	Op         string
	RetryAfter time.Duration // zero if unknown
}

// Error implements error.
func (e *UnavailableError) Error() string { return e.Op + ": unavailable" }

// Refusal says why a worker refused a call.
type Refusal string

// The refusals of a worker.
const (
	RefusedHeld      Refusal = "lease-held"     // another holder's lease is alive
	RefusedEpoch     Refusal = "stale-epoch"    // the epoch is not the current one
	RefusedLapsed    Refusal = "lease-lapsed"   // the lease ran out before the call
	RefusedCapacity  Refusal = "over-capacity"  // the need does not fit what is free
	RefusedDuplicate Refusal = "duplicate-task" // the identifier was started before
	RefusedService   Refusal = "no-service"     // the upstream does not answer here
	RefusedLeaving   Refusal = "leaving"        // the worker takes no new work
	RefusedMalformed Refusal = "malformed"      // a field was missing or out of range
)

// RefusedError is a worker's decision that a call takes no effect.
type RefusedError struct {
	Op      string
	Refusal Refusal
	Left    time.Duration // for RefusedHeld: how long the other lease lasts
	Detail  string
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: refused: %s", e.Op, e.Refusal)
	}
	return fmt.Sprintf("%s: refused: %s: %s", e.Op, e.Refusal, e.Detail)
}
