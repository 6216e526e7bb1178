package region

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// repeatWindow is the longest time after a job's end in which it may be submitted again. Callers and
	// hosts repeat a submission within seconds.
	repeatWindow = time.Minute
	// statusMargin is how much longer than StatusRetention the log keeps the state of an ended job:
	// the clocks of two leaders may differ, and a snapshot may be late.
	statusMargin = 30 * time.Second
	// minRecordAge is above 0, so that the end of a job is forgotten at some time even if leaders change
	// all the time and the clock of each one is wrong. Even 30 of these do not add up to statusMargin.
	minRecordAge = 900 * time.Millisecond
)

// submitted applies a submission: a record of the log, or one that a host passes on and that is still to
// be read from the log.
func (s *Scheduler) submitted(rec *record.Job, notified bool) {
	_, known := s.jobs[rec.Id]
	j := s.submit(rec)
	if notified {
		j.notified = j.notified || !known
		return
	}
	if known && !j.notified {
		s.submittedAgain(j, rec)
	}
	j.notified, j.inIntake = false, true
}

// submittedAgain notes that the log has another record of the job's submission.
//
// The guard is against a job that runs again after its end: a record that was appended later than the
// first one expires later than the ends of the job's tasks, and the next leader would take the job for
// a new one. It holds because the end is written again: then it is newer than every submission that
// this leader has read, and no later leader can lose it before these.
func (s *Scheduler) submittedAgain(j *job, rec *record.Job) {
	if !s.leading() {
		j.writtenAt = min(j.writtenAt, s.writtenAt(rec.AcceptedUnixMs))
	}
	j.outlived = true
	if !j.rewritten { // its records are older than any that wait to be written again
		j.rewritten = true
		s.written = slices.Insert(s.written, 0, j)
	}
}

// endIsDue reports whether the end of a job has to be written again, now that its newest record is due.
func (s *Scheduler) endIsDue(j *job) bool {
	queriedUntil := j.endedAt + s.opts.StatusRetention + statusMargin
	return j.outlived || s.statusOutlivesRecords() && queriedUntil > j.writtenAt+s.opts.LogRetention
}

// statusOutlivesRecords reports whether the state of a job can be queried for longer than its records
// are kept. The newest one was at most half of the retention old when the job ended.
func (s *Scheduler) statusOutlivesRecords() bool {
	return s.opts.StatusRetention+statusMargin > s.opts.LogRetention/2
}

// endOf returns the record of a job's end.
func (s *Scheduler) endOf(j *job) *record.EndedJob {
	e := &record.EndedJob{
		Id: j.rec.Id, Queue: j.rec.Queue, Workspace: j.rec.Workspace, End: record.JobEnd_JOB_END_COMPLETED,
		Why: j.whyFailed(), AgeMs: (s.now - j.endedAt).Milliseconds(),
	}
	switch {
	case j.cancelled:
		e.End = record.JobEnd_JOB_END_CANCELLED
	case j.failed:
		e.End = record.JobEnd_JOB_END_FAILED
	}
	return e
}

// endedBatch collects the ends of jobs for one record of at most maxBytes.
type endedBatch struct {
	jobs     []*record.EndedJob
	bytes    int
	maxBytes int
}

// add adds the end of a job. It returns false if the record has no room for it.
func (b *endedBatch) add(e *record.EndedJob) bool {
	n := proto.Size(e) + taskOverhead
	if len(b.jobs) > 0 && b.bytes+n > b.maxBytes {
		return false
	}
	b.jobs = append(b.jobs, e)
	b.bytes += n
	return true
}

func (s *Scheduler) writeEnds(b *endedBatch) {
	if len(b.jobs) == 0 {
		return
	}
	ended := &record.EndedJobs{Jobs: b.jobs, WrittenUnixMs: s.unixMs}
	s.append(&record.Entry{Kind: &record.Entry_EndedJobs{EndedJobs: ended}})
}

// replayEndedJobs ends the jobs of a record, whatever is left of their other records.
func (s *Scheduler) replayEndedJobs(k *record.EndedJobs) {
	writtenAt := s.writtenAt(k.WrittenUnixMs)
	for _, e := range k.Jobs {
		j, known := s.jobs[e.Id]
		if !known {
			j = s.addEnded(e)
		}
		if !j.closed {
			s.endReplayed(j, e)
		}
		j.outlived = j.outlived || j.inIntake // a submission may have been appended after this record
		j.writtenAt = writtenAt
		j.endedAt = s.recordedAt(k.WrittenUnixMs) - time.Duration(e.AgeMs)*time.Millisecond
	}
}

// addEnded adds a job of which only the record of its end is left.
func (s *Scheduler) addEnded(e *record.EndedJob) *job {
	j := &job{rec: &record.Job{Id: e.Id, Queue: e.Queue, Workspace: e.Workspace}}
	j.memory = newJobMemory(j.rec)
	s.jobs[e.Id] = j
	s.rewriteLater(j)
	return j
}

func (s *Scheduler) endReplayed(j *job, e *record.EndedJob) {
	switch e.End {
	case record.JobEnd_JOB_END_CANCELLED:
		j.cancelled = true
	case record.JobEnd_JOB_END_FAILED:
		j.failed, j.failedWhy = true, e.Why
	default:
		j.completed = true
	}
	s.jobEnded(j)
}

// recordedAt converts the time of day at which a record was written to the scheduler's clock. Where it
// cannot be right, the record counts as minRecordAge old: no state is forgotten too early.
func (s *Scheduler) recordedAt(unixMs int64) time.Duration {
	age := time.Duration(s.unixMs-unixMs) * time.Millisecond
	if age < 0 || age > s.opts.LogRetention {
		age = minRecordAge
	}
	return s.now - age
}
