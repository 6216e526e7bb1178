package standin

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Tick ends the tasks whose time has come. A paused or dead worker does
// nothing until it is back.
func (w *WorkerState) Tick(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.awake("tick") == nil {
		w.advance(now)
	}
}

// advance ends due tasks in the order of their times and returns the worker's
// own time.
func (w *WorkerState) advance(now time.Duration) time.Duration {
	local := w.clock.local(now)
	if at, ok := w.wake(); !ok || local < at {
		return local
	}
	for _, d := range w.due(local) {
		if d.end != EndExpired {
			// The task ended at its time, also if nobody looked until later.
			w.finish(w.clock.driving(d.at), d.at, d.task, d.end)
			continue
		}
		w.finish(now, local, d.task, d.end)
	}
	return local
}

// dueTask is a task that has to end.
type dueTask struct {
	task *task
	at   time.Duration
	end  End
}

// due lists the tasks that have to end at or before local, by time, then key.
func (w *WorkerState) due(local time.Duration) []dueTask {
	var out []dueTask
	for _, key := range w.keys() {
		t := w.tasks[key]
		if d, ok := w.dueOf(t); ok && d.at <= local {
			out = append(out, d)
		}
	}
	slices.SortStableFunc(out, func(a, b dueTask) int { return int(a.at - b.at) })
	return out
}

// dueOf says when and how a task ends if nobody acts.
func (w *WorkerState) dueOf(t *task) (dueTask, bool) {
	d := dueTask{task: t, at: w.leases[t.class].outlives, end: EndExpired}
	at, limited, ok := t.endsAt()
	if !ok || d.at <= at {
		return d, true
	}
	d.at, d.end = at, EndDone
	if limited {
		d.end = EndLimit
	}
	return d, true
}

// wake returns the earliest own time at which a task has to end.
func (w *WorkerState) wake() (time.Duration, bool) {
	var first time.Duration
	found := false
	for _, t := range w.tasks {
		d, ok := w.dueOf(t)
		if ok && (!found || d.at < first) {
			first, found = d.at, true
		}
	}
	return first, found
}

// Next returns the driving time of the next Tick that does something.
func (w *WorkerState) Next() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.wake()
	if !ok || w.faults.Killed || w.faults.Paused {
		return 0, false
	}
	return w.clock.driving(at), true
}

// Used returns what running tasks have reserved.
func (w *WorkerState) Used() resource.Vector {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used
}

// Tasks lists the running and unacknowledged tasks of a class, as a grant does.
func (w *WorkerState) Tasks(now time.Duration, class ports.LeaseClass) []ports.TaskReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports(w.clock.local(now), class)
}
