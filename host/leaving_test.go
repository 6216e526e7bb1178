package host

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

const twoLongRunningTasks = `{"spec":"s","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":3600000,"longRunning":true}]}`

// Guards against work that is lost with a worker that leaves: its tasks must run elsewhere before it does.
func TestTasksAreEvictedFromLeavingWorker(t *testing.T) {
	f := newTestRegion(t, 0, 1, time.Hour)
	leaving := f.workers[0]
	onLeaving := countRuns(leaving)
	f.add("h0")
	f.waitUntil("a host leads", func() bool { return f.leader() != nil })
	f.waitUntil("the job is accepted", func() bool {
		status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(1), "k1", twoLongRunningTasks)
		return status == http.StatusOK
	})
	f.waitUntil("its tasks run", func() bool { return onLeaving.Load() == 2 })
	other := fakeplatform.NewUnlistedWorker(f.store, "i-other", time.Hour)
	t.Cleanup(other.Close)
	onOther := countRuns(other)
	other.List(other.Address())
	leaving.Drain(2 * time.Second)
	f.waitUntil("its tasks run elsewhere", func() bool { return onOther.Load() == 2 && onLeaving.Load() == 0 })
}

// countRuns returns a counter of the runs on a worker.
func countRuns(w *fakeplatform.Worker) *atomic.Int32 {
	running := &atomic.Int32{}
	w.Observer = func(e fakeplatform.WorkerEvent) {
		switch e.What {
		case fakeplatform.RunStarted:
			running.Add(1)
		case fakeplatform.RunDone, fakeplatform.RunAborted:
			running.Add(-1)
		}
	}
	return running
}
