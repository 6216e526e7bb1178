package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/work"
)

// maxAnswer bounds an answer in bytes.
const maxAnswer = 64 << 20

// Reasons for results that carry no problem document.
const (
	reasonUnreachable = "unreachable"      // no connection; truly not run
	reasonNoAnswer    = "no answer"        // nothing came in time
	reasonCutAnswer   = "answer cut"       // the connection broke in the middle
	reasonStatus      = "upstream status " // followed by the status
)

// request sends a request to the service and examines its answer.
func (g *generator) request(ctx context.Context, op operation) result {
	ctx, cancel := context.WithDeadline(ctx, op.due.Add(g.opts.Deadline+grace))
	defer cancel()
	sent := body(g.opts.Seed, op.number, g.opts.Body)
	url := "http://" + op.host + "/v1/services/" + string(g.opts.Mix.Service) + "/work/" + strconv.FormatUint(op.number, 10)
	req, err := newRequest(ctx, http.MethodPost, url, op.key, sent)
	if err != nil {
		return result{class: classNotRun, reason: reasonUnreachable}
	}
	req.Header.Set("Non-Idempotent", strconv.FormatBool(op.kind != KindRead))
	req.Header.Set("Request-Timeout", g.opts.Deadline.String())
	if op.kind == KindKeyed {
		req.Header.Set("Idempotency-Key", strconv.FormatUint(g.opts.Seed, 36)+"-"+strconv.FormatUint(op.number, 10))
	}
	status, data, bad := g.exchange(req, op.due)
	if bad != nil {
		return *bad
	}
	if status != http.StatusOK {
		return result{class: classFailed, reason: reasonStatus + strconv.Itoa(status)}
	}
	if wrong := g.checker.check(sent, data); wrong != "" {
		return result{class: classWrong, reason: string(wrong)}
	}
	return result{class: classRan, took: time.Since(op.due)}
}

// newRequest builds a request that the transport never sends a second time by
// itself: its body cannot be rewound.
func newRequest(ctx context.Context, method, url, key string, sent []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, struct{ io.Reader }{bytes.NewReader(sent)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(sent))
	req.Header.Set("Authorization", "Bearer "+key)
	return req, nil
}

// exchange sends a request and reads the whole answer. A refusal, or a failure
// to get an answer, is returned as a result.
func (g *generator) exchange(req *http.Request, due time.Time) (int, []byte, *result) {
	answer, err := g.client.Do(req)
	if err != nil {
		return 0, nil, failed(err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return 0, nil, &result{class: classUnknown, reason: reasonCutAnswer, took: time.Since(due)}
	}
	if answer.Header.Get("Content-Type") == problem.ContentType {
		return 0, nil, refusal(data)
	}
	return answer.StatusCode, data, nil
}

// failed classifies a failure to get an answer. Only a connection that was
// never made proves that nothing ran.
func failed(err error) *result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &result{class: classNotRun, reason: reasonUnreachable, detail: err.Error()}
	}
	return &result{class: classUnknown, reason: reasonNoAnswer, detail: err.Error()}
}

// refusal classifies a problem document.
func refusal(data []byte) *result {
	var p problem.Problem
	if err := json.Unmarshal(data, &p); err != nil || !p.Outcome.Valid() {
		return &result{class: classWrong, reason: "problem document without an outcome"}
	}
	switch p.Outcome {
	case work.OutcomeNotRun:
		return &result{class: classNotRun, reason: string(p.Type), detail: p.Detail}
	case work.OutcomeUnknown:
		return &result{class: classUnknown, reason: string(p.Type), detail: p.Detail}
	}
	return &result{class: classFailed, reason: string(p.Type), detail: p.Detail}
}
