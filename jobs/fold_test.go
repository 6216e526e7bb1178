package jobs

import (
	"testing"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// stage is a fold that a test feeds record by record, all of one epoch.
type stage struct {
	t    *testing.T
	fold *Fold
	at   ports.Offset
	num  uint64
}

func (s *stage) apply(r Record) Verdict {
	s.t.Helper()
	data, err := Encode(r)
	if err != nil {
		s.t.Fatal(err)
	}
	s.at++
	return s.fold.Apply(s.at, data)
}

// write applies a record of the epoch in force, elapsed milliseconds after its
// fence.
func (s *stage) write(r Record, elapsed int64) Verdict {
	s.t.Helper()
	s.num++
	r.Epoch, _ = s.fold.Epoch()
	r.Num = s.num
	r.Elapsed = elapsed
	return s.apply(r)
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, fold: NewFold()}
	s.apply(Record{Fence: &Fence{Owner: ident.Holder{Host: "h0", Incarnation: 1}}})
	return s
}

func jobEnd(seq uint64, out work.Outcome, keep int64) Record {
	return Record{JobEnded: &JobEnded{Job: jobID(seq), Outcome: out, Keep: keep}}
}

func cancelling(seq uint64) Record {
	return Record{Cancelled: &Cancelled{Job: jobID(seq), Keep: 1000}}
}

func once(seq uint64) Record {
	r := acceptance(seq, "", "")
	r.Accepted.Spec.NonIdempotent = true
	return r
}

func gang(seq uint64) Record {
	r := acceptance(seq, "", "")
	r.Accepted.Spec.Kind = work.KindGang
	return r
}

func onceGang(seq uint64) Record {
	r := once(seq)
	r.Accepted.Spec.Kind = work.KindGang
	return r
}

// An approval runs twice, or a job ends while a task of it runs, because the
// owner decided on what it had believed a moment before. Whatever an owner
// writes, the stream lets count only what fits the job's state at that point.
func TestFoldRejects(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []Record
		record Record
		reason RejectReason
	}{
		{"assigned while open", []Record{acceptance(1, "", ""), assignment(1, 1, "w")}, assignment(1, 2, "v"), RejectAttempt},
		{"assigned twice", []Record{acceptance(1, "", ""), assignment(1, 1, "w")}, assignment(1, 1, "v"), RejectAttempt},
		{"assigned the same", []Record{acceptance(1, "", ""), assignment(1, 1, "w")}, assignment(1, 1, "w"), RejectKnown},
		{"assigned after a gap", []Record{acceptance(1, "", "")}, assignment(1, 2, "w"), accepted},
		{"assigned out of turn", []Record{acceptance(1, "", ""), assignment(1, 2, "w"), ending(1, 2, ResultFailed)}, assignment(1, 1, "w"), RejectAttempt},
		{"assigned again after its end", []Record{acceptance(1, "", ""), assignment(1, 2, "w"), ending(1, 2, ResultFailed)}, assignment(1, 2, "w"), RejectAttempt},
		{"assigned after success", []Record{acceptance(1, "", ""), assignment(1, 1, "w"), ending(1, 1, ResultSucceeded)}, assignment(1, 2, "w"), RejectAttempt},
		{"gang, assigned after success", []Record{gang(1), assignment(1, 1, "w"), ending(1, 1, ResultSucceeded)}, assignment(1, 2, "w"), accepted},
		{"gang, once, assigned after success", []Record{onceGang(1), assignment(1, 1, "w"), ending(1, 1, ResultSucceeded)}, assignment(1, 2, "w"), RejectAttempt},
		{"assigned after a failure", []Record{acceptance(1, "", ""), assignment(1, 1, "w"), ending(1, 1, ResultFailed)}, assignment(1, 2, "w"), accepted},
		{"assigned after cancel", []Record{acceptance(1, "", ""), cancelling(1)}, assignment(1, 1, "w"), RejectClosed},
		{"assigned unknown", nil, assignment(1, 1, "w"), RejectNoJob},
		{"once, after a loss", []Record{once(1), assignment(1, 1, "w"), ending(1, 1, ResultLost)}, assignment(1, 2, "w"), RejectAttempt},
		{"once, after a failure", []Record{once(1), assignment(1, 1, "w"), ending(1, 1, ResultFailed)}, assignment(1, 2, "w"), RejectAttempt},
		{"once, never started", []Record{once(1), assignment(1, 1, "w"), ending(1, 1, ResultNeverStarted)}, assignment(1, 2, "w"), accepted},
		{"ended twice", []Record{acceptance(1, "", ""), assignment(1, 1, "w"), ending(1, 1, ResultFailed)}, ending(1, 1, ResultSucceeded), RejectKnown},
		{"ended another attempt", []Record{acceptance(1, "", ""), assignment(1, 1, "w")}, ending(1, 2, ResultFailed), RejectAttempt},
		{"job ended while open", []Record{acceptance(1, "", ""), assignment(1, 1, "w")}, jobEnd(1, work.OutcomeRan, 9), RejectOpen},
		{"job ended without outcome", []Record{acceptance(1, "", "")}, jobEnd(1, 0, 9), RejectMalformed},
		{"key taken", []Record{acceptance(1, "k", "f")}, acceptance(2, "k", "f"), RejectKeyTaken},
		{"key of a job that ran", []Record{acceptance(1, "k", "f"), jobEnd(1, work.OutcomeRan, 9)}, acceptance(2, "k", "f"), RejectKeyTaken},
		{"key of a job that did not run", []Record{acceptance(1, "k", "f"), cancelling(1)}, acceptance(2, "k", "f"), accepted},
		{"cancelled twice", []Record{acceptance(1, "", ""), assignment(1, 1, "w"), cancelling(1)}, cancelling(1), RejectKnown},
		{"nothing in it", nil, Record{}, RejectMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStage(t)
			for _, r := range c.before {
				if v := s.write(r, 0); !v.Applied {
					t.Fatalf("setting up: %+v", v)
				}
			}
			if v := s.write(c.record, 0); v.Reason != c.reason {
				t.Fatalf("verdict %q, want %q", v.Reason, c.reason)
			}
		})
	}
}

// A repeat within the promised time runs again, because the key was forgotten
// early: a new owner's clock was taken for the old one's. The stream's time
// counts only what owners measured, and stands still between them.
func TestKeysAreKeptInStreamTime(t *testing.T) {
	s := newStage(t)
	s.write(acceptance(1, "k", "f"), 100)
	s.write(jobEnd(1, work.OutcomeRan, 1000), 500)
	s.apply(Record{Fence: &Fence{Owner: ident.Holder{Host: "h1", Incarnation: 1}}})
	s.num = 0
	if v := s.write(acceptance(2, "k", "f"), 999); v.Reason != RejectKeyTaken {
		t.Fatalf("after 999 ms of the 1000: %q", v.Reason)
	}
	if v := s.write(acceptance(3, "k", "f"), 1000); !v.Applied {
		t.Fatalf("after 1000 ms: %q", v.Reason)
	}
	if s.fold.Job(jobID(1)) != nil {
		t.Fatal("the ended job is still remembered")
	}
}

// A displaced task loses the attempts that its caller allows, because a new
// owner took refusals and displacements for failures. The stream counts them,
// attempt numbers that were passed over included, and writes them again.
func TestRefusedAndStoppedAttemptsAreCounted(t *testing.T) {
	s := newStage(t)
	for _, r := range []Record{
		acceptance(1, "", ""),
		assignment(1, 1, "w"), ending(1, 1, ResultNeverStarted),
		assignment(1, 4, "w"), ending(1, 4, ResultStopped),
		assignment(1, 5, "w"), ending(1, 5, ResultFailed),
		assignment(1, 6, "w"),
	} {
		if v := s.write(r, 0); !v.Applied {
			t.Fatalf("setting up: %+v", v)
		}
	}
	again := newStage(t)
	if v := again.write(Record{State: stateOf(s.fold.Job(jobID(1)))}, 0); !v.Applied {
		t.Fatalf("written again: %+v", v)
	}
	for _, f := range []*Fold{s.fold, again.fold} {
		if task := f.Job(jobID(1)).Tasks[0]; task.Attempts != 6 || task.Refused != 3 || task.Stopped != 1 {
			t.Errorf("%d attempts, %d refused, %d stopped; want 6, 3, 1", task.Attempts, task.Refused, task.Stopped)
		}
	}
}
