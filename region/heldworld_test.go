package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// holds are the times after sending at which a start that is held up is executed. The
// platform executes late calls after up to 12 s.
var holds = []time.Duration{3 * time.Second, 7900 * time.Millisecond, 9 * time.Second, 11900 * time.Millisecond}

const (
	// rebirthLead is how long before the late start its worker's next incarnation begins.
	rebirthLead = 50 * time.Millisecond
	// listingDelay is how long after that the host list shows the next incarnation.
	listingDelay = 200 * time.Millisecond
	// dropped delays a call beyond the end of a test.
	dropped = time.Hour
)

// heldWorld is a world in which the first start calls can be held up. It checks in addition
// that no task starts after its job was published as completed or failed, or after the
// start of a task that depends on it.
type heldWorld struct {
	*world
	delays    []time.Duration      // delays of the start calls in the order of sending; none for later ones
	onSent    func(n int)          // called when start call n is sent; may be nil
	probeHeld func() time.Duration // delay of the probe being sent; may be nil
	stopHeld  func() time.Duration // delay of the stop being sent; may be nil
	listAfter time.Duration        // how long after a restart the host list shows it
	calls     int                  // start calls sent
	firstSent time.Duration        // when the first of them was sent
	seen      map[model.TaskID]int
	ended     map[string]State // jobs published as completed or failed
	trace     []string
	explained int
	logged    int
	lastEnds  map[string]string
	lastState map[string]State
}

func newHeldWorld(t *testing.T, cores int64, delays ...time.Duration) (*heldWorld, *fakeWorker) {
	h := &heldWorld{
		world: newWorld(t, 1), delays: delays, seen: make(map[model.TaskID]int), ended: make(map[string]State),
		lastEnds: make(map[string]string), lastState: make(map[string]State),
		listAfter: listingDelay,
	}
	h.strict = newStrictLateCalls()
	h.runTime = func(model.TaskID) time.Duration { return time.Second }
	h.callDelay = h.delay
	fw := h.addWorker("w1", cores)
	t.Cleanup(func() {
		for _, line := range h.trace {
			t.Log(line)
		}
	})
	h.startLeader()
	h.advance(100 * time.Millisecond)
	return h, fw
}

func (h *heldWorld) delay(call string) time.Duration {
	switch {
	case call == "hold" && h.probeHeld != nil:
		return h.probeHeld()
	case call == "stop" && h.stopHeld != nil:
		return h.stopHeld()
	case call != "start":
		return 0
	}
	h.calls++
	if h.calls == 1 {
		h.firstSent = h.now
	}
	if h.onSent != nil {
		h.onSent(h.calls)
	}
	var d time.Duration
	if h.calls <= len(h.delays) {
		d = h.delays[h.calls-1]
	}
	h.note("start call %d sent, held up for %v", h.calls, d)
	return d
}

func (h *heldWorld) note(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf("%6d ", (h.now-time.Hour).Milliseconds())+fmt.Sprintf(format, args...))
}

// advance runs the world and checks it each millisecond.
func (h *heldWorld) advance(d time.Duration) {
	h.t.Helper()
	for until := h.now + d; h.now < until; {
		h.run(min(time.Millisecond, until-h.now))
		h.observe()
	}
}

// until runs the world until a time after the first start call was sent.
func (h *heldWorld) until(after time.Duration) {
	h.t.Helper()
	h.advance(h.firstSent + after - h.now)
}

// untilTrue runs the world until a condition holds.
func (h *heldWorld) untilTrue(what string, is func() bool) {
	h.t.Helper()
	for range 20_000 {
		if is() {
			return
		}
		h.advance(time.Millisecond)
	}
	h.fatal("no time at which %s", what)
}

func (h *heldWorld) observe() {
	h.t.Helper()
	for ; h.explained < len(h.explanations); h.explained++ {
		h.trace = append(h.trace, "       leader: "+h.explanations[h.explained])
	}
	for ; h.logged < len(h.entries); h.logged++ {
		if e := h.entries[h.logged]; e.GetAssigned() != nil || e.GetEnded() != nil || e.GetSettled() != nil {
			h.note("log: %v", e)
		}
	}
	for id, n := range h.starts {
		if n > h.seen[id] {
			h.seen[id] = n
			h.note("start executed: %v, execution %d", id, n)
			h.checkStart(id)
		}
	}
	for name, fw := range h.workers {
		if ends := fmt.Sprint(fw.ends); ends != h.lastEnds[name] {
			h.lastEnds[name] = ends
			h.note("%s has the ends %s", name, ends)
		}
	}
	for id, s := range h.states {
		if s != h.lastState[id] {
			h.lastState[id] = s
			h.note("job %s published as %v", id, stateName(s))
		}
		if s == StateCompleted || s == StateFailed {
			h.ended[id] = s
		}
	}
}

func stateName(s State) string {
	return [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}[s]
}

func (h *heldWorld) checkStart(id model.TaskID) {
	h.t.Helper()
	j := h.job(id.Job)
	if j.Steps[id.Step].Speculative {
		return
	}
	if s, over := h.ended[id.Job]; over {
		h.t.Errorf("%v started after its job was published as %s", id, stateName(s))
	}
	for other, n := range h.starts {
		if other.Job != id.Job || other.Occurrence != id.Occurrence || n == 0 {
			continue
		}
		for _, d := range j.Steps[other.Step].DependsOn {
			if d == id.Step {
				h.t.Errorf("%v started after %v, which depends on it", id, other)
			}
		}
	}
}

// restart begins the next incarnation of a worker, with a new clock. The host list shows it
// after listAfter.
func (h *heldWorld) restart(fw *fakeWorker) {
	earlier := fw.entry
	fw.clearState(h.world)
	fw.listed = &earlier
	fw.unreachable = false
	fw.bornAt = h.now
	fw.entry.BornUnix = h.now.Milliseconds()
	h.note("%s crashes and its next incarnation begins", fw.entry.ID)
	entry := fw.entry
	h.after(h.listAfter, func() { h.note("%s is listed", fw.entry.ID); h.list(fw, entry) })
}

// restartBefore restarts a worker shortly before the start that was held up for d is executed.
func (h *heldWorld) restartBefore(fw *fakeWorker, d time.Duration) {
	h.t.Helper()
	h.until(d - rebirthLead)
	h.restart(fw)
	h.until(d + rebirthLead)
}

func (h *heldWorld) changeLeader() {
	h.note("the leader stops")
	h.stopLeader()
	h.advance(20 * time.Millisecond)
	h.note("another host leads")
	h.startLeader()
}

// finish runs the world until the job must be completed.
func (h *heldWorld) finish(id string) {
	h.t.Helper()
	h.advance(45 * time.Second)
	h.mustComplete(id)
}

// submitHeld submits a job and runs the world until its first start is sent.
func (h *heldWorld) submitHeld(j *record.Job) {
	h.t.Helper()
	h.submit(j)
	h.untilTrue("a start is sent", func() bool { return h.calls > 0 })
}

// cutOffAfterFirstStart makes the worker unreachable right after the first start is sent.
func (h *heldWorld) cutOffAfterFirstStart(fw *fakeWorker) {
	h.onSent = func(n int) {
		if n == 1 {
			h.after(2*testDelay, func() { h.note("%s is cut off", fw.entry.ID); fw.unreachable = true })
		}
	}
}

// requestOf returns the start request of a task's present run.
func (h *heldWorld) requestOf(id model.TaskID) model.StartRequest {
	r := h.sched.findTask(id).run
	return model.StartRequest{RunID: r.id(), Worker: r.target(), UntilMs: r.leaseUntil, Fence: h.sched.fenceOf(r.worker)}
}

// answerWith answers the start that is being sent with an outcome, in place of the world's
// answer for a call that is dropped.
func (h *heldWorld) answerWith(id model.TaskID, err CallError) {
	request, generation := h.requestOf(id), h.generation
	h.answer(generation, 2*testDelay, func() Event {
		h.note("the start is answered with outcome %d", err)
		return StartAnswered{Request: request, Err: err}
	})
	// The answer after the timeout comes between these two.
	h.after(callTimeout, func() { h.generation++ })
	h.after(callTimeout+1, func() { h.generation-- })
}

// workerOf returns the worker of a task's present run.
func (h *heldWorld) workerOf(id model.TaskID) *fakeWorker {
	return h.workers[h.sched.findTask(id).run.ref.ID]
}

// deferrable returns a job of one task whose leases are long.
func deferrable(id string, s *record.Step) *record.Job {
	s.EstimateMs = 10_000
	if s.Count == 0 {
		s.Count = 1
	}
	return oneStep(id, s)
}

// eachHold runs a test for each time of holds.
func eachHold(t *testing.T, test func(t *testing.T, hold time.Duration)) {
	for _, d := range holds {
		t.Run(d.String(), func(t *testing.T) { test(t, d) })
	}
}
