package leader

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
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
