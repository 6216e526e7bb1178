package jobs

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/google/go-cmp/cmp"
)

var recoveryConfig = RecoveryConfig{
	TaskTTL:  30 * time.Second,
	Drift:    time.Second,
	InFlight: 2 * time.Second,
	AskEvery: time.Second,
}

// attemptOn is an open attempt of epoch 5, sent under lease 3 of a worker.
func attemptOn(worker ident.WorkerID, seq uint64) OpenAttempt {
	return OpenAttempt{
		Attempt: ident.AttemptID{Job: jobID(seq), Attempt: 1},
		Worker:  worker,
		Epoch:   5,
		Lease:   3,
	}
}

// resolved collects what a recovery decided, by attempt.
type resolved map[string]string

func (got resolved) add(cmds []RecoveryCommand) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case Adopt:
			got[cmd.Attempt.Attempt.String()] = "adopted"
		case Resolve:
			got[cmd.Attempt.Attempt.String()] = string(cmd.Result)
		case Recovered:
			got["all"] = "recovered"
		case HoldOff:
			got["off"] = string(cmd.Worker)
		case Resume:
			delete(got, "off")
		case Reacquire:
			got["reacquire"] = string(cmd.Worker)
		}
	}
}

func (got resolved) want(t *testing.T, want resolved) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// After a takeover a grant check runs twice: the successor finds an attempt
// missing on the worker and assigns it again, while the first owner's start is
// still on its way or the worker had forgotten that it ran. Order: grants of a
// higher, the same and a lower epoch than the start was sent under.
func TestRecoveryByReport(t *testing.T) {
	a1, a2, a3 := attemptOn("w", 1), attemptOn("w", 2), attemptOn("w", 3)
	tasks := []ports.TaskReport{
		{ID: a1.Attempt.String()},
		{ID: a2.Attempt.String(), Ended: true, Failed: true},
	}
	for _, c := range []struct {
		epoch ports.Epoch
		want  resolved
	}{
		{4, resolved{"a.h.1.1/0/1": "adopted", "a.h.1.2/0/1": "failed", "a.h.1.3/0/1": "never-started", "all": "recovered"}},
		{3, resolved{"a.h.1.1/0/1": "adopted", "a.h.1.2/0/1": "failed", "reacquire": "w"}},
		{2, resolved{"a.h.1.1/0/1": "adopted", "a.h.1.2/0/1": "failed", "a.h.1.3/0/1": "lost", "all": "recovered"}},
	} {
		own := attemptOn("w", 9)
		own.Epoch = 8
		r := NewRecovery(recoveryConfig, 8, []OpenAttempt{a1, a2, a3, own})
		got := resolved{}
		got.add(r.Step(0, WorkerReport{Worker: "w", Epoch: c.epoch, Tasks: tasks}))
		got.want(t, c.want)
	}
}

// zone is a recovery with one unreachable worker, and peers that answer.
type zone struct {
	r     *Recovery
	peers map[ident.HostID]ident.Incarnation // that answer
	got   resolved
	now   time.Duration
}

// newZone lists the hosts p and q, of which the given ones answer.
func newZone(answering ...ident.HostID) *zone {
	z := &zone{
		r:     NewRecovery(recoveryConfig, 8, []OpenAttempt{attemptOn("w", 1)}),
		peers: map[ident.HostID]ident.Incarnation{},
		got:   resolved{},
	}
	for _, p := range answering {
		z.peers[p] = 1
	}
	z.step(ZoneHosts{Hosts: []ident.HostID{"p", "q"}})
	return z
}

func (z *zone) step(ev RecoveryEvent) {
	cmds := z.r.Step(z.now, ev)
	z.got.add(cmds)
	for _, cmd := range cmds {
		ask, ok := cmd.(AskPromise)
		if !ok || z.peers[ask.Host] == 0 {
			continue
		}
		from := ident.Holder{Host: ask.Host, Incarnation: z.peers[ask.Host]}
		z.step(PeerPromise{From: from, Worker: ask.Worker, Seq: ask.Seq})
	}
}

// runTo lets time pass and returns when the attempt was resolved, or zero.
func (z *zone) runTo(end time.Duration) time.Duration {
	for ; z.now < end; z.now += time.Second {
		z.step(RecoveryTick{})
		if z.got["all"] != "" {
			return z.now
		}
	}
	return 0
}

// A worker is cut off, its tasks run on; a successor assigns them elsewhere too
// early, and an invoice run is running in two places. The wait must cover hosts
// that renew until they promise, hosts that nobody lists, and restarts.
func TestRecoveryWaitsForUnreachableWorkers(t *testing.T) {
	// 30 s of silence of unlisted hosts, 30 s task TTL, 1 s drift, 2 s in flight.
	const shortest = 63 * time.Second
	t.Run("all promise", func(t *testing.T) {
		z := newZone("p", "q")
		z.runTo(31 * time.Second)
		z.got.want(t, resolved{"off": "w"})
		if at := z.runTo(5 * time.Minute); at != shortest {
			t.Fatalf("resolved after %v, want %v", at, shortest)
		}
		z.got.want(t, resolved{"a.h.1.1/0/1": "lost", "all": "recovered"})
	})
	t.Run("one is late", func(t *testing.T) {
		z := newZone("p")
		z.runTo(50 * time.Second)
		z.peers["q"] = 1
		if at := z.runTo(5 * time.Minute); at != 50*time.Second+33*time.Second {
			t.Fatalf("resolved after %v", at)
		}
	})
	t.Run("one never answers", func(t *testing.T) {
		z := newZone("p")
		if at := z.runTo(10 * time.Minute); at != 0 {
			t.Fatalf("resolved after %v without a promise", at)
		}
		z.step(ZoneHosts{Hosts: []ident.HostID{"p"}})
		z.step(HostHeard{Host: "q"})
		if at := z.runTo(20 * time.Minute); at != 10*time.Minute+shortest {
			t.Fatalf("resolved after %v", at)
		}
	})
	t.Run("one restarts", func(t *testing.T) {
		z := newZone("p", "q")
		z.runTo(60 * time.Second)
		z.peers["q"] = 2
		if at := z.runTo(5 * time.Minute); at < 93*time.Second || at > 95*time.Second {
			t.Fatalf("resolved after %v: the promise of another incarnation counted", at)
		}
	})
	t.Run("one stops answering at the end", func(t *testing.T) {
		z := newZone("p", "q")
		z.runTo(60 * time.Second)
		z.peers["q"] = 0
		if at := z.runTo(5 * time.Minute); at != 0 {
			t.Fatalf("resolved after %v: nobody knows that the promise was kept", at)
		}
	})
	t.Run("the worker comes back", func(t *testing.T) {
		z := newZone("p", "q")
		z.runTo(40 * time.Second)
		z.step(WorkerReport{Worker: "w", Epoch: 4})
		z.got.want(t, resolved{"a.h.1.1/0/1": "never-started", "all": "recovered"})
	})
}
