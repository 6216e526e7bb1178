package standin

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Every writer appends at once after an outage. The log takes what its rate
// allows, tells the others when to come back, and that time is enough.
func TestLogKeepsToItsRate(t *testing.T) {
	log := NewLogState(LogConfig{AppendRate: 100})
	group := [][]byte{[]byte("x")}
	taken := 0
	var wait time.Duration
	for range 100 {
		_, err := log.Append(0, "s", group)
		if err == nil {
			taken++
			continue
		}
		wait = wantAs[*ports.UnavailableError](t, err).RetryAfter
	}
	if taken != 25 || wait != 10*time.Millisecond {
		t.Errorf("%d appends at once, then %v to wait; want 25 and 10ms", taken, wait)
	}
	if _, err := log.Append(wait, "s", group); err != nil {
		t.Errorf("after the time to wait: %v", err)
	}
}

// A reader comes back after its records have expired. It must see that there
// is a gap, and that the offsets have gone on.
func TestExpiredRecordsLeaveAGap(t *testing.T) {
	log := NewLogState(LogConfig{KeepRecords: 3, KeepFor: time.Minute})
	for i := range 5 {
		if _, err := log.Append(time.Duration(i)*time.Second, "s", [][]byte{{byte(i)}}); err != nil {
			t.Fatal(err)
		}
	}
	read := func(now time.Duration) ports.Page {
		t.Helper()
		page, _, err := log.Read(now, "s", 1, 10)
		if err != nil {
			t.Fatal(err)
		}
		return page
	}
	want := ports.Page{First: 3, Last: 5, Records: []ports.Record{
		{Offset: 3, Data: []byte{2}}, {Offset: 4, Data: []byte{3}}, {Offset: 5, Data: []byte{4}},
	}}
	if diff := cmp.Diff(want, read(5*time.Second)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(ports.Page{First: 6, Last: 5}, read(time.Hour)); diff != "" {
		t.Error(diff)
	}
}

// A host is marked as gone; the list shows it for as long as it lags, then no
// more, and later changes never overtake earlier ones.
func TestHostListLags(t *testing.T) {
	list := NewHostListState(2 * time.Second)
	entry := ports.HostEntry{Host: "h1", Zone: "z", State: ports.StateLive}
	list.Change(0, HostChange{Hosts: []ports.HostEntry{entry}})
	list.Change(time.Second, HostChange{GoneHosts: []ident.HostID{"h1"}})
	for _, tc := range []struct {
		at   time.Duration
		want int
	}{{1999 * time.Millisecond, 0}, {2 * time.Second, 1}, {2999 * time.Millisecond, 1}, {3 * time.Second, 0}} {
		listing, err := list.List(tc.at)
		if err != nil {
			t.Fatal(err)
		}
		if len(listing.Hosts) != tc.want {
			t.Errorf("at %v the list shows %d hosts, want %d", tc.at, len(listing.Hosts), tc.want)
		}
	}
}

// Whatever the order of starts, ends, controls, faults and takeovers, a worker
// runs no more than it holds, no identifier twice, and its own sum agrees with
// the audit's.
func TestWorkerKeepsItsBoundsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w, audit := testWorker()
		holders := []ident.Holder{alice, bob}
		epochs := map[ident.Holder]ports.Epoch{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond
			holder := rapid.SampledFrom(holders).Draw(rt, "holder")
			id := fmt.Sprintf("job/%d/1", rapid.IntRange(0, 20).Draw(rt, "id"))
			switch rapid.IntRange(0, 5).Draw(rt, "do") {
			case 0:
				req := leaseRequest(holder, epochs[holder])
				if rapid.Bool().Draw(rt, "acquire") {
					req.Epoch = 0
				}
				if grant, err := w.Lease(now, req); err == nil {
					epochs[holder] = grant.Epoch
				}
			case 1, 2:
				_ = w.Start(now, startRequest(holder, epochs[holder], id, rapid.Int64Range(0, 5000).Draw(rt, "cpu"))) // may be refused
			case 3:
				control := rapid.SampledFrom([]ports.Control{
					ports.ControlStop, ports.ControlCheckpoint, ports.ControlThrottle, ports.ControlUnthrottle,
				}).Draw(rt, "control")
				_ = w.Control(now, ports.ControlRequest{Class: ports.ClassCompute, Epoch: epochs[holder], ID: id, Control: control}) // may be refused
			case 4:
				w.Tick(now)
			case 5:
				w.SetFaults(now, WorkerFaults{
					Paused: rapid.Bool().Draw(rt, "paused"), Slow: rapid.Float64Range(0, 5).Draw(rt, "slow"),
					Drift: rapid.Float64Range(-0.1, 0.1).Draw(rt, "drift"),
				})
			}
			counts := audit.Counts()
			if counts.OverCapacity+counts.Doubled+counts.Overlapped > 0 {
				rt.Fatalf("after %v: %+v", now, counts)
			}
			if w.Used() != audit.Used("w1") {
				rt.Fatalf("the worker counts %v, the audit %v", w.Used(), audit.Used("w1"))
			}
		}
	})
}
