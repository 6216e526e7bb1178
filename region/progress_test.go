package region

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// misdeclaredRunTime is the mean run time of the queue, and misdeclaredEstimate what its
	// callers declare.
	misdeclaredRunTime  = 3400 * time.Millisecond
	misdeclaredEstimate = 1800 * time.Millisecond
)

// misdeclaredWorld has workers full of tasks of one queue that run a multiple of their declared
// run times, spread by half around their mean.
func misdeclaredWorld(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	for i := range 12 {
		w.addWorker(fmt.Sprintf("w%02d", i), 16)
	}
	runTimes := make(map[model.TaskID]time.Duration)
	w.runTime = func(id model.TaskID) time.Duration {
		if runTimes[id] == 0 {
			spread := math.Exp(0.5*w.rng.NormFloat64() - 0.125)
			runTimes[id] = time.Duration(min(spread, 2.5) * float64(misdeclaredRunTime))
		}
		return runTimes[id]
	}
	w.startLeader()
	w.submitMisdeclared(0, 16)
	return w
}

// submitMisdeclared submits jobs of 12 tasks each.
func (w *world) submitMisdeclared(first, n int) {
	for i := range n {
		w.submit(oneStep(fmt.Sprintf("j%d", first+i), &record.Step{
			Count: 12, EstimateMs: misdeclaredEstimate.Milliseconds(), Checkpointing: true,
		}))
	}
}

// stragglerStops returns how many runs were stopped because they seemed slow.
func (w *world) stragglerStops() int { return w.stopsFor("far slower") }

// stopsFor returns how many runs were stopped for a reason.
func (w *world) stopsFor(why string) int {
	n := 0
	for _, line := range w.explanations {
		if strings.Contains(line, "run stopped") && strings.Contains(line, why) {
			n++
		}
	}
	return n
}

// A new leader sees the runs of its predecessor end, the shortest ones first, and has not seen
// them start. It must not take the others for stragglers: no worker is slow here.
func TestTakeoverStopsNoHealthyRun(t *testing.T) {
	for seed := range uint64(10) {
		w := misdeclaredWorld(t, seed+1)
		w.run(6 * time.Second)
		before := w.stragglerStops()
		for term := range 3 {
			w.stopLeader()
			w.run(500 * time.Millisecond)
			w.startLeader()
			w.submitMisdeclared(100*(term+1), 8)
			w.run(4 * time.Second)
		}
		if n := w.stragglerStops() - before; n != 0 {
			t.Errorf("seed %d: %d healthy runs stopped after takeovers", seed+1, n)
		}
	}
}

// After a takeover the run times of a queue are known again within a second, long before most
// of its runs have ended.
func TestRunTimesAreKnownSoonAfterTakeover(t *testing.T) {
	w := misdeclaredWorld(t, 1)
	for i := range 8 {
		w.run(time.Second)
		w.submitMisdeclared(100+4*i, 4)
	}
	w.stopLeader()
	w.run(500 * time.Millisecond)
	w.startLeader()
	w.run(time.Second)
	want := float64(misdeclaredRunTime) / float64(misdeclaredEstimate)
	if got := w.sched.estimates.forQueue("q").ratio; got < 0.75*want || got > 1.5*want {
		t.Errorf("run times are estimated at %.2f of the declared ones a second after the takeover, want about %.2f", got, want)
	}
}
