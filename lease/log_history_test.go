package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
	"github.com/fireflyfold/fireflyfold/stream"
)

const testDelay = 2 * time.Second // longest time that a start is in flight

// logHistory returns a history of hosts with LogArbiter. Its workers grant every
// request.
func logHistory(t *rapid.T) *history {
	h := &history{t: t}
	log := standin.NewLogState(standin.LogConfig{KeepRecords: rapid.SampledFrom([]int{0, 3}).Draw(t, "records kept")})
	for i := range 2 {
		h.keys = append(h.keys, Key{Worker: ident.WorkerID(fmt.Sprintf("w%d", i)), Class: ports.ClassCompute})
	}
	for i := range 3 {
		holder := ident.Holder{Host: ident.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1}
		arb := NewLogArbiter(LogOptions{
			Options:  Options{Self: holder, Seed: uint64(i), TTL: testTTL, Drift: testDrift, HandoverLimit: time.Second},
			Stream:   "leases/z",
			MaxDelay: testDelay,
		})
		arb.reader.Limit = rapid.SampledFrom([]int{1, logPageLimit}).Draw(t, "records of a page")
		h.nodes = append(h.nodes, &node{arb: arb, holder: holder, rate: drawRate(t), answersQuiesce: i != 0})
	}
	lastUse := map[Key]use{}
	h.send = func(h *history, n *node, cmd Command) { sendToLog(h, log, n, cmd, lastUse) }
	h.check = func(h *history) {
		h.checkSingleStarter()
		h.checkStartsSettled(lastUse)
	}
	return h
}

// use is the host that last could start tasks on a worker, and when.
type use struct {
	holder ident.Holder
	at     time.Duration
}

// checkStartsSettled fails if a host may start tasks on a worker while a start of
// another host may still be in flight to it.
func (h *history) checkStartsSettled(last map[Key]use) {
	for _, key := range h.keys {
		for _, n := range h.nodes {
			if _, ok := n.arb.Epoch(key, n.local(h.Now())); !ok {
				continue
			}
			if before, ok := last[key]; ok && before.holder != n.holder && h.Now() < before.at+testDelay {
				h.t.Fatalf("at %v: %v may start tasks on %v, but %v could until %v", h.Now(), n.holder, key, before.holder, before.at)
			}
			last[key] = use{holder: n.holder, at: h.Now()}
		}
	}
}

func sendToLog(h *history, log *standin.LogState, n *node, cmd Command, last map[Key]use) {
	switch cmd := cmd.(type) {
	case Acquire:
		h.grantAll(n, cmd.Key, cmd.SentAt)
	case Renew:
		h.grantAll(n, cmd.Key, cmd.SentAt)
	case Quiesce:
		if n.answersQuiesce {
			delete(last, cmd.Key) // its last start is settled before its release is appended
		}
	case AppendFences:
		h.deliver("append", func() {
			_, err := log.Append(h.Now(), cmd.Stream, cmd.Group)
			h.deliver("appended", func() { h.step(n, LogEvent{appended(cmd.Tag, err)}) })
		})
		h.After(testTTL, func() { h.step(n, LogEvent{stream.AppendFailed{Tag: cmd.Tag}}) })
	case ReadFences:
		h.deliver("read", func() { h.read(log, n, cmd, cmd.Wait) })
		h.After(testTTL, func() { h.step(n, LogEvent{stream.ReadFailed{Tag: cmd.Tag}}) })
	}
}

// read answers a read as soon as there are new records, or when its wait ends.
func (h *history) read(log *standin.LogState, n *node, cmd ReadFences, wait time.Duration) {
	page, _, err := log.Read(h.Now(), cmd.Stream, cmd.After, cmd.Limit)
	if err == nil && len(page.Records) == 0 && wait > 0 {
		const pollInterval = 100 * time.Millisecond
		h.After(pollInterval, func() { h.read(log, n, cmd, wait-pollInterval) })
		return
	}
	h.deliver("page", func() { h.step(n, LogEvent{read(cmd.Tag, page, err)}) })
}

func (h *history) grantAll(n *node, key Key, sentAt time.Duration) {
	h.deliver("lease", func() {
		h.deliver("granted", func() { h.step(n, Granted{Key: key, SentAt: sentAt}) })
	})
}

func appended(tag stream.Tag, err error) stream.Event {
	if err != nil {
		return stream.AppendFailed{Tag: tag}
	}
	return stream.AppendDone{Tag: tag}
}

func read(tag stream.Tag, page ports.Page, err error) stream.Event {
	if err != nil {
		return stream.ReadFailed{Tag: tag}
	}
	return stream.PageRead{Tag: tag, Page: page}
}

// Guards against duplicate runs on workers that do not check epochs, under the
// same faults. Callers would see one if two hosts held one worker at once, or if
// one host started a task while a start of the other was still in flight.
func TestLogArbiterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := logHistory(t)
		const latestMessage = 8 * time.Second
		h.run(2*(testTTL+testDelay) + latestMessage + testTTL)
	})
}

// Guards against starts by an owner that cannot reach the log for longer than
// its confirmation lasts: another host may still be able to append a fence. When
// the log is reachable again, the owner continues without a new fence.
func TestLogOutageStopsOwner(t *testing.T) {
	log := standin.NewLogState(standin.LogConfig{})
	holder := ident.Holder{Host: "h1", Incarnation: 1}
	arb := NewLogArbiter(LogOptions{Options: Options{Self: holder, TTL: testTTL}, Stream: "leases/z"})
	now := time.Duration(0)
	pending := arb.Step(now, Want{Key: testKey, Wanted: true})
	run := func(d time.Duration) {
		for end := now + d; now < end; now += 50 * time.Millisecond {
			next := arb.Step(now, Tick{})
			for _, cmd := range pending {
				next = append(next, arb.Step(now, answer(log, now, cmd))...)
			}
			pending = next
		}
	}
	run(testTTL + 4*time.Second)
	before, ok := arb.Epoch(testKey, now)
	if !ok {
		t.Fatal("no lease after the wait")
	}
	log.SetFaults(standin.LogFaults{Down: true})
	run(testTTL - time.Second) // the worker keeps answering
	if _, ok := arb.Epoch(testKey, now+time.Second); ok {
		t.Error("starts permitted after a pause without confirmed ownership")
	}
	run(time.Second)
	if _, ok := arb.Epoch(testKey, now); ok {
		t.Error("starts permitted without confirmed ownership")
	}
	log.SetFaults(standin.LogFaults{})
	run(2 * time.Second)
	if after, ok := arb.Epoch(testKey, now); !ok || after != before {
		t.Errorf("epoch after the outage %d (%v), want %d", after, ok, before)
	}
}

// pair is two hosts on one log, stepped alternately.
type pair struct {
	log     *standin.LogState
	now     time.Duration
	arbs    [2]*LogArbiter
	pending [2][]Command
}

var pairHolders = [2]ident.Holder{{Host: "h1", Incarnation: 1}, {Host: "h2", Incarnation: 1}}

func newPair() *pair {
	p := &pair{log: standin.NewLogState(standin.LogConfig{})}
	for i, holder := range pairHolders {
		p.arbs[i] = NewLogArbiter(LogOptions{Options: Options{Self: holder, TTL: testTTL}, Stream: "leases/z", MaxDelay: testDelay})
	}
	return p
}

func (p *pair) step(i int, ev Event) {
	p.pending[i] = append(p.pending[i], p.arbs[i].Step(p.now, ev)...)
}

// run steps the given hosts for d, or until done reports true.
func (p *pair) run(d time.Duration, done func() bool, hosts ...int) {
	for end := p.now + d; p.now < end && !done(); p.now += 50 * time.Millisecond {
		for _, i := range hosts {
			todo := p.pending[i]
			p.pending[i] = nil
			p.step(i, Tick{})
			for _, cmd := range todo {
				p.step(i, answer(p.log, p.now, cmd))
			}
		}
	}
}

func (p *pair) mayStart(i int) bool {
	_, ok := p.arbs[i].Epoch(testKey, p.now)
	return ok
}

// Guards against a takeover while a start of the earlier owner is in flight: that
// owner sent it just before its confirmation expired, and it may take MaxDelay to
// arrive. The worker does not refuse it, so the new owner must not start before.
func TestLogTakeoverWaitsForLateStarts(t *testing.T) {
	p := newPair()
	p.step(0, Want{Key: testKey, Wanted: true})
	p.run(time.Minute, func() bool { return p.mayStart(0) }, 0)
	p.step(1, Want{Key: testKey, Wanted: true})
	p.step(1, PresumedDead{Holder: pairHolders[0], Dead: true})
	var last time.Duration
	p.run(time.Minute, func() bool {
		if p.mayStart(0) {
			last = p.now
		}
		return p.mayStart(1)
	}, 1)
	if !p.mayStart(1) || p.now < last+testDelay {
		t.Errorf("the new owner may start at %v (%v), the earlier owner could until %v", p.now, p.mayStart(1), last)
	}
}

// Guards against an owner that resumes far from the end of a long stream: the
// first page that it reads has no fence of another host, but a later one has. A
// page that does not reach the end must not confirm ownership.
func TestLogPageBeforeEndDoesNotConfirmOwnership(t *testing.T) {
	p := newPair()
	p.arbs[0].reader.Limit = 1
	p.step(0, Want{Key: testKey, Wanted: true})
	p.run(time.Minute, func() bool { return p.mayStart(0) }, 0)
	for range 5 {
		if _, err := p.log.Append(p.now, "leases/z", [][]byte{[]byte("{}")}); err != nil {
			t.Fatal(err)
		}
	}
	p.step(1, Want{Key: testKey, Wanted: true})
	p.step(1, PresumedDead{Holder: pairHolders[0], Dead: true})
	p.run(time.Minute, func() bool { return p.mayStart(1) }, 1)
	p.run(time.Second, func() bool { return p.mayStart(0) }, 0, 1)
	if p.mayStart(0) {
		t.Error("the earlier owner may start tasks again, although the new owner may")
	}
}

// Guards against two hosts that presume each other dead after a network partition
// and keep taking the worker over from each other. One of them must come to hold
// it.
func TestLogMutualDeathPresumptionIsResolved(t *testing.T) {
	p := newPair()
	for i := range 2 {
		p.step(i, Want{Key: testKey, Wanted: true})
		p.step(i, PresumedDead{Holder: pairHolders[1-i], Dead: true})
	}
	p.run(time.Minute, func() bool { return p.mayStart(0) || p.mayStart(1) }, 0, 1)
	if !p.mayStart(0) && !p.mayStart(1) {
		t.Error("no host holds the worker after a minute")
	}
}

// answer executes a command immediately and returns its answer.
func answer(log *standin.LogState, now time.Duration, cmd Command) Event {
	switch cmd := cmd.(type) {
	case Acquire:
		return Granted{Key: cmd.Key, SentAt: cmd.SentAt}
	case Renew:
		return Granted{Key: cmd.Key, SentAt: cmd.SentAt}
	case AppendFences:
		_, err := log.Append(now, cmd.Stream, cmd.Group)
		return LogEvent{appended(cmd.Tag, err)}
	case ReadFences:
		page, _, err := log.Read(now, cmd.Stream, cmd.After, cmd.Limit)
		if errors.As(err, new(*standin.DownError)) {
			return LogEvent{stream.ReadFailed{Tag: cmd.Tag}}
		}
		return LogEvent{read(cmd.Tag, page, err)}
	}
	return Tick{}
}
