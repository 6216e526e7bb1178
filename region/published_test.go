package region

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Guards against a task that starts again after its end was recorded or its job was shown as
// completed or failed, in the histories of TestStrictLateCallReachesNextLife. The world does
// not notice that where the worker was lost with an end that was not yet acknowledged.
func TestNoStartAfterRecordedEnd(t *testing.T) {
	seeds := slices.Clone(recordedEndSeeds)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { recordedEndHistory(t, seed) })
	}
}

// recordedEndSeeds are seeds that have failed at some time.
var recordedEndSeeds = []uint64{
	60124, 60218, 60252, 60320, 60523, 60304, 60341, 60391, 60634, 90185, 90314, 90471, 90739, 90195, 90442, 90513,
	90547, 90725, 90782, 90912, 90958,
}

func recordedEndHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	w.strict = newStrictLateCalls()
	for i := range 8 {
		fw := w.addWorker(fmt.Sprintf("w%d", i), 8)
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.callDelay = func(string) time.Duration {
		if faultFree || w.rng.IntN(30) != 0 {
			return 0
		}
		return 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	w.startLeader()
	seen := endedTasks{world: w, done: make(map[model.TaskID]bool), starts: make(map[model.TaskID]int)}
	var jobs []string
	for i := range 400 {
		seen.run(50 * time.Millisecond)
		if i%3 == 0 {
			j := strictJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
		}
		if len(jobs) > 10 && w.rng.IntN(20) == 0 {
			w.cancelStrict(jobs[len(jobs)-1-w.rng.IntN(10)])
		}
		injectFault(w, 40, crashWithDowntime)
	}
	faultFree = true
	w.mustEnd(jobs)
}

// endedTasks checks that no task starts after its end as done was recorded, or after its job
// was shown as completed or failed.
type endedTasks struct {
	*world
	done   map[model.TaskID]bool
	read   int // entries of the log that were read
	starts map[model.TaskID]int
}

// run advances the world and checks it each millisecond.
func (e *endedTasks) run(d time.Duration) {
	for until := e.now + d; e.now < until; {
		e.world.run(min(time.Millisecond, until-e.now))
		e.check()
	}
}

func (e *endedTasks) check() {
	for id, n := range e.world.starts {
		if n == e.starts[id] {
			continue
		}
		e.starts[id] = n
		if s := e.states[id.Job]; e.done[id] || s == StateCompleted || s == StateFailed {
			e.fatal("started after its end was recorded or shown: %v", id)
		}
	}
	for ; e.read < len(e.entries); e.read++ {
		if end := e.entries[e.read].GetEnded(); end != nil && end.Outcome == record.Outcome_OUTCOME_DONE {
			e.done[model.TaskIDOf(end.Task)] = true
		}
	}
}
