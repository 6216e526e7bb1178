// Package work defines job specifications, the kinds of work, and the three
// outcomes that callers receive.
package work

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Kind is the policy class of a job.
type Kind string

// The kinds of work. Requests are not jobs: they are dispatched on the request
// path and use a slot until their response ends.
const (
	KindBatch   Kind = "batch"   // tasks that run to completion, each placed separately
	KindGang    Kind = "gang"    // all tasks start together, or none starts
	KindService Kind = "service" // replicas kept at the configured count
	KindRequest Kind = "request" // answered while the caller waits
)

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool {
	switch k {
	case KindBatch, KindGang, KindService, KindRequest:
		return true
	}
	return false
}

// Spec describes a durable job as accepted. Durations are relative to the time
// of acceptance.
type Spec struct {
	Kind  Kind            `json:"kind"`
	Team  ident.TeamID    `json:"team"`
	Name  string          `json:"name"`
	Need  resource.Vector `json:"need"`            // of each task
	Tasks int             `json:"tasks"`           // at least one
	Run   time.Duration   `json:"run,omitempty"`   // declared run time of a task; zero if unknown
	Limit time.Duration   `json:"limit,omitempty"` // maximum run time of a task, which is then stopped; zero for none

	Deadline      time.Duration `json:"deadline,omitempty"` // latest start; zero for none
	Urgent        bool          `json:"urgent,omitempty"`   // may preempt displaceable tasks
	Displaceable  bool          `json:"displaceable,omitempty"`
	NonIdempotent bool          `json:"non_idempotent,omitempty"` // at most one attempt
	MaxAttempts   int           `json:"max_attempts,omitempty"`   // at least one; one if NonIdempotent

	Service ident.ServiceID `json:"service,omitempty"` // for KindService
	Payload string          `json:"payload,omitempty"` // passed to the worker; opaque to the scheduler
}

// Outcome tells a caller whether its work ran. The zero value is invalid, so
// Valid detects a code path that sets no outcome.
type Outcome uint8

// The outcomes.
const (
	OutcomeRan     Outcome = iota + 1 // ran to completion; the response is complete
	OutcomeNotRun                     // certainly did not run; safe to retry
	OutcomeUnknown                    // may have run; a retry may run the work twice
)

var outcomeNames = map[Outcome]string{
	OutcomeRan:     "ran",
	OutcomeNotRun:  "not run",
	OutcomeUnknown: "unknown",
}

// Valid reports whether o is one of the three outcomes.
func (o Outcome) Valid() bool { return o >= OutcomeRan && o <= OutcomeUnknown }

// String returns the outcome as it is sent to callers.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("invalid outcome %d", uint8(o))
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	for candidate, name := range outcomeNames {
		if name == string(text) {
			*o = candidate
			return nil
		}
	}
	return &InvalidOutcomeError{Text: string(text)}
}

// InvalidOutcomeError reports text that is not the name of an outcome.
type InvalidOutcomeError struct {
	Text string
}

// Error implements error.
func (e *InvalidOutcomeError) Error() string {
	return fmt.Sprintf("invalid outcome %q: want ran, not run or unknown", e.Text)
}
