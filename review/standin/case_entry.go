//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// entryJobs jobs of entryTasks tasks are at work when the entry is written. A task runs for taskMs.
	entryJobs  = 6
	entryTasks = 4
	taskMs     = 12000
	// foreignEntries is how many workers another writer names.
	foreignEntries = 3
)

// writeForeignEntry writes an entry of another writer to the list of workers: it has the address of a
// worker, and lacks zone, version, slots, coldLeftMs, seq and labels.
func (f *fleet) writeForeignEntry(n int, w *worker) {
	w.mu.Lock()
	address := w.address
	w.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": "svc", "address": address, "state": "ready", "born": time.Now().UnixMilli(),
		"capacity": map[string]int64{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0},
	})
	if err != nil {
		panic(err) // plain values always encode
	}
	f.record.event("disruption: another writer writes servers/agent-%d: %s (the address of worker %s)", n, entry, w.id)
	f.store.put("keyed.servers", fmt.Sprintf("agent-%d", n), entry)
}

// foreignEntry hands in jobs. While their tasks are at work, another writer writes entries that lack
// most fields to the list of workers, with the addresses of workers that are up. No task may have two
// runs at a time.
func foreignEntry(rec *recorder, trouble bool) (int, error) {
	f, err := newFleet(rec, options{hosts: 9, workers: 48, keep: 300 * time.Second, holdMax: 10 * time.Second, config: smallConfig})
	if err != nil {
		return notRun, err
	}
	if !f.awaitReady(readyLimit) {
		return notRun, errNotReady
	}
	c := f.newCaller(keyA)
	body := encodeJob(fmt.Sprintf("[%d]", taskMs), wireStep{Count: entryTasks, CPU: 9000, MemMB: 9000, EstimateMs: taskMs})
	var jobs []string
	for i := range entryJobs {
		job := fmt.Sprintf("7e209c43fb6d%04x", i)
		status, _, by := c.callAny(http.MethodPost, "/batch/"+job, body, callLimit)
		rec.event("client hands in job %s at %s: %d", job, by.name, status)
		if status != http.StatusOK {
			return notRun, errors.New("a job was not accepted")
		}
		jobs = append(jobs, job)
	}
	time.Sleep(3 * time.Second)
	for n, job := range jobs[:foreignEntries] {
		w := f.runsOn(job + ".0.0.0")
		if w == nil {
			return notRun, errors.New("a task is not at work")
		}
		if trouble {
			f.writeForeignEntry(n, w)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(30 * time.Second)
	for _, job := range jobs {
		_, answer, by := c.callAny(http.MethodGet, "/batch/"+job, nil, callLimit)
		rec.event("client asks for job %s at %s: %s", job, by.name, answer)
	}
	f.mu.Lock()
	doubled := f.doubled
	f.mu.Unlock()
	rec.event("%d times a task had two runs at a time", doubled)
	if doubled > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
