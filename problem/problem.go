// Package problem is the form of every refusal that callers and operators see:
// a problem document (RFC 9457) that says whether the work ran.
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

// Type names a class of problems. It is stable: scripts may compare it.
type Type string

// The classes of problems.
const (
	TypeMalformed    Type = "urn:fireflyfold:malformed"       // a field or the body is wrong
	TypeTooLarge     Type = "urn:fireflyfold:too-large"       // body or header beyond a limit
	TypeUnauthorized Type = "urn:fireflyfold:unauthorized"    // no key, or a key that is not valid
	TypeForbidden    Type = "urn:fireflyfold:forbidden"       // the key is valid, but not for this
	TypeNotFound     Type = "urn:fireflyfold:not-found"       // no such job, service or path
	TypeConflict     Type = "urn:fireflyfold:conflict"        // the idempotency key was used for other work
	TypeRepeated     Type = "urn:fireflyfold:repeated"        // a repeat of work under its idempotency key
	TypeStalePlan    Type = "urn:fireflyfold:stale-plan"      // what the plan touches has changed since
	TypeRefused      Type = "urn:fireflyfold:refused"         // a change that cannot be made
	TypeNoFit        Type = "urn:fireflyfold:no-fit"          // can never fit any worker
	TypeOverLimit    Type = "urn:fireflyfold:over-limit"      // the team is at its upper limit
	TypeBusy         Type = "urn:fireflyfold:busy"            // no room now; try again later
	TypeLogDown      Type = "urn:fireflyfold:log-unavailable" // the platform's log cannot be reached
	TypeNotReady     Type = "urn:fireflyfold:not-ready"       // no configuration yet, or it is too old
	TypeStopping     Type = "urn:fireflyfold:stopping"        // this host is draining; another will answer
	TypeDeadline     Type = "urn:fireflyfold:deadline"        // the deadline passed
	TypeUpstream     Type = "urn:fireflyfold:upstream"        // the upstream failed or its answer was cut
	TypeInternal     Type = "urn:fireflyfold:internal"        // a fault of this host
)

// Problem is one problem document. Outcome is always set.
type Problem struct {
	Type    Type         `json:"type"`
	Title   string       `json:"title"`  // the class in a few words
	Status  int          `json:"status"` // HTTP status
	Detail  string       `json:"detail,omitempty"`
	Outcome work.Outcome `json:"outcome"`
	// RetryAfter is the number of whole seconds after which a repeat may help;
	// zero if waiting does not help or the time is unknown.
	RetryAfter int `json:"retry_after,omitempty"`
	// Fields names the bad fields of a malformed submission.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one bad field of a submission.
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

// New returns a problem of the class with its customary status and title.
func New(t Type, outcome work.Outcome, detail string) *Problem {
	class, ok := classes[t]
	if !ok {
		class = classes[TypeInternal]
	}
	return &Problem{Type: t, Title: class.title, Status: class.status, Detail: detail, Outcome: outcome}
}

// NotRun returns a problem whose work truly did not run.
func NotRun(t Type, detail string) *Problem { return New(t, work.OutcomeNotRun, detail) }

// Unknown returns a problem whose work may have run.
func Unknown(t Type, detail string) *Problem { return New(t, work.OutcomeUnknown, detail) }

// After sets the time after which a repeat may help, rounded up to whole
// seconds, and returns p.
func (p *Problem) After(d time.Duration) *Problem {
	p.RetryAfter = int((d + time.Second - 1) / time.Second)
	return p
}

// Write sends p as the whole answer.
func Write(w http.ResponseWriter, p *Problem) {
	if !p.Outcome.Valid() {
		// A path that forgot to decide may have run the work; calling it
		// "not run" would invite a second run.
		p = Unknown(TypeInternal, p.Detail)
	}
	body, err := json.Marshal(p)
	if err != nil { // a Problem has only fields that JSON can hold
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
	_, _ = w.Write(body) // a caller that has gone away needs no answer
}
