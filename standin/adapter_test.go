package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/otel/trace"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// smallLayout is one zone with one worker.
func smallLayout() Layout {
	l := Rosenau()
	l.Zones = []ZoneLayout{{Zone: "oberbayern-1", Workers: 1, Hosts: 1}}
	l.ServiceTime = time.Millisecond
	return l
}

func startPlatform(t *testing.T) *Platform {
	t.Helper()
	p := NewPlatform(smallLayout(), "")
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func wantAs[T error](t *testing.T, err error) T {
	t.Helper()
	var target T
	if !errors.As(err, &target) {
		t.Fatalf("got %T (%v), want %T", err, err, target)
	}
	return target
}

// An append takes effect and its answer is lost. The writer must learn that
// the outcome is open, and a read must show the record once.
func TestAppendWithLostAnswerIsUncertain(t *testing.T) {
	p := startPlatform(t)
	log := ports.NewHTTPLog(p.Addr(), ports.NewHTTPClient())
	ctx := context.Background()
	if _, err := log.Append(ctx, "jobs/z1", [][]byte{[]byte("one"), []byte("two")}); err != nil {
		t.Fatal(err)
	}
	p.Log.LoseAnswers(1)
	_, err := log.Append(ctx, "jobs/z1", [][]byte{[]byte("three")})
	wantAs[*ports.UncertainError](t, err)
	page, err := log.Read(ctx, "jobs/z1", 1, 10, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := ports.Page{First: 1, Last: 3, Records: []ports.Record{
		{Offset: 2, Data: []byte("two")}, {Offset: 3, Data: []byte("three")},
	}}
	if diff := cmp.Diff(want, page); diff != "" {
		t.Error(diff)
	}
}

// A log that refuses took nothing, a log that cuts the connection may have,
// and a log that nobody listens for never saw the append.
func TestLogFailuresMapToTheirTypes(t *testing.T) {
	p := startPlatform(t)
	log := ports.NewHTTPLog(p.Addr(), ports.NewHTTPClient())
	ctx := context.Background()
	group := [][]byte{[]byte("one")}
	p.Log.SetFaults(LogFaults{Refuse: true})
	_, err := log.Append(ctx, "s", group)
	if wantAs[*ports.UnavailableError](t, err).RetryAfter != time.Second {
		t.Errorf("the time to wait was lost: %v", err)
	}
	p.Log.SetFaults(LogFaults{Down: true})
	_, err = log.Append(ctx, "s", group)
	wantAs[*ports.UncertainError](t, err)
	p.Log.SetFaults(LogFaults{Slow: time.Minute})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = log.Append(short, "s", group)
	wantAs[*ports.UncertainError](t, err)
	p.Log.SetFaults(LogFaults{})
	_, err = log.Append(ctx, "s", nil)
	wantAs[*ports.RefusedError](t, err)
	_, err = ports.NewHTTPLog(closedAddr(t), ports.NewHTTPClient()).Append(ctx, "s", group)
	wantAs[*ports.NotSentError](t, err)
}

// closedAddr returns an address that nobody listens on.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// callTo returns a leased worker's address and a call that it takes.
func callTo(t *testing.T, p *Platform, workers ports.Workers) (string, ports.Call) {
	t.Helper()
	addr := p.WorkerAddr("oberbayern-1-w01")
	holder := ident.Holder{Host: "h1", Incarnation: 7}
	grant, err := workers.Lease(context.Background(), addr, ports.LeaseRequest{
		Class: ports.ClassSlots, Holder: holder, TTL: time.Minute, TaskTTL: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	return addr, ports.Call{
		Epoch: grant.Epoch, Holder: holder, Team: "citizens", Service: "grants", Deadline: time.Minute,
		ID:     ident.TaskID{Zone: "oberbayern-1", Host: "h1", Incarnation: 7, Seq: 1},
		Method: http.MethodGet, Path: "/check?x=1", Body: []byte("stairlift"), NonIdempotent: true,
		Header: http.Header{"Idempotency-Key": {"k"}, "Fireflyfold-Epoch": {"999"}},
	}
}

// A call gets the whole answer to its own body. The same non-idempotent call
// again is refused, and the audit sees one run.
func TestCallIsAnsweredWholeAndOnce(t *testing.T) {
	p := startPlatform(t)
	workers := ports.NewHTTPWorkers(ports.NewHTTPClient())
	addr, call := callTo(t, p, workers)
	answer, err := workers.Call(context.Background(), addr, call)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	want := string(EchoBody(call.ID.String(), call.Body, p.Layout.AnswerSize))
	if string(body) != want || answer.Length != int64(len(want)) {
		t.Errorf("got %d bytes, declared %d: %q", len(body), answer.Length, body)
	}
	_, err = workers.Call(context.Background(), addr, call)
	if got := wantAs[*ports.RefusedError](t, err).Refusal; got != ports.RefusedDuplicate {
		t.Errorf("refused as %s", got)
	}
	if runs := p.Audit.Runs(call.ID.String()); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// An operator follows a slow request through its trace. The upstream must see
// the trace of the call, and nothing of what was meant for the worker alone.
func TestUpstreamSeesTheTraceAndNoControlHeaders(t *testing.T) {
	p := startPlatform(t)
	workers := ports.NewHTTPWorkers(ports.NewHTTPClient())
	addr, call := callTo(t, p, workers)
	seen := make(chan http.Header, 1)
	p.Worker("oberbayern-1-w01").upstream = func(req UpstreamRequest) UpstreamAnswer {
		seen <- req.Header
		return UpstreamAnswer{Status: http.StatusOK}
	}
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	answer, err := workers.Call(trace.ContextWithSpanContext(context.Background(), span), addr, call)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	header := <-seen
	want := "00-" + span.TraceID().String() + "-" + span.SpanID().String() + "-01"
	if got := header.Get("Traceparent"); got != want {
		t.Errorf("trace %q, want %q", got, want)
	}
	for name := range header {
		if strings.HasPrefix(name, ports.HeaderPrefix) {
			t.Errorf("the upstream sees %s", name)
		}
	}
}

// A worker dies in the middle of an approval. The adapter must not send the
// call again over a new connection, although it is a GET with an
// Idempotency-Key, which net/http repeats by itself on a broken pooled
// connection. The caller sees an open outcome.
func TestCutCallIsSentOnce(t *testing.T) {
	p := startPlatform(t)
	workers := ports.NewHTTPWorkers(ports.NewHTTPClient())
	addr, call := callTo(t, p, workers)
	worker := p.Worker("oberbayern-1-w01")
	running := make(chan struct{}, 2)
	worker.upstream = func(UpstreamRequest) UpstreamAnswer {
		running <- struct{}{}
		return UpstreamAnswer{Status: http.StatusOK, ServiceTime: time.Hour}
	}
	done := make(chan error, 1)
	go func() {
		_, err := workers.Call(context.Background(), addr, call)
		done <- err
	}()
	<-running
	state := worker.State
	state.SetFaults(p.Now(), WorkerFaults{Killed: true})
	state.SetFaults(p.Now(), WorkerFaults{})
	wantAs[*ports.UncertainError](t, <-done)
	if runs := p.Audit.Runs(call.ID.String()); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// A worker that is gone was never reached, so that another may be tried.
func TestUnreachableWorkerIsNotSent(t *testing.T) {
	p := startPlatform(t)
	workers := ports.NewHTTPWorkers(ports.NewHTTPClient())
	_, call := callTo(t, p, workers)
	_, err := workers.Call(context.Background(), closedAddr(t), call)
	wantAs[*ports.NotSentError](t, err)
}
