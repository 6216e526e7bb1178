package losses

import (
	"cmp"
	"slices"
	"time"
)

// Phase is a phase between the submission and the end of a job.
type Phase string

// Phases of a job, in order.
const (
	PhaseAccept      Phase = "accepted by the log"
	PhaseAdvice      Phase = "waited for advice"
	PhaseCapacity    Phase = "waited for room"
	PhaseCap         Phase = "waited for its workspace's cap"
	PhaseRerunLost   Phase = "run again: run lost or stopped"
	PhaseRerunFailed Phase = "run again: run failed"
	PhaseRun         Phase = "ran, and its end was noted"
)

// Phases lists all phases, in the order in which tables list them.
var Phases = []Phase{PhaseAccept, PhaseAdvice, PhaseCapacity, PhaseCap, PhaseRerunLost, PhaseRerunFailed, PhaseRun}

// heldByCap is the value of held_by for a step that waited for its workspace's cap.
const heldByCap = "cap"

// pastUseFactor objectives after its acceptance, the result of a job is of no use to its caller.
const pastUseFactor = 3

// Report is the content of the logs, by job.
type Report struct {
	Unread  int // lines without a JSON object
	Refused int // requests that were refused
	jobs    map[string]*job
}

// job holds the log lines of one job.
type job struct {
	accepted     *line
	completed    *line
	assigned     []*line
	notCompleted []*line // runs that were lost, stopped or failed
}

func (r *Report) add(l *line) {
	if l.Msg == msgRefused {
		r.Refused++
		return
	}
	if l.Job == "" {
		return
	}
	j, known := r.jobs[l.Job]
	if !known {
		j = &job{}
		r.jobs[l.Job] = j
	}
	switch l.Msg {
	case msgAccepted:
		if j.accepted == nil || l.Time.Before(j.accepted.Time) {
			j.accepted = l
		}
	case msgAssigned:
		j.assigned = append(j.assigned, l)
	case msgRunLost, msgRunStopped, msgRunFailed:
		j.notCompleted = append(j.notCompleted, l)
	case msgCompleted:
		j.completed = l
	}
}

// LateJob is a job that completed after its objective, and what took most of its time.
type LateJob struct {
	Job       string
	Queue     string
	Workspace string
	Zone      string        // of the host that accepted it
	At        time.Time     // when it was accepted
	Took      time.Duration // from acceptance to its end
	PastUse   bool          // took more than pastUseFactor objectives
	Phase     Phase
}

// LateJobs returns the completed jobs that were late, in the order of acceptance.
func (r *Report) LateJobs() []LateJob {
	var out []LateJob
	for id, j := range r.jobs {
		if j.accepted == nil || j.completed == nil || j.completed.ObjectiveMs <= 0 || j.completed.AfterMs <= j.completed.ObjectiveMs {
			continue
		}
		out = append(out, LateJob{
			Job: id, Queue: j.accepted.Queue, Workspace: j.accepted.Workspace, Zone: j.accepted.Zone, At: j.accepted.Time,
			Took:    time.Duration(j.completed.AfterMs) * time.Millisecond,
			PastUse: j.completed.AfterMs > pastUseFactor*j.completed.ObjectiveMs,
			Phase:   j.longestPhase(),
		})
	}
	slices.SortFunc(out, func(a, b LateJob) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Job, b.Job)) })
	return out
}

// Completed returns the number of completed jobs.
func (r *Report) Completed() int {
	n := 0
	for _, j := range r.jobs {
		if j.completed != nil {
			n++
		}
	}
	return n
}

// longestPhase returns the phase that took the most time. The time from the first to the last
// assignment counts as running again, by the cause of most reruns; within a wait, the time that
// advice took is counted separately.
func (j *job) longestPhase() Phase {
	took := map[Phase]time.Duration{PhaseAccept: ms(j.accepted.AcceptMs)}
	if len(j.assigned) == 0 {
		return PhaseCapacity
	}
	slices.SortFunc(j.assigned, func(a, b *line) int { return a.Time.Compare(b.Time) })
	first, last := j.assigned[0], j.assigned[len(j.assigned)-1]
	advice := min(max(ms(first.AdvisedMs), 0), ms(first.WaitedMs))
	took[PhaseAdvice] = advice
	took[waitPhase(first)] += ms(first.WaitedMs) - advice
	took[j.rerunPhase()] += last.Time.Sub(first.Time)
	took[PhaseRun] = j.completed.Time.Sub(last.Time)
	best := PhaseRun
	for _, p := range Phases {
		if took[p] > took[best] {
			best = p
		}
	}
	return best
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func waitPhase(l *line) Phase {
	if l.HeldBy == heldByCap {
		return PhaseCap
	}
	return PhaseCapacity
}

// rerunPhase returns the phase for the time between assignments, by how most of the runs in it
// ended. If none was lost, stopped or failed, a further assignment is that of a later step.
func (j *job) rerunPhase() Phase {
	failed := 0
	for _, l := range j.notCompleted {
		if l.Msg == msgRunFailed {
			failed++
		}
	}
	switch {
	case len(j.notCompleted) == 0:
		return PhaseRun
	case 2*failed > len(j.notCompleted):
		return PhaseRerunFailed
	}
	return PhaseRerunLost
}
