package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	StateUnknown JobState = "unknown" // ended, or unknown to this scheduler
	StateWaiting JobState = "waiting" // no task is running
	StateRunning JobState = "running" // at least one task is running
)

// Rejection is the number of workers that one feasibility check rejected.
type Rejection struct {
	Filter  string
	Workers int
}

// Placement is the running attempt of a task and its worker.
type Placement struct {
	ID       ident.AttemptID
	Worker   ident.WorkerID
	Rack     string
	Ran      time.Duration
	EndsIn   time.Duration   // expected
	Free     resource.Vector // of the worker
	Size     resource.Vector // of the worker
	Stopping bool
}

// Explanation describes why a job waits, or where it runs.
type Explanation struct {
	Job     ident.JobID
	State   JobState
	Kind    work.Kind
	Team    ident.TeamID
	Need    resource.Vector
	Tasks   int
	Done    int
	Waiting int           // tasks in the queue
	Delayed int           // tasks in backoff
	Waited  time.Duration // since the job was accepted

	Workers    int // known workers
	Feasible   int // workers on which one task fits now
	Rejections []Rejection
	Held       int // workers held for the job

	Ahead       int     // jobs of the team that come earlier in the queue
	Share       float64 // dominant share of the zone that the team uses
	Entitled    float64 // fair share of the team while the zone is full
	LimitUnits  int64   // limit units that the job needs to start
	UnitsInUse  int64   // limit units that the team uses in this zone
	LimitBlocks bool    // the upper limit of the team blocks the job

	Predicted   bool
	PredictedIn time.Duration // predicted time until the start
	Accuracy    Accuracy      // of recent predictions

	Attempts    int // assigned so far, for all tasks
	LastFailure string
	Placements  []Placement // at most maxPlacements
}

// maxPlacements is the maximum number of placements in one explanation.
const maxPlacements = 16

// Explain returns why a job waits, or where it runs. It checks every worker, so
// it is meant for operators and must not be called on the placement path.
func (s *Scheduler) Explain(now time.Duration, id ident.JobID) Explanation {
	s.now = max(s.now, now)
	j, ok := s.jobs[id]
	if !ok {
		return Explanation{Job: id, State: StateUnknown}
	}
	e := Explanation{
		Job:         id,
		State:       StateWaiting,
		Kind:        j.spec.Kind,
		Team:        j.spec.Team,
		Need:        j.need,
		Tasks:       j.spec.Tasks,
		Done:        j.done,
		Waiting:     j.waiting(),
		Delayed:     j.delayed,
		Waited:      s.now - j.accepted,
		Workers:     s.cell.Len(),
		Ahead:       len(s.queue.AheadOf(&j.item)),
		Share:       s.queue.Share(j.team.Team),
		Entitled:    s.queue.Entitled(j.team.Team),
		LimitUnits:  j.startUnits(),
		UnitsInUse:  j.team.unitsInUse,
		LimitBlocks: s.limitBlocks(j),
		LastFailure: j.reason,
	}
	if j.open > 0 {
		e.State = StateRunning
	}
	s.explainPlacements(j, &e)
	if e.Waiting > 0 {
		s.explainWait(j, &e)
	}
	return e
}

func (s *Scheduler) explainWait(j *job, e *Explanation) {
	var ignore place.Bars
	if j.hold != nil {
		ignore = place.BarHeld
		e.Held = len(j.hold.workers)
	}
	rejections, fitting := s.queryPlacer.Explain(j.need, ignore)
	e.Feasible = fitting
	for reason, workers := range rejections {
		if workers > 0 {
			e.Rejections = append(e.Rejections, Rejection{place.Reason(reason).String(), int(workers)})
		}
	}
	e.PredictedIn, e.Predicted = s.predictStart(j)
	e.Accuracy = s.accuracy
}

func (s *Scheduler) explainPlacements(j *job, e *Explanation) {
	for i := range j.tasks {
		e.Attempts += int(j.tasks[i].attempts)
		a := j.tasks[i].run
		if a == nil || len(e.Placements) == maxPlacements {
			continue
		}
		w := s.cell.Worker(a.worker)
		e.Placements = append(e.Placements, Placement{
			ID:       a.id,
			Worker:   w.ID,
			Rack:     s.cell.RackName(w.Rack),
			Ran:      s.now - a.since,
			EndsIn:   s.expectedEnd(a) - s.now,
			Free:     w.Free,
			Size:     w.Size,
			Stopping: a.stopping != "",
		})
	}
}
