package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// A burst of work keeps the leader's processor busy, so that every answer waits.
// Looks that go on at the pace of a calm day are half of its calls: starts and
// advice wait behind them, run out of time and are made again, and the region
// does not recover when the burst is over.
func TestLooksArePacedWhileEventsWait(t *testing.T) {
	pause := func(behind time.Duration) time.Duration {
		s, now := newBacklogScheduler(1, 0, 0)
		for range 20 * behindMemory {
			s.Step(now, Tick{UnixMs: now.Milliseconds(), Behind: behind})
		}
		order := model.HoldRequest{Worker: model.WorkerRef{ID: "w000", BornUnix: 1}}
		for _, c := range s.Step(now, Held{Order: order, SentAt: now, Hold: model.HoldResponse{ClockMs: 1, BornUnix: 1}}) {
			if h, ok := c.(Hold); ok {
				return h.After
			}
		}
		t.Fatal("no further look")
		return 0
	}
	if got := pause(0); got != lookGap {
		t.Errorf("pause %v with no event waiting, want %v", got, lookGap)
	}
	if got, most := pause(10*time.Millisecond), lookGap+pausePerBehind*10*time.Millisecond; got <= lookGap+most/4 || got > most {
		t.Errorf("pause %v with events waiting 10 ms, want close to %v", got, most)
	}
	if got := pause(time.Second); got != mostLookPause {
		t.Errorf("pause %v with events waiting a second, want %v", got, mostLookPause)
	}
}

// The log takes 0.4 s for each append, for everyone. Work that is handed in between
// two answers must not wait as if the log were gone: each append would then carry
// what came in the first quarter of a second, and the rest would wait for the next.
func TestSlowLogIsNotTakenForALostOne(t *testing.T) {
	const append = 400 * time.Millisecond
	s := New(testOptions())
	s.Step(time.Hour, Lead{Fence: 1})
	s.seq = 1
	s.Step(time.Hour+append, Logged{Seq: 1, SentAt: time.Hour})
	s.seq = 2
	s.now = time.Hour + 2*append
	if s.logStalled() {
		t.Errorf("stalled %v after the last answer of a log that takes %v", append, append)
	}
	s.now = time.Hour + 3*append
	if !s.logStalled() {
		t.Errorf("not stalled %v after the last answer", 2*append)
	}
}

// The leader's link is full. Looks, most of its calls, would keep it so: starts and appends
// wait behind them, answers come too late, leases of pressing work lapse, and what lapsed is
// sent again. Looks are paced as the link fills, and leases outlast the late ones.
func TestLooksArePacedWhileTheLinkIsFull(t *testing.T) {
	at := func(load float64) (pause, lease time.Duration) {
		s, now := newBacklogScheduler(1, 0, 0)
		s.Step(now, Tick{UnixMs: now.Milliseconds(), LinkLoad: load})
		return s.lookPause(), s.leaseFor(&worker{counts: runCounts{pressing: 1}})
	}
	if pause, lease := at(busyLink); pause != lookGap || lease != shortLease {
		t.Errorf("pause %v, lease %v with the link half used", pause, lease)
	}
	if pause, _ := at((busyLink + fullLink) / 2); pause <= lookGap || pause >= mostLookPause {
		t.Errorf("pause %v with a busy link", pause)
	}
	if pause, lease := at(1); pause != mostLookPause || lease != testOptions().Lease {
		t.Errorf("pause %v, lease %v with the link full", pause, lease)
	}
}

// The leader's link takes no more. Work that is started all the same, and calls for advice,
// fill it further, so that leases of what runs already are renewed too late. Nothing new is
// started until the link is free again, and then it is.
func TestNothingIsStartedOverAFullLink(t *testing.T) {
	w := mixedWorld(t, 2)
	w.linkLoad = 1.2
	w.run(100 * time.Millisecond)
	w.submitTo(slowJob("s1", 2), "slow")
	w.run(500 * time.Millisecond)
	if n := len(w.starts); n != 0 {
		t.Errorf("%d tasks are started over a full link", n)
	}
	w.linkLoad = 0.3
	w.run(500 * time.Millisecond)
	if n := len(w.starts); n != 2 {
		t.Errorf("%d tasks are started over the free link, want 2", n)
	}
}
