package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// A worker's time of day has gone back before its next life, which is born earlier than
// the one before by its own word. It gets work again: looks find the earlier life gone.
func TestLifeBornBeforeTheEarlierOne(t *testing.T) {
	w := newWorld(t, 1)
	fw := w.addWorker("w1", 1)
	fw.entry.BornUnix = 1000
	w.lead()
	w.run(100 * time.Millisecond)
	fw.endLife(w)
	fw.entry.BornUnix = 900
	w.tell(WorkerListed{Entry: fw.entry})
	w.run(time.Second)
	w.tell(WorkerListed{Entry: fw.entry}) // the worker's next report
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(2 * time.Second)
	w.mustComplete("a")
}

// A task ends as done in the old life of a worker, and the end is not taken note of; a
// new leader finds the worker in its next life. The run is over with its life, and the
// task runs again at once: nothing of the old life can begin any more.
func TestInheritedRunOfAnEarlierLife(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	fw := w.addWorker("w1", 1)
	w.lead()
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.run(200 * time.Millisecond)
	w.stopLeading()
	crash(w, fw)
	w.lead()
	w.run(100 * time.Millisecond)
	if n := len(fw.runs); n != 1 {
		t.Errorf("%d runs in the next life, want 1", n)
	}
}
