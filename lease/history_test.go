package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/faultmatrix/agenda"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/standin"
)

// testDrift is the most by which one clock of a history runs faster than another.
const testDrift = 0.05

// node is one host of a history, with its own clock rate.
type node struct {
	arb            Arbiter
	holder         ident.Holder
	rate           float64
	paused         time.Duration // until this time
	dead           bool
	answersQuiesce bool
}

func (n *node) local(now time.Duration) time.Duration { return time.Duration(float64(now) * n.rate) }

// history simulates several hosts, and their workers or log, over an unreliable
// network. The faults are drawn by rapid, so a failing history is shrunk.
type history struct {
	agenda.Agenda
	t          *rapid.T
	faultsOver bool
	nodes      []*node
	keys       []Key
	send       func(h *history, n *node, cmd Command)
	check      func(h *history)
}

// runChecked runs all actions until end and calls check after each.
func (h *history) runChecked(end time.Duration) { h.RunUntil(end, func() { h.check(h) }) }

// deliver delivers a message after a drawn delay, or not at all, or twice.
func (h *history) deliver(label string, do func()) {
	if h.faultsOver {
		h.After(2*time.Millisecond, do)
		return
	}
	const late = 8000 // ms, longer than the TTL
	for range rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(h.t, label+" copies") {
		delay := rapid.SampledFrom([]int{1, 1, 1, 1, 200, 2500, late}).Draw(h.t, label+" ms")
		h.After(time.Duration(delay)*time.Millisecond, do)
	}
}

// step delivers an event to a node. A dead node drops it, a paused node gets it
// when it resumes.
func (h *history) step(n *node, ev Event) {
	if n.dead {
		return
	}
	if h.Now() < n.paused {
		h.After(min(n.paused-h.Now(), time.Second), func() { h.step(n, ev) })
		return
	}
	for _, cmd := range n.arb.Step(n.local(h.Now()), ev) {
		if q, ok := cmd.(Quiesce); ok && n.answersQuiesce {
			h.After(time.Millisecond, func() { h.step(n, Idle{Key: q.Key}) })
		}
		h.send(h, n, cmd)
	}
}

func (h *history) tick(n *node) {
	const every = 100 * time.Millisecond
	if h.Now() >= n.paused {
		h.step(n, Tick{})
	}
	h.After(every, func() { h.tick(n) })
}

// injectFault draws a fault or a change of the wanted leases, and schedules the
// next.
func (h *history) injectFault() {
	if h.faultsOver {
		return
	}
	n := h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "node")]
	if h.Now() < n.paused {
		h.After(time.Second, h.injectFault)
		return
	}
	switch rapid.SampledFrom([]string{"want", "unwant", "pause", "presume", "nothing"}).Draw(h.t, "fault") {
	case "want":
		h.step(n, Want{Key: rapid.SampledFrom(h.keys).Draw(h.t, "key"), Wanted: true})
	case "unwant":
		h.step(n, Want{Key: rapid.SampledFrom(h.keys).Draw(h.t, "key"), Wanted: false})
	case "presume":
		h.step(n, PresumedDead{Holder: h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "gone")].holder, Dead: rapid.Bool().Draw(h.t, "presumed")})
	case "pause":
		n.paused = h.Now() + time.Duration(rapid.SampledFrom([]int{500, 3000, 9000}).Draw(h.t, "pause ms"))*time.Millisecond
	}
	h.After(time.Duration(rapid.IntRange(100, 2000).Draw(h.t, "calm ms"))*time.Millisecond, h.injectFault)
}

// checkSingleStarter fails if two hosts may start tasks on one worker.
func (h *history) checkSingleStarter() {
	for _, key := range h.keys {
		var starters []ident.Holder
		for _, n := range h.nodes {
			if _, ok := n.arb.Epoch(key, n.local(h.Now())); ok && !n.dead {
				starters = append(starters, n.holder)
			}
		}
		if len(starters) > 1 {
			h.t.Fatalf("at %v: %v may all start tasks on %v", h.Now(), starters, key)
		}
	}
}

// workerHistory returns a history of hosts with Manager as their arbiter.
func workerHistory(t *rapid.T) *history {
	h := &history{t: t}
	workers := map[ident.WorkerID]*standin.WorkerState{}
	audit := standin.NewAudit()
	for i := range 2 {
		id := ident.WorkerID(fmt.Sprintf("w%d", i))
		w := standin.NewWorkerState(standin.WorkerConfig{Worker: id, Size: resource.Vector{Slots: 8}}, audit)
		w.SetFaults(0, standin.WorkerFaults{Drift: drawRate(t) - 1})
		workers[id] = w
		h.keys = append(h.keys, Key{Worker: id, Class: ports.ClassSlots})
	}
	for i := range 3 {
		holder := ident.Holder{Host: ident.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1}
		arb := New(Options{Self: holder, Seed: uint64(i), TTL: testTTL, TaskTTL: 5 * testTTL, Drift: testDrift})
		h.nodes = append(h.nodes, &node{arb: arb, holder: holder, rate: drawRate(t), answersQuiesce: i != 0})
	}
	h.send = func(h *history, n *node, cmd Command) { sendToWorker(h, workers, n, cmd) }
	h.check = func(h *history) {
		h.checkSingleStarter()
		h.checkWorkersAgree(workers)
	}
	return h
}

func drawRate(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{1, 1 - testDrift/2.1, 1 + testDrift/2.1}).Draw(t, "clock rate")
}

func sendToWorker(h *history, workers map[ident.WorkerID]*standin.WorkerState, n *node, cmd Command) {
	switch cmd := cmd.(type) {
	case Acquire:
		h.deliver("acquire", func() { h.answerLease(workers[cmd.Worker], n, cmd.Key, cmd.SentAt, cmd.Request) })
	case Renew:
		h.deliver("renew", func() { h.answerLease(workers[cmd.Worker], n, cmd.Key, cmd.SentAt, cmd.Request) })
	case Release:
		h.deliver("release", func() {
			err := workers[cmd.Worker].Release(h.Now(), cmd.Class, cmd.Epoch)
			h.deliver("released", func() { h.step(n, ReleaseDone{Key: cmd.Key, Epoch: cmd.Epoch, Done: err == nil}) })
		})
	}
}

// answerLease passes a lease request to a worker and sends its answer back.
func (h *history) answerLease(w *standin.WorkerState, n *node, key Key, sentAt time.Duration, req ports.LeaseRequest) {
	grant, err := w.Lease(h.Now(), req)
	var answer Event = Granted{Key: key, SentAt: sentAt, Grant: grant}
	var refusal *ports.RefusedError
	if errors.As(err, &refusal) {
		answer = Refused{Key: key, SentAt: sentAt, Epoch: req.Epoch, Refusal: refusal.Refusal, Left: refusal.Left}
	}
	h.deliver("answer", func() { h.step(n, answer) })
}

// checkWorkersAgree fails if a host may start tasks on a worker whose lease it
// does not hold.
func (h *history) checkWorkersAgree(workers map[ident.WorkerID]*standin.WorkerState) {
	for _, key := range h.keys {
		holder, _, alive := workers[key.Worker].LeaseOf(h.Now(), key.Class)
		for _, n := range h.nodes {
			if _, ok := n.arb.Epoch(key, n.local(h.Now())); ok && (!alive || holder != n.holder) {
				h.t.Fatalf("at %v: %v may start tasks on %v, but the worker's holder is %v (alive %v)", h.Now(), n.holder, key, holder, alive)
			}
		}
	}
}

// run runs a history: 30 s with faults, then a phase without further faults, in
// which one host dies and another must hold its leases within takeover.
func (h *history) run(takeover time.Duration) {
	for _, n := range h.nodes {
		for _, key := range h.keys {
			h.step(n, Want{Key: key, Wanted: true})
		}
		h.tick(n)
	}
	h.injectFault()
	h.runChecked(30 * time.Second)
	h.faultsOver = true
	for i, n := range h.nodes {
		n.paused = 0
		for _, key := range h.keys {
			h.step(n, Want{Key: key, Wanted: i != 0})
		}
	}
	h.nodes[0].dead = true
	h.reportDeadHosts()
	h.runChecked(h.Now() + takeover)
	for _, key := range h.keys {
		if !h.held(key) {
			h.t.Fatalf("no host holds %v %v after the faults ended", key, takeover)
		}
	}
}

// reportDeadHosts reports to every living host, once a second, which hosts are
// dead.
func (h *history) reportDeadHosts() {
	for _, n := range h.nodes {
		for _, other := range h.nodes {
			h.step(n, PresumedDead{Holder: other.holder, Dead: other.dead})
		}
	}
	h.After(time.Second, h.reportDeadHosts)
}

func (h *history) held(key Key) bool {
	for _, n := range h.nodes {
		if _, ok := n.arb.Epoch(key, n.local(h.Now())); ok && !n.dead {
			return true
		}
	}
	return false
}

// Guards against duplicate runs and stalls while messages are delayed, lost and
// duplicated, clocks drift, and hosts pause and change which leases they want.
// Callers would see a duplicate run if two hosts held one worker at once, and a
// stall if no host held it for longer than TTL plus the longest message delay
// and a retry.
func TestWorkerArbiterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const latestMessage = 8 * time.Second
		workerHistory(t).run(testTTL + latestMessage + testTTL/renewalsPerTTL + time.Second)
	})
}
