package jobs

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
	"github.com/fireflyfold/fireflyfold/work"
)

// start of what must still be retained, as the newest mark says.
func (w *world) newestStart() ports.Offset {
	w.t.Helper()
	for i := len(w.log.Records()) - 1; i >= 0; i-- {
		if mark, ok := markIn(w.log.Records()[i].Data); ok {
			return mark.Start.After
		}
	}
	w.t.Fatalf("no mark")
	return 0
}

// shortJob lets a job be accepted and end at once.
func (w *world) shortJob(h *host, seq uint64) {
	w.t.Helper()
	w.propose(h, acceptance(seq, "", ""), 0)
	w.run(200 * time.Millisecond)
	w.propose(h, jobEnd(seq, work.OutcomeRan, 0), 0)
	w.run(200 * time.Millisecond)
	if j := h.owner.State().Job(jobID(seq)); j != nil && !j.Ended {
		w.t.Fatalf("job %d did not end", seq)
	}
}

// whole reports what the newest BecameOwner of a host says.
func (h *host) whole() (whole, owner bool) {
	for _, cmd := range h.heard {
		if b, ok := cmd.(BecameOwner); ok {
			whole, owner = b.Whole, true
		}
	}
	return whole, owner
}

// A service job that was accepted weeks ago is gone after a takeover, because
// its record had expired. The owner writes it again while it lives; all that is
// older can expire at any moment, also between two jobs of one round.
func TestLongLivedJobsOutliveTheirRecords(t *testing.T) {
	w := newWorld(t, 2)
	first, second := w.hosts[0], w.hosts[1]
	w.own(first)
	for seq := uint64(1); seq <= 20; seq++ {
		w.propose(first, acceptance(seq, "", ""), 0)
	}
	w.run(time.Second)
	w.propose(first, assignment(7, 1, "w"), 0)
	w.run(3 * time.Second)
	if start := w.newestStart(); start < 20 {
		t.Fatalf("3 s old jobs are still found at %d only", start)
	}
	for range 40 {
		w.run(300 * time.Millisecond)
		w.log.Expire(w.newestStart() + 1)
	}
	before := w.log.First()
	if before < 40 {
		t.Fatalf("nothing expired: first record %d", before)
	}
	w.step(first, WantOwnership{Want: false})
	w.own(second)
	if whole, _ := second.whole(); !whole {
		t.Fatal("the successor believes that jobs are missing")
	}
	if got := second.owner.State().Len(); got != 20 {
		t.Fatalf("the successor knows %d of 20 jobs", got)
	}
	open := second.owner.State().Open()
	if len(open) != 1 || open[0].Worker != "w" || open[0].Epoch != first.epochs[0] {
		t.Fatalf("open attempts: %+v", open)
	}
}

// A takeover cuts off the round in which the old owner writes jobs again, and
// half of them are lost. The successor goes on with those that are oldest.
func TestRefreshCutOffByFence(t *testing.T) {
	w := newWorld(t, 2)
	first, second := w.hosts[0], w.hosts[1]
	w.own(first)
	for seq := uint64(1); seq <= 12; seq++ {
		w.propose(first, acceptance(seq, "", ""), 0)
	}
	w.run(2700 * time.Millisecond)
	w.step(second, WantOwnership{Want: true})
	w.step(first, WantOwnership{Want: false})
	w.run(4 * time.Second)
	w.log.Expire(w.newestStart() + 1)
	w.step(second, WantOwnership{Want: false})
	w.run(time.Second)
	w.own(first)
	if whole, _ := first.whole(); !whole || first.owner.State().Len() != 12 {
		t.Fatalf("whole %v, %d jobs", whole, first.owner.State().Len())
	}
}

// The stream had no owner for so long that its time says nothing, and records
// expire although the jobs are young by it. Jobs near the oldest retained record
// are written again whatever their age.
func TestJobsNearExpiryAreWrittenAgain(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	h.owner.cfg.RefreshAfter = time.Hour
	w.own(h)
	w.propose(h, acceptance(1, "", ""), 0)
	w.run(time.Second)
	for seq := uint64(2); seq <= 40; seq++ {
		w.shortJob(h, seq)
	}
	w.log.Expire(3)
	w.run(2 * time.Second)
	if base := h.owner.State().Job(jobID(1)).base.After; base < 40 {
		t.Fatalf("job 1 is still found at %d only", base)
	}
}

// Records expired that nobody had written again. The next owner must say so,
// and still read what is left.
func TestMissingRecordsAreReported(t *testing.T) {
	w := newWorld(t, 2)
	w.own(w.hosts[0])
	for seq := uint64(1); seq <= 5; seq++ {
		w.propose(w.hosts[0], acceptance(seq, "", ""), 0)
		w.run(200 * time.Millisecond)
	}
	var third ports.Offset
	for _, cmd := range w.hosts[0].heard {
		if e, ok := cmd.(Effective); ok && e.ID == 3 {
			third = e.Offset
		}
	}
	w.log.Expire(third)
	w.hosts[0].cut = true
	h := w.hosts[1]
	w.own(h)
	if whole, _ := h.whole(); whole {
		t.Fatal("the owner believes that nothing is missing")
	}
	if got := h.owner.State().Len(); got != 3 {
		t.Fatalf("%d jobs read, want the 3 whose records are left", got)
	}
}

// A host is cut off from the log for longer than it keeps records. What was sent
// before can never be told, and must not be called void.
func TestGapLeavesSentProposalsUndecided(t *testing.T) {
	w := newWorld(t, 2)
	h := w.hosts[0]
	w.own(h)
	sent := w.propose(h, acceptance(1, "", ""), 0)
	w.runUntilAppend(h)
	queued := w.propose(h, acceptance(2, "", ""), 0)
	w.answerAppend(h, fakelog.AnswerLost)
	h.cut = true
	w.own(w.hosts[1])
	w.log.Expire(w.log.Last())
	h.cut = false
	w.run(3 * time.Second)
	if !h.told[sent] || h.final[sent] != nil {
		t.Fatalf("sent: told %v, final %#v", h.told[sent], h.final[sent])
	}
	if void := mustFinal[Void](t, h, queued); void.Reason != VoidLost {
		t.Fatalf("queued: %+v", void)
	}
}

// A takeover takes minutes because its first host must read half an hour of
// short jobs to find one that lives long. What must be read stays near the size
// of the live state, and writing jobs again adds little.
func TestReadingIsBoundedByLiveState(t *testing.T) {
	w := newWorld(t, 1)
	h := w.hosts[0]
	h.owner.cfg.RefreshAfter = time.Hour
	h.owner.cfg.RefreshRecords = 50
	h.owner.cfg.MarkEvery = 10 * time.Second
	w.own(h)
	w.propose(h, acceptance(1, "", ""), 0)
	for seq := uint64(2); seq <= 500; seq++ {
		w.shortJob(h, seq)
	}
	w.run(time.Second)
	state := h.owner.State()
	if behind := state.Position() - state.start().After; behind > 150 {
		t.Fatalf("%d of %d records must be read for %d jobs", behind, state.Position(), state.Len())
	}
	refreshed := 0
	for _, rec := range w.log.Records() {
		if r, err := Decode(rec.Data); err == nil && r.State != nil {
			refreshed++
		}
	}
	if refreshed > int(w.log.Last())/refreshRatio {
		t.Fatalf("%d of %d records write jobs again", refreshed, w.log.Last())
	}
}
