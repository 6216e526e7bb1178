//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// confirmConfig has one queue, with the figures of receipt-confirm in the site file.
const confirmConfig = `{"version":7,"routes":[
{"name":"r-confirm","host":"jobs.example","pathPrefix":"/confirm/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"svc","maxAttempts":3,"stretch":1.5,"public":false}],
` + smallServices

const (
	// The gang needs half a worker and a little more for each of its tasks, and has two tasks more
	// than there are workers. It is within its tenant's cap.
	gangTasks = 50
	gangCPU   = 16100
	// stepRun is how long the steps of the ordinary jobs run, the longest time of the class, and
	// stepEstimate what their clients declare: est_off is 0.9.
	stepRun      = 1600
	stepEstimate = 160
	// ordinaryJobs are handed in one after the other, each by the other tenant.
	ordinaryJobs = 12
	jobPause     = 250 * time.Millisecond
	// finishTime is finish_s, the time after the end of the traffic at which jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is the span in which nothing of a job runs, from finishTime on.
	idleTime = 3 * time.Second
)

// wideGang hands in a gang that can never be done, and some seconds later ordinary jobs of another
// tenant. All workers are free. The ordinary jobs have to be done.
func wideGang(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, options{hosts: 9, workers: 48, keep: 300 * time.Second, holdMax: 10 * time.Second, config: confirmConfig})
	if err != nil {
		return notRun, err
	}
	if !f.awaitReady(readyLimit) {
		return notRun, errNotReady
	}
	const wide = "5c0e7a21d94b36f8"
	if trouble {
		gang := wireStep{Count: gangTasks, CPU: gangCPU, MemMB: 1024, EstimateMs: 640, Gang: true}
		status, _, by := f.newCaller(keyB).callAny(http.MethodPost, "/confirm/"+wide, encodeJob("[640]", gang), callLimit)
		rec.event("disruption: team-b hands in job %s, a gang of %d tasks that can never be done, at %s: %d", wide, gangTasks, by.name, status)
	}
	time.Sleep(5 * time.Second)
	c := f.newCaller(keyA)
	step := wireStep{Count: 1, CPU: 2000, MemMB: 1024, EstimateMs: stepEstimate}
	second, third := step, step
	second.DependsOn, third.DependsOn = []int{0}, []int{1}
	body := encodeJob(fmt.Sprintf("[%d,%d,%d]", stepRun, stepRun, stepRun), step, second, third)
	var jobs []string
	for i := range ordinaryJobs {
		job := fmt.Sprintf("6d1f8b32ea5c%04x", i)
		status, _, by := c.callAny(http.MethodPost, "/confirm/"+job, body, callLimit)
		rec.event("team-a hands in job %s at %s: %d", job, by.name, status)
		if status == http.StatusOK {
			jobs = append(jobs, job)
		}
		time.Sleep(jobPause)
	}
	if len(jobs) == 0 {
		return notRun, errors.New("no job was accepted")
	}
	time.Sleep(finishTime)
	open := make(map[string]bool)
	for _, job := range jobs {
		_, answer, by := c.callAny(http.MethodGet, "/confirm/"+job, nil, callLimit)
		rec.event("team-a asks for job %s at %s: %s", job, by.name, answer)
		open[job] = stateOf(answer) != "completed"
	}
	from := time.Now()
	for time.Since(from) < idleTime+2*time.Second {
		time.Sleep(20 * time.Millisecond)
		for job, waits := range open {
			for n := range 3 {
				if waits && f.runsOn(fmt.Sprintf("%s.0.%d.0", job, n)) != nil {
					open[job] = false
				}
			}
		}
	}
	broken := 0
	for _, job := range jobs {
		if !open[job] {
			continue
		}
		_, answer, _ := c.callAny(http.MethodGet, "/confirm/"+job, nil, callLimit)
		if stateOf(answer) == "completed" {
			continue
		}
		broken++
		rec.event("rule LOST is broken: nothing of job %s has run for %s, with all %d workers free; its state is %s", job, time.Since(from).Round(100*time.Millisecond), len(f.workers), answer)
	}
	rec.event("%d of %d accepted jobs wait for ever", broken, len(jobs))
	if broken > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
