package standin

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

const (
	testTTL     = 3 * time.Second
	testTaskTTL = 12 * time.Second
)

var (
	alice = ident.Holder{Host: "h1", Incarnation: 1}
	bob   = ident.Holder{Host: "h2", Incarnation: 1}
)

func testWorker() (*WorkerState, *Audit) {
	audit := NewAudit()
	size := resource.Vector{MilliCPU: 4000, MemoryMiB: 4096, Slots: 2, Connections: 4}
	return NewWorkerState(WorkerConfig{Worker: "w1", Size: size, Services: []ident.ServiceID{"grants"}}, audit), audit
}

func leaseRequest(holder ident.Holder, epoch ports.Epoch) ports.LeaseRequest {
	return ports.LeaseRequest{Class: ports.ClassCompute, Holder: holder, Epoch: epoch, TTL: testTTL, TaskTTL: testTaskTTL}
}

func mustLease(t *testing.T, w *WorkerState, now time.Duration, req ports.LeaseRequest) ports.LeaseGrant {
	t.Helper()
	grant, err := w.Lease(now, req)
	if err != nil {
		t.Fatalf("lease at %v: %v", now, err)
	}
	return grant
}

func wantRefused(t *testing.T, err error, want ports.Refusal) *ports.RefusedError {
	t.Helper()
	var refusal *ports.RefusedError
	if !errors.As(err, &refusal) || refusal.Refusal != want {
		t.Fatalf("got %v, want refusal %s", err, want)
	}
	return refusal
}

func startRequest(holder ident.Holder, epoch ports.Epoch, id string, cpu int64) ports.StartRequest {
	return ports.StartRequest{
		Class: ports.ClassCompute, Epoch: epoch, Holder: holder, ID: id, Team: "crafts",
		Need: resource.Vector{MilliCPU: cpu}, Run: time.Second,
	}
}

// A resident's check must not run twice: h1 is paused past its lease while h2
// takes the worker over. h1 wakes and sends a start and a renewal of its old
// epoch. Cause: h1 does not know yet that its lease has lapsed.
func TestPausedHolderStartsNothing(t *testing.T) {
	w, audit := testWorker()
	old := mustLease(t, w, 0, leaseRequest(alice, 0))
	refusal := wantRefused(t, second(w.Lease(time.Second, leaseRequest(bob, 0))), ports.RefusedHeld)
	if refusal.Left != testTTL-time.Second {
		t.Errorf("left %v, want %v", refusal.Left, testTTL-time.Second)
	}
	taken := mustLease(t, w, testTTL, leaseRequest(bob, 0))
	if taken.Epoch <= old.Epoch {
		t.Errorf("epoch %d after %d", taken.Epoch, old.Epoch)
	}
	wantRefused(t, w.Start(testTTL, startRequest(alice, old.Epoch, "a/0/1", 1000)), ports.RefusedEpoch)
	wantRefused(t, second(w.Lease(testTTL, leaseRequest(alice, old.Epoch))), ports.RefusedEpoch)
	if starts := audit.Counts().Starts; starts != 0 {
		t.Errorf("%d starts, want none", starts)
	}
}

// A batch goes on while its host is replaced: h1 dies, h2 takes the worker
// over within the task TTL, sees the running task with the grant and keeps it
// alive. Later h2 dies too, nobody follows, and the worker stops the task.
func TestTasksOutliveTheLeaseForTheTaskTTL(t *testing.T) {
	w, audit := testWorker()
	first := mustLease(t, w, 0, leaseRequest(alice, 0))
	req := startRequest(alice, first.Epoch, "a/0/1", 1000)
	req.Run = 0
	if err := w.Start(0, req); err != nil {
		t.Fatal(err)
	}
	wantRefused(t, w.Start(testTTL, startRequest(alice, first.Epoch, "b/0/1", 1000)), ports.RefusedLapsed)
	second := mustLease(t, w, testTaskTTL-1, leaseRequest(bob, 0))
	if len(second.Tasks) != 1 || second.Tasks[0].Ended || second.Tasks[0].Holder != alice {
		t.Fatalf("grant lists %+v", second.Tasks)
	}
	w.Tick(2*testTaskTTL - 2)
	if used := w.Used(); used.MilliCPU != 1000 {
		t.Fatalf("used %v before the task TTL", used)
	}
	w.Tick(2*testTaskTTL - 1)
	if used := audit.Used("w1"); !used.IsZero() {
		t.Fatalf("used %v after the task TTL", used)
	}
	third := mustLease(t, w, 3*testTaskTTL, leaseRequest(bob, 0))
	want := ports.TaskReport{ID: "a/0/1", Ended: true, Stopped: true, Reason: string(EndExpired)}
	got := third.Tasks[0]
	got = ports.TaskReport{ID: got.ID, Ended: got.Ended, Stopped: got.Stopped, Reason: got.Reason}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A worker never runs what does not fit and never runs an identifier twice,
// whoever asks, also after the first run has ended.
func TestStartIsRefused(t *testing.T) {
	w, audit := testWorker()
	epoch := mustLease(t, w, 0, leaseRequest(alice, 0)).Epoch
	if err := w.Start(0, startRequest(alice, epoch, "a/0/1", 3000)); err != nil {
		t.Fatal(err)
	}
	wantRefused(t, w.Start(0, startRequest(alice, epoch, "b/0/1", 1001)), ports.RefusedCapacity)
	w.Tick(time.Second)
	wantRefused(t, w.Start(time.Second, startRequest(alice, epoch, "a/0/1", 1)), ports.RefusedDuplicate)
	crossing := startRequest(alice, epoch, "c/0/1", 0)
	crossing.Need = resource.Request
	wantRefused(t, w.Start(time.Second, crossing), ports.RefusedMalformed)
	w.SetFaults(time.Second, WorkerFaults{Leaving: true})
	wantRefused(t, w.Start(time.Second, startRequest(alice, epoch, "d/0/1", 1)), ports.RefusedLeaving)
	want := Counts{Starts: 1, Ends: 1, RefusedCapacity: 1, RefusedDuplicates: 1}
	if diff := cmp.Diff(want, audit.Counts()); diff != "" {
		t.Error(diff)
	}
}

// A worker that restarts has lost its tasks and its memory of leases. A start
// of the time before must not pass for one of the new lease.
func TestRestartedWorkerNeverRepeatsAnEpoch(t *testing.T) {
	w, _ := testWorker()
	before := mustLease(t, w, 0, leaseRequest(alice, 0)).Epoch
	w.SetFaults(time.Second, WorkerFaults{Killed: true})
	var silent *NoAnswerError
	if err := w.Start(time.Second, startRequest(alice, before, "a/0/1", 1)); !errors.As(err, &silent) {
		t.Fatalf("a dead worker answered %v", err)
	}
	w.SetFaults(2*time.Second, WorkerFaults{})
	after := mustLease(t, w, 2*time.Second, leaseRequest(alice, 0)).Epoch
	if after <= before {
		t.Errorf("epoch %d after %d", after, before)
	}
	wantRefused(t, w.Start(2*time.Second, startRequest(alice, before, "a/0/1", 1)), ports.RefusedEpoch)
}

// A throttled task takes four times as long for the rest of its work, a
// checkpoint reports how far it came, and acknowledged ends are forgotten.
func TestThrottleAndCheckpoint(t *testing.T) {
	w, _ := testWorker()
	epoch := mustLease(t, w, 0, leaseRequest(alice, 0)).Epoch
	req := startRequest(alice, epoch, "a/0/1", 1000)
	req.Run = 2 * time.Second
	if err := w.Start(0, req); err != nil {
		t.Fatal(err)
	}
	control := ports.ControlRequest{Class: ports.ClassCompute, Epoch: epoch, ID: "a/0/1", Control: ports.ControlThrottle}
	if err := w.Control(time.Second, control); err != nil {
		t.Fatal(err)
	}
	control.Control = ports.ControlCheckpoint
	if err := w.Control(2*time.Second, control); err != nil {
		t.Fatal(err)
	}
	grant := mustLease(t, w, 2*time.Second, leaseRequest(alice, epoch))
	if got := grant.Tasks[0].Progress; got != 0.625 {
		t.Errorf("progress %v, want 0.625", got)
	}
	ack := leaseRequest(alice, epoch)
	ack.AckedEnds = []string{"a/0/1"}
	if tasks := mustLease(t, w, 2*time.Second, ack).Tasks; len(tasks) != 0 {
		t.Errorf("an acknowledged end is still reported: %+v", tasks)
	}
}

// A worker whose clock runs fast ends a lease early by the drift.
func TestDriftEndsTheLeaseEarly(t *testing.T) {
	w, _ := testWorker()
	w.SetFaults(0, WorkerFaults{Drift: 0.5})
	mustLease(t, w, 0, leaseRequest(alice, 0))
	wantRefused(t, second(w.Lease(2*time.Second-time.Millisecond, leaseRequest(bob, 0))), ports.RefusedHeld)
	mustLease(t, w, 2*time.Second, leaseRequest(bob, 0))
}

// second drops the grant of a lease call that is expected to fail.
func second(_ ports.LeaseGrant, err error) error { return err }
