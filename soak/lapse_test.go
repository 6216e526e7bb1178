package soak

import (
	"net/http"
	"sync"
	"testing"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

const (
	expiryJob  = "00000000000000aa"
	expiryTask = expiryJob + ".0.0.0"
)

// expiryObserver partitions the first worker that starts the task, at the moment of the start,
// and records what becomes of that run.
type expiryObserver struct {
	fleet *fleet

	mu       sync.Mutex
	isolated *worker // nil before the first start
	starts   int
	acked    bool // the completion of the first run was acknowledged
}

// observe handles a worker event; the worker is locked meanwhile.
func (l *expiryObserver) observe(e fakeplatform.WorkerEvent) {
	l.fleet.audit.observe(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case e.Task != expiryTask:
	case e.What == fakeplatform.RunStarted:
		l.starts++
		if l.isolated == nil {
			l.isolated = l.fleet.workerByID(e.Worker)
			l.isolated.proxy.setMode(holdAll)
		}
	case e.What == fakeplatform.EndAcked && e.Worker == l.isolated.ID && e.Run == 1:
		l.acked = true
	}
}

func (l *expiryObserver) startedAgain() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts >= 2
}

func (l *expiryObserver) firstCompletionAcked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked
}

// Guards against a false violation (TestSoak, seed 101): tasks "started again after the
// completion of" a run "which was acknowledged later". The test forces the sequence: a worker
// starts a task, is unreachable from that moment on, and completes the task with nothing else
// running. Its lease expires, and the leader has the task run elsewhere. When the worker is
// reachable again, the leader reads the first completion and acknowledges it.
//
// A completion is binding unless the lease expired before the acknowledgement. The fake worker
// reported such an expiry only if something was still running under the lease, and the audit
// took the second run for a violation: with that fake worker this test fails in each run.
func TestLeaseExpiryReleasesUnackedCompletion(t *testing.T) {
	f := newFleet(t, buildProgram(t))
	observer := &expiryObserver{fleet: f}
	for _, w := range f.workers {
		w.Observer = observer.observe
	}
	steps := []stepSpec{{tasks: 1}}
	f.audit.recordJob(expiryJob, "spec", steps)
	c := newCallers(f)
	waitFor(t, recoveryTimeout, func() bool {
		status, _ := c.call(0, http.MethodPost, expiryJob, jobBody("spec", steps))
		return status == http.StatusOK
	}, "the job is accepted")
	waitFor(t, recoveryTimeout, observer.startedAgain, "the task is started again")
	if t.Failed() {
		return
	}
	observer.isolated.proxy.setMode(forwardAll)
	waitFor(t, recoveryTimeout, observer.firstCompletionAcked, "the completion of the first run is acknowledged")
	waitFor(t, recoveryTimeout, func() bool { return c.completed(expiryJob) }, "the job is completed")
	for _, b := range f.audit.violations() {
		t.Error(b)
	}
}
