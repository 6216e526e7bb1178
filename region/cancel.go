package region

// cancellation is a request to cancel a job.
type cancellation struct {
	job          string
	workspace    string // that the job must belong to
	anyWorkspace bool   // the record names no workspace
}

func cancellationOf(job string, workspace *string) cancellation {
	if workspace == nil {
		return cancellation{job: job, anyWorkspace: true}
	}
	return cancellation{job: job, workspace: *workspace}
}

// cancelIfAsked cancels a job whose cancellation was read before its submission, which is in
// another partition of the log.
func (s *Scheduler) cancelIfAsked(j *job) {
	for _, c := range []cancellation{{job: j.rec.Id, workspace: j.rec.Workspace}, {job: j.rec.Id, anyWorkspace: true}} {
		if _, early := s.cancelledEarly[c]; early {
			delete(s.cancelledEarly, c)
			s.cancel(c)
		}
	}
}

// cancel ends a job at the request of its caller.
//
// The guard is against a job that the key of another workspace cancels: a host that cannot ask the
// leader whose job it is writes the cancellation all the same.
func (s *Scheduler) cancel(c cancellation) {
	id := c.job
	j, known := s.jobs[id]
	if !known {
		s.cancelledEarly[c] = s.now
		return
	}
	if !c.anyWorkspace && c.workspace != j.rec.Workspace {
		s.explain(id, "cancellation passed over", Field{"workspace", c.workspace}, Field{"owner", j.rec.Workspace})
		s.emit(Count{Name: "cancellations_passed_over"})
		return
	}
	if !s.leading() {
		s.replayedCancels = append(s.replayedCancels, j)
		return
	}
	if j.ended() {
		return
	}
	j.cancelled, j.outlived = true, true
	s.explain(id, "cancelled", Field{"queue", j.rec.Queue})
	s.stopJob(j)
	s.jobEnded(j)
}

// applyReplayedCancels cancels the jobs whose cancellations were replayed, unless they have
// ended. Their runs are stopped when their workers list them.
//
// The guard is against a job that is shown as completed or failed and, by the next leader, as
// cancelled. The intake is replayed before the entries, but a cancellation may have come after
// the end of its job. A job that was cancelled first does not end otherwise in the entries
// (outcomeToRecord).
func (s *Scheduler) applyReplayedCancels() {
	for _, j := range s.replayedCancels {
		if j.ended() {
			continue
		}
		j.cancelled, j.outlived = true, true
		if runs := j.countRuns(); runs > 0 {
			s.explain(j.rec.Id, "cancelled before this leader", Field{"queue", j.rec.Queue}, Field{"runs", runs})
		}
		for _, occ := range j.occs {
			for _, st := range occ.steps {
				s.dequeue(st)
			}
		}
		s.jobEnded(j)
	}
	s.replayedCancels = nil
}
