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

// managerHolding returns a manager that holds epoch 3 since a request sent at
// sentAt.
func managerHolding(t *testing.T, sentAt time.Duration) *Manager {
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

// Guards against a host that starts tasks after the worker has granted the lease
// to another host: a renewal is delayed by two seconds, and the host counts its
// lease from the answer, while the worker counts from the arrival of the request.
func TestLeaseCountsFromSending(t *testing.T) {
	m := managerHolding(t, 0)
	m.Step(2*time.Second, Tick{})
	m.Step(4*time.Second, grant(2*time.Second, 3))
	wantEpoch(t, m, 2*time.Second+testSpan-1, 3)
	wantEpoch(t, m, 2*time.Second+testSpan, 0)
}

// Guards against starts by a host that was paused until after its lease expired
// and resumes in the middle of a start. No event has reported the expiry yet;
// only the host's clock shows it.
func TestPausedHolderStartsNothing(t *testing.T) {
	m := managerHolding(t, 0)
	wantEpoch(t, m, time.Minute, 0)
	cmds := m.Step(time.Minute, grant(0, 3))
	if _, ok := cmds[0].(Lost); !ok {
		t.Errorf("first command after the pause is %#v, want Lost", cmds[0])
	}
	for _, cmd := range cmds {
		if _, ok := cmd.(Gained); ok {
			t.Error("an expired grant was taken for a new lease")
		}
	}
	wantEpoch(t, m, time.Minute, 0)
}

// Guards against a grant that the network delivers twice, the second time after
// a newer renewal: the duplicate would bring back an outdated list of tasks.
func TestDuplicateGrantHasNoEffect(t *testing.T) {
	m := managerHolding(t, 0)
	if cmds := m.Step(time.Second, grant(0, 3)); len(cmds) != 0 {
		t.Errorf("duplicate grant caused %#v", cmds)
	}
	wantEpoch(t, m, testSpan, 0)
}

// Guards against using a released lease again: the host hands a worker over and
// releases it, and then the grant of an earlier renewal arrives. The worker may
// already have a new holder.
func TestLateGrantAfterReleaseIsIgnored(t *testing.T) {
	m := managerHolding(t, 0)
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

// Guards against starts under a refused epoch: the worker has granted the lease
// to another host and refuses a start because of its epoch. The earlier holder
// must send no further start under it, and must ignore an older grant that
// arrives later.
func TestRefusedEpochEndsLease(t *testing.T) {
	m := managerHolding(t, 0)
	m.Step(2*time.Second, Tick{})
	cmds := m.Step(3*time.Second, EpochRefused{Key: testKey, Epoch: 3})
	if len(cmds) != 2 {
		t.Fatalf("want Lost and Acquire, got %#v", cmds)
	}
	m.Step(3100*time.Millisecond, grant(2*time.Second, 3))
	wantEpoch(t, m, 3100*time.Millisecond, 0)
}

// Guards against a worker that no host can use for a TTL: the lease is no longer
// wanted while its request is in flight. The grant must be released.
func TestUnwantedGrantIsReleased(t *testing.T) {
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

// In a planned stop no start is sent after Drain, and the host may exit once
// every lease is released, even if the caller never sends Idle.
func TestDrainReleasesAllLeases(t *testing.T) {
	m := managerHolding(t, 0)
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

// Guards against a delay after a refused renewal: another host has taken the
// lease over. The earlier holder must request it again immediately, and not wait
// until its lease expires by its own clock.
func TestRefusedRenewalReacquiresImmediately(t *testing.T) {
	m := managerHolding(t, 0)
	m.Step(2*time.Second, Tick{})
	cmds := m.Step(2100*time.Millisecond, Refused{Key: testKey, SentAt: 2 * time.Second, Epoch: 3, Refusal: ports.RefusedLapsed})
	if len(cmds) != 2 {
		t.Fatalf("want Lost and Acquire, got %#v", cmds)
	}
	wantEpoch(t, m, 2100*time.Millisecond, 0)
}

// Guards against losing a lease to a late refusal: a start under an earlier
// epoch is refused, and the refusal arrives when a newer epoch is held.
func TestLateRefusalOfOldEpochIsIgnored(t *testing.T) {
	m := managerHolding(t, 0)
	if cmds := m.Step(time.Second, EpochRefused{Key: testKey, Epoch: 2}); len(cmds) != 0 {
		t.Errorf("late refusal caused %#v", cmds)
	}
	wantEpoch(t, m, time.Second, 3)
}

// Guards against undoing a handover: during the handover, the grant of a
// duplicated request gives a newer epoch. Keeping it would block the next holder
// for a TTL.
func TestNewerGrantDuringHandoverIsReleased(t *testing.T) {
	m := managerHolding(t, 0)
	m.Step(time.Second, Want{Key: testKey, Wanted: false})
	cmds := m.Step(1100*time.Millisecond, grant(0, 4))
	want := []Command{Lost{Key: testKey, Epoch: 3}, Release{Key: testKey, Epoch: 4}}
	if diff := cmp.Diff(want, cmds); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against requests in a tight loop: a worker that lost its state grants an
// epoch that it refused before. An immediate retry would send requests as fast
// as the network allows.
func TestGrantOfRefusedEpochBacksOff(t *testing.T) {
	m := managerHolding(t, 0)
	m.Step(time.Second, EpochRefused{Key: testKey, Epoch: 3}) // acquires
	if cmds := m.Step(1001*time.Millisecond, grant(time.Second, 3)); len(cmds) != 0 {
		t.Errorf("a grant of a refused epoch caused %#v", cmds)
	}
	wantEpoch(t, m, 1001*time.Millisecond, 0)
}
