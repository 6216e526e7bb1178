package leader

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

// Guards against a start that is taken for refused, and is executed: its status comes from an
// intermediary that has passed the call on.
func TestUnknownStatusIsNoAnswer(t *testing.T) {
	for status, want := range map[int]region.CallError{
		http.StatusBadRequest:          region.CallRefused,
		http.StatusConflict:            region.CallRefused,
		http.StatusMisdirectedRequest:  region.CallOtherIncarnation,
		http.StatusTooManyRequests:     region.CallRefused,
		http.StatusServiceUnavailable:  region.CallRefused,
		http.StatusInternalServerError: region.CallNoAnswer,
		http.StatusBadGateway:          region.CallNoAnswer,
		http.StatusGatewayTimeout:      region.CallNoAnswer,
	} {
		err := &platform.StatusError{Status: status}
		if got := callError(platform.Receipt{Err: err}, nil); got != want {
			t.Errorf("status %d: outcome %d, want %d", status, got, want)
		}
		if got := callError(platform.Receipt{}, &platform.NotSentError{Cause: err}); got != region.CallNotSent && status != http.StatusMisdirectedRequest {
			t.Errorf("status %d of a handshake: outcome %d, want %d", status, got, region.CallNotSent)
		}
	}
}

// Guards against ends that are never read because another row of the answer cannot be, and against
// such answers that nobody notices. An end of another incarnation is not read.
func TestEndsOfMalformedProbeAnswerReachTheScheduler(t *testing.T) {
	const ended = `"running":[["x",1]],"ended":[[8,"5c0e7a21d94b36f8.0.1.8",1,"done",""]]}`
	for name, c := range map[string]struct {
		body string
		ends int
	}{
		"of the incarnation called": {`{"clockMs":1,"born":3,` + ended, 1},
		"of another incarnation":    {`{"clockMs":1,"born":4,` + ended, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body := c.body
				if calls.Add(1) == 1 {
					body = `{"clockMs":1,"born":3}` // to the handshake
				}
				_, _ = w.Write([]byte(body)) // fails only if the caller has disconnected
			}))
			defer server.Close()
			client := platform.NewClient(platform.Addresses{}, 4, nil)
			defer client.CloseIdle()
			metrics := tally.NewTestScope("", nil)
			l := New(Config{Client: client, Log: logrus.NewEntry(logrus.New()), Metrics: metrics})
			d := &dispatcher{leader: l, ctx: context.Background()}
			ref := model.WorkerRef{ID: "i-1", Address: server.Listener.Addr().String(), BornUnix: 3}
			d.probe(region.Probe{Request: model.ProbeRequest{Worker: ref, Fence: 1, Wait: time.Second}})
			ev, ok := (<-l.events.Items()).(region.ProbeAnswered)
			if !ok || ev.Err != region.CallNoAnswer || len(ev.Response.Ended) != c.ends || len(ev.Response.Running) > 0 {
				t.Errorf("%+v, want %d ends and no answer", ev, c.ends)
			}
			if n := metrics.Snapshot().Counters()["probe_failures+why=malformed"]; n == nil || n.Value() != 1 {
				t.Errorf("probe_failures of malformed answers is %v, want 1", n)
			}
		})
	}
}

// Guards against a worker that is not read for seconds while nothing tells why: each failed probe counts
// under its reason, and the scheduler is told the same.
func TestFailedProbeIsCountedByReason(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // its address refuses connections
	scope := tally.NewTestScope("", nil)
	l := New(Config{Client: platform.NewClient(platform.Addresses{}, 1, nil), Metrics: scope})
	ctx, cancel := context.WithCancel(context.Background())
	d := &dispatcher{leader: l, ctx: ctx}
	request := model.ProbeRequest{Worker: model.WorkerRef{ID: "i-1", Address: closed.Addr().String(), BornUnix: 3}, Fence: 1}
	d.probe(region.Probe{Request: request})
	got := (<-l.events.Items()).(region.ProbeAnswered)
	if got.Err != region.CallNotSent || got.Failure != model.DialRefused {
		t.Errorf("outcome %d, %v, want %d, %v", got.Err, got.Failure, region.CallNotSent, model.DialRefused)
	}
	counts := func() map[string]int64 {
		got := make(map[string]int64)
		for name, c := range scope.Snapshot().Counters() {
			got[name] = c.Value()
		}
		return got
	}
	want := map[string]int64{"probe_failures+why=dial_refused": 1}
	if diff := cmp.Diff(want, counts()); diff != "" {
		t.Error(diff)
	}
	cancel() // the leadership is over: calls end for that reason
	d.probe(region.Probe{Request: request})
	if diff := cmp.Diff(want, counts()); diff != "" {
		t.Errorf("after the end of the leadership: %s", diff)
	}
}

// A command may count several at once.
func TestCountAddsItsNumber(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	d := &dispatcher{leader: New(Config{Metrics: scope})}
	d.execute([]region.Command{region.Count{Name: "ends"}, region.Count{Name: "ends", N: 4}})
	if n := scope.Snapshot().Counters()["ends+"].Value(); n != 5 {
		t.Errorf("counter is %d, want 5", n)
	}
}
