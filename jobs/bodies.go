package jobs

import (
	"github.com/fireflyfold/fireflyfold/work"
)

func (f *Fold) accept(a *Accepted, before Anchor) RejectReason {
	if f.jobs[a.Job] != nil {
		return RejectKnown
	}
	if f.ByKey(a.Key) != nil {
		return RejectKeyTaken
	}
	f.insert(&Job{Accepted: *a, Tasks: map[int]Task{}}, before)
	return accepted
}

// insert adds a job that a reader finds whole from base on.
func (f *Fold) insert(j *Job, base Anchor) {
	f.jobs[j.Job] = j
	if j.Key != "" && !j.gaveUpKey() {
		f.keys[j.Key] = j.Job
	}
	f.setBase(j, base)
}

func (f *Fold) setBase(j *Job, base Anchor) {
	j.base = base
	f.bases.push(baseEntry{job: j.Job, after: base.After})
	if len(f.bases) > basesPerJob*len(f.jobs)+basesSpare {
		f.compactBases()
	}
}

// assign opens an attempt.
//
// It guards against a job that runs twice at a time: the next attempt is void
// while one is open, and attempts are counted, so that two assignments of the
// same number cannot both count. A non-idempotent task gets another attempt only
// if the one before truly never started.
func (f *Fold) assign(a *Assigned) RejectReason {
	j := f.jobs[a.Attempt.Job]
	if j == nil {
		return RejectNoJob
	}
	if j.Ended || j.Cancelled {
		return RejectClosed
	}
	t := j.Tasks[a.Attempt.Index]
	if t.Open && t.Attempts == a.Attempt.Attempt && t.Worker == a.Worker {
		return RejectKnown
	}
	// Numbers may leave gaps: an attempt that was given up before its record was
	// written has used its number up.
	if t.Open || settled(j, t) || a.Attempt.Attempt <= t.Attempts {
		return RejectAttempt
	}
	if a.Attempt.Index < 0 || a.Attempt.Index >= j.Spec.Tasks {
		return RejectAttempt
	}
	if j.Spec.NonIdempotent && t.Attempts > 0 && t.Result != ResultNeverStarted {
		return RejectAttempt
	}
	j.Tasks[a.Attempt.Index] = Task{
		Attempts: a.Attempt.Attempt,
		Open:     true,
		Worker:   a.Worker,
		Epoch:    f.at.Epoch,
		Lease:    a.Lease,
		Boot:     a.Boot,
	}
	j.OpenTasks++
	return accepted
}

// settled reports whether a task may have no further attempt because it
// succeeded. A gang is worth nothing without all its tasks: when one of them
// fails, the next round assigns them all again, those that succeeded too. If
// their assignments were void, the round would end before it began, and so
// would every further one.
func settled(j *Job, t Task) bool {
	return t.Done() && j.Spec.Kind != work.KindGang
}

func (f *Fold) end(e *Ended) RejectReason {
	j := f.jobs[e.Attempt.Job]
	if j == nil {
		return RejectNoJob
	}
	t := j.Tasks[e.Attempt.Index]
	if t.Attempts != e.Attempt.Attempt {
		return RejectAttempt
	}
	if !t.Open {
		return RejectKnown
	}
	if !e.Result.Valid() {
		return RejectMalformed
	}
	j.Tasks[e.Attempt.Index] = Task{Attempts: t.Attempts, Result: e.Result}
	j.OpenTasks--
	return accepted
}

func (f *Fold) endJob(e *JobEnded) RejectReason {
	j := f.jobs[e.Job]
	if j == nil {
		return RejectNoJob
	}
	if j.Ended {
		return RejectKnown
	}
	if j.OpenTasks > 0 {
		return RejectOpen
	}
	if !e.Outcome.Valid() {
		return RejectMalformed
	}
	f.close(j, e.Outcome, e.Reason, e.Keep)
	return accepted
}

// cancel forbids further attempts. A job that never had one ends at once.
func (f *Fold) cancel(c *Cancelled) RejectReason {
	j := f.jobs[c.Job]
	if j == nil {
		return RejectNoJob
	}
	if j.Ended {
		return RejectClosed
	}
	if j.Cancelled {
		return RejectKnown
	}
	j.Cancelled = true
	j.Reason = c.Reason
	if len(j.Tasks) == 0 {
		f.close(j, work.OutcomeNotRun, c.Reason, c.Keep)
	}
	return accepted
}

// close ends a job and keeps what a repeat of its key and a question for its
// outcome need. "Not run" tells the caller that a repeat is safe, so such a job
// gives up its key for the repeat.
func (f *Fold) close(j *Job, out work.Outcome, why string, keep int64) {
	j.Ended = true
	j.Outcome = out
	j.Reason = why
	j.ForgetAt = f.at.Clock + max(0, keep)
	j.Spec.Payload = ""
	j.Tasks = map[int]Task{}
	if j.gaveUpKey() {
		f.dropKey(j)
	}
	f.ended.push(forgetEntry{at: j.ForgetAt, job: j.Job})
}

func (f *Fold) dropKey(j *Job) {
	if f.keys[j.Key] == j.Job {
		delete(f.keys, j.Key)
	}
}

// forget drops ended jobs whose time has come.
func (f *Fold) forget() {
	for f.ended.due(f.at.Clock) {
		id := f.ended.pop().job
		j := f.jobs[id]
		if j == nil || !j.Ended || j.ForgetAt > f.at.Clock {
			continue
		}
		f.dropKey(j)
		delete(f.jobs, id)
	}
}
