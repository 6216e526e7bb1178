package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// lateEntry runs a task of a minute in the second life of w1 and returns what w1 wrote
// into the host list in its first life.
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

// A caller's task runs twice at once. Its worker was born again, and a write of its
// first life into the host list is carried out only after that of the second one, in
// which the task runs. The entry looks like a new life:
//
//	worker has a new life  worker w1  runs_lost 1
//	assigned               a          workers [w2]
//
// A life that answers looks is not over, whatever the list says.
func TestEntryOfAnEarlierLifeComesLate(t *testing.T) {
	w := newWorld(t, 1)
	earlier := lateEntry(w)
	w.deliver(WorkerListed{Entry: earlier})
	w.run(2 * time.Second)
	if n := len(w.workers["w2"].runs); n != 0 {
		t.Errorf("%d runs on w2 while the task runs on w1", n)
	}
}

// The same with a leader that comes after that write: it finds the first life in the
// host list, and a run that its predecessor assigned to the second one. That run is
// alive until a look or the end of its lease says otherwise.
func TestNewLeaderFindsAnEarlierLifeListed(t *testing.T) {
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

// A worker's time of day has gone back before its next life, which is born earlier than
// the one before by its own word. It gets work again: looks find the earlier life gone.
func TestLifeBornBeforeTheEarlierOne(t *testing.T) {
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

// A task ends as done in the old life of a worker, and the end is not taken note of; a
// new leader finds the worker in its next life. The run is over with its life, and the
// task runs again at once: its start was answered, so that none can come any more.
func TestInheritedRunOfAnEarlierLife(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", 1)
	w.startLeader()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.stopLeader()
	crash(w, fw)
	w.startLeader()
	w.run(100 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Errorf("%d runs in the next life, want 1", n)
	}
}
