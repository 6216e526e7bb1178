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

const testDelay = 2 * time.Second // longest time that a start is on its way

// logHistory builds a history over the log arbiter. Its workers grant
// everything to everybody.
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
		h.nodes = append(h.nodes, &node{arb: arb, holder: holder, rate: drawRate(t), idles: i != 0})
	}
	lastUse := map[Key]use{}
	h.carry = func(h *history, n *node, cmd Command) { carryToLog(h, log, n, cmd, lastUse) }
	h.check = func(h *history) {
		h.atMostOneStarter()
		h.startsSettled(lastUse)
	}
	return h
}

// use is when a host could last start on a worker.
type use struct {
	holder ident.Holder
	at     time.Duration
}

// startsSettled fails if a host may start on a worker while a start of another
// may still be on its way to it.
func (h *history) startsSettled(last map[Key]use) {
	for _, key := range h.keys {
		for _, n := range h.nodes {
			if _, ok := n.arb.Epoch(key, n.local(h.Now())); !ok {
				continue
			}
			if before, ok := last[key]; ok && before.holder != n.holder && h.Now() < before.at+testDelay {
				h.t.Fatalf("at %v: %v may start on %v, %v could at %v", h.Now(), n.holder, key, before.holder, before.at)
			}
			last[key] = use{holder: n.holder, at: h.Now()}
		}
	}
}

func carryToLog(h *history, log *standin.LogState, n *node, cmd Command, last map[Key]use) {
	switch cmd := cmd.(type) {
	case Acquire:
		h.grantAll(n, cmd.Key, cmd.SentAt)
	case Renew:
		h.grantAll(n, cmd.Key, cmd.SentAt)
	case Quiesce:
		if n.idles {
			delete(last, cmd.Key) // its last start will be settled before its release is written
		}
	case AppendFences:
		h.deliver("append", func() {
			_, err := log.Append(h.Now(), cmd.Stream, cmd.Group)
			h.deliver("appended", func() { h.tell(n, LogEvent{appended(cmd.Tag, err)}) })
		})
		h.After(testTTL, func() { h.tell(n, LogEvent{stream.AppendFailed{Tag: cmd.Tag}}) })
	case ReadFences:
		h.deliver("read", func() { h.read(log, n, cmd, cmd.Wait) })
		h.After(testTTL, func() { h.tell(n, LogEvent{stream.ReadFailed{Tag: cmd.Tag}}) })
	}
}

// read answers a read, after its wait if there is nothing new.
func (h *history) read(log *standin.LogState, n *node, cmd ReadFences, wait time.Duration) {
	page, _, err := log.Read(h.Now(), cmd.Stream, cmd.After, cmd.Limit)
	if err == nil && len(page.Records) == 0 && wait > 0 {
		const look = 100 * time.Millisecond
		h.After(look, func() { h.read(log, n, cmd, wait-look) })
		return
	}
	h.deliver("page", func() { h.tell(n, LogEvent{read(cmd.Tag, page, err)}) })
}

func (h *history) grantAll(n *node, key Key, sentAt time.Duration) {
	h.deliver("lease", func() {
		h.deliver("granted", func() { h.tell(n, Granted{Key: key, SentAt: sentAt}) })
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

// The same histories over workers that check nothing. A caller would see a
// doubled run if two hosts ever believed in one worker, or if one started while
// a start of the other was still on its way.
func TestLogArbiterHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := logHistory(t)
		const latestMessage = 8 * time.Second
		h.run(2*(testTTL+testDelay) + latestMessage + testTTL)
	})
}

// The log is out of reach for longer than the proof lasts. Its owner must stop
// starting, because another host may be able to write; when the log is back it
// goes on without a new fence.
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
	run(testTTL - time.Second) // the worker goes on answering
	if _, ok := arb.Epoch(testKey, now+time.Second); ok {
		t.Error("starts without a proof after a pause")
	}
	run(time.Second)
	if _, ok := arb.Epoch(testKey, now); ok {
		t.Error("starts without a proof")
	}
	log.SetFaults(standin.LogFaults{})
	run(2 * time.Second)
	if after, ok := arb.Epoch(testKey, now); !ok || after != before {
		t.Errorf("epoch after the outage %d (%v), want %d", after, ok, before)
	}
}

// pair is two hosts on one log, stepped in turns.
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

func (p *pair) tell(i int, ev Event) {
	p.pending[i] = append(p.pending[i], p.arbs[i].Step(p.now, ev)...)
}

// run steps the given hosts until the end or until done reports true.
func (p *pair) run(d time.Duration, done func() bool, hosts ...int) {
	for end := p.now + d; p.now < end && !done(); p.now += 50 * time.Millisecond {
		for _, i := range hosts {
			todo := p.pending[i]
			p.pending[i] = nil
			p.tell(i, Tick{})
			for _, cmd := range todo {
				p.tell(i, answer(p.log, p.now, cmd))
			}
		}
	}
}

func (p *pair) starts(i int) bool {
	_, ok := p.arbs[i].Epoch(testKey, p.now)
	return ok
}

// An owner stops answering; another host takes over. A start that the old owner
// sent in its last moment of belief takes as long as a start may take, and the
// worker refuses nothing: the new owner must not have started before.
func TestLogTakeoverWaitsForLateStarts(t *testing.T) {
	p := newPair()
	p.tell(0, Want{Key: testKey, Wanted: true})
	p.run(time.Minute, func() bool { return p.starts(0) }, 0)
	p.tell(1, Want{Key: testKey, Wanted: true})
	p.tell(1, Presumed{Holder: pairHolders[0], Gone: true})
	var last time.Duration
	p.run(time.Minute, func() bool {
		if p.starts(0) {
			last = p.now
		}
		return p.starts(1)
	}, 1)
	if !p.starts(1) || p.now < last+testDelay {
		t.Errorf("the new owner starts at %v (%v), the old one could until %v", p.now, p.starts(1), last)
	}
}

// An owner wakes far behind the end of a long stream. The first page that it
// reads shows no fence of another, but one comes later in the stream: the page
// proves nothing.
func TestLogPageBeforeEndProvesNothing(t *testing.T) {
	p := newPair()
	p.arbs[0].reader.Limit = 1
	p.tell(0, Want{Key: testKey, Wanted: true})
	p.run(time.Minute, func() bool { return p.starts(0) }, 0)
	for range 5 {
		if _, err := p.log.Append(p.now, "leases/z", [][]byte{[]byte("{}")}); err != nil {
			t.Fatal(err)
		}
	}
	p.tell(1, Want{Key: testKey, Wanted: true})
	p.tell(1, Presumed{Holder: pairHolders[0], Gone: true})
	p.run(time.Minute, func() bool { return p.starts(1) }, 1)
	p.run(time.Second, func() bool { return p.starts(0) }, 0, 1)
	if p.starts(0) {
		t.Error("the old owner starts again, though the new one does")
	}
}

// Two hosts presume each other gone after a partition. One of them must come to
// hold the worker, instead of both taking it from each other.
func TestLogMutualPresumptionEnds(t *testing.T) {
	p := newPair()
	for i := range 2 {
		p.tell(i, Want{Key: testKey, Wanted: true})
		p.tell(i, Presumed{Holder: pairHolders[1-i], Gone: true})
	}
	p.run(time.Minute, func() bool { return p.starts(0) || p.starts(1) }, 0, 1)
	if !p.starts(0) && !p.starts(1) {
		t.Error("nobody holds the worker after a minute")
	}
}

// answer carries out a command at once.
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
