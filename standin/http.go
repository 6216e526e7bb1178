package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Clock returns the time since the start of the process.
type Clock func() time.Duration

// NewClock returns a clock that starts now and is monotonic.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// maxBody bounds the body of any request to a stand-in, in bytes.
const maxBody = 16 << 20

// readJSON decodes a bounded body. It answers the request itself and reports
// false if the body is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
	if err != nil {
		problem(w, http.StatusBadRequest, ports.Problem{Refusal: ports.RefusedMalformed, Detail: err.Error()})
		return false
	}
	return true
}

// reply writes an answer.
func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // a caller that is gone needs no answer
}

// problem writes an answer that is an error.
func problem(w http.ResponseWriter, status int, p ports.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Refusal != "" {
		w.Header().Set(ports.HeaderRefusal, string(p.Refusal))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p) // a caller that is gone needs no answer
}

// replyError answers a request with an error of a core.
func replyError(w http.ResponseWriter, r *http.Request, err error) {
	var refusal *ports.RefusedError
	var unavailable *ports.UnavailableError
	var silent *NoAnswerError
	switch {
	case errors.As(err, &refusal):
		problem(w, http.StatusConflict, ports.Problem{Refusal: refusal.Refusal, Left: refusal.Left, Detail: refusal.Detail})
	case errors.As(err, &unavailable):
		problem(w, http.StatusServiceUnavailable, ports.Problem{RetryAfter: unavailable.RetryAfter})
	case errors.As(err, &silent) && !silent.Dead:
		hang(r)
		cut()
	default:
		cut()
	}
}

// hang waits until the caller gives up.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // lets the server notice that the caller is gone
	<-r.Context().Done()
}

// cut closes the connection without an answer.
func cut() { panic(http.ErrAbortHandler) }
