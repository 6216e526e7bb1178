//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["closed"] = closed }

const (
	quietTime   = 40 * time.Second       // how long the service runs before the first crash
	shortDown   = time.Second            // how long a worker is down
	betweenDown = 700 * time.Millisecond // from the restart of the service's task to the next crash
	rounds      = 2
)

// closed: a service has a task on each worker. The workers crash one after the other, and once more.
// Then a job of one task is handed in.
func closed(d *deployment) (int, string) {
	if err := d.begin(crashMachines, 3); err != nil {
		return couldNot, err.Error()
	}
	lasting := fmt.Sprintf(`{"spec":"{\"ms\":0,\"name\":\"service\"}","steps":[{"count":%d,"cpu":2000,"memMb":1024,"longRunning":true,"antiAffinity":1}]}`, crashMachines)
	allRun := func() bool { return d.countOf(lastingJob) == crashMachines }
	if !d.submit(lastingJob, lasting) || !waitUntil(10*time.Second, allRun) {
		return couldNot, "the service's tasks do not run"
	}
	time.Sleep(quietTime)
	if d.trouble {
		for range rounds {
			for _, m := range d.machines {
				m.crash()
				time.Sleep(shortDown)
				if err := m.restart(m.kind); err != nil {
					return couldNot, err.Error()
				}
				if !waitUntil(10*time.Second, allRun) {
					return couldNot, "the service's task does not run again"
				}
				time.Sleep(betweenDown)
			}
		}
	}
	d.rec.line("all workers are up, and each runs a task of the service: no disruption from here on")
	if !d.submit(batchJob, batchBody("batch", 3000)) {
		return couldNot, "the job is not accepted"
	}
	return d.judgeFinish(batchJob)
}
