package jobs

import (
	"cmp"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Fold is the state that the records of a job stream give.
type Fold struct {
	jobs  map[ident.JobID]*Job
	keys  map[KeyHash]ident.JobID
	at    Anchor
	owner ident.Holder
	// adrift is set while the epoch in force is not known, because the fence and
	// every mark have expired. A record with a higher epoch then proves its fence.
	adrift bool

	bases baseQueue
	ended forgetHeap
}

// NewFold returns the state of an empty stream.
func NewFold() *Fold {
	return &Fold{jobs: map[ident.JobID]*Job{}, keys: map[KeyHash]ident.JobID{}}
}

// newFoldAt returns the state of a reader that starts at a marked position.
func newFoldAt(start Anchor) *Fold {
	f := NewFold()
	f.at = start
	return f
}

// newFoldAdrift returns the state of a reader that must start after the given
// offset without a mark.
func newFoldAdrift(after ports.Offset) *Fold {
	f := newFoldAt(Anchor{After: after})
	f.adrift = true
	return f
}

// Verdict says what a record did.
type Verdict struct {
	Record  Record
	Applied bool
	Reason  RejectReason // if not applied
}

// RejectReason says why a record had no effect.
type RejectReason string

// The reasons for which a record has no effect.
const (
	RejectMalformed RejectReason = "malformed"
	RejectEpoch     RejectReason = "stale-epoch"   // another epoch is in force
	RejectNumber    RejectReason = "stale-number"  // doubled, or late
	RejectKnown     RejectReason = "known"         // says what is so already
	RejectKeyTaken  RejectReason = "key-taken"     // the key has a job
	RejectNoJob     RejectReason = "no-job"        // never accepted, or forgotten
	RejectClosed    RejectReason = "job-closed"    // cancelled or ended
	RejectAttempt   RejectReason = "wrong-attempt" // not the next, or another is open
	RejectOpen      RejectReason = "attempts-open" // the job's end while it runs
)

// accepted is the reason of a record that is not rejected.
const accepted RejectReason = ""

// Apply folds the next record of the stream. The same records in the same
// order give the same state everywhere.
func (f *Fold) Apply(at ports.Offset, data []byte) Verdict {
	rec, err := Decode(data)
	if err != nil {
		f.at.After = at
		return Verdict{Reason: RejectMalformed}
	}
	before := f.at
	reason := f.admit(at, rec)
	if reason == accepted {
		reason = f.applyBody(rec, before)
	}
	f.at.After = at
	return Verdict{Record: rec, Applied: reason == accepted, Reason: reason}
}

// admit judges the envelope and moves epoch, number and clock.
//
// It guards against two failures. An owner that was paused and wakes behind its
// successor's fence still appends: its records carry the old epoch and are void.
// An append that was given up arrives late, or twice: its numbers are not above
// those that its writer used since, and it is void. Neither needs a clock.
func (f *Fold) admit(at ports.Offset, rec Record) RejectReason {
	if rec.Fence != nil {
		f.fence(at, rec.Fence.Owner)
		return accepted
	}
	if f.adrift && rec.Epoch > f.at.Epoch {
		f.fence(ports.Offset(rec.Epoch), ident.Holder{})
		f.adrift = true
	}
	if rec.Epoch != f.at.Epoch || rec.Epoch == 0 {
		return RejectEpoch
	}
	if rec.Num <= f.at.Num {
		return RejectNumber
	}
	f.at.Num = rec.Num
	f.at.Clock = max(f.at.Clock, f.at.FenceClock+rec.Elapsed)
	f.forget()
	return accepted
}

// fence starts an epoch. The stream's clock stands still between owners.
func (f *Fold) fence(at ports.Offset, owner ident.Holder) {
	f.adrift = false
	f.owner = owner
	f.at.Epoch = Epoch(at)
	f.at.Num = 0
	f.at.FenceClock = f.at.Clock
}

// applyBody folds a record whose envelope is in force.
func (f *Fold) applyBody(rec Record, before Anchor) RejectReason {
	switch {
	case rec.Fence != nil, rec.Mark != nil:
		return accepted
	case rec.Accepted != nil:
		return f.accept(rec.Accepted, before)
	case rec.Assigned != nil:
		return f.assign(rec.Assigned)
	case rec.Ended != nil:
		return f.end(rec.Ended)
	case rec.JobEnded != nil:
		return f.endJob(rec.JobEnded)
	case rec.Cancelled != nil:
		return f.cancel(rec.Cancelled)
	case rec.State != nil:
		return f.restore(rec.State, before)
	}
	return RejectMalformed
}

// Job returns a job, or nil if the stream has none of this name, or no longer.
func (f *Fold) Job(id ident.JobID) *Job { return f.jobs[id] }

// Len returns the number of jobs, ended ones that are remembered included.
func (f *Fold) Len() int { return len(f.jobs) }

// Count returns how many jobs have not ended, without and with an open attempt.
func (f *Fold) Count() (waiting, running int) {
	for _, j := range f.jobs {
		switch {
		case j.Ended:
		case j.OpenTasks > 0:
			running++
		default:
			waiting++
		}
	}
	return waiting, running
}

// Jobs returns all jobs in order of their identifiers.
func (f *Fold) Jobs() []*Job {
	out := make([]*Job, 0, len(f.jobs))
	for _, j := range f.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *Job) int { return compareJobs(a.Job, b.Job) })
	return out
}

// ByKey returns the job of an idempotency key, or nil. A job that ended as not
// run has given up its key.
func (f *Fold) ByKey(key KeyHash) *Job {
	id, ok := f.keys[key]
	if !ok {
		return nil
	}
	return f.jobs[id]
}

// Open returns all open attempts in order of job and index.
func (f *Fold) Open() []OpenAttempt {
	var out []OpenAttempt
	for _, j := range f.Jobs() {
		if j.OpenTasks > 0 {
			out = append(out, j.openAttempts()...)
		}
	}
	return out
}

// Epoch returns the epoch in force and its owner. The owner is zero if its
// fence has expired.
func (f *Fold) Epoch() (Epoch, ident.Holder) { return f.at.Epoch, f.owner }

// Position returns the offset of the last record folded.
func (f *Fold) Position() ports.Offset { return f.at.After }

// compareJobs orders identifiers by zone, host, incarnation and number.
func compareJobs(a, b ident.JobID) int {
	return cmp.Or(
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}
