package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// Random histories in which workers fall silent for good shortly before the traffic ends, as it does on the
// days on which a task could run at the end and did not: some stay on the host list, some leave it, and some have
// their addresses taken. The service is mostly idle then, so that watchWaits checks each task.
func TestTasksRunAfterWorkersFellSilent(t *testing.T) {
	const histories = 40
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { silentEndHistory(t, seed) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { silentEndHistory(t, *firstSeed+i) })
	}
}

// A start with a ticket waits for as long as one without: a start without a ticket was sent to the same worker
// after it, and would prolong the lease of a next life that has executed both.
func TestTicketWaitsForStartWithoutOne(t *testing.T) {
	for _, seed := range []uint64{1124, 500001, 500182, 500202, 500229, 500250} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { silentEndHistory(t, seed) })
	}
}

func silentEndHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	if w.rng.IntN(2) == 0 {
		w.strict = newStrict()
		w.strict.lateCallsReachNext = w.rng.IntN(2) == 0
	}
	for i := range 12 {
		fw := w.addWorker(fmt.Sprintf("w%d", i), 8)
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.issuesTicket = func(step, worker string) bool { return (len(step)+int(worker[len(worker)-1]))%3 != 0 }
	w.callDelay = func(string) time.Duration {
		if faultFree || w.rng.IntN(40) != 0 {
			return 0
		}
		longest := 4 * time.Second
		if w.strict != nil {
			longest = 11 * time.Second
		}
		return time.Second + time.Duration(w.rng.Int64N(int64(longest)))
	}
	w.startLeader()
	w.watchWaits()
	var jobs []string
	for i := range 120 {
		w.run(50 * time.Millisecond)
		if i%5 == 0 {
			j := randomJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
		}
		if i > 80 && w.rng.IntN(8) == 0 {
			w.silenceForGood(w.workers[fmt.Sprintf("w%d", w.rng.IntN(4))])
		}
		if w.rng.IntN(100) == 0 {
			w.stopLeader()
			w.startLeader()
		}
	}
	faultFree = true
	w.run(45 * time.Second)
	w.mustEnd(jobs)
}

// silenceForGood cuts a worker off, or ends it, and lets its entry stay, leave the host list, or be followed by
// that of another worker at its address.
func (w *world) silenceForGood(fw *fakeWorker) {
	if fw.unreachable || fw.down {
		return
	}
	fw.unreachable = true
	if w.rng.IntN(2) == 0 {
		fw.clearState(w)
		fw.unreachable, fw.down, fw.dark = false, true, w.rng.IntN(2) == 0
	}
	leaves := w.rng.IntN(3)
	if leaves == 0 {
		return
	}
	w.after(time.Duration(w.rng.Int64N(int64(4*time.Second))), func() {
		fw.listed = &model.WorkerEntry{}
		w.deliver(WorkerUnlisted{ID: fw.entry.ID})
		if leaves == 1 || !fw.down {
			return
		}
		fw.replaced = true
		w.lastWorker++
		next := w.newWorker(fmt.Sprintf("x%d", w.lastWorker), 8)
		next.entry.Address, next.entry.BornUnix, next.bornAt = fw.entry.Address, w.now.Milliseconds(), w.now
		w.deliver(WorkerListed{Entry: next.entry})
	})
}
