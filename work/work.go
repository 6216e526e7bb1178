// Package work defines what callers hand in and what they get back: job
// specifications, the kinds of work, and the three possible outcomes.
package work

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Kind is the policy class of a job.
type Kind string

// The kinds of work. Requests are not jobs: they take the request path and
// occupy a slot for as long as their answer takes.
const (
	KindBatch   Kind = "batch"   // tasks that end; each placed on its own
	KindGang    Kind = "gang"    // all tasks start together or none does
	KindService Kind = "service" // replicas that are kept at their count
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

// Spec describes a durable job as accepted. Durations are relative to the
// moment of acceptance.
type Spec struct {
	Kind  Kind            `json:"kind"`
	Team  ident.TeamID    `json:"team"`
	Name  string          `json:"name"`
	Need  resource.Vector `json:"need"`            // of each task
	Tasks int             `json:"tasks"`           // at least one
	Run   time.Duration   `json:"run,omitempty"`   // declared run time of a task; zero if unknown
	Limit time.Duration   `json:"limit,omitempty"` // a task is stopped after this; zero for none

	Deadline      time.Duration `json:"deadline,omitempty"` // not started later than this; zero for none
	Urgent        bool          `json:"urgent,omitempty"`   // may displace displaceable tasks
	Displaceable  bool          `json:"displaceable,omitempty"`
	NonIdempotent bool          `json:"non_idempotent,omitempty"` // never attempted twice
	MaxAttempts   int           `json:"max_attempts,omitempty"`   // at least one; one if NonIdempotent

	Service ident.ServiceID `json:"service,omitempty"` // for KindService
	Payload string          `json:"payload,omitempty"` // opaque to the scheduler, handed to the worker
}

// Outcome tells a caller whether its work ran. The zero value is invalid, so a
// path that forgets to decide is caught by Valid.
type Outcome uint8

// The outcomes.
const (
	OutcomeRan     Outcome = iota + 1 // ran to its end; the answer is whole
	OutcomeNotRun                     // truly did not run; safe to repeat
	OutcomeUnknown                    // may have run; must not be repeated blindly
)

var outcomeNames = map[Outcome]string{
	OutcomeRan:     "ran",
	OutcomeNotRun:  "not run",
	OutcomeUnknown: "unknown",
}

// Valid reports whether o is one of the three outcomes.
func (o Outcome) Valid() bool { return o >= OutcomeRan && o <= OutcomeUnknown }

// String returns the outcome as callers see it.
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

// InvalidOutcomeError reports text that names no outcome.
type InvalidOutcomeError struct {
	Text string
}

// Error implements error.
func (e *InvalidOutcomeError) Error() string {
	return fmt.Sprintf("invalid outcome %q: want ran, not run or unknown", e.Text)
}
