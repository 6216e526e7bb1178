package ports

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HTTPWorkers are the calls of workers over HTTP.
type HTTPWorkers struct {
	caller caller
}

// NewHTTPWorkers returns the calls of workers through a client, which is meant
// to be that of NewHTTPClient.
func NewHTTPWorkers(client *http.Client) *HTTPWorkers {
	return &HTTPWorkers{caller: caller{client: client}}
}

// Lease implements Workers.
func (w *HTTPWorkers) Lease(ctx context.Context, addr string, req LeaseRequest) (LeaseGrant, error) {
	var grant LeaseGrant
	err := w.caller.post(ctx, "lease", "http://"+addr+PathLease, req, &grant)
	return grant, err
}

// Release implements Workers.
func (w *HTTPWorkers) Release(ctx context.Context, addr string, class LeaseClass, epoch Epoch) error {
	return w.caller.post(ctx, "release", "http://"+addr+PathRelease, ReleaseRequest{Class: class, Epoch: epoch}, nil)
}

// Start implements Workers.
func (w *HTTPWorkers) Start(ctx context.Context, addr string, req StartRequest) error {
	return w.caller.post(ctx, "start", "http://"+addr+PathStart, req, nil)
}

// Control implements Workers.
func (w *HTTPWorkers) Control(ctx context.Context, addr string, req ControlRequest) error {
	return w.caller.post(ctx, "control", "http://"+addr+PathControl, req, nil)
}

// Call implements Workers. The path of the call may carry a query. The answer
// lasts until its body is closed or ctx ends, whichever is first.
func (w *HTTPWorkers) Call(ctx context.Context, addr string, call Call) (Answer, error) {
	const op = "call"
	// net/http by itself repeats a GET, or anything with an Idempotency-Key,
	// when a pooled connection breaks. That would run a call twice, so newRequest
	// gives it a body that cannot be rewound.
	req, err := newRequest(op, call.Method, "http://"+addr+PathCall+call.Path, call.Body)
	if err != nil {
		return Answer{}, err
	}
	copyHeader(req.Header, call.Header)
	setCallHeader(req.Header, call)
	res, err := do(ctx, w.caller.client, op, req)
	if err != nil {
		return Answer{}, err
	}
	if res.Header.Get(HeaderRefusal) != "" {
		defer func() { _ = res.Body.Close() }()
		return Answer{}, problemError(op, res)
	}
	header := make(http.Header, len(res.Header))
	copyHeader(header, res.Header)
	return Answer{Status: res.StatusCode, Header: header, Length: res.ContentLength, Body: res.Body}, nil
}

// setCallHeader writes the headers that are meant for the worker.
func setCallHeader(header http.Header, call Call) {
	header.Set(HeaderEpoch, strconv.FormatUint(uint64(call.Epoch), 10))
	header.Set(HeaderHost, string(call.Holder.Host))
	header.Set(HeaderIncarnation, strconv.FormatUint(uint64(call.Holder.Incarnation), 10))
	header.Set(HeaderTask, call.ID.String())
	header.Set(HeaderTeam, string(call.Team))
	header.Set(HeaderService, string(call.Service))
	header.Set(HeaderDeadline, strconv.FormatInt(int64(call.Deadline/time.Nanosecond), 10))
	header.Set(HeaderNonIdempotent, strconv.FormatBool(call.NonIdempotent))
}

// hopHeaders belong to one connection and are never handed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader copies the headers that may be handed on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		canonical := http.CanonicalHeaderKey(name)
		if !hopHeaders[canonical] && !strings.HasPrefix(canonical, HeaderPrefix) {
			to[canonical] = append([]string(nil), values...)
		}
	}
}

var (
	_ Log      = (*HTTPLog)(nil)
	_ HostList = (*HTTPHostList)(nil)
	_ Workers  = (*HTTPWorkers)(nil)
)
