package jobs

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/stream/fakelog"
	"github.com/fireflyfold/fireflyfold/work"
)

// A caller gets "accepted" and the job is never heard of again, because the
// host that accepted it had been paused and another one owned the stream by
// then. Order: host 0 owns and appends; before its record, host 1's fence lands;
// host 0 sees its own append answered. The record is behind a foreign fence.
func TestAcknowledgedAppendBehindFenceIsVoid(t *testing.T) {
	w := newWorld(t, 2)
	w.own(w.hosts[0])
	id := w.propose(w.hosts[0], acceptance(1, "", ""), 0)
	w.runUntilAppend(w.hosts[0])
	w.fence(w.hosts[1])
	w.answerAppend(w.hosts[0], fakelog.Fine)
	if len(w.hosts[0].final) != 0 {
		t.Fatalf("settled before it was read back: %#v", w.hosts[0].final)
	}
	w.step(w.hosts[0], WantOwnership{Want: false})
	w.run(time.Second)
	void := mustFinal[Void](t, w.hosts[0], id)
	if void.Reason != VoidLost {
		t.Fatalf("void for %q, want %q", void.Reason, VoidLost)
	}
	if j := w.truth().Job(jobID(1)); j != nil {
		t.Fatalf("the stream has the job: %+v", j)
	}
}

// A job is accepted twice, or reported as "not run" and runs all the same,
// because the answer to an append was lost. Order: the group lands, the answer
// is lost, the owner reads the stream before it sends anything again.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	for _, c := range []struct {
		name string
		fate fakelog.Fate
	}{{"landed", fakelog.AnswerLost}, {"not landed", fakelog.RequestLost}, {"lands late", fakelog.Late}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 1)
			h := w.hosts[0]
			w.own(h)
			id := w.propose(h, acceptance(1, "k", "f"), 0)
			w.runUntilAppend(h)
			w.answerAppend(h, c.fate)
			w.run(2 * time.Second)
			eff := mustFinal[Effective](t, h, id)
			if v := w.verdictAt(eff.Offset); !v.Applied || v.Record.Accepted == nil {
				t.Fatalf("record at %d: %+v", eff.Offset, v)
			}
			before := w.truth().Len()
			for w.log.LateGroups() > 0 {
				w.log.LandLate(0)
			}
			if after := w.truth().Len(); before != 1 || after != 1 {
				t.Fatalf("%d jobs, %d after the late group landed, want 1 and 1", before, after)
			}
		})
	}
}

// A caller is told "not run", repeats elsewhere, and the first submission runs
// too. Order: the append gets no answer, the caller's deadline passes, the group
// lands a minute later. Until a later record was read back the owner must not
// say "not run"; afterwards the late group must be void.
func TestExpiredProposalEndsAsNotRunOnlyWhenCertain(t *testing.T) {
	for _, fate := range []fakelog.Fate{fakelog.AnswerLost, fakelog.RequestLost, fakelog.Late} {
		w := newWorld(t, 1)
		h := w.hosts[0]
		w.own(h)
		id := w.propose(h, acceptance(1, "k", "f"), 300*time.Millisecond)
		w.runUntilAppend(h)
		h.calls.Drop()
		w.now += time.Second
		w.step(h, Tick{})
		if len(h.final) != 0 || !h.told[id] {
			t.Fatalf("fate %d: deadline passed with the append open: settled %v, told %v", fate, h.final, h.told)
		}
	}
	for _, fate := range []fakelog.Fate{fakelog.RequestLost, fakelog.Late} {
		w := newWorld(t, 1)
		h := w.hosts[0]
		w.own(h)
		id := w.propose(h, acceptance(1, "k", "f"), 200*time.Millisecond)
		w.runUntilAppend(h)
		w.answerAppend(h, fate)
		w.now += time.Second
		w.run(2 * time.Second)
		mustFinal[Void](t, h, id)
		for w.log.LateGroups() > 0 {
			w.log.LandLate(0)
		}
		if j := w.truth().Job(jobID(1)); j != nil && j.Outcome != work.OutcomeNotRun {
			t.Fatalf("fate %d: told not run, but the stream has %+v", fate, j)
		}
		again := w.propose(h, acceptance(2, "k", "f"), 0)
		w.run(time.Second)
		mustFinal[Effective](t, h, again)
	}
}

// Submissions hang, then fail with "unknown", because the log is down for an
// hour. Order: the log refuses; proposals wait; their deadlines pass; they were
// never in an append that could land, so they end as not run, at once.
func TestLogDownRefusesWhatWasNeverSent(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	w.own(h)
	first := w.propose(h, acceptance(1, "", ""), 200*time.Millisecond)
	for range 20 {
		w.step(h, Tick{})
		for range h.calls.Len() {
			w.answer(h, fakelog.Refused)
		}
		w.now += 50 * time.Millisecond
	}
	if void := mustFinal[Void](t, h, first); void.Reason != VoidExpired {
		t.Fatalf("void for %q", void.Reason)
	}
	for range h.owner.cfg.MaxQueued {
		w.propose(h, acceptance(uint64(w.lastID)+2, "", ""), time.Minute)
	}
	over := w.propose(h, acceptance(9_999_999, "", ""), time.Minute)
	if void := mustFinal[Void](t, h, over); void.Reason != VoidFull || void.RetryAfter <= 0 {
		t.Fatalf("over the bound: %+v", void)
	}
}

// One submission, sent twice by an impatient caller, runs twice. Order: the
// first is still in an append without an answer when the repeat comes.
func TestRepeatWaitsForTheFirst(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	w.own(h)
	first := w.propose(h, acceptance(1, "k", "f"), 0)
	w.runUntilAppend(h)
	w.answerAppend(h, fakelog.Late)
	repeat := w.propose(h, acceptance(2, "k", "f"), 0)
	other := w.propose(h, acceptance(3, "k", "g"), 0)
	if void := mustFinal[Void](t, h, other); void.Reason != VoidKeyConflict || void.Job != jobID(1) {
		t.Fatalf("other request under the key: %+v", void)
	}
	w.run(2 * time.Second)
	mustFinal[Effective](t, h, first)
	if ex := mustFinal[Existing](t, h, repeat); ex.Job != jobID(1) {
		t.Fatalf("repeat got %v", ex.Job)
	}
	later := w.propose(h, acceptance(4, "k", "f"), 0)
	if ex := mustFinal[Existing](t, h, later); ex.Job != jobID(1) {
		t.Fatalf("later repeat got %v", ex.Job)
	}
}

// A repeat with a deadline of its own is refused as "not run" together with the
// first, whose caller hung up early. It was never sent, so the repeat takes its
// place.
func TestRepeatInheritsFromWithdrawnFirst(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	w.own(h)
	w.propose(h, acceptance(9, "", ""), 0)
	w.runUntilAppend(h)
	first := w.propose(h, acceptance(1, "k", "f"), 0)
	repeat := w.propose(h, acceptance(2, "k", "f"), 0)
	w.step(h, Withdraw{ID: first})
	mustFinal[Void](t, h, first)
	w.run(time.Second)
	mustFinal[Effective](t, h, repeat)
	if w.truth().Job(jobID(1)) != nil {
		t.Fatal("the withdrawn job is in the stream")
	}
}

// Giving up ownership loses submissions. Order: one group is in flight with its
// answer lost, one proposal waits; the wish to own ends. The first is settled,
// the second refused, and only then is ownership reported as over.
func TestLeavingSettlesFirst(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	w.own(h)
	sent := w.propose(h, acceptance(1, "", ""), 0)
	w.runUntilAppend(h)
	queued := w.propose(h, acceptance(2, "", ""), 0)
	w.step(h, WantOwnership{Want: false})
	if void := mustFinal[Void](t, h, queued); void.Reason != VoidNotOwner {
		t.Fatalf("queued: %+v", void)
	}
	w.answerAppend(h, fakelog.AnswerLost)
	w.run(2 * time.Second)
	mustFinal[Effective](t, h, sent)
	last := h.heard[len(h.heard)-1]
	if _, ok := last.(LostOwnership); !ok {
		t.Fatalf("last command %#v", last)
	}
}

// A caller hung up and is told "not run"; its job had landed, nobody knew, and
// it is assigned while its cancellation is on its way. Order: the group lands
// without an answer, the deadline passes, the cancellation is sent, the group is
// read. Until the cancellation is read nothing may be proposed about the job; if
// ownership is lost before, the job counts and the caller is told so.
func TestExpiredAcceptanceThatLanded(t *testing.T) {
	for _, lost := range []bool{false, true} {
		w := newWorld(t, 2)
		h := w.hosts[0]
		w.own(h)
		w.propose(h, acceptance(9, "", ""), 0)
		w.propose(h, cancelling(1), 0) // somebody else's, too early to count
		id := w.propose(h, acceptance(1, "k", "f"), 400*time.Millisecond)
		w.answerAppend(h, fakelog.Fine)
		w.answerReads(h)
		w.runUntilAppend(h)
		append1 := w.takeAppend(h)
		w.now += time.Second
		w.step(h, Tick{})
		w.step(h, w.log.Answer(append1, fakelog.RequestLost))
		w.now += time.Second
		w.step(h, Tick{})
		if h.calls.Append() < 0 {
			t.Fatal("no cancellation was sent")
		}
		w.log.Append(append1.Group)
		w.answerReads(h)
		if h.owner.State().Job(jobID(1)) == nil || h.final[id] != nil {
			t.Fatalf("setting up: %#v", h.final[id])
		}
		assigned := w.propose(h, assignment(1, 1, "w"), 0)
		if void := mustFinal[Void](t, h, assigned); void.Reject != RejectNoJob {
			t.Fatalf("assigned: %+v", void)
		}
		if lost {
			w.fence(w.hosts[1])
			w.answerReads(h)
			if eff := mustFinal[Effective](t, h, id); !eff.Late {
				t.Fatalf("%+v", eff)
			}
			continue
		}
		w.run(time.Second)
		mustFinal[Void](t, h, id)
		if j := w.truth().Job(jobID(1)); j != nil && j.Outcome != work.OutcomeNotRun {
			t.Fatalf("told not run: %+v", j)
		}
		again := w.propose(h, acceptance(2, "k", "f"), 0)
		w.run(time.Second)
		mustFinal[Effective](t, h, again)
	}
}

// A job that ended is running again after a takeover. Order: its end is in a
// group without an answer; the next group writes the job again as it was before;
// then the first lands. Jobs are not written again beside a lost group.
func TestNoRefreshBesideLostGroup(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	w.own(h)
	w.propose(h, acceptance(1, "", ""), 0)
	w.run(time.Second)
	w.propose(h, Record{JobEnded: &JobEnded{Job: jobID(1), Outcome: work.OutcomeRan, Keep: 60_000}}, 0)
	w.runUntilAppend(h)
	w.answerAppend(h, fakelog.RequestLost)
	w.now += 5 * time.Second
	w.step(h, Tick{})
	for _, data := range w.takeAppend(h).Group {
		if rec, err := Decode(data); err != nil || rec.State != nil {
			t.Fatalf("beside a lost group: %s, %v", data, err)
		}
	}
}

// Two hosts have different host lists and both want the stream: nothing is ever
// accepted again, since each fence makes the other fence. Between two fences
// there must be time to work, and everything proposed is answered.
func TestRivalsLeaveTimeToWork(t *testing.T) {
	w := newWorld(t, 2)
	for _, h := range w.hosts {
		w.step(h, WantOwnership{Want: true})
	}
	effective, ids := 0, map[ProposalID]*host{}
	for range 100 {
		for _, h := range w.hosts {
			ids[w.propose(h, acceptance(uint64(w.lastID)+1, "", ""), 0)] = h
		}
		w.run(100 * time.Millisecond)
	}
	w.step(w.hosts[0], WantOwnership{Want: false})
	w.run(2 * time.Second)
	for id, h := range ids {
		switch h.final[id].(type) {
		case Effective:
			effective++
		case nil:
			t.Fatalf("proposal %d was never answered", id)
		}
	}
	if changes := len(w.hosts[0].epochs) + len(w.hosts[1].epochs); changes > 30 {
		t.Fatalf("%d owners in 10 s", changes)
	}
	if effective < 50 {
		t.Fatalf("%d of 200 proposals became effective", effective)
	}
}

// A stream with years behind it takes long to take over. The calls to the log
// from the wish to ownership are few, whatever came before.
func TestTakeoverNeedsFewCalls(t *testing.T) {
	w := newWorld(t, 2)
	first, second := w.hosts[0], w.hosts[1]
	w.own(first)
	for seq := uint64(1); seq <= 300; seq++ {
		w.shortJob(first, seq)
	}
	w.step(first, WantOwnership{Want: false})
	w.run(time.Second)
	second.owner = NewOwner(DefaultConfig(testZone, second.name))
	w.step(second, WantOwnership{Want: true})
	calls := 0
	for len(second.epochs) == 0 {
		w.step(second, Tick{})
		w.answer(second, fakelog.Fine)
		calls++
	}
	if calls > 6 {
		t.Fatalf("%d calls to take over a stream of %d records", calls, w.log.Last())
	}
	t.Logf("%d calls, %d records", calls, w.log.Last())
}
