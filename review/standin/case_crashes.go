//go:build review

package main

import (
	"errors"
	"net/http"
	"time"
)

var errNotReady = errors.New("the hosts were not ready in time")

const (
	readyLimit = 20 * time.Second
	callLimit  = 10 * time.Second
	// outageTime is how long the workers of a rack are down: less than the 4.5 s that the site file
	// names for srv_crash.
	outageTime = 3 * time.Second
	// workTime is how long the task is at work before its rack fails.
	workTime = 15 * time.Second
	// placeLimit is how long the task may take to be at work again.
	placeLimit = 15 * time.Second
	outages    = 3
)

// serviceCrashes hands in a job of one task that lasts. Three times, all workers of the rack on which
// the task is at work crash and are up again a moment later. The job has to go on: nobody cancels
// it, and no run of it ends as failed.
func serviceCrashes(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, options{hosts: 9, workers: 48, keep: 300 * time.Second, holdMax: 10 * time.Second, config: smallConfig})
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
	rec.event("client hands in job %s at %s: %d", job, by.name, status)
	if status != http.StatusOK {
		return notRun, errors.New("the job was not accepted")
	}
	broken := false
	check := func() {
		status, answer, by := c.callAny(http.MethodGet, "/serve/"+job, nil, callLimit)
		state := stateOf(answer)
		rec.event("client asks for job %s at %s: %d %s", job, by.name, status, answer)
		f.mu.Lock()
		failedEnds := f.failed[task]
		f.mu.Unlock()
		if status == http.StatusGone || (state == "failed" && failedEnds == 0) || state == "cancelled" {
			broken = true
			rec.event("rule LOST is broken: %d %s, with %d ends failed and no cancel", status, state, failedEnds)
		}
	}
	for i := range outages {
		end := time.Now().Add(placeLimit)
		for f.runsOn(task) == nil && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(workTime)
		check()
		w := f.runsOn(task)
		if w == nil {
			rec.event("the task is not at work")
			break
		}
		if !trouble {
			time.Sleep(outageTime)
			continue
		}
		rack := f.rackOf(w)
		rec.event("disruption: the %d workers of rack %s, %s among them, crash and are down for %s (%d of %d)", len(rack), w.rack(), w.id, outageTime, i+1, outages)
		for _, o := range rack {
			o.crash()
		}
		time.Sleep(outageTime)
		for _, o := range rack {
			if err := o.start(); err != nil {
				return notRun, err
			}
		}
		rec.event("the workers of rack %s are up again at their addresses, with nothing of before", w.rack())
	}
	for range 3 {
		time.Sleep(5 * time.Second)
		check()
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
