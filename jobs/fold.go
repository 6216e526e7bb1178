package jobs

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
)

// Fold is the state that the records of a job stream give.
type Fold struct {
	jobs map[ident.JobID]*Job
	keys map[KeyHash]ident.JobID
}

// NewFold returns the state of an empty stream.
func NewFold() *Fold {
	return &Fold{jobs: map[ident.JobID]*Job{}, keys: map[KeyHash]ident.JobID{}}
}

// Apply folds the next record of the stream.
func (f *Fold) Apply(at platform.Offset, data []byte) Verdict { return Verdict{} }

// Job returns a job, or nil if the stream has none of this name (any more).
func (f *Fold) Job(id ident.JobID) *Job { return f.jobs[id] }

// Jobs returns all jobs in order of their identifiers.
func (f *Fold) Jobs() []*Job { return nil }

// ByKey returns the job of an idempotency key, or nil. A job that ended as not
// run has given up its key.
func (f *Fold) ByKey(key KeyHash) *Job { return f.jobs[f.keys[key]] }

// Open returns all open attempts in order of job and index.
func (f *Fold) Open() []OpenAttempt { return nil }

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
