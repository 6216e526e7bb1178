package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/work"
)

// The urgent jobs of the test. The time between two grows from one to the next,
// so that they arrive at every step of what happens after the one before.
const (
	urgentJobs = 40
	urgentGap  = 560 * time.Millisecond
	urgentStep = 9 * time.Millisecond
	urgentMost = 2200 * time.Millisecond // from submission to start
)

// A zone is full of displaceable tasks, and urgent jobs arrive one after the
// other, some right after room that the last one left was given to new tasks
// whose starts are still on their way. The checkpoint of such a task overtook
// its start, the worker ignored it, and the urgent jobs waited for seconds.
// The times are those of the fleet's virtual clock.
func TestUrgentJobsStartInAFullZone(t *testing.T) {
	w := NewWorld(matrixSeed)
	w.After(time.Second, func() {
		for _, team := range teams {
			w.ops.setLimit(team, 1000)
		}
	})
	fill := &JobRecord{Sub: 1, Zone: zoneA, Key: "fill", Spec: work.Spec{
		Kind: work.KindBatch, Team: teams[0], Name: "fill", Tasks: 100,
		Need: resource.Vector{MilliCPU: 1000, MemoryMiB: 256},
		Run:  time.Hour, MaxAttempts: 5, Displaceable: true,
	}}
	w.After(loadFrom, func() { w.load.submit(fill, maxRepeats) })
	w.RunUntil(3*loadFrom, nil)

	sent := map[*JobRecord]time.Duration{}
	at := 3 * loadFrom
	for n := range urgentJobs {
		rec := &JobRecord{Sub: 11 + 10*n, Zone: zoneA, Key: fmt.Sprintf("urgent-%d", n), Spec: work.Spec{
			Kind: work.KindBatch, Team: teams[1], Name: "urgent", Tasks: 1,
			Need: resource.Vector{MilliCPU: 2000, MemoryMiB: 512},
			Run:  400 * time.Millisecond, MaxAttempts: 5, Urgent: true,
		}}
		at += urgentGap + time.Duration(n)*urgentStep
		sent[rec] = at
		w.RunUntil(at, nil)
		w.load.submit(rec, maxRepeats)
	}
	w.RunUntil(at+10*time.Second, nil)

	starts := map[string]time.Duration{}
	checkpoints := 0
	for _, ev := range w.audit.History() {
		task := standin.JobTask(ev.ID)
		if _, again := starts[task]; ev.End == "" && !again {
			starts[task] = ev.At
		}
		if ev.End == standin.EndCheckpointed {
			checkpoints++
		}
	}
	if checkpoints < urgentJobs {
		t.Fatalf("%d tasks were displaced for %d urgent jobs: the zone was not full", checkpoints, urgentJobs)
	}
	for rec, at := range sent {
		start, ran := starts[rec.Job.String()+"/0"]
		if !ran || start-at > urgentMost {
			t.Errorf("%s, sent at %s: started %v, after %s", rec.Key, at, ran, start-at)
		}
	}
}
