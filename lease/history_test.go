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

// testDrift bounds how much faster one clock of a history runs than another.
const testDrift = 0.05

// node is one host of a history, with a clock of its own.
type node struct {
	arb    Arbiter
	holder ident.Holder
	rate   float64
	paused time.Duration // until then
	dead   bool
	idles  bool // answers Quiesce
}

func (n *node) local(now time.Duration) time.Duration { return time.Duration(float64(now) * n.rate) }

// history runs several hosts against real workers over a bad network. The
// faults are drawn by rapid, so that a failing history shrinks.
type history struct {
	agenda.Agenda
	t     *rapid.T
	calm  bool // no further faults
	nodes []*node
	keys  []Key
	carry func(h *history, n *node, cmd Command)
	check func(h *history)
}

// play carries out what happens up to the end, and checks after each action.
func (h *history) play(end time.Duration) { h.RunUntil(end, func() { h.check(h) }) }

// deliver hands a message over after a drawn delay, or not at all, or twice.
func (h *history) deliver(label string, do func()) {
	if h.calm {
		h.After(2*time.Millisecond, do)
		return
	}
	const late = 8000 // ms, longer than the TTL
	for range rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(h.t, label+" copies") {
		delay := rapid.SampledFrom([]int{1, 1, 1, 1, 200, 2500, late}).Draw(h.t, label+" ms")
		h.After(time.Duration(delay)*time.Millisecond, do)
	}
}

// tell gives a node an event, unless it is dead; a paused node gets it when it
// wakes.
func (h *history) tell(n *node, ev Event) {
	if n.dead {
		return
	}
	if h.Now() < n.paused {
		h.After(min(n.paused-h.Now(), time.Second), func() { h.tell(n, ev) })
		return
	}
	for _, cmd := range n.arb.Step(n.local(h.Now()), ev) {
		if q, ok := cmd.(Quiesce); ok && n.idles {
			h.After(time.Millisecond, func() { h.tell(n, Idle{Key: q.Key}) })
		}
		h.carry(h, n, cmd)
	}
}

func (h *history) tick(n *node) {
	const every = 100 * time.Millisecond
	if h.Now() >= n.paused {
		h.tell(n, Tick{})
	}
	h.After(every, func() { h.tick(n) })
}

// disturb draws one fault or change of mind and comes again.
func (h *history) disturb() {
	if h.calm {
		return
	}
	n := h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "node")]
	if h.Now() < n.paused {
		h.After(time.Second, h.disturb)
		return
	}
	switch rapid.SampledFrom([]string{"want", "unwant", "pause", "presume", "nothing"}).Draw(h.t, "fault") {
	case "want":
		h.tell(n, Want{Key: rapid.SampledFrom(h.keys).Draw(h.t, "key"), Wanted: true})
	case "unwant":
		h.tell(n, Want{Key: rapid.SampledFrom(h.keys).Draw(h.t, "key"), Wanted: false})
	case "presume":
		h.tell(n, Presumed{Holder: h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "gone")].holder, Gone: rapid.Bool().Draw(h.t, "presumed")})
	case "pause":
		n.paused = h.Now() + time.Duration(rapid.SampledFrom([]int{500, 3000, 9000}).Draw(h.t, "pause ms"))*time.Millisecond
	}
	h.After(time.Duration(rapid.IntRange(100, 2000).Draw(h.t, "calm ms"))*time.Millisecond, h.disturb)
}

// atMostOneStarter fails if two hosts would start on one worker.
func (h *history) atMostOneStarter() {
	for _, key := range h.keys {
		var starters []ident.Holder
		for _, n := range h.nodes {
			if _, ok := n.arb.Epoch(key, n.local(h.Now())); ok && !n.dead {
				starters = append(starters, n.holder)
			}
		}
		if len(starters) > 1 {
			h.t.Fatalf("at %v: %v may all start on %v", h.Now(), starters, key)
		}
	}
}

// workerHistory builds a history over the worker arbiter.
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
		h.nodes = append(h.nodes, &node{arb: arb, holder: holder, rate: drawRate(t), idles: i != 0})
	}
	h.carry = func(h *history, n *node, cmd Command) { carryToWorker(h, workers, n, cmd) }
	h.check = func(h *history) {
		h.atMostOneStarter()
		h.startersHoldWorkers(workers)
	}
	return h
}

func drawRate(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{1, 1 - testDrift/2.1, 1 + testDrift/2.1}).Draw(t, "clock rate")
}

func carryToWorker(h *history, workers map[ident.WorkerID]*standin.WorkerState, n *node, cmd Command) {
	switch cmd := cmd.(type) {
	case Acquire:
		h.deliver("acquire", func() { h.lease(workers[cmd.Worker], n, cmd.Key, cmd.SentAt, cmd.Request) })
	case Renew:
		h.deliver("renew", func() { h.lease(workers[cmd.Worker], n, cmd.Key, cmd.SentAt, cmd.Request) })
	case Release:
		h.deliver("release", func() {
			err := workers[cmd.Worker].Release(h.Now(), cmd.Class, cmd.Epoch)
			h.deliver("released", func() { h.tell(n, ReleaseDone{Key: cmd.Key, Epoch: cmd.Epoch, Done: err == nil}) })
		})
	}
}

// lease lets a worker decide on a request and sends its answer back.
func (h *history) lease(w *standin.WorkerState, n *node, key Key, sentAt time.Duration, req ports.LeaseRequest) {
	grant, err := w.Lease(h.Now(), req)
	var answer Event = Granted{Key: key, SentAt: sentAt, Grant: grant}
	var refusal *ports.RefusedError
	if errors.As(err, &refusal) {
		answer = Refused{Key: key, SentAt: sentAt, Epoch: req.Epoch, Refusal: refusal.Refusal, Left: refusal.Left}
	}
	h.deliver("answer", func() { h.tell(n, answer) })
}

// startersHoldWorkers fails if a host would start on a worker that does not
// count it as its holder.
func (h *history) startersHoldWorkers(workers map[ident.WorkerID]*standin.WorkerState) {
	for _, key := range h.keys {
		holder, _, alive := workers[key.Worker].LeaseOf(h.Now(), key.Class)
		for _, n := range h.nodes {
			if _, ok := n.arb.Epoch(key, n.local(h.Now())); ok && (!alive || holder != n.holder) {
				h.t.Fatalf("at %v: %v believes in %v, the worker in %v (alive %v)", h.Now(), n.holder, key, holder, alive)
			}
		}
	}
}

// run plays a history: half a minute of faults, then calm, in which one host
// dies and another must take over within the bound.
func (h *history) run(takeover time.Duration) {
	for _, n := range h.nodes {
		for _, key := range h.keys {
			h.tell(n, Want{Key: key, Wanted: true})
		}
		h.tick(n)
	}
	h.disturb()
	h.play(30 * time.Second)
	h.calm = true
	for i, n := range h.nodes {
		n.paused = 0
		for _, key := range h.keys {
			h.tell(n, Want{Key: key, Wanted: i != 0})
		}
	}
	h.nodes[0].dead = true
	h.presume()
	h.play(h.Now() + takeover)
	for _, key := range h.keys {
		if !h.held(key) {
			h.t.Fatalf("nobody holds %v %v after the faults ended", key, takeover)
		}
	}
}

// presume tells every living host, again and again, who is gone.
func (h *history) presume() {
	for _, n := range h.nodes {
		for _, other := range h.nodes {
			h.tell(n, Presumed{Holder: other.holder, Gone: other.dead})
		}
	}
	h.After(time.Second, h.presume)
}

func (h *history) held(key Key) bool {
	for _, n := range h.nodes {
		if _, ok := n.arb.Epoch(key, n.local(h.Now())); ok && !n.dead {
			return true
		}
	}
	return false
}

// Messages are late, lost and doubled, clocks drift, hosts pause and change
// their minds. A caller would see a doubled run if two hosts ever believed in
// one worker at once, and a stall if nobody did for longer than TTL plus the
// latest message and a retry.
func TestWorkerArbiterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const latestMessage = 8 * time.Second
		workerHistory(t).run(testTTL + latestMessage + testTTL/renewalsPerTTL + time.Second)
	})
}
