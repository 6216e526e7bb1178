package region

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// speedWorkers returns n workers and their speeds: a third each has 0.8, 1 and 1.25.
func speedWorkers(n int) ([]*worker, map[*worker]float64) {
	speeds := make(map[*worker]float64)
	var all []*worker
	for i := range n {
		w := &worker{slot: i, entry: model.WorkerEntry{ID: fmt.Sprintf("w%02d", i), Capacity: model.Resources{MilliCPU: 32000, MemoryMiB: 64 << 10}}}
		all = append(all, w)
		speeds[w] = []float64{0.8, 1, 1.25}[i%3]
	}
	return all, speeds
}

// ratio returns how many times as fast as b a is estimated to be.
func ratio(a, b *worker) float64 { return math.Exp(a.speed.logRatio - b.speed.logRatio) }

// Workers of one size and label differ by half in speed, and only the progress of gang
// members shows it. One worker reports false progress, which must not change the
// estimates of the others.
func TestSpeedsAreLearnedFromGangs(t *testing.T) {
	workers, speeds := speedWorkers(30)
	for round := range 30 {
		var runs []runSpeed
		for i := range 8 {
			w := workers[(round*7+i*11)%len(workers)]
			speed := speeds[w] * 100 / float64(round+1) // the amount of work differs between gangs
			if w == workers[5] {
				speed *= 1000
			}
			runs = append(runs, runSpeed{w, math.Log(speed)})
		}
		learnSpeeds(runs, gangSampleWeight)
	}
	for i := 6; i+2 < len(workers); i += 3 {
		if got := ratio(workers[i+2], workers[i]); got < 1.4 || got > 1.7 {
			t.Errorf("%s is estimated to be %.2f times as fast as %s, want 1.56", workers[i+2].entry.ID, got, workers[i].entry.ID)
		}
	}
}

// A worker becomes five times slower. Earlier samples must not outweigh that.
func TestWorkerThatBecomesSlowIsDetected(t *testing.T) {
	workers, speeds := speedWorkers(6)
	sampleRounds := func(rounds int) {
		for range rounds {
			var runs []runSpeed
			for _, w := range workers {
				runs = append(runs, runSpeed{w, math.Log(speeds[w])})
			}
			learnSpeeds(runs, gangSampleWeight)
		}
	}
	sampleRounds(100)
	speeds[workers[0]] /= 5
	sampleRounds(4)
	if got := ratio(workers[0], workers[3]); got > 0.5 {
		t.Errorf("after four gangs a worker that became five times slower is estimated to be %.2f times as fast", got)
	}
}

// Two runs do not show which of them is slow.
func TestTwoRunsGiveNoSpeedEstimate(t *testing.T) {
	workers, _ := speedWorkers(2)
	learnSpeeds([]runSpeed{{workers[0], 0}, {workers[1], 1}}, gangSampleWeight)
	if workers[0].speed != (speed{}) || workers[1].speed != (speed{}) {
		t.Errorf("speeds %+v, %+v, want no estimate", workers[0].speed, workers[1].speed)
	}
}

// A gang on workers of different speeds is as slow as its slowest member and holds the
// room of the fast ones idle. If the workers of one speed have room for all members,
// the gang goes there.
func TestGangPrefersWorkersOfSimilarSpeed(t *testing.T) {
	workers, speeds := speedWorkers(12)
	var places []gangPlace
	for _, w := range workers {
		w.speed.logRatio = math.Log(speeds[w])
		places = append(places, gangPlace{worker: w, n: 2})
	}
	for members, slowest := range map[int]float64{8: 1.25, 9: 1, 16: 1, 17: 0.8, 24: 0.8} {
		got := similarSpeedPlaces(places, members)
		room := 0
		lowest := math.Inf(1)
		for _, p := range got {
			room += p.n
			lowest = min(lowest, math.Exp(p.worker.speed.logRatio))
		}
		if room < members || math.Abs(lowest-slowest) > 0.01 {
			t.Errorf("%d members: room for %d, the slowest worker has speed %.2f, want %.2f", members, room, lowest, slowest)
		}
	}
}

// Urgent tasks on slow workers are late from their start while other work occupies the
// fast ones. A third each of the workers is slow, usual and fast, and both kinds of
// work are submitted.
func TestUrgentWorkGoesToFastWorkers(t *testing.T) {
	w := mixedWorld(t, 3)
	for i, log := range []float64{-0.22, 0, 0.22} {
		w.sched.workers[fmt.Sprintf("w%d", i)].speed = speed{logRatio: log, weight: maxSpeedWeight}
	}
	w.submitTo(deferrableJob("s1", 4), "slow")
	w.run(100 * time.Millisecond)
	w.submitTo(urgentJob("u1"), "urgent")
	w.run(100 * time.Millisecond)
	for id, want := range map[string]string{"s1": "w0", "u1": "w2"} {
		if r := w.sched.jobs[id].occs[0].steps[0].tasks[0].run; r == nil || r.worker.entry.ID != want {
			t.Errorf("%s does not run on %s", id, want)
		}
	}
}

// The same rule for a gang that a pass places.
func TestPassPlacesGangOnWorkersOfSimilarSpeed(t *testing.T) {
	w := mixedWorld(t, 6)
	for i := range 6 {
		w.sched.workers[fmt.Sprintf("w%d", i)].speed = speed{logRatio: []float64{-0.22, 0.22}[i%2], weight: maxSpeedWeight}
	}
	job := deferrableJob("g1", 6)
	job.Steps[0].Gang = true
	job.Steps[0].Request.MilliCpu = 8000
	w.submitTo(job, "slow")
	w.run(100 * time.Millisecond)
	for _, task := range w.sched.jobs["g1"].occs[0].steps[0].tasks {
		if task.run == nil || task.run.worker.speed.logRatio < 0 {
			t.Errorf("member %d is not on a fast worker", task.index)
		}
	}
}
