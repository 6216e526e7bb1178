// Package problem defines the errors that callers and operators receive: problem
// documents (RFC 9457) that state whether the work ran.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/work"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Type identifies a class of problems. The values are stable, so scripts may
// compare them.
type Type string

// The classes of problems.
const (
	TypeMalformed    Type = "urn:fireflyfold:malformed"       // a field or the body is invalid
	TypeTooLarge     Type = "urn:fireflyfold:too-large"       // body or header exceeds a limit
	TypeUnauthorized Type = "urn:fireflyfold:unauthorized"    // the key is missing or invalid
	TypeForbidden    Type = "urn:fireflyfold:forbidden"       // the key is valid but lacks the permission
	TypeNotFound     Type = "urn:fireflyfold:not-found"       // no such job, service or path
	TypeConflict     Type = "urn:fireflyfold:conflict"        // the idempotency key was used for different work
	TypeRepeated     Type = "urn:fireflyfold:repeated"        // the same work was already submitted with this idempotency key
	TypeStalePlan    Type = "urn:fireflyfold:stale-plan"      // an object of the plan has changed since it was made
	TypeRefused      Type = "urn:fireflyfold:refused"         // the change cannot be made
	TypeNoFit        Type = "urn:fireflyfold:no-fit"          // the work can never fit on any worker
	TypeOverLimit    Type = "urn:fireflyfold:over-limit"      // the team is at its upper limit
	TypeBusy         Type = "urn:fireflyfold:busy"            // no capacity now; retry later
	TypeLogDown      Type = "urn:fireflyfold:log-unavailable" // the platform's log cannot be reached
	TypeNotReady     Type = "urn:fireflyfold:not-ready"       // no configuration yet, or it is too old
	TypeStopping     Type = "urn:fireflyfold:stopping"        // this host is draining; another host will answer
	TypeDeadline     Type = "urn:fireflyfold:deadline"        // the deadline passed
	TypeUpstream     Type = "urn:fireflyfold:upstream"        // the upstream failed or its response was truncated
	TypeInternal     Type = "urn:fireflyfold:internal"        // internal error of this host
)

// Problem is one problem document. Outcome is always set.
type Problem struct {
	Type    Type         `json:"type"`
	Title   string       `json:"title"`  // short description of the class
	Status  int          `json:"status"` // HTTP status
	Detail  string       `json:"detail,omitempty"`
	Outcome work.Outcome `json:"outcome"`
	// RetryAfter is the time in whole seconds after which a retry may succeed;
	// zero if waiting does not help or the time is unknown.
	RetryAfter int `json:"retry_after,omitempty"`
	// Fields lists the invalid fields of a malformed submission.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one invalid field of a submission.
type Field struct {
	Name    string `json:"name"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title + " (" + p.Outcome.String() + ")"
	}
	return p.Title + ": " + p.Detail + " (" + p.Outcome.String() + ")"
}

// New returns a problem of type t with the status and title of its class. An
// unknown type gets those of TypeInternal.
func New(t Type, outcome work.Outcome, detail string) *Problem {
	class, ok := classes[t]
	if !ok {
		class = classes[TypeInternal]
	}
	return &Problem{Type: t, Title: class.title, Status: class.status, Detail: detail, Outcome: outcome}
}

// NotRun returns a problem whose work certainly did not run.
func NotRun(t Type, detail string) *Problem { return New(t, work.OutcomeNotRun, detail) }

// Unknown returns a problem whose work may have run.
func Unknown(t Type, detail string) *Problem { return New(t, work.OutcomeUnknown, detail) }

// After sets the time after which a retry may succeed, rounded up to whole
// seconds, and returns p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = int((d + time.Second - 1) / time.Second)
	return p
}

// Write sends p as the complete response. A problem without a valid outcome is
// sent as TypeInternal with outcome unknown.
func Write(w http.ResponseWriter, p *Problem) {
	if !p.Outcome.Valid() {
		// The code path set no outcome, so the work may have run. After "not
		// run" the caller could retry and run it a second time.
		p = Unknown(TypeInternal, p.Detail)
	}
	body, err := json.Marshal(p)
	if err != nil { // cannot happen: all fields of a Problem can be encoded
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // a caller that has disconnected needs no response
}
