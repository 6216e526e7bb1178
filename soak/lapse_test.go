package soak

import (
	"net/http"
	"sync"
	"testing"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

const (
	lapseJob  = "00000000000000aa"
	lapseTask = lapseJob + ".0.0.0"
)

// lapseWatch cuts off the worker that begins the task first, in that very moment, and
// remembers what becomes of it.
type lapseWatch struct {
	fleet *fleet

	mu     sync.Mutex
	cut    *worker // nil before the first start
	starts int
	noted  bool // the end of the first run was taken note of
}

// see takes in what a worker saw; the worker is locked meanwhile.
func (l *lapseWatch) see(e fakeplatform.WorkerEvent) {
	l.fleet.audit.see(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case e.Task != lapseTask:
	case e.What == fakeplatform.RunStarted:
		l.starts++
		if l.cut == nil {
			l.cut = l.fleet.workerOf(e.Worker)
			l.cut.way.set(silent)
		}
	case e.What == fakeplatform.EndAcked && e.Worker == l.cut.ID && e.Run == 1:
		l.noted = true
	}
}

func (l *lapseWatch) runsElsewhere() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts >= 2
}

func (l *lapseWatch) firstEndNoted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.noted
}

// The soak was red once (seed 101): tasks "started again after an end as done that was
// then taken note of". What it saw is allowed, and this forces it: a worker begins a
// task, is out of reach from that moment on, and the task is done there with nothing
// beside it. Its lease ends, so that the leader has the task run elsewhere. When the
// worker is back, the leader reads the first end and takes note of it.
//
// An end binds unless the lease lapsed before it was taken note of. The stand-in of a
// worker told of such a lapse only if something still ran under it, and the audit took
// the second run for a breach: with that stand-in this is red in each play.
func TestEndThatALapseFreed(t *testing.T) {
	f := newFleet(t, build(t))
	watch := &lapseWatch{fleet: f}
	for _, w := range f.workers {
		w.Observer = watch.see
	}
	steps := []stepSent{{tasks: 1}}
	f.audit.sent(lapseJob, "spec", steps)
	c := newCallers(f)
	until(t, settle, func() bool {
		status, _ := c.call(0, http.MethodPost, lapseJob, jobBody("spec", steps))
		return status == http.StatusOK
	}, "the job is accepted")
	until(t, settle, watch.runsElsewhere, "the task runs elsewhere")
	if t.Failed() {
		return
	}
	watch.cut.way.set(passing)
	until(t, settle, watch.firstEndNoted, "the end of the first run is taken note of")
	until(t, settle, func() bool { return c.completed(lapseJob) }, "the job is completed")
	for _, b := range f.audit.breaches() {
		t.Error(b)
	}
}
