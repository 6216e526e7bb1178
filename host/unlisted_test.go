package host

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a run that goes on after its job was cancelled: its worker has no entry in the
// host list any more when another host takes over.
func TestCancelledTaskIsStoppedOnUnlistedWorker(t *testing.T) {
	f := newTestRegion(t, 0, 1, time.Hour)
	worker := f.workers[0]
	running := countRuns(worker)
	f.add("h0")
	f.add("h1")
	f.waitUntil("a host leads", func() bool { return f.leader() != nil })
	leader := f.leader()
	other := f.lastOther(leader)
	f.waitUntil("the job is accepted", func() bool {
		status, _ := f.call(other, http.MethodPost, jobPath(1), "k1", twoTasks)
		return status == http.StatusOK
	})
	f.waitUntil("its tasks run", func() bool { return running.Load() == 2 })
	worker.Unlist()
	leader.stop()
	<-leader.done
	f.waitUntil("the other host leads", func() bool { return f.leader() == other })
	f.waitUntil("the job is cancelled", func() bool {
		status, _ := f.call(other, http.MethodDelete, jobPath(1), "k1", "")
		return status == http.StatusOK
	})
	f.waitUntil("its tasks are stopped", func() bool { return running.Load() == 0 })
}
