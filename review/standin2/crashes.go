//go:build review

package main

import (
	"fmt"
	"time"
)

func init() {
	cases["isolated"] = isolated
	cases["givenup"] = givenUp
}

const (
	crashMachines = 8               // one of them is 0.125 of the service's workers
	downTime      = 3 * time.Second // how long a worker is down
	beforeCrash   = 2500 * time.Millisecond
	againLimit    = 15 * time.Second // a lost task runs again before that
)

const (
	batchJob   = "00000000000000b1"
	lastingJob = "00000000000000a1"
)

func batchBody(name string, ms int) string {
	return fmt.Sprintf(`{"spec":"{\"ms\":%d,\"name\":\"%s\"}","steps":[{"count":1,"cpu":4000,"memMb":2048,"estimateMs":%d,"requires":"b"}]}`, ms, name, ms)
}

// crashUnder crashes the worker on which the job runs, once it has run there for a while, and starts it
// again, as one of the given kind. It reports whether the job ran in time.
func (d *deployment) crashUnder(job, kind string) (bool, error) {
	var m *machine
	if !waitUntil(againLimit, func() bool {
		at, ran := d.placeOf(job)
		m = at
		return at != nil && ran >= beforeCrash
	}) {
		return false, nil
	}
	m.crash()
	time.Sleep(downTime)
	return true, m.restart(kind)
}

// isolated: a job of one task has lost its worker three times; on each worker a task of a service lasts.
func isolated(d *deployment) (int, string) {
	if err := d.begin(crashMachines, 3); err != nil {
		return couldNot, err.Error()
	}
	lasting := fmt.Sprintf(`{"spec":"{\"ms\":0,\"name\":\"service\"}","steps":[{"count":%d,"cpu":2000,"memMb":1024,"longRunning":true,"antiAffinity":1}]}`, crashMachines)
	if !d.submit(lastingJob, lasting) || !waitUntil(10*time.Second, func() bool { return d.countOf(lastingJob) == crashMachines }) {
		return couldNot, "the service's tasks do not run"
	}
	time.Sleep(3 * time.Second)
	if !d.submit(batchJob, batchBody("batch", 9000)) {
		return couldNot, "the job is not accepted"
	}
	if d.trouble {
		for n := range 3 {
			ran, err := d.crashUnder(batchJob, "a")
			if err != nil {
				return couldNot, err.Error()
			}
			if !ran {
				d.rec.line("the job does not run again in time after %d crashes", n)
				break
			}
		}
	}
	d.rec.line("the last worker is back: no disruption from here on")
	return d.judgeFinish(batchJob)
}

// givenUp: the same without the service, so that no other job runs on the workers that crash.
func givenUp(d *deployment) (int, string) {
	if err := d.begin(crashMachines, 3); err != nil {
		return couldNot, err.Error()
	}
	if !d.submit(batchJob, batchBody("batch", 9000)) {
		return couldNot, "the job is not accepted"
	}
	if d.trouble {
		for range 3 {
			ran, err := d.crashUnder(batchJob, "b")
			if err != nil {
				return couldNot, err.Error()
			}
			if !ran {
				break
			}
		}
	}
	d.rec.line("the last worker is back: no disruption from here on")
	return d.judgeFinish(batchJob)
}

// judgeFinish ends the traffic now and judges the job by the rule LOST: finishTime later it is asked
// for. It is lost if it is not known, shown as failed though no run of it has ended as failed, or has had
// nothing running for idleTime. The workers have room for it many times over, and its tenant has no cap.
func (d *deployment) judgeFinish(job string) (int, string) {
	d.rec.line("the traffic ends")
	began := time.Now()
	var idleSince time.Time
	var idle time.Duration
	for time.Since(began) < finishTime+idleTime {
		if m, _ := d.placeOf(job); m != nil {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		}
		idle = 0
		if !idleSince.IsZero() {
			idle = time.Since(idleSince)
		}
		time.Sleep(20 * time.Millisecond)
	}
	a := d.ask(job)
	if a.status == 0 || a.status != 200 {
		return broken, fmt.Sprintf("LOST: the job gets %d %v", a.status, a.err)
	}
	switch state := a.state(); {
	case state == "completed":
		return held, "the job is completed"
	case state == "failed":
		return broken, "LOST: the job is shown as failed, and no run of it has ended as failed"
	case idle >= idleTime:
		return broken, fmt.Sprintf("LOST: the job is %s and has had nothing running for %.1f s, with all workers up and most of their room free", state, idle.Seconds())
	default:
		return held, "the job is " + state + " and runs"
	}
}
