package region

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// replay applies the log entries of earlier leaders.
func (s *Scheduler) replay(entries []*record.Entry) {
	for _, e := range entries {
		s.terms.add(e.Fence, time.Duration(e.GetTermMs())*time.Millisecond)
		switch k := e.Kind.(type) {
		case *record.Entry_Assigned:
			s.replayAssigned(k.Assigned)
		case *record.Entry_Ended:
			s.replayEnded(k.Ended)
		case *record.Entry_Settled:
			s.replaySettled(k.Settled)
		case *record.Entry_Sending:
			s.replaySending(k.Sending, e.Fence)
		case *record.Entry_DoneRead:
			s.replayDoneRead(k.DoneRead)
		case *record.Entry_Reached:
			s.reachedBy[k.Reached.Worker] = e.Fence
		case *record.Entry_Crashed:
			s.replayCrashed(k.Crashed)
		case *record.Entry_Acquitted:
			s.replayAcquitted(k.Acquitted)
		case *record.Entry_Kept:
			s.replaySnapshot(k.Kept)
		case *record.Entry_KeptRepeating:
			s.replaySnapshot(k.KeptRepeating)
		case *record.Entry_EndedJobs:
			s.replayEndedJobs(k.EndedJobs)
		}
	}
}

// findTask returns the task with the id, or nil if there is none, or its occurrence is over. It creates the
// occurrences of the job up to that of the task: one that was assigned was due.
func (s *Scheduler) findTask(id model.TaskID) *task {
	j, known := s.jobs[id.Job]
	if !known || int(id.Step) >= len(j.rec.Steps) || id.Occurrence >= max(j.rec.RepeatCount, 1) {
		return nil
	}
	for j.nextOcc <= id.Occurrence {
		s.addOccurrence(j)
	}
	occ := j.occurrenceOf(id.Occurrence)
	if occ == nil {
		return nil
	}
	st := occ.steps[id.Step]
	if int(id.Index) >= len(st.tasks) {
		return nil
	}
	return st.tasks[id.Index]
}

func (s *Scheduler) replayAssigned(a *record.Assigned) {
	t := s.findTask(model.TaskIDOf(a.Task))
	if t == nil || t.done {
		return
	}
	var calls startCalls
	if t.run != nil {
		if t.run.number == a.Run { // recorded again: a late start, or a snapshot
			calls = t.run.calls
		}
		s.release(t.run)
	}
	r := &run{
		task: t, number: a.Run, worker: s.workerNamed(a.Worker), phase: phaseInherited, calls: calls, begun: true, assignedUnixMs: a.AssignedUnixMs,
		ref: model.WorkerRef{ID: a.Worker, Address: a.Address, BornUnix: a.BornUnixMs},
	}
	s.occupy(r)
	t.lastRun = max(t.lastRun, a.Run)
}

func (s *Scheduler) replayEnded(e *record.Ended) {
	t := s.findTask(model.TaskIDOf(e.Task))
	if t == nil {
		return
	}
	if t.run != nil && t.run.number == e.Run {
		s.release(t.run)
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Outcome != record.Outcome_OUTCOME_LOST {
		t.step.job.begun = true // a lost run may never have begun
	}
	if e.Loss != nil && !t.done {
		s.addOpen(s.lossOf(t, e.Loss))
	}
	s.countEnd(t, e.Run, e.Outcome, e.Checkpoint)
	if t.isFinal(e.Outcome) {
		s.replayGangDone(t, e.Run)
	}
}

// replayGangDone marks all members of a gang done, of which the log may have the ends only in part.
func (s *Scheduler) replayGangDone(t *task, number int32) {
	if !t.step.rec.Gang {
		return
	}
	for _, m := range t.step.tasks {
		if m.done {
			continue
		}
		if m.run != nil && m.run.number == number {
			s.release(m.run)
		}
		m.lastRun = max(m.lastRun, number)
		s.countEnd(m, number, record.Outcome_OUTCOME_DONE, "")
	}
}

func (s *Scheduler) replaySnapshot(k *record.Kept) {
	if _, known := s.jobs[k.Job.Id]; k.Continued && !known {
		return // the first part has expired
	}
	j := s.submit(k.Job)
	if !k.More {
		j.writtenAt = s.writtenAt(k.WrittenUnixMs)
	}
	s.replayOver(j, k.Over)
	for _, ts := range k.Tasks {
		t := s.findTask(model.TaskIDOf(ts.Task))
		if t == nil || t.lastRun > ts.Run {
			continue
		}
		t.lastRun, t.endedRun, t.attempts, t.checkpoint = ts.Run, ts.Run, ts.Attempts, ""
		if s.checkCheckpoint(ts.Checkpoint) == "" {
			t.checkpoint = ts.Checkpoint
		}
		s.replaySuspicion(t, ts)
		j.begun = true
		if ts.Done {
			s.taskDone(t)
			continue
		}
		if ts.DoneRun > 0 && t.doneEnd == nil {
			s.keepDone(t, doneEnd{run: ts.DoneRun, readAt: s.now})
		}
		if ts.Worker != "" {
			t.endedRun = ts.Run - 1
			s.replayAssigned(&record.Assigned{
				Task: ts.Task, Run: ts.Run, Worker: ts.Worker, BornUnixMs: ts.BornUnixMs, Address: ts.Address, AssignedUnixMs: ts.AssignedUnixMs,
			})
		}
	}
	if k.Cancelled {
		s.cancel(cancellation{job: k.Job.Id, anyWorkspace: true})
	}
}

// rewriteDueAt returns when a snapshot of the job is to be written: well before its newest complete
// record expires, however many leaders have read that record.
func (s *Scheduler) rewriteDueAt(j *job) time.Duration { return j.writtenAt + s.opts.LogRetention/2 }

// writtenAt converts the time of day at which a record was written to the scheduler's clock.
//
// The guard is against a job that is forgotten: if each new leader counted from its own replay, every
// change of leader would put off the next snapshot until the last one has expired. Clocks may
// step: a time that cannot be right counts as one that makes the snapshot due.
func (s *Scheduler) writtenAt(unixMs int64) time.Duration {
	age := time.Duration(s.unixMs-unixMs) * time.Millisecond
	if unixMs == 0 || age < 0 || age > s.opts.LogRetention {
		age = s.opts.LogRetention / 2
	}
	return s.now - age
}

// rewriteLater adds a job to those whose records may have to be written again.
func (s *Scheduler) rewriteLater(j *job) {
	j.rewritten = true
	s.written = append(s.written, j)
}

// rewriteOld appends snapshots of live jobs to the log, and the ends of other jobs where that is
// needed, before their records expire. Without them, the next leader would not know of a job that
// runs for longer than the retention of the log.
func (s *Scheduler) rewriteOld() {
	const perTick = 4 // spreads the snapshots of many old jobs
	ends := &endedBatch{maxBytes: s.opts.RecordBytes - snapshotMargin}
	for written := 0; written < perTick && len(s.written) > 0; {
		j := s.written[0]
		if s.now < s.rewriteDueAt(j) || j.ended() && !j.closed { // its end is not in the log yet
			break
		}
		endDue := j.ended() && s.endIsDue(j)
		if endDue && !ends.add(s.endOf(j)) {
			break
		}
		s.written[0] = nil
		s.written = s.written[1:]
		switch {
		case endDue:
			j.outlived = false
		case j.ended():
			j.rewritten = false
			continue
		default:
			written += s.writeSnapshot(j)
		}
		j.writtenAt = s.now
		s.rewriteLater(j)
	}
	s.writeEnds(ends)
}

// writeSnapshot appends a snapshot of a live job, and returns the number of its records.
func (s *Scheduler) writeSnapshot(j *job) int {
	parts := s.snapshotJob(j, s.opts.RecordBytes-snapshotMargin)
	for _, k := range parts {
		k.WrittenUnixMs = s.unixMs
		if len(j.over) > 0 {
			s.append(&record.Entry{Kind: &record.Entry_KeptRepeating{KeptRepeating: k}})
			continue
		}
		s.append(&record.Entry{Kind: &record.Entry_Kept{Kept: k}})
	}
	return len(parts)
}

// snapshotMargin is what an entry may take beyond the job and the tasks of a snapshot, or beyond the
// jobs of an EndedJobs record, in bytes.
const snapshotMargin = 128

// snapshotJob returns a snapshot of the job, which the log stores as Kept records of at most maxBytes.
//
// The guard is against a record that grows with the tasks that have run until the log rejects it:
// from then on, neither this leader nor a successor could keep the job.
func (s *Scheduler) snapshotJob(j *job, maxBytes int) []*record.Kept {
	k := &record.Kept{Job: j.rec, Cancelled: j.cancelled}
	parts, size := []*record.Kept{k}, proto.Size(k)
	makeRoom := func(n int) {
		if size+n > maxBytes {
			k.More = true
			k = &record.Kept{Job: &record.Job{Id: j.rec.Id}, Continued: true}
			parts, size = append(parts, k), proto.Size(k)
		}
		size += n
	}
	for _, r := range j.recordsOfOver() {
		makeRoom(proto.Size(r) + taskOverhead)
		k.Over = append(k.Over, r)
	}
	for _, occ := range j.occs {
		for _, st := range occ.steps {
			for _, t := range st.tasks {
				if t.lastRun == 0 {
					continue
				}
				ts := s.snapshotTask(t)
				makeRoom(proto.Size(ts) + taskOverhead)
				k.Tasks = append(k.Tasks, ts)
			}
		}
	}
	return parts
}

// taskOverhead is the tag and length of a task in a Kept record, or a job in an EndedJobs record, in bytes.
const taskOverhead = 5

func (s *Scheduler) snapshotTask(t *task) *record.TaskState {
	ts := &record.TaskState{
		Task: t.id().Record(), Run: t.lastRun, Attempts: t.attempts, Done: t.done, Checkpoint: t.checkpoint,
		Crashes: s.recordsOf(t.suspicion.crashes), Losses: s.recordsOf(t.suspicion.open),
	}
	if t.doneEnd != nil {
		ts.DoneRun = t.doneEnd.run
	}
	if t.run != nil {
		ts.Worker, ts.BornUnixMs, ts.Address = t.run.ref.ID, t.run.ref.BornUnix, t.run.ref.Address
		ts.AssignedUnixMs = t.run.assignedUnixMs
	}
	return ts
}
