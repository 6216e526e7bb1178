package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// lateEntry runs a task of a minute in the second incarnation of w1 and returns the entry
// that w1 wrote to the host list in its first one.
func lateEntry(w *world) model.WorkerEntry {
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", 1)
	earlier := fw.entry
	w.startLeader()
	w.run(100 * time.Millisecond)
	crash(w, fw)
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.addWorker("w2", 1)
	return earlier
}

// Guards against a task that runs twice at the same time. Its worker was restarted, and the
// write of its first incarnation to the host list is executed only after that of the second
// one, in which the task runs. The scheduler took the entry for a new incarnation:
//
//	worker has a new life  worker w1  runs_lost 1
//	assigned               a          workers [w2]
//
// An incarnation that answers probes has not ended, whatever the list says.
func TestStaleHostListEntryIsIgnored(t *testing.T) {
	w := newWorld(t, 1)
	earlier := lateEntry(w)
	w.deliver(WorkerListed{Entry: earlier})
	w.run(2 * time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the task runs on w1", n)
	}
}

// Guards against the same with a leader elected after that write: it reads the first
// incarnation in the host list, and in the log a run assigned to the second one. That run
// counts as alive until a probe or the end of its lease shows that it has ended.
func TestNewLeaderReadsStaleHostListEntry(t *testing.T) {
	w := newWorld(t, 1)
	earlier := lateEntry(w)
	w.stopLeader()
	w.workers["w1"].listed = &earlier
	w.startLeader()
	w.run(2 * time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the task runs on w1", n)
	}
	w.deliver(WorkerListed{Entry: w.workers["w1"].entry})
	w.run(time.Second)
	if n := len(w.workers["w1"].runs); n != 1 {
		t.Errorf("%d runs on w1, which is listed again, want 1", n)
	}
}

// Guards against a worker that gets no more work after its time of day was set back, so that
// its next incarnation has an earlier birth time. Probes find that the earlier incarnation
// has ended.
func TestIncarnationWithEarlierBirthTime(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 1)
	fw.entry.BornUnix = 1000
	w.startLeader()
	w.run(100 * time.Millisecond)
	fw.clearState(w)
	fw.entry.BornUnix = 900
	w.deliver(WorkerListed{Entry: fw.entry})
	w.run(time.Second)
	w.deliver(WorkerListed{Entry: fw.entry}) // the worker's next report
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(2 * time.Second)
	w.mustComplete("a")
}

// Guards against a wait for a late start that cannot happen. A run is assigned in the old
// incarnation of a worker, no end of it is read, and a new leader finds the worker in its
// next incarnation. The run has ended, and the task runs again at once: its start was answered,
// so that no start call of it can be executed any more.
func TestInheritedRunOfEarlierIncarnation(t *testing.T) {
	w, fw := minuteRun(t)
	w.stopLeader()
	crash(w, fw)
	w.startLeader()
	w.run(100 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Errorf("%d runs in the next incarnation, want 1", n)
	}
}

// Guards against an answer that costs a look at every worker of the region: the earlier worker at
// the address of one that answers is found by its address. Its entry alone ends nothing.
func TestEarlierWorkerIsFoundByItsAddress(t *testing.T) {
	w, fw := minuteRun(t)
	next := w.newWorker("w2", 1)
	next.entry.Address, next.entry.BornUnix = fw.entry.Address, fw.entry.BornUnix+1
	w.step(WorkerListed{Entry: next.entry})
	if n := len(w.sched.workers["w1"].runs); n != 1 {
		t.Errorf("%d runs of a worker whose address another entry has, want 1", n)
	}
	w.sched.workerList = nil
	ref := w.sched.workers["w2"].ref()
	w.step(ProbeAnswered{Request: model.ProbeRequest{Worker: ref}, SentAt: w.now, Response: model.ProbeResponse{BornUnix: ref.BornUnix}})
	if n := len(w.sched.workers["w1"].runs); n != 0 {
		t.Errorf("%d runs of a worker whose address a later one has, want none", n)
	}
	checkAddresses(t, w.sched)
}

// checkAddresses fails the test unless each worker is indexed by its address alone.
func checkAddresses(t *testing.T, s *Scheduler) {
	indexed := 0
	for at, workers := range s.byAddress {
		indexed += len(workers)
		for _, o := range workers {
			if o.incarnation.Address != at || s.workers[o.entry.ID] != o {
				t.Errorf("worker %s at %q is indexed at %q", o.entry.ID, o.incarnation.Address, at)
			}
		}
	}
	if indexed != len(s.workers) {
		t.Errorf("%d of %d workers are indexed by their addresses", indexed, len(s.workers))
	}
}
