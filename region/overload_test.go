package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// Guards against a leader that does not recover after a burst of work. The burst keeps its
// processor busy, and every answer waits. Probes at their normal rate are half of its
// calls: starts and calls for advice wait behind them, time out and are retried.
func TestProbesSlowDownWhileEventsWait(t *testing.T) {
	pause := func(lag time.Duration) time.Duration {
		s, now := newBacklogScheduler(1, 0, 0)
		for range 20 * delaySamples {
			s.Handle(now, Tick{UnixMs: now.Milliseconds(), LoopLag: lag})
		}
		request := model.ProbeRequest{Worker: model.WorkerRef{ID: "w000", BornUnix: 1}}
		for _, c := range s.Handle(now, ProbeAnswered{Request: request, SentAt: now, Response: model.ProbeResponse{ClockMs: 1, BornUnix: 1}}) {
			if h, ok := c.(Probe); ok {
				return h.After
			}
		}
		t.Fatal("no further probe")
		return 0
	}
	if got := pause(0); got != probeGap {
		t.Errorf("pause %v with no event waiting, want %v", got, probeGap)
	}
	if got, most := pause(10*time.Millisecond), probeGap+pausePerDelay*10*time.Millisecond; got <= probeGap+most/4 || got > most {
		t.Errorf("pause %v with events waiting 10 ms, want close to %v", got, most)
	}
	if got := pause(time.Second); got != maxProbePause {
		t.Errorf("pause %v with events waiting a second, want %v", got, maxProbePause)
	}
}

// Guards against treating a slow log as unavailable. Every append takes 0.4 s. If
// assignments stopped after the fixed limit, each append would carry only the work of the
// first quarter of a second, and the rest would wait for the next one.
func TestSlowLogIsNotStalled(t *testing.T) {
	const append = 400 * time.Millisecond
	s := New(testOptions())
	s.Handle(time.Hour, Lead{Fence: 1, ProvenAt: time.Hour})
	s.seq = 1
	s.Handle(time.Hour+append, Committed{Seq: 1, SentAt: time.Hour})
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

// Guards against a leader's link that stays full because of probes, most of its calls:
// starts and appends wait behind them, answers are late, leases of latency-sensitive work
// lapse, and lapsed runs are started again. Probes slow down as the link fills, and leases
// become long enough for late renewals.
func TestProbesSlowDownAndLeasesLengthenOnFullLink(t *testing.T) {
	at := func(load float64) (pause, lease time.Duration) {
		s, now := newBacklogScheduler(1, 0, 0)
		s.Handle(now, Tick{UnixMs: now.Milliseconds(), LinkLoad: load})
		return s.probePause(), s.leaseFor(&worker{counts: runCounts{latencySensitive: 1}})
	}
	if pause, lease := at(busyLink); pause != probeGap || lease != shortLease {
		t.Errorf("pause %v, lease %v with the link half used", pause, lease)
	}
	if pause, _ := at((busyLink + fullLink) / 2); pause <= probeGap || pause >= maxProbePause {
		t.Errorf("pause %v with a busy link", pause)
	}
	if pause, lease := at(1); pause != maxProbePause || lease != testOptions().Lease {
		t.Errorf("pause %v, lease %v with the link full", pause, lease)
	}
}

// Guards against starts and calls for advice over an overfull link of the leader, which
// would delay the lease renewals of running tasks. Nothing is started until the link has
// capacity again, and then it is.
func TestNoStartsOverFullLink(t *testing.T) {
	w := mixedWorld(t, 2)
	w.linkLoad = 1.2
	w.run(100 * time.Millisecond)
	w.submitTo(deferrableJob("s1", 2), "slow")
	w.run(500 * time.Millisecond)
	if n := len(w.starts); n != 0 {
		t.Errorf("%d tasks are started over a full link, want 0", n)
	}
	w.linkLoad = 0.3
	w.run(500 * time.Millisecond)
	if n := len(w.starts); n != 2 {
		t.Errorf("%d tasks are started after the link was free again, want 2", n)
	}
}
