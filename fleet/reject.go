package fleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Rejection is the reason why the fold rejects a record, or why a plan cannot
// be made. The set is closed; each reason has its own type.
type Rejection interface {
	error
	isRejection()
}

// MalformedError reports a record that is no record of the configuration.
type MalformedError struct {
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed: " + e.Detail }

// Changed tells which change touched an object after a plan was made.
type Changed struct {
	Object   Ref          `json:"object"`
	Offset   ports.Offset `json:"offset"`
	Operator string       `json:"operator,omitempty"` // empty if no longer remembered
	Plan     PlanID       `json:"plan,omitempty"`
	At       time.Time    `json:"at,omitzero"`
}

// String says in words what changed.
func (c Changed) String() string {
	if c.Operator == "" {
		return fmt.Sprintf("%s changed at offset %d", c.Object, c.Offset)
	}
	return fmt.Sprintf("%s changed at offset %d by %s with plan %s at %s",
		c.Object, c.Offset, c.Operator, c.Plan, c.At.UTC().Format(time.RFC3339))
}

// StaleError reports a plan that touches objects which have changed since it
// was made.
type StaleError struct {
	Base    ports.Offset
	Changes []Changed
}

// Error implements error.
func (e *StaleError) Error() string {
	words := make([]string, len(e.Changes))
	for i, change := range e.Changes {
		words[i] = change.String()
	}
	return fmt.Sprintf("the plan was made at offset %d and is stale: %s", e.Base, strings.Join(words, "; "))
}

// ExpiredError reports a plan that is more than PlanWindow records old.
type ExpiredError struct {
	Base, Offset ports.Offset
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the plan was made at offset %d, more than %d records ago", e.Base, PlanWindow)
}

// FutureError reports a plan whose base offset is not before its own record.
type FutureError struct {
	Base, Offset ports.Offset
}

// Error implements error.
func (e *FutureError) Error() string {
	return fmt.Sprintf("the plan names offset %d, but the stream is only at %d", e.Base, e.Offset)
}

// EditedError reports a plan whose identifier does not fit what it contains.
type EditedError struct {
	Plan, Computed PlanID
}

// Error implements error.
func (e *EditedError) Error() string {
	return fmt.Sprintf("the plan was edited: its content has the identifier %s, not %s", e.Computed, e.Plan)
}

// MissingError reports an object that a change needs and that does not exist.
type MissingError struct {
	Object Ref
}

// Error implements error.
func (e *MissingError) Error() string { return "there is no " + e.Object.String() }

// ExistsError reports an object that a change creates and that exists.
type ExistsError struct {
	Object Ref
}

// Error implements error.
func (e *ExistsError) Error() string { return e.Object.String() + " exists already" }

// ValueError reports a value that is not allowed.
type ValueError struct {
	Object  Ref
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %s = %q: allowed is %s", e.Object, e.Field, e.Value, e.Allowed)
}

// InUseError reports a team that cannot be removed yet.
type InUseError struct {
	Team     ident.TeamID
	Keys     int
	Services int
}

// Error implements error.
func (e *InUseError) Error() string {
	return fmt.Sprintf("team %s still has %d keys and %d services", e.Team, e.Keys, e.Services)
}

// NothingError reports an intent that would change nothing.
type NothingError struct{}

// Error implements error.
func (e *NothingError) Error() string { return "nothing would change: everything is as wanted already" }

func (*MalformedError) isRejection() {}
func (*StaleError) isRejection()     {}
func (*ExpiredError) isRejection()   {}
func (*FutureError) isRejection()    {}
func (*EditedError) isRejection()    {}
func (*MissingError) isRejection()   {}
func (*ExistsError) isRejection()    {}
func (*ValueError) isRejection()     {}
func (*InUseError) isRejection()     {}
func (*NothingError) isRejection()   {}

// GapError reports a record that does not follow the last one: the records
// between have expired or were lost on the way. The State is unchanged; the
// reader needs a snapshot.
type GapError struct {
	Have, Got ports.Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the record at offset %d does not follow offset %d", e.Got, e.Have)
}

// NewerFormatError reports a record of a format that this program does not
// know. The State is unchanged and must not be taken further: rejecting the
// record would make this host differ from those that know the format.
type NewerFormatError struct {
	Offset  ports.Offset
	Version int
}

// Error implements error.
func (e *NewerFormatError) Error() string {
	return fmt.Sprintf("the record at offset %d has format %d; this program knows up to %d: update it",
		e.Offset, e.Version, formatVersion)
}

// TornError reports a snapshot that is not whole.
type TornError struct {
	Detail string
}

// Error implements error.
func (e *TornError) Error() string { return "the snapshot is not whole: " + e.Detail }

// RandomError reports a source of randomness that failed.
type RandomError struct {
	Cause error
}

// Error implements error.
func (e *RandomError) Error() string { return "no randomness: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RandomError) Unwrap() error { return e.Cause }
