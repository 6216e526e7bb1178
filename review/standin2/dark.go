//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["darkstart"] = darkStart }

const (
	earlierJob = "00000000000000e1"
	tasksEach  = 4 // tasks of a job on each worker
)

// afterLoss is the time from the loss of a worker to the submission of a job.
const afterLoss = 200 * time.Millisecond

// darkStart: a worker is lost for good, and a job with a task for each worker is handed in before its
// entry in the host list has expired.
func darkStart(d *deployment) (int, string) {
	if err := d.begin(crashMachines, 3); err != nil {
		return couldNot, err.Error()
	}
	spread := func(name string) string {
		return fmt.Sprintf(`{"spec":"{\"ms\":3000,\"name\":\"%s\"}","steps":[{"count":%d,"cpu":2000,"memMb":1024,"estimateMs":3000,"antiAffinity":%d}]}`,
			name, tasksEach*crashMachines, tasksEach)
	}
	if !d.submit(earlierJob, spread("earlier")) || !waitUntil(10*time.Second, func() bool { return d.ask(earlierJob).state() == "completed" }) {
		return couldNot, "the earlier job is not completed"
	}
	if d.trouble {
		d.machines[3].goDark()
	}
	time.Sleep(afterLoss)
	if !d.submit(batchJob, spread("batch")) {
		return couldNot, "the job is not accepted"
	}
	return d.judgeFinish(batchJob)
}
