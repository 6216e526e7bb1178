package standin

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// task is one running task. Times are on the worker's own clock.
type task struct {
	key       string // identifier, with a suffix for a repeated idempotent call
	id        string
	class     ports.LeaseClass
	team      ident.TeamID
	need      resource.Vector
	holder    ident.Holder
	epoch     ports.Epoch
	once      bool // non-idempotent
	call      bool
	began     time.Duration
	total     time.Duration // work at full speed; zero runs until stopped
	done      time.Duration // work done up to since
	since     time.Duration
	throttled bool
	rate      float64       // current speed
	limit     time.Duration // zero for none
	cancel    func()        // wakes whoever serves a call; nil for none
}

// stop wakes whoever serves the task.
func (t *task) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}

// progressAt returns the work done at a time.
func (t *task) progressAt(local time.Duration) time.Duration {
	return t.done + time.Duration(float64(local-t.since)*t.rate)
}

// setRate changes the speed from a time on.
func (t *task) setRate(local time.Duration, rate float64) {
	t.done = t.progressAt(local)
	t.since = local
	t.rate = rate
}

// endsAt returns when the task ends by itself or by its limit, and whether
// that is by its limit. It reports ok false if neither will happen.
func (t *task) endsAt() (at time.Duration, limited, ok bool) {
	if t.total > 0 && !t.call {
		at = t.since + time.Duration(float64(t.total-t.done)/t.rate)
		ok = true
	}
	if t.limit > 0 && (!ok || t.began+t.limit < at) {
		return t.began + t.limit, true, true
	}
	return at, false, ok
}

// fraction is the share of the work that is done, between 0 and 1.
func (t *task) fraction(local time.Duration) float64 {
	if t.total <= 0 {
		return 0
	}
	return min(1, float64(t.progressAt(local))/float64(t.total))
}

// Start starts a task under the control lease that the request names. It
// returns a *ports.RefusedError if nothing was started, or a *NoAnswerError.
func (w *WorkerState) Start(now time.Duration, req ports.StartRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	const op = "start"
	if err := w.awake(op); err != nil {
		return err
	}
	local := w.advance(now)
	lease, ok := w.leases[req.Class]
	if !ok || req.ID == "" || req.Need.Negative() || crossesClass(req.Class, req.Need) || req.Run < 0 || req.Limit < 0 {
		return refused(op, ports.RefusedMalformed)
	}
	if err := lease.check(op, local, req.Epoch, req.Holder); err != nil {
		return err
	}
	t := &task{
		key: req.ID, id: req.ID, class: req.Class, team: req.Team, need: req.Need,
		holder: req.Holder, epoch: req.Epoch, total: req.Run, limit: req.Limit, once: true,
	}
	return w.begin(op, now, local, t)
}

// crossesClass reports whether a need asks for what the class does not govern.
func crossesClass(class ports.LeaseClass, need resource.Vector) bool {
	if class == ports.ClassSlots {
		return need.MilliCPU != 0 || need.MemoryMiB != 0 || need.Accelerators != 0
	}
	return need.Slots != 0 || need.Connections != 0
}

// begin runs a task if its identifier is new and its need fits.
func (w *WorkerState) begin(op string, now, local time.Duration, t *task) error {
	if w.seen.has(t.id) && t.once {
		w.audit.refusedDuplicate()
		return refused(op, ports.RefusedDuplicate)
	}
	if w.faults.Leaving {
		return refused(op, ports.RefusedLeaving)
	}
	if !t.need.Fits(w.cfg.Size.Sub(w.used)) {
		w.audit.refusedCapacity()
		return refused(op, ports.RefusedCapacity)
	}
	w.seen.add(t.id)
	t.began, t.since = local, local
	t.rate = w.faults.rate()
	w.tasks[t.key] = t
	w.used = w.used.Add(t.need)
	w.audit.start(now, w.cfg.Worker, t)
	if w.faults.FailAll && !t.call {
		w.finish(now, local, t, EndFailed)
	}
	return nil
}

// Control applies a control to a running task. It returns a
// *ports.RefusedError or a *NoAnswerError.
func (w *WorkerState) Control(now time.Duration, req ports.ControlRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	const op = "control"
	if err := w.awake(op); err != nil {
		return err
	}
	local := w.advance(now)
	lease, ok := w.leases[req.Class]
	if !ok {
		return refused(op, ports.RefusedMalformed)
	}
	if err := lease.check(op, local, req.Epoch, lease.holder); err != nil {
		return err
	}
	t, ok := w.tasks[req.ID]
	if !ok || t.class != req.Class {
		return nil
	}
	return w.apply(op, now, local, t, req.Control)
}

// apply carries out a control.
func (w *WorkerState) apply(op string, now, local time.Duration, t *task, c ports.Control) error {
	switch c {
	case ports.ControlStop:
		w.finish(now, local, t, EndStopped)
	case ports.ControlCheckpoint:
		w.finish(now, local, t, EndCheckpointed)
	case ports.ControlThrottle, ports.ControlUnthrottle:
		t.throttled = c == ports.ControlThrottle
		t.setRate(local, w.rateOf(t))
	default:
		return refused(op, ports.RefusedMalformed)
	}
	return nil
}

// rateOf returns the speed of a task under its throttle and the worker's faults.
func (w *WorkerState) rateOf(t *task) float64 {
	if t.throttled {
		return throttleRate * w.faults.rate()
	}
	return w.faults.rate()
}

// respeed applies a changed worker speed to every task.
func (w *WorkerState) respeed(local time.Duration) {
	for _, t := range w.tasks {
		t.setRate(local, w.rateOf(t))
	}
}

// finish ends a task and keeps its report until it is acknowledged.
func (w *WorkerState) finish(now, local time.Duration, t *task, end End) {
	report := w.report(local, t)
	report.Ended = true
	report.Failed = end == EndFailed
	report.Stopped = end.stopped()
	if end != EndDone {
		report.Reason = string(end)
	}
	delete(w.tasks, t.key)
	w.used = w.used.Sub(t.need)
	w.audit.end(now, w.cfg.Worker, t, end)
	t.stop()
	if !t.call {
		w.keepEnded(t.class, report)
	}
}

// keepEnded stores the report of an ended task, dropping the oldest beyond the
// bound.
func (w *WorkerState) keepEnded(class ports.LeaseClass, report ports.TaskReport) {
	if len(w.ended) >= DefaultMaxEnded {
		w.ended = slices.Delete(w.ended, 0, 1)
	}
	w.ended = append(w.ended, endedTask{class: class, report: report})
}

// forgetEnded drops the acknowledged reports.
func (w *WorkerState) forgetEnded(class ports.LeaseClass, acked []string) {
	if len(acked) == 0 {
		return
	}
	known := make(map[string]bool, len(acked))
	for _, id := range acked {
		known[id] = true
	}
	w.ended = slices.DeleteFunc(w.ended, func(e endedTask) bool {
		return e.class == class && known[e.report.ID]
	})
}

// endedTask is an ended task that its holder has not acknowledged.
type endedTask struct {
	class  ports.LeaseClass
	report ports.TaskReport
}

// reports lists the running tasks of a class by key, then the ended ones.
func (w *WorkerState) reports(local time.Duration, class ports.LeaseClass) []ports.TaskReport {
	var out []ports.TaskReport
	for _, key := range w.keys() {
		if t := w.tasks[key]; t.class == class {
			out = append(out, w.report(local, t))
		}
	}
	for _, e := range w.ended {
		if e.class == class {
			out = append(out, e.report)
		}
	}
	return out
}

// report describes a running task. Usage shows only once the lag has passed.
func (w *WorkerState) report(local time.Duration, t *task) ports.TaskReport {
	r := ports.TaskReport{
		ID: t.id, Team: t.team, Need: t.need, Holder: t.holder,
		Ran: local - t.began, Progress: t.fraction(local),
	}
	if r.Ran >= w.cfg.UsageLag {
		r.Usage = percent(t.need, w.cfg.UsagePercent)
	}
	return r
}

// percent returns p hundredths of v.
func percent(v resource.Vector, p int64) resource.Vector {
	const whole = 100
	v = v.Times(p)
	return resource.Vector{
		MilliCPU: v.MilliCPU / whole, MemoryMiB: v.MemoryMiB / whole, Accelerators: v.Accelerators / whole,
		Slots: v.Slots / whole, Connections: v.Connections / whole,
	}
}

// keys returns the keys of the running tasks in order.
func (w *WorkerState) keys() []string {
	keys := make([]string, 0, len(w.tasks))
	for key := range w.tasks {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
