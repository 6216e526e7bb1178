package jobs

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
	"github.com/fireflyfold/fireflyfold/work"
)

// host is an owner with its open calls and what it was told.
type host struct {
	owner  *Owner
	name   ident.Holder
	calls  fakelog.Calls
	heard  []stream.Command // everything else, in order
	final  map[ProposalID]stream.Command
	told   map[ProposalID]bool // reported undecided
	epochs []Epoch
	cut    bool // neither steps nor reaches the log
}

// world is a few hosts on one stream, with one clock that tests move.
type world struct {
	t      fataler
	log    *fakelog.Log
	now    time.Duration
	hosts  []*host
	lastID ProposalID
}

// fataler is the part of testing.T and rapid.T that a world needs.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

const testZone ident.Zone = "a"

// testConfig has short waits and small bounds, so that every path is taken.
func testConfig(self ident.Holder) Config {
	cfg := DefaultConfig(testZone, self)
	cfg.MarkEvery = 200 * time.Millisecond
	cfg.RefreshAfter = 2 * time.Second
	cfg.RefreshInterval = 200 * time.Millisecond
	cfg.FenceInterval = 400 * time.Millisecond
	cfg.GroupRecords = 16
	cfg.PageLimit = 7
	cfg.ProbeRecords = 8
	return cfg
}

func newWorld(t fataler, hosts int) *world {
	w := &world{t: t, log: &fakelog.Log{}}
	for i := range hosts {
		w.owner(ident.HostID(fmt.Sprintf("h%d", i)))
	}
	return w
}

// owner adds a host.
func (w *world) owner(name ident.HostID) *host {
	self := ident.Holder{Host: name, Incarnation: 1}
	h := &host{
		owner: NewOwner(testConfig(self)),
		name:  self,
		calls: fakelog.Calls{Log: w.log},
		final: map[ProposalID]stream.Command{},
		told:  map[ProposalID]bool{},
	}
	w.hosts = append(w.hosts, h)
	return h
}

// step hands an event to a host and sorts its commands.
func (w *world) step(h *host, ev stream.Event) {
	w.t.Helper()
	for _, cmd := range h.owner.Step(w.now, ev) {
		w.hear(h, cmd)
	}
}

func (w *world) hear(h *host, cmd stream.Command) {
	w.t.Helper()
	if h.calls.Take(cmd) {
		return
	}
	switch cmd := cmd.(type) {
	case Effective:
		w.finish(h, cmd.ID, cmd)
	case Existing:
		w.finish(h, cmd.ID, cmd)
	case Void:
		w.finish(h, cmd.ID, cmd)
	case Undecided:
		if h.told[cmd.ID] && !cmd.Final {
			w.t.Fatalf("proposal %d reported undecided twice", cmd.ID)
		}
		h.told[cmd.ID] = true
	case BecameOwner:
		h.epochs = append(h.epochs, cmd.Epoch)
	}
	h.heard = append(h.heard, cmd)
}

func (w *world) finish(h *host, id ProposalID, cmd stream.Command) {
	w.t.Helper()
	if before, ok := h.final[id]; ok {
		w.t.Fatalf("proposal %d settled twice: %#v, then %#v", id, before, cmd)
	}
	h.final[id] = cmd
}

// answer answers the oldest open call of a host.
func (w *world) answer(h *host, fate fakelog.Fate) {
	w.t.Helper()
	w.step(h, h.calls.Answer(0, fate))
}

// answerAppend answers the open append of a host.
func (w *world) answerAppend(h *host, fate fakelog.Fate) {
	w.t.Helper()
	w.step(h, h.calls.Answer(h.calls.Append(), fate))
}

// takeAppend takes the open append of a host out of its calls.
func (w *world) takeAppend(h *host) Append {
	w.t.Helper()
	a, ok := h.calls.TakeAppend()
	if !ok {
		w.t.Fatalf("no append is open")
	}
	return a
}

// answerReads answers the open reads of a host until there is nothing new.
func (w *world) answerReads(h *host) {
	w.t.Helper()
	for range 10 {
		if i := h.calls.Read(); i >= 0 {
			w.step(h, h.calls.Answer(i, fakelog.Fine))
		}
	}
}

// fence lands a fence of a host.
func (w *world) fence(h *host) {
	w.t.Helper()
	data, err := Encode(Record{Fence: &Fence{Owner: h.name}})
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.log.Append([][]byte{data})
}

// run lets everything go well for a while.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	const pace = 50 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += pace {
		for _, h := range w.hosts {
			if !h.cut {
				w.turn(h)
			}
		}
	}
}

// turn lets one host tick and answers its calls.
func (w *world) turn(h *host) {
	w.t.Helper()
	w.step(h, Tick{})
	for range h.calls.Len() {
		w.answer(h, fakelog.Fine)
	}
}

// runUntilAppend lets time pass, without answering anything but reads, until a
// host has an append open.
func (w *world) runUntilAppend(h *host) {
	w.t.Helper()
	const pace, most = 50 * time.Millisecond, 200
	for range most {
		w.step(h, Tick{})
		if h.calls.Append() >= 0 {
			return
		}
		for range h.calls.Len() {
			w.answer(h, fakelog.Fine)
		}
		w.now += pace
	}
	w.t.Fatalf("no append was sent")
}

func (w *world) own(h *host) {
	w.t.Helper()
	w.step(h, WantOwnership{Want: true})
	w.run(time.Second)
	if _, ok := h.owner.Epoch(); !ok {
		w.t.Fatalf("%v did not become owner", h.name)
	}
}

func (w *world) propose(h *host, body Record, timeout time.Duration) ProposalID {
	w.t.Helper()
	w.lastID++
	ev := Propose{ID: w.lastID, Body: body}
	if timeout > 0 {
		ev.Deadline = w.now + timeout
	}
	w.step(h, ev)
	return w.lastID
}

func jobID(seq uint64) ident.JobID {
	return ident.JobID{Zone: testZone, Host: "h", Incarnation: 1, Seq: seq}
}

func acceptance(seq uint64, key KeyHash, fp Fingerprint) Record {
	spec := work.Spec{Kind: work.KindBatch, Team: "t", Tasks: 3, Payload: "p"}
	return Record{Accepted: &Accepted{Job: jobID(seq), Key: key, Fingerprint: fp, Spec: spec}}
}

func assignment(seq uint64, attempt int, worker string) Record {
	a := ident.AttemptID{Job: jobID(seq), Attempt: attempt}
	return Record{Assigned: &Assigned{Attempt: a, Worker: ident.WorkerID(worker)}}
}

func ending(seq uint64, attempt int, r Result) Record {
	return Record{Ended: &Ended{Attempt: ident.AttemptID{Job: jobID(seq), Attempt: attempt}, Result: r}}
}

// truth folds the whole stream from its first record.
func (w *world) truth() *Fold { return w.truthAt(w.log.Last()) }

// truthAt folds the stream up to an offset.
func (w *world) truthAt(last ports.Offset) *Fold {
	f := NewFold()
	for _, rec := range w.log.Records() {
		if rec.Offset <= last {
			f.Apply(rec.Offset, rec.Data)
		}
	}
	return f
}

// verdictAt tells what the record at an offset did.
func (w *world) verdictAt(at ports.Offset) Verdict {
	f := NewFold()
	for _, rec := range w.log.Records() {
		v := f.Apply(rec.Offset, rec.Data)
		if rec.Offset == at {
			return v
		}
	}
	return Verdict{Reason: RejectMalformed}
}

func mustFinal[C stream.Command](t *testing.T, h *host, id ProposalID) C {
	t.Helper()
	cmd, ok := h.final[id].(C)
	if !ok {
		t.Fatalf("proposal %d: got %#v, want %T", id, h.final[id], cmd)
	}
	return cmd
}
