package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// UpstreamRequest is what the demo upstream sees of a call.
type UpstreamRequest struct {
	Task    string // identifier of the task
	Service string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
}

// UpstreamAnswer is what an upstream answers after its service time.
type UpstreamAnswer struct {
	Status      int
	Header      http.Header
	Body        []byte
	ServiceTime time.Duration
}

// Upstream is a program that answers calls on a worker. It must not block.
type Upstream func(UpstreamRequest) UpstreamAnswer

// Echo returns an upstream whose answer is EchoBody, given after a service time.
func Echo(service time.Duration, size int) Upstream {
	return func(req UpstreamRequest) UpstreamAnswer {
		return UpstreamAnswer{
			Status:      http.StatusOK,
			Header:      http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
			Body:        EchoBody(req.Task, req.Body, size),
			ServiceTime: service,
		}
	}
}

// EchoBody is the answer of the echo upstream to a request body: the task, the
// SHA-256 of the body in hexadecimal, then that digest repeated until the
// answer has at least size bytes. Whoever sent the body can tell its own whole
// answer from any other.
func EchoBody(task string, body []byte, size int) []byte {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	head := fmt.Sprintf("task %s\nsha256 %s\n", task, digest)
	lines := max(0, (size-len(head)+len(digest))/(len(digest)+1))
	return []byte(head + strings.Repeat(digest+"\n", lines))
}
