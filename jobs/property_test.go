package jobs

import (
	"os"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
	"github.com/fireflyfold/fireflyfold/work"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the histories of the property tests.
func TestMain(m *testing.M) {
	if err := fakelog.FixHistories(); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// asked is a proposal and who made it.
type asked struct {
	host *host
	id   ProposalID
	body Record
}

// actions are what may happen to a world, in any order.
type actions struct {
	w      *world
	asked  []asked
	jobs   uint64
	paused map[*host]bool
}

func (a *actions) host(t *rapid.T) *host {
	return a.w.hosts[rapid.IntRange(0, len(a.w.hosts)-1).Draw(t, "host")]
}

func (a *actions) tick(t *rapid.T) {
	a.w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	if h := a.host(t); !a.paused[h] {
		a.w.step(h, Tick{})
	}
}

var someFates = []fakelog.Fate{
	fakelog.Fine, fakelog.Fine, fakelog.Fine, fakelog.Fine,
	fakelog.AnswerLost, fakelog.RequestLost, fakelog.Late, fakelog.Doubled, fakelog.Refused,
}

// round lets all hosts tick and answers their calls.
func (a *actions) round(t *rapid.T) {
	a.w.now += time.Duration(rapid.IntRange(50, 300).Draw(t, "ms")) * time.Millisecond
	for _, h := range a.w.hosts {
		if a.paused[h] {
			continue
		}
		a.w.step(h, Tick{})
		for range h.calls.Len() {
			a.w.answer(h, rapid.SampledFrom(someFates).Draw(t, "fate"))
		}
	}
}

func (a *actions) landLate(t *rapid.T) {
	if n := a.w.log.LateGroups(); n > 0 {
		a.w.log.LandLate(rapid.IntRange(0, n-1).Draw(t, "group"))
	}
}

func (a *actions) quiet(t *rapid.T) {
	if len(a.paused) == 0 {
		a.w.run(time.Duration(rapid.IntRange(1, 10).Draw(t, "tenths")) * 100 * time.Millisecond)
	}
}

func (a *actions) pause(t *rapid.T) {
	h := a.host(t)
	if a.paused[h] {
		delete(a.paused, h)
		return
	}
	a.paused[h] = true
}

func (a *actions) want(t *rapid.T) {
	h := a.host(t)
	if !a.paused[h] {
		a.w.step(h, WantOwnership{Want: rapid.IntRange(0, 3).Draw(t, "want") > 0})
	}
}

func (a *actions) propose(h *host, t *rapid.T, body Record) {
	if a.paused[h] {
		return
	}
	timeout := time.Duration(rapid.SampledFrom([]int{0, 50, 300, 2000}).Draw(t, "timeout")) * time.Millisecond
	id := a.w.propose(h, body, timeout)
	a.asked = append(a.asked, asked{host: h, id: id, body: body})
}

func (a *actions) accept(t *rapid.T) {
	key := rapid.SampledFrom([]KeyHash{"", "", "k1", "k2"}).Draw(t, "key")
	fp := rapid.SampledFrom([]Fingerprint{"f", "f", "g"}).Draw(t, "fp")
	a.jobs++
	a.propose(a.host(t), t, acceptance(a.jobs, key, fp))
}

func (a *actions) seq(t *rapid.T) uint64 {
	return rapid.Uint64Range(1, max(1, a.jobs)).Draw(t, "job")
}

func (a *actions) attempt(t *rapid.T) int { return rapid.IntRange(1, 2).Draw(t, "attempt") }

// assign names a worker of its own in each assignment, so that the stream tells
// whose counted.
func (a *actions) assign(t *rapid.T) {
	worker := "w" + string(rune('a'+len(a.asked)%26)) + string(rune('a'+len(a.asked)/26%26))
	a.propose(a.host(t), t, assignment(a.seq(t), a.attempt(t), worker))
}

func (a *actions) end(t *rapid.T) {
	r := rapid.SampledFrom([]Result{ResultSucceeded, ResultFailed, ResultNeverStarted}).Draw(t, "result")
	a.propose(a.host(t), t, ending(a.seq(t), a.attempt(t), r))
}

func (a *actions) finish(t *rapid.T) {
	out := rapid.SampledFrom([]work.Outcome{work.OutcomeRan, work.OutcomeNotRun}).Draw(t, "outcome")
	keep := rapid.Int64Range(0, 1500).Draw(t, "keep")
	a.propose(a.host(t), t, Record{JobEnded: &JobEnded{Job: jobID(a.seq(t)), Outcome: out, Keep: keep}})
}

func (a *actions) cancel(t *rapid.T) {
	a.propose(a.host(t), t, Record{Cancelled: &Cancelled{Job: jobID(a.seq(t)), Keep: 500}})
}

func (a *actions) withdraw(t *rapid.T) {
	if len(a.asked) == 0 {
		return
	}
	w := a.asked[rapid.IntRange(max(0, len(a.asked)-5), len(a.asked)-1).Draw(t, "proposal")]
	if !a.paused[w.host] {
		a.w.step(w.host, Withdraw{ID: w.id})
	}
}

// A submission is doubled, lost, or reported as "not run" and runs, in some rare
// order of takeovers, pauses, lost answers, late and doubled appends, deadlines
// and repeats. After every history the log is let work again: every proposal must
// have got exactly one answer, and the stream must say the same; every reader,
// from the first record or from a mark, must see the same state.
func TestOwnersProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		a := &actions{w: w, paused: map[*host]bool{}}
		w.step(w.hosts[0], WantOwnership{Want: true})
		w.run(time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"tick": a.tick, "round": a.round, "round2": a.round, "round3": a.round, "late": a.landLate,
			"quiet": a.quiet, "pause": a.pause, "want": a.want,
			"accept": a.accept, "accept2": a.accept, "assign": a.assign, "assign2": a.assign,
			"end": a.end, "finish": a.finish, "cancel": a.cancel, "withdraw": a.withdraw,
		})
		a.settle(t)
	})
}

func (a *actions) settle(t *rapid.T) {
	for w := a.w; w.log.LateGroups() > 0; {
		w.log.LandLate(0)
	}
	a.w.run(3 * time.Second)
	for _, h := range a.w.hosts {
		a.w.step(h, WantOwnership{Want: false})
	}
	a.w.run(5 * time.Second)
	verdicts := a.verdicts()
	for _, p := range a.asked {
		a.checkAnswer(t, p, verdicts)
	}
	a.checkReaders(t)
}

// verdicts tells what each record of the stream did.
func (a *actions) verdicts() map[ports.Offset]Verdict {
	out := map[ports.Offset]Verdict{}
	f := NewFold()
	for _, rec := range a.w.log.Records() {
		out[rec.Offset] = f.Apply(rec.Offset, rec.Data)
	}
	return out
}

// checkAnswer compares what a proposal was told with what the stream says.
func (a *actions) checkAnswer(t *rapid.T, p asked, verdicts map[ports.Offset]Verdict) {
	switch cmd := p.host.final[p.id].(type) {
	case Effective:
		if !sameBody(verdicts[cmd.Offset], p.body) {
			t.Fatalf("proposal %d %+v: told effective at %d, where %+v", p.id, p.body, cmd.Offset, verdicts[cmd.Offset])
		}
	case Void:
		if at, ok := applied(verdicts, p.body); ok && !a.cancelledUnseen(p, verdicts) {
			t.Fatalf("proposal %d %+v: told void (%s %s), but it counts at %d", p.id, p.body, cmd.Reason, cmd.Reject, at)
		}
	case Existing:
		if at, ok := applied(verdicts, p.body); ok {
			t.Fatalf("proposal %d: told that %v exists, but it counts at %d", p.id, cmd.Job, at)
		}
	default:
		t.Fatalf("proposal %d %+v of %v: no final answer, but %#v", p.id, p.body, p.host.name, cmd)
	}
}

// sameBody reports whether a verdict is of the proposed record, in force.
func sameBody(v Verdict, body Record) bool {
	rec := v.Record
	rec.Epoch, rec.Num, rec.Elapsed = 0, 0, 0
	return v.Applied && cmp.Equal(rec, body)
}

// applied finds the record of a proposal that names its own job or worker.
func applied(verdicts map[ports.Offset]Verdict, body Record) (ports.Offset, bool) {
	if body.Accepted == nil && body.Assigned == nil {
		return 0, false
	}
	for at, v := range verdicts {
		if sameBody(v, body) {
			return at, true
		}
	}
	return 0, false
}

// cancelledUnseen reports whether an acceptance was cancelled in the stream
// before anything was assigned.
func (a *actions) cancelledUnseen(p asked, verdicts map[ports.Offset]Verdict) bool {
	if p.body.Accepted == nil {
		return false
	}
	for _, v := range verdicts {
		if v.Applied && v.Record.Assigned != nil && v.Record.Assigned.Attempt.Job == p.body.Accepted.Job {
			return false
		}
	}
	for _, v := range verdicts {
		if v.Applied && v.Record.Cancelled != nil && v.Record.Cancelled.Job == p.body.Accepted.Job {
			return true
		}
	}
	return false
}

// checkReaders checks that a reader that starts at any retained mark sees what
// one sees that reads everything.
func (a *actions) checkReaders(t *rapid.T) {
	truth := a.w.truth()
	for _, rec := range a.w.log.Records() {
		mark, ok := markIn(rec.Data)
		if !ok {
			continue
		}
		f := newFoldAt(mark.Start)
		for _, r := range a.w.log.Records() {
			if r.Offset > mark.Start.After {
				f.Apply(r.Offset, r.Data)
			}
		}
		if diff := diffFolds(truth, f); diff != "" {
			t.Fatalf("from the mark at %d: %s", rec.Offset, diff)
		}
	}
	fresh := a.w.owner("h9")
	a.w.step(fresh, WantOwnership{Want: true})
	a.w.run(3 * time.Second)
	if diff := diffFolds(a.w.truthAt(fresh.owner.State().Position()), fresh.owner.State()); diff != "" {
		t.Fatalf("from a fresh start: %s", diff)
	}
}

func diffFolds(want, got *Fold) string {
	opts := cmp.AllowUnexported(Job{})
	return cmp.Diff(want.Jobs(), got.Jobs(), opts) + cmp.Diff(want.keys, got.keys) + cmp.Diff(want.at, got.at)
}
