package ledger

import (
	"testing"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/google/go-cmp/cmp"
)

// stage is a fold that a test feeds record by record.
type stage struct {
	t    *testing.T
	fold *Fold
	at   ports.Offset
}

var (
	ann = ident.Holder{Host: "ann", Incarnation: 1}
	bob = ident.Holder{Host: "bob", Incarnation: 1}
	cyd = ident.Holder{Host: "cyd", Incarnation: 1}
)

func (s *stage) apply(r Record) Verdict {
	s.t.Helper()
	data, err := Encode(r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.at++
	return s.fold.Apply(s.at, data)
}

// newStage returns a ledger in which ann and bob hold 50 units each.
func newStage(t *testing.T) *stage {
	s := &stage{t: t, fold: NewFold()}
	s.apply(Record{Writer: ann, Num: 1, Join: &Join{Zone: "a"}})
	s.apply(Record{Writer: bob, Num: 1, Join: &Join{Zone: "a"}})
	s.apply(limitRecord(ann, 2, 100, 5))
	return s
}

func limitRecord(by ident.Holder, num uint64, limit int64, version ports.Offset) Record {
	return Record{Writer: by, Num: num, Limits: &Limits{Teams: []TeamLimit{{Team: acme, Limit: limit, Version: version}}}}
}

func transfer(from, to ident.Holder, num uint64, units int64) Record {
	return Record{Writer: from, Num: num, Moves: &Moves{Transfers: []Transfer{{Team: acme, To: to, Units: units}}}}
}

func (s *stage) want(ann0, bob0 int64) {
	s.t.Helper()
	got := []int64{s.fold.Held(acme, ann), s.fold.Held(acme, bob)}
	if diff := cmp.Diff([]int64{ann0, bob0}, got); diff != "" {
		s.t.Fatalf("held by ann and bob: %s", diff)
	}
}

// A team runs twice its limit because one record counted that must not: a gift
// that landed twice, or late; a gift of more than the giver had; a gift by, or
// to, a holder that is gone; an older limit stated last; a reset that landed
// again. Each is put into the stream once and must change nothing.
func TestFoldRejects(t *testing.T) {
	gift := transfer(ann, bob, 3, 10)
	for _, c := range []struct {
		name   string
		before []Record
		record Record
		reason RejectReason
	}{
		{"doubled", []Record{gift}, gift, RejectNumber},
		{"late", []Record{transfer(ann, bob, 4, 10)}, gift, RejectNumber},
		{"not covered", []Record{transfer(ann, bob, 3, 10)}, transfer(ann, bob, 4, 41), accepted},
		{"negative", []Record{transfer(ann, bob, 3, 10)}, transfer(ann, bob, 4, -1), accepted},
		{"to a stranger", []Record{gift}, transfer(ann, cyd, 4, 1), accepted},
		{"by a stranger", []Record{gift}, transfer(cyd, ann, 1, 1), RejectStranger},
		{"old limit", []Record{gift}, limitRecord(bob, 2, 300, 4), accepted},
		{"joined again", []Record{gift}, Record{Writer: bob, Num: 2, Join: &Join{Zone: "a"}}, RejectKnown},
		{"reclaim of the living", []Record{gift}, Record{Writer: bob, Num: 2, Reclaim: &Reclaim{Dead: ann, Num: 2}}, RejectAlive},
		{"late reset", []Record{gift}, Record{Writer: cyd, Num: 1, Reset: &Reset{After: 3}}, RejectNumber},
		{"nothing in it", []Record{gift}, Record{Writer: bob, Num: 2}, RejectMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t)
			for _, r := range c.before {
				s.apply(r)
			}
			if v := s.apply(c.record); v.Reason != c.reason {
				t.Fatalf("verdict %q, want %q", v.Reason, c.reason)
			}
			s.want(40, 60)
		})
	}
}

// Units of a dead host are used by its heir and, since one of its appends was
// still on the way, by a third host as well.
func TestRecordsOfTheGoneAreVoid(t *testing.T) {
	s := newStage(t)
	s.apply(Record{Writer: cyd, Num: 1, Join: &Join{Zone: "b"}})
	if v := s.apply(Record{Writer: cyd, Num: 2, Reclaim: &Reclaim{Dead: bob, Num: 1}}); v.Reason != RejectHeir {
		t.Fatalf("reclaim from another zone: %q", v.Reason)
	}
	s.apply(Record{Writer: ann, Num: 3, Reclaim: &Reclaim{Dead: bob, Num: 1}})
	s.want(100, 0)
	for _, r := range []Record{transfer(bob, cyd, 2, 50), {Writer: bob, Num: 3, Join: &Join{Zone: "a"}}} {
		if v := s.apply(r); v.Reason != RejectGone {
			t.Fatalf("verdict %q, want %q", v.Reason, RejectGone)
		}
	}
	if v := s.apply(transfer(ann, bob, 4, 10)); !v.Applied || s.fold.Held(acme, bob) != 0 {
		t.Fatal("a gift went to a holder that is gone")
	}
	s.want(100, 0)
	if heir := s.fold.Heir(bob); heir != ann {
		t.Fatalf("heir %v", heir)
	}
}

// An operator lowers a limit from 100 to 60 and a host that knows it starts work
// with all its 50 units, while the other one still holds 50: 100 could run.
func TestUsableUnderLoweredLimit(t *testing.T) {
	s := newStage(t)
	s.apply(limitRecord(ann, 3, 60, 6))
	if got := s.fold.Usable(acme, ann); got != 10 {
		t.Fatalf("%d usable, want 10", got)
	}
	s.apply(Record{Writer: bob, Num: 2, Moves: &Moves{GiveBacks: []GiveBack{{Team: acme, Units: 45}}}})
	s.want(50, 10)
	if got := s.fold.Usable(acme, ann); got != 50 {
		t.Fatalf("%d usable, want 50", got)
	}
}

// A fresh host reads a snapshot of which a part is missing, because its writer
// died, and believes that half of the units are nobody's.
func TestSnapshotCountsOnlyWhole(t *testing.T) {
	s := newStage(t)
	s.apply(Record{Writer: ann, Num: 3, Reclaim: &Reclaim{Dead: bob, Num: 1}})
	parts := s.fold.snapshot(memberBytes)
	if len(parts) < 3 {
		t.Fatalf("%d parts", len(parts))
	}
	l := newLoader(1)
	for i, p := range parts {
		data, err := Encode(Record{Writer: ann, Num: uint64(4 + i), Snapshot: &p})
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := l.Found(); ok {
			t.Fatalf("found after %d of %d parts", i, len(parts))
		}
		l.Note(ports.Record{Offset: s.at + 1 + ports.Offset(i), Data: data}, 1)
	}
	if _, ok := l.Found(); !ok {
		t.Fatal("not found")
	}
	compareFolds(t, s.fold, l.best)
}

// compareFolds checks that two folds hold the same.
func compareFolds(t fataler, want, got *Fold) {
	t.Helper()
	opts := cmp.AllowUnexported(member{}, team{})
	diff := cmp.Diff(want.members, got.members, opts) + cmp.Diff(want.teams, got.teams, opts) +
		cmp.Diff(want.live, got.live) + cmp.Diff(want.gone, got.gone)
	if diff != "" {
		t.Fatalf("folds differ: %s", diff)
	}
}
