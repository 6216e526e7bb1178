package ports

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/propagation"
)

// Bounds of the HTTP adapters.
const (
	MaxAnswerBytes   = 64 << 20 // of one JSON answer
	MaxConnsPerHost  = 64       // connections to one worker, or to the log
	maxIdleConns     = 4096
	idleConnTimeout  = 30 * time.Second // below the timeout of common servers
	dialTimeout      = 2 * time.Second
	maxProblemBytes  = 64 << 10
	maxAnswerHeaders = 64 << 10
)

// NewHTTPClient returns the client that the adapters are meant to share. Its
// connections are pooled and bounded, it follows no redirect, and every time
// limit but that for dialling comes from the context of a call.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleConnTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        MaxConnsPerHost,
		MaxIdleConnsPerHost:    MaxConnsPerHost,
		MaxIdleConns:           maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaders,
		DisableCompression:     true, // an answer's length must stay as declared
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// countingConn counts the bytes handed to the kernel, so that a failed call
// can tell whether any of it may have reached the other side.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	// Counted before the write: a write that fails may have sent a part.
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// sendTrace observes how far one request came.
type sendTrace struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64 // bytes written on the connection before this request
	got    atomic.Bool  // a connection was given to the request
}

// attach adds the trace to a context.
func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countingConn); ok {
				t.before.Store(conn.written.Load())
				t.conn.Store(conn)
			}
			t.got.Store(true)
		},
	})
}

// neverSent reports whether no byte of the request can reach the other side.
//
// When the caller gives up, the goroutine that writes may still be about to
// write, so a request that had a connection counts as sent then.
func (t *sendTrace) neverSent(ctx context.Context) bool {
	if !t.got.Load() {
		return true
	}
	conn := t.conn.Load()
	return conn != nil && ctx.Err() == nil && conn.written.Load() == t.before.Load()
}

// do sends a request. The errors are *NotSentError and *UncertainError.
func do(ctx context.Context, client *http.Client, op string, req *http.Request) (*http.Response, error) {
	trace := &sendTrace{}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	answer, err := client.Do(req.WithContext(trace.attach(ctx)))
	if err == nil {
		return answer, nil
	}
	if trace.neverSent(ctx) {
		return nil, &NotSentError{Op: op, Cause: err}
	}
	return nil, &UncertainError{Op: op, Cause: err}
}

// caller sends JSON and maps the answers of the platform to typed errors.
type caller struct {
	client *http.Client
}

// post sends a body and decodes the answer into out, unless that is nil.
func (c caller) post(ctx context.Context, op, url string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &NotSentError{Op: op, Cause: err}
	}
	req, err := newRequest(op, http.MethodPost, url, data)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	_, err = c.exchange(ctx, op, req, out)
	return err
}

// get decodes the answer to a read.
func (c caller) get(ctx context.Context, op, url string, out any) error {
	req, err := newRequest(op, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	_, err = c.exchange(ctx, op, req, out)
	return err
}

// newRequest builds a request that the transport never repeats by itself. The
// error is a *NotSentError.
func newRequest(op, method, url string, body []byte) (*http.Request, error) {
	// A body of its own type keeps the transport from sending the request a
	// second time by itself after a connection broke.
	req, err := http.NewRequest(method, url, onceReader(body))
	if err != nil {
		return nil, &NotSentError{Op: op, Cause: err}
	}
	req.ContentLength = int64(len(body))
	return req, nil
}

// exchange decodes a successful answer into out and returns its head.
func (c caller) exchange(ctx context.Context, op string, req *http.Request, out any) (*http.Response, error) {
	answer, err := do(ctx, c.client, op, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case answer.StatusCode == http.StatusNotModified:
		return answer, nil
	case answer.StatusCode >= http.StatusMultipleChoices:
		return nil, problemError(op, answer)
	}
	return answer, decodeWhole(op, answer, out)
}

// decodeWhole reads a successful answer. An answer that cannot be read leaves
// the outcome open.
func decodeWhole(op string, answer *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, MaxAnswerBytes+1))
	if err != nil {
		return &UncertainError{Op: op, Cause: err}
	}
	if len(data) > MaxAnswerBytes {
		return &UncertainError{Op: op, Cause: &OversizeError{Limit: MaxAnswerBytes}}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &UncertainError{Op: op, Cause: err}
	}
	return nil
}

// problemError maps an answer that is an error.
func problemError(op string, answer *http.Response) error {
	var p Problem
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxProblemBytes))
	if err == nil {
		_ = json.Unmarshal(data, &p) // the status alone decides if there is no body
	}
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable:
		return &UnavailableError{Op: op, RetryAfter: p.RetryAfter}
	case p.Refusal != "":
		return &RefusedError{Op: op, Refusal: p.Refusal, Left: p.Left, Detail: p.Detail}
	case answer.StatusCode < http.StatusInternalServerError:
		return &RefusedError{Op: op, Refusal: RefusedMalformed, Detail: answer.Status}
	}
	return &UncertainError{Op: op, Cause: &StatusError{Status: answer.StatusCode}}
}

// onceReader returns a body that cannot be rewound.
func onceReader(body []byte) io.ReadCloser {
	return struct{ io.ReadCloser }{io.NopCloser(bytes.NewReader(body))}
}

// StatusError reports an answer with a status that the platform's interface
// does not know.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return "unexpected status " + http.StatusText(e.Status) }

// OversizeError reports an answer above the bound on its size.
type OversizeError struct {
	Limit int // bytes
}

// Error implements error.
func (e *OversizeError) Error() string { return "answer over the bound on its size" }

// Sent reports whether a failed call may have taken effect.
func Sent(err error) bool {
	var notSent *NotSentError
	var refused *RefusedError
	var unavailable *UnavailableError
	return !errors.As(err, &notSent) && !errors.As(err, &refused) && !errors.As(err, &unavailable)
}
