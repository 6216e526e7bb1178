//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// jobsPerS is the rate of the site file, from that many callers, each with a connection of
	// its own to one host.
	jobsPerS      = 55
	cancelCallers = 44
	// toClients is the way to a client and back: 1 ms each, as on the sheet.
	toClients = 2 * time.Millisecond
	// cancelShare of the jobs are cancelled in two windows of cancelTime: share and for_s of
	// give_up in the site file.
	cancelShare = 0.4
	cancelTime  = 12 * time.Second
	trafficTime = 33 * time.Second
	// freezeTime is less than the 4 s of node_freeze in the site file.
	freezeTime  = 500 * time.Millisecond
	cancelLimit = 3 * time.Second  // cancel_ms
	touchTime   = 3 * time.Second  // contactMs
	stepMs      = 5000             // length of each of the two steps of a job
	tailTime    = 13 * time.Second // until the last jobs have ended
)

// cancelWindows are when the windows of give_up begin, and leaderFreezes when the leading machine
// freezes.
var (
	cancelWindows = []time.Duration{2 * time.Second, 20 * time.Second}
	leaderFreezes = []time.Duration{4 * time.Second, 13 * time.Second, 22 * time.Second, 31 * time.Second}
)

// cancelled is a job whose DELETE was answered with 2xx or 410.
type cancelled struct {
	job    string
	status int
	at     time.Time
}

// cancelTraffic is what the callers have sent and received.
type cancelTraffic struct {
	fleet *fleet
	began time.Time

	mu     sync.Mutex
	acked  []cancelled
	counts map[string]int
}

func (t *cancelTraffic) count(what string, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[fmt.Sprintf("%s %d", what, status)]++
}

// run hands in jobs at one host, and cancels some of them once they are acknowledged.
func (t *cancelTraffic) run(caller int) {
	c := t.fleet.newCaller(keyA)
	h := t.fleet.hosts[caller%len(t.fleet.hosts)]
	pause := cancelCallers * time.Second / jobsPerS
	time.Sleep(time.Duration(rand.Int64N(int64(pause))))
	body := encodeJob(fmt.Sprintf("[%d,%d]", stepMs, stepMs),
		wireStep{Count: 1, CPU: 500, MemMB: 256, EstimateMs: stepMs}, wireStep{Count: 1, CPU: 500, MemMB: 256, EstimateMs: stepMs, DependsOn: []int{0}})
	for n := 1; time.Since(t.began) < trafficTime; n++ {
		next := time.Now().Add(pause)
		job := fmt.Sprintf("%08x%08x", caller+1, n)
		status, _ := c.call(h, http.MethodPost, "/batch/"+job, body)
		t.count("POST", status)
		if status == http.StatusOK && t.inWindow() && rand.Float64() < cancelShare {
			time.Sleep(toClients)
			t.cancel(c, h, job)
		}
		time.Sleep(time.Until(next))
	}
}

func (t *cancelTraffic) inWindow() bool {
	for _, at := range cancelWindows {
		if d := time.Since(t.began) - at; d >= 0 && d < cancelTime {
			return true
		}
	}
	return false
}

func (t *cancelTraffic) cancel(c *caller, h *host, job string) {
	sent := time.Now()
	status, _ := c.call(h, http.MethodDelete, "/batch/"+job, nil)
	t.fleet.record.event("client cancels job %s, accepted by %s, there: %d after %s", job, h.name, status, time.Since(sent).Round(10*time.Microsecond))
	t.count("DELETE", status)
	if status == http.StatusOK || status == http.StatusGone {
		t.mu.Lock()
		t.acked = append(t.acked, cancelled{job: job, status: status, at: time.Now()})
		t.mu.Unlock()
	}
}

// promptCancels hands in jobs of two steps and cancels some of them right after their
// acknowledgement, on the same connection. Meanwhile the leading machine freezes for a moment, four
// times. No task of a job whose cancel was answered may start more than cancel_ms later.
func promptCancels(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, options{hosts: 9, workers: 48, keep: 300 * time.Second, holdMax: 10 * time.Second, config: smallConfig})
	if err != nil {
		return notRun, err
	}
	if !f.awaitReady(readyLimit) {
		return notRun, errNotReady
	}
	t := &cancelTraffic{fleet: f, began: time.Now(), counts: make(map[string]int)}
	var group sync.WaitGroup
	for i := range cancelCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			t.run(i)
		}()
	}
	var freezes []time.Time
	for _, at := range leaderFreezes {
		time.Sleep(time.Until(t.began.Add(at)))
		h := f.leader()
		if h == nil {
			return notRun, errors.New("no host leads")
		}
		if !trouble {
			continue
		}
		rec.event("disruption: %s, which leads, freezes for %s", h.name, freezeTime)
		h.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		h.signal(syscall.SIGCONT)
		freezes = append(freezes, time.Now())
	}
	group.Wait()
	time.Sleep(tailTime)
	rec.event("answers: %v", t.counts)
	broken := t.countBroken(freezes)
	rec.event("%d of %d cancels that were acknowledged were not carried out", broken, len(t.acked))
	switch {
	case len(t.acked) == 0:
		return notRun, errors.New("no cancel was acknowledged")
	case broken > 0:
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// countBroken returns how many jobs had a task that started more than cancel_ms after the answer
// to their cancel, and longer than contactMs after the last freeze.
func (t *cancelTraffic) countBroken(freezes []time.Time) int {
	broken := 0
	c := t.fleet.newCaller(keyA)
	t.fleet.mu.Lock()
	spans := make(map[string]span, len(t.fleet.spans))
	for task, s := range t.fleet.spans {
		spans[task] = s
	}
	t.fleet.mu.Unlock()
	for _, a := range t.acked {
		second, begun := spans[a.job+".0.1.0"]
		if !begun || second.started.Before(a.at.Add(cancelLimit)) || nearFreeze(second.started, freezes) {
			continue
		}
		broken++
		_, answer, _ := c.callAny(http.MethodGet, "/batch/"+a.job, nil, callLimit)
		t.fleet.record.event("rule UNASKED is broken: the cancel of %s was answered with %d; its second step began %.3f s and ended (%s) %.3f s after that; its state is now %s",
			a.job, a.status, second.started.Sub(a.at).Seconds(), second.how, second.ended.Sub(a.at).Seconds(), answer)
	}
	return broken
}

// nearFreeze reports whether a machine was frozen within contactMs before a time.
func nearFreeze(at time.Time, freezes []time.Time) bool {
	for _, ended := range freezes {
		if d := at.Sub(ended); d > -freezeTime && d < touchTime {
			return true
		}
	}
	return false
}
