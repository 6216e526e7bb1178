package jobs

import (
	"encoding/json"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/work"
)

// streamPrefix starts the name of every job stream.
const streamPrefix = "jobs/"

// StreamOf names the job stream of a zone.
func StreamOf(zone ident.Zone) ports.Stream {
	return ports.Stream(streamPrefix + string(zone))
}

// Epoch is the term of one owner of the stream: the offset of its fence. Zero
// means that the stream has no owner yet.
type Epoch ports.Offset

// KeyHash is the hash of a caller's idempotency key together with its team;
// empty for a job without a key.
type KeyHash string

// Fingerprint is the hash of everything in a submission that a repeat with the
// same idempotency key must have in common with the first.
type Fingerprint string

// Result tells how one attempt ended.
type Result string

// The results of an attempt.
const (
	ResultSucceeded    Result = "succeeded"
	ResultFailed       Result = "failed"        // ran and failed
	ResultStopped      Result = "stopped"       // ran and was stopped: cancelled, displaced or over its limit
	ResultNeverStarted Result = "never-started" // truly did not run
	ResultLost         Result = "lost"          // may have run; cannot be running any more
)

// Valid reports whether r is a known result.
func (r Result) Valid() bool {
	switch r {
	case ResultSucceeded, ResultFailed, ResultStopped, ResultNeverStarted, ResultLost:
		return true
	}
	return false
}

// Record is the envelope of everything in the stream. Exactly one of the
// bodies is set.
type Record struct {
	// Epoch is the writer's epoch; zero only for a fence. A record of another
	// epoch than the one in force where it lands is void.
	Epoch Epoch `json:"e,omitempty"`
	// Num counts the records of the epoch from one. A record is void unless its
	// number is above every earlier one of its epoch, so a doubled record or
	// one that arrives late, after its writer went on without it, does nothing.
	Num uint64 `json:"n,omitempty"`
	// Elapsed is the writer's time since its fence, in milliseconds. The sum
	// over all owners is the stream's time; no clocks are compared.
	Elapsed int64 `json:"t,omitempty"`

	Fence     *Fence     `json:"fence,omitempty"`
	Accepted  *Accepted  `json:"acc,omitempty"`
	Assigned  *Assigned  `json:"asg,omitempty"`
	Ended     *Ended     `json:"end,omitempty"`
	JobEnded  *JobEnded  `json:"jend,omitempty"`
	Cancelled *Cancelled `json:"can,omitempty"`
	State     *JobState  `json:"st,omitempty"`
	Mark      *Mark      `json:"mark,omitempty"`
}

// Fence makes its writer the owner; its offset becomes the epoch in force.
type Fence struct {
	Owner ident.Holder `json:"owner"`
}

// Accepted adds a job.
type Accepted struct {
	Job         ident.JobID `json:"job"`
	Key         KeyHash     `json:"key,omitempty"`
	Fingerprint Fingerprint `json:"fp,omitempty"`
	Spec        work.Spec   `json:"spec"`
	// AcceptedAt is the wall clock in Unix milliseconds, for people only; no
	// decision depends on it.
	AcceptedAt int64 `json:"at,omitempty"`
}

// Assigned opens an attempt on a worker. It must be effective before the start
// is sent.
type Assigned struct {
	Attempt ident.AttemptID `json:"a"`
	Worker  ident.WorkerID  `json:"w"`
	// Lease is the epoch of the compute lease under which the start will be
	// sent. A worker that later grants a lower one has lost its memory.
	Lease ports.Epoch `json:"l,omitempty"`
	// Boot is that of the worker when the attempt was assigned.
	Boot uint64 `json:"b,omitempty"`
}

// Ended closes an attempt. The worker's report of the end is acknowledged only
// after this record is effective.
type Ended struct {
	Attempt ident.AttemptID `json:"a"`
	Result  Result          `json:"r"`
	Reason  string          `json:"why,omitempty"`
}

// JobEnded ends a job. It is void while an attempt of the job is open.
type JobEnded struct {
	Job     ident.JobID  `json:"job"`
	Outcome work.Outcome `json:"out"`
	Reason  string       `json:"why,omitempty"`
	// Keep is how long the job and its key are remembered, in milliseconds of
	// the stream's time.
	Keep int64 `json:"keep,omitempty"`
}

// Cancelled forbids further attempts of a job. A job that was never assigned
// ends with it, as not run.
type Cancelled struct {
	Job    ident.JobID `json:"job"`
	Reason string      `json:"why,omitempty"`
	Keep   int64       `json:"keep,omitempty"` // as in JobEnded
}

// Encode renders a record for the log.
func Encode(r Record) ([]byte, error) { return json.Marshal(r) }

// Decode reads a record. It returns a *stream.MalformedRecordError for anything that
// Encode did not write.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &stream.MalformedRecordError{Cause: err}
	}
	return r, nil
}

// millis renders a duration for a record.
func millis(d time.Duration) int64 { return d.Milliseconds() }
