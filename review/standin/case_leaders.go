//go:build review

package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// historyKept is keep_s: "20 s of history" on the sheet of the small deployment.
	historyKept = 20 * time.Second
	// killedFor is for_s of node_kill in the site file.
	killedFor = 3500 * time.Millisecond
)

// leaderKills are the times after the acceptance of the job at which the leading process is killed.
var leaderKills = []time.Duration{18 * time.Second, 26 * time.Second, 34 * time.Second}

// leaderChanges hands in a job of one task that lasts, and kills the leading process three times.
// The log keeps less history than the job is old. The job has to be known and to go on.
func leaderChanges(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, options{hosts: 9, workers: 48, keep: historyKept, holdMax: 10 * time.Second, config: smallConfig})
	if err != nil {
		return notRun, err
	}
	if !f.awaitReady(readyLimit) {
		return notRun, errNotReady
	}
	const job = "5c0e7a21d94b36f8"
	const task = job + ".0.0.0"
	c := f.newCaller(keyA)
	status, _, by := c.callAny(http.MethodPost, "/serve/"+job, encodeJob("[0]", wireStep{Count: 1, CPU: 2000, MemMB: 1024, EstimateMs: 60000, LongRunning: true}), callLimit)
	accepted := time.Now()
	rec.event("client hands in job %s at %s: %d", job, by.name, status)
	if status != http.StatusOK {
		return notRun, errors.New("the job was not accepted")
	}
	broken := false
	check := func() {
		status, answer, by := c.callAny(http.MethodGet, "/serve/"+job, nil, callLimit)
		rec.event("client asks for job %s at %s: %d %s", job, by.name, status, answer)
		if status == http.StatusGone {
			broken = true
			rec.event("rule LOST is broken: 410 for a job that was accepted %s ago and that nobody has cancelled", time.Since(accepted).Round(100*time.Millisecond))
		}
	}
	for i, at := range leaderKills {
		time.Sleep(time.Until(accepted.Add(at)))
		check()
		if !trouble {
			continue
		}
		h := f.leader()
		if h == nil {
			return notRun, errors.New("no host leads")
		}
		rec.event("disruption: process of %s, which leads, is killed for %s (%d of %d)", h.name, killedFor, i+1, len(leaderKills))
		h.kill()
		time.AfterFunc(killedFor, func() { _ = h.start() })
	}
	time.Sleep(10 * time.Second)
	for range 3 {
		check()
		time.Sleep(2 * time.Second)
	}
	if on := f.runsOn(task); on != nil {
		rec.event("the task is at work on %s", on.id)
	} else {
		rec.event("the task is not at work anywhere")
	}
	if broken {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
