package region

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// callForeign answers a call to a worker that does not exist: with another incarnation if there is
// a worker at the address.
func (w *world) callForeign(generation int, name string, after time.Duration, ref model.WorkerRef, event func(CallError) Event) {
	w.foreignCalls[name]++
	if w.answersAt(ref.Address) {
		w.answer(generation, after+2*testDelay, func() Event { return event(CallOtherIncarnation) })
		return
	}
	w.answer(generation, after+callTimeout, func() Event { return event(CallNoAnswer) })
}

// answersAt reports whether a worker answers at an address.
func (w *world) answersAt(address string) bool {
	for _, fw := range w.workers {
		if fw.entry.Address == address && !fw.unreachable && !fw.down && !fw.replaced {
			return true
		}
	}
	return false
}

// foreignEntry returns what another writer may write of a worker that is up: as if it had just
// started again.
func foreignEntry(w *world, fw *fakeWorker) model.WorkerEntry {
	e := fw.entry
	e.BornUnix = w.now.Milliseconds()
	return e
}

// foreignEntries are entries with the address or the id of a worker that is up.
var foreignEntries = map[string]func(w *world, fw *fakeWorker) model.WorkerEntry{
	"other id": func(w *world, fw *fakeWorker) model.WorkerEntry {
		e := foreignEntry(w, fw)
		e.ID = "agent"
		return e
	},
	"same id": foreignEntry,
	"same id, another address": func(w *world, fw *fakeWorker) model.WorkerEntry {
		e := foreignEntry(w, fw)
		e.Address = "10.9.9.9:1"
		return e
	},
	"same life, address of another worker": func(w *world, fw *fakeWorker) model.WorkerEntry {
		e := fw.entry
		e.Address = w.workers["w2"].entry.Address
		return e
	},
}

// foreignTimes are states of the worker when the entry is read.
var foreignTimes = map[string]func(w *world, fw *fakeWorker){
	"while it is called": func(*world, *fakeWorker) {},
	"before a new leader has called it": func(w *world, _ *fakeWorker) {
		w.stopLeader()
		w.run(200 * time.Millisecond)
		w.startLeader()
	},
	"when a new leader has read no entry of it": func(w *world, fw *fakeWorker) {
		w.expireEntry(fw)
		w.stopLeader()
		w.run(200 * time.Millisecond)
		w.startLeader()
	},
	"while it is cut off": func(w *world, fw *fakeWorker) {
		fw.unreachable = true
		w.run(time.Second)
		w.after(time.Second, func() { fw.unreachable = false })
	},
	"while its answers are lost": func(w *world, _ *fakeWorker) {
		until := w.now + time.Second
		w.losesAnswer = func(string) bool { return w.now < until }
	},
}

// foreignRun starts a task of a minute, with long leases, on w1. The second worker has room for it.
func foreignRun(t *testing.T, minActive int) (*world, *fakeWorker) {
	w := newWorld(t, 1)
	w.minActive = minActive
	w.strict = newStrict()
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", 1)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(deferrable("a", &record.Step{}))
	w.run(200 * time.Millisecond)
	w.addWorker("w2", 1)
	w.run(100 * time.Millisecond)
	return w, fw
}

// Guards against a task that runs twice at once: an entry of another writer names the address or
// the id of the worker where it runs and a later birth, and is taken for the worker's successor:
//
//	worker listed  worker agent
//	run lost       a             why its worker has a new life
//	assigned       a             workers [w2]
//
// The process at the address has to be asked before its runs are given up.
func TestForeignEntryEndsNoRun(t *testing.T) {
	for kind, entry := range foreignEntries {
		for when, prepare := range foreignTimes {
			t.Run(kind+" "+when, func(t *testing.T) {
				w, fw := foreignRun(t, 0)
				prepare(w, fw)
				w.deliver(WorkerListed{Entry: entry(w, fw)})
				w.run(3 * time.Second)
				if n := w.starts[model.TaskID{Job: "a"}]; n != 1 || len(fw.runs) != 1 {
					w.fatal("the task was started %d times, and its worker has %d runs, want one of each", n, len(fw.runs))
				}
				w.deliver(WorkerListed{Entry: fw.entry}) // its next report
				w.run(time.Minute)
				w.mustComplete("a")
				if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
					t.Errorf("the task was started %d times, want once", n)
				}
				if n := w.foreignCalls["start"]; n != 0 {
					t.Errorf("%d starts were sent to a worker that does not exist", n)
				}
			})
		}
	}
}

// Guards against probes without end of a worker that does not exist: its entry stays in the host
// list, and another worker answers at the address.
func TestForeignEntryIsProbedOnce(t *testing.T) {
	w, fw := foreignRun(t, 0)
	e := foreignEntries["other id"](w, fw)
	const writes = 3
	for range writes {
		w.deliver(WorkerListed{Entry: e})
		w.run(reportInterval)
	}
	if n := w.foreignCalls["hold"]; n != writes {
		t.Errorf("%d probes of a worker whose entry was written %d times, want as many", n, writes)
	}
}

// Guards against crashes that are counted against a task although its worker has not crashed: it
// was cut off until its lease was over, and an entry of another writer is taken for its next life.
func TestForeignEntryShowsNoCrash(t *testing.T) {
	for kind, entry := range foreignEntries {
		t.Run(kind, func(t *testing.T) {
			w, fw := foreignRun(t, 0)
			fw.unreachable = true
			w.run(2*testLease + time.Second)
			c := &w.sched.findTask(model.TaskID{Job: "a"}).suspicion
			if len(c.open) != 1 {
				w.fatal("%d losses are open, want 1", len(c.open))
			}
			w.deliver(WorkerListed{Entry: entry(w, fw)})
			w.run(time.Second)
			fw.unreachable = false
			w.run(time.Second)
			if len(c.crashes) != 0 {
				t.Errorf("%d crashes are counted, want none", len(c.crashes))
			}
		})
	}
}

// rebirths are the ways in which a worker that has crashed comes back.
var rebirths = map[string]func(w *world, fw *fakeWorker) model.WorkerEntry{
	"other id": func(w *world, fw *fakeWorker) model.WorkerEntry {
		fw.replaced = true
		next := w.newWorker("x1", 1)
		next.entry.Address, next.entry.BornUnix, next.bornAt = fw.entry.Address, w.now.Milliseconds(), w.now
		return next.entry
	},
	"same id": func(w *world, fw *fakeWorker) model.WorkerEntry {
		fw.down, fw.bornAt, fw.entry.BornUnix = false, w.now, w.now.Milliseconds()
		return fw.entry
	},
	"same id, another address": func(w *world, fw *fakeWorker) model.WorkerEntry {
		fw.down, fw.bornAt, fw.entry.BornUnix, fw.entry.Address = false, w.now, w.now.Milliseconds(), "10.0.0.9:1"
		return fw.entry
	},
}

// Guards against a task that waits for the end of a lease although its worker has crashed and is
// back: the entry is asked at once, also if its worker is not needed for new work, and the crash
// counts once.
func TestReplacedWorkerCostsNoLease(t *testing.T) {
	for kind, begin := range rebirths {
		for _, dark := range []bool{false, true} {
			for _, newLeader := range []bool{false, true} {
				for _, minActive := range []int{0, 1} {
					t.Run(fmt.Sprintf("%s dark %v new leader %v active %d", kind, dark, newLeader, minActive), func(t *testing.T) {
						w, fw := foreignRun(t, minActive)
						fw.clearState(w)
						fw.down, fw.dark = true, dark
						w.run(time.Second)
						if newLeader {
							w.stopLeader()
						}
						next := begin(w, fw)
						if newLeader {
							w.startLeader()
						} else {
							w.deliver(WorkerListed{Entry: next})
						}
						w.run(100 * time.Millisecond)
						if n := w.starts[model.TaskID{Job: "a"}]; n != 2 {
							w.fatal("the task was started %d times, want again by now", n)
						}
						if n := len(w.sched.findTask(model.TaskID{Job: "a"}).suspicion.crashes); n != 1 {
							t.Errorf("%d crashes are counted, want 1", n)
						}
					})
				}
			}
		}
	}
}

// Guards against a task that waits for the end of a lease since the first call to the next life of
// its worker, at another address, got no answer.
func TestLostAnswerOfNextLifeCostsNoLease(t *testing.T) {
	w, fw := foreignRun(t, 0)
	fw.clearState(w)
	fw.down, fw.dark = true, true
	w.run(time.Second)
	next := rebirths["same id, another address"](w, fw)
	until := w.now + 100*time.Millisecond
	w.losesAnswer = func(call string) bool { return call == "hold" && w.now < until }
	w.deliver(WorkerListed{Entry: next})
	w.run(time.Second)
	if n := w.starts[model.TaskID{Job: "a"}]; n != 2 {
		w.fatal("the task was started %d times, want again by now", n)
	}
}

// writeForeignEntry writes an entry of another writer now and then, if the history has such.
func (w *world) writeForeignEntry() {
	rng := w.strict.foreignEntries
	if rng == nil || rng.IntN(8) > 0 {
		return
	}
	fw := w.workers[w.names[rng.IntN(len(w.names))]]
	kinds := []string{"other id", "other id", "same id", "same id, another address"}
	e := foreignEntries[kinds[rng.IntN(len(kinds))]](w, fw)
	if rng.IntN(4) == 0 {
		e.BornUnix += time.Hour.Milliseconds()
	}
	if e.ID == fw.entry.ID {
		w.list(fw, e)
		return
	}
	e.ID = fmt.Sprint("agent", rng.IntN(5))
	w.foreign = append(slices.DeleteFunc(w.foreign, func(o model.WorkerEntry) bool { return o.ID == e.ID }), e)
	w.deliver(WorkerListed{Entry: e})
}

// Random histories of TestStrictHistories in which other writers write entries with the addresses
// and ids of workers to the host list. The same invariants hold.
func TestStrictForeignEntries(t *testing.T) {
	play := func(seed uint64) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newStrict()
			s.lateCallsReachNext = seed%2 == 0
			s.foreignEntries = rand.New(rand.NewPCG(seed, 2))
			strictHistory(t, seed, s)
		})
	}
	const histories = 12
	for seed := uint64(1); seed <= histories; seed++ {
		play(seed)
	}
	for i := range *seedCount {
		play(*firstSeed + i)
	}
}
