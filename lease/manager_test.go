package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

var (
	testKey  = Key{Worker: "w1", Class: ports.ClassSlots}
	testSelf = ident.Holder{Host: "h1", Incarnation: 7}
)

const (
	testTTL  = 6 * time.Second
	testSpan = testTTL - testTTL/50
)

func newTestManager() *Manager { return New(Options{Self: testSelf, TTL: testTTL, Drift: 0.02}) }

// gainedAt returns a manager that holds epoch 3 by a request sent at sentAt.
func gainedAt(t *testing.T, sentAt time.Duration) *Manager {
	t.Helper()
	m := newTestManager()
	cmds := m.Step(sentAt, Want{Key: testKey, Wanted: true})
	if _, ok := cmds[0].(Acquire); !ok || len(cmds) != 1 {
		t.Fatalf("want one Acquire, got %#v", cmds)
	}
	m.Step(sentAt+time.Millisecond, grant(sentAt, 3))
	return m
}

func grant(sentAt time.Duration, epoch ports.Epoch) Granted {
	return Granted{Key: testKey, SentAt: sentAt, Grant: ports.LeaseGrant{Epoch: epoch}}
}

func wantEpoch(t *testing.T, m *Manager, now time.Duration, want ports.Epoch) {
	t.Helper()
	got, ok := m.Epoch(testKey, now)
	if got != want || ok != (want != 0) {
		t.Errorf("Epoch at %v = %d, %v; want %d", now, got, ok, want)
	}
}

// A request is started by a host that lost the worker. The host sent a renewal
// that took two seconds on the way, and counted its lease from the answer; the
// worker had counted from the arrival and had given the lease to another host.
func TestLeaseCountsFromSending(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(2*time.Second, Tick{})
	m.Step(4*time.Second, grant(2*time.Second, 3))
	wantEpoch(t, m, 2*time.Second+testSpan-1, 3)
	wantEpoch(t, m, 2*time.Second+testSpan, 0)
}

// A host is paused past its lease and wakes in the middle of a start. No event
// has told it that the lease is gone, so only its clock can.
func TestPausedHolderStartsNothing(t *testing.T) {
	m := gainedAt(t, 0)
	wantEpoch(t, m, time.Minute, 0)
	cmds := m.Step(time.Minute, grant(0, 3))
	if _, ok := cmds[0].(Lost); !ok {
		t.Errorf("first command after waking is %#v, want Lost", cmds[0])
	}
	for _, cmd := range cmds {
		if _, ok := cmd.(Gained); ok {
			t.Error("a grant that is used up was taken for a new lease")
		}
	}
	wantEpoch(t, m, time.Minute, 0)
}

// The network delivers a grant twice, the second time after a newer renewal.
// The old one would bring back a list of tasks that is out of date.
func TestDoubledGrantGivesNothing(t *testing.T) {
	m := gainedAt(t, 0)
	if cmds := m.Step(time.Second, grant(0, 3)); len(cmds) != 0 {
		t.Errorf("doubled grant caused %#v", cmds)
	}
	wantEpoch(t, m, testSpan, 0)
}

// A host hands a worker over and releases it; then the grant of a renewal that
// it sent before arrives. The worker has a new owner already.
func TestLateGrantAfterRelease(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(2*time.Second, Tick{}) // renews
	m.Step(2100*time.Millisecond, Want{Key: testKey, Wanted: false})
	wantEpoch(t, m, 2100*time.Millisecond, 0)
	cmds := m.Step(2200*time.Millisecond, Idle{Key: testKey})
	want := []Command{Lost{Key: testKey, Epoch: 3}, Release{Key: testKey, Epoch: 3}}
	if diff := cmp.Diff(want, cmds); diff != "" {
		t.Fatal(diff)
	}
	m.Step(2300*time.Millisecond, grant(2*time.Second, 3))
	m.Step(2400*time.Millisecond, Want{Key: testKey, Wanted: true})
	m.Step(2500*time.Millisecond, ReleaseDone{Key: testKey, Epoch: 3, Done: true})
	m.Step(2600*time.Millisecond, grant(2*time.Second, 3))
	wantEpoch(t, m, 2600*time.Millisecond, 0)
}

// The worker hands its lease on and refuses a start by epoch. The holder must
// not send another start under it, nor believe an older grant that comes later.
func TestRefusedEpochEndsLease(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(2*time.Second, Tick{})
	cmds := m.Step(3*time.Second, EpochRefused{Key: testKey, Epoch: 3})
	if len(cmds) != 2 {
		t.Fatalf("want Lost and Acquire, got %#v", cmds)
	}
	m.Step(3100*time.Millisecond, grant(2*time.Second, 3))
	wantEpoch(t, m, 3100*time.Millisecond, 0)
}

// A host stops wanting a worker while its request is on the way. The grant
// that comes must be given back, or the worker serves nobody for a TTL.
func TestGrantNoLongerWantedIsReleased(t *testing.T) {
	m := newTestManager()
	m.Step(0, Want{Key: testKey, Wanted: true})
	m.Step(time.Millisecond, Want{Key: testKey, Wanted: false})
	cmds := m.Step(2*time.Millisecond, grant(0, 3))
	want := []Command{Release{Key: testKey, Epoch: 3}}
	if diff := cmp.Diff(want, cmds); diff != "" {
		t.Fatal(diff)
	}
	wantEpoch(t, m, 2*time.Millisecond, 0)
}

// A planned stop: no start after Drain, and the host may exit when every lease
// is given back, also when the caller never says that it is idle.
func TestDrainGivesEverythingBack(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(time.Second, Drain{})
	wantEpoch(t, m, time.Second, 0)
	if m.Drained(time.Second) {
		t.Error("drained before the handover")
	}
	cmds := m.Step(4*time.Second, Tick{})
	want := []Command{Lost{Key: testKey, Epoch: 3}, Release{Key: testKey, Epoch: 3}}
	if diff := cmp.Diff(want, cmds); diff != "" {
		t.Fatal(diff)
	}
	if cmds := m.Step(5*time.Second, Want{Key: testKey, Wanted: true}); len(cmds) != 0 {
		t.Errorf("wanted after drain: %#v", cmds)
	}
	m.Step(5*time.Second, ReleaseDone{Key: testKey, Epoch: 3, Done: true})
	if !m.Drained(5 * time.Second) {
		t.Error("not drained after the release")
	}
}

// A worker refuses a renewal because another host took the lease over. The
// holder must not wait for its own clock before it asks again.
func TestRefusedRenewalAsksAnew(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(2*time.Second, Tick{})
	cmds := m.Step(2100*time.Millisecond, Refused{Key: testKey, SentAt: 2 * time.Second, Epoch: 3, Refusal: ports.RefusedLapsed})
	if len(cmds) != 2 {
		t.Fatalf("want Lost and Acquire, got %#v", cmds)
	}
	wantEpoch(t, m, 2100*time.Millisecond, 0)
}

// A refusal of a start of an earlier lease arrives when a new one is held. It
// says nothing of the new one.
func TestLateRefusalOfOldEpoch(t *testing.T) {
	m := gainedAt(t, 0)
	if cmds := m.Step(time.Second, EpochRefused{Key: testKey, Epoch: 2}); len(cmds) != 0 {
		t.Errorf("late refusal caused %#v", cmds)
	}
	wantEpoch(t, m, time.Second, 3)
}

// While a worker is handed over, the grant of a doubled request gives a newer
// epoch. Keeping it would undo the handover and stall the successor for a TTL.
func TestNewerGrantDuringHandover(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(time.Second, Want{Key: testKey, Wanted: false})
	cmds := m.Step(1100*time.Millisecond, grant(0, 4))
	want := []Command{Lost{Key: testKey, Epoch: 3}, Release{Key: testKey, Epoch: 4}}
	if diff := cmp.Diff(want, cmds); diff != "" {
		t.Fatal(diff)
	}
}

// A worker that lost its memory grants an epoch that it refused before. Asking
// again at once would send requests as fast as the network carries them.
func TestUselessGrantBacksOff(t *testing.T) {
	m := gainedAt(t, 0)
	m.Step(time.Second, EpochRefused{Key: testKey, Epoch: 3}) // acquires
	if cmds := m.Step(1001*time.Millisecond, grant(time.Second, 3)); len(cmds) != 0 {
		t.Errorf("a grant of a refused epoch caused %#v", cmds)
	}
	wantEpoch(t, m, 1001*time.Millisecond, 0)
}
