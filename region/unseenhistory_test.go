package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Random histories of tasks with tickets whose workers come back unseen, execute calls that were meant for
// the earlier incarnation, and fall silent. At each start, no task may run twice at a time or again after it
// was done.
func TestUnseenIncarnationHistories(t *testing.T) {
	const histories = 24
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { unseenHistory(t, seed) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { unseenHistory(t, *firstSeed+i) })
	}
}

func unseenHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	w.strict = newStrictLateCalls()
	w.strict.unseen = true
	for i := range 5 {
		fw := w.addWorker(fmt.Sprintf("w%d", i), 4)
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.runTime = func(model.TaskID) time.Duration {
		return 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(8*time.Second)))
	}
	w.callDelay = func(string) time.Duration {
		if faultFree || w.rng.IntN(8) != 0 {
			return 0
		}
		return 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	w.startLeader()
	var jobs []string
	for i := range 400 {
		w.run(50 * time.Millisecond)
		if i%8 == 0 {
			j := unseenJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
		}
		if len(jobs) > 5 && w.rng.IntN(15) == 0 {
			w.cancelStrict(jobs[len(jobs)-1-w.rng.IntN(5)])
		}
		if w.rng.IntN(12) == 0 {
			crashUnseen(w, w.workers[w.names[w.rng.IntN(len(w.names))]])
		}
	}
	faultFree = true
	w.mustEnd(jobs)
}

func unseenJob(w *world, id string) *record.Job {
	j := advised(id, &record.Step{Count: 1 + int32(w.rng.IntN(4)), Gang: w.rng.IntN(4) == 0})
	j.Steps[0].EstimateMs = 300 + w.rng.Int64N(8000) // short and long leases
	j.Steps[0].Request = &record.Resources{MilliCpu: 300 + w.rng.Int64N(900), MemoryMib: 100}
	return j
}

// crashUnseen begins the next incarnation of a worker unnoticed. It is cut off a little later, or listed.
func crashUnseen(w *world, fw *fakeWorker) {
	if fw.unreachable || fw.listed != nil {
		return
	}
	earlier := fw.entry
	fw.clearState(w)
	fw.listed, fw.bornAt = &earlier, w.now
	fw.drift = float64(w.rng.IntN(20)) / 1000
	fw.entry.BornUnix = max(earlier.BornUnix+1, w.now.Milliseconds())
	cutOff := time.Duration(w.rng.Int64N(int64(8 * time.Second)))
	w.after(cutOff, func() { fw.unreachable = true })
	w.after(cutOff+time.Duration(w.rng.Int64N(int64(20*time.Second))), func() {
		fw.unreachable = false
		w.show(fw)
	})
}
