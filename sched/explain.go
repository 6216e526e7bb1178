package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// JobState is where a job stands.
type JobState string

// The states of a job.
const (
	StateUnknown JobState = "unknown" // not known to this scheduler
	StateWaiting JobState = "waiting" // no task runs
	StateRunning JobState = "running" // at least one task runs
)

// Rejection counts the workers that one filter turned away.
type Rejection struct {
	Filter  string
	Workers int
}

// Placement is where a task runs and what is expected of it.
type Placement struct {
	ID       ident.AttemptID
	Worker   ident.WorkerID
	Rack     string
	Ran      time.Duration
	EndsIn   time.Duration // expected
	Free     resource.Vector
	Size     resource.Vector
	Stopping bool
}

// Explanation says why a job waits, or where it was placed.
type Explanation struct {
	Job     ident.JobID
	State   JobState
	Kind    work.Kind
	Team    ident.TeamID
	Need    resource.Vector
	Tasks   int
	Done    int
	Waiting int           // tasks that wait
	Delayed int           // tasks that wait out a back-off
	Waited  time.Duration // since the job was accepted

	Workers    int // that are known
	Feasible   int // workers that could take one task now
	Rejections []Rejection
	Held       int // workers that are held for the job

	Ahead       int     // jobs of the team that come earlier in the order
	Share       float64 // dominant share of the zone that the team uses
	Entitled    float64 // share that the team may expect while the zone is full
	LimitUnits  int64   // units of the team's limit that the job needs to start
	UnitsInUse  int64   // units that the team uses in this zone
	LimitBlocks bool    // the team's upper limit is what stops the job

	Predicted   bool
	PredictedIn time.Duration // predicted time until the start
	Accuracy    Accuracy      // of recent predictions

	Attempts    int // assigned so far, over all tasks
	LastFailure string
	Placements  []Placement // at most placementsMost
}

// placementsMost bounds the placements of one explanation.
const placementsMost = 16

// Explain says why a job waits, or where it was placed. It looks at every
// worker, so it is for operators and not for the path of a placement.
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
		LimitBlocks: s.limited(j),
		LastFailure: j.reason,
	}
	if j.open > 0 {
		e.State = StateRunning
	}
	s.explainPlaces(j, &e)
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
	rejections, fitting := s.asked.Explain(j.need, ignore)
	e.Feasible = fitting
	for reason, workers := range rejections {
		if workers > 0 {
			e.Rejections = append(e.Rejections, Rejection{place.Reason(reason).String(), int(workers)})
		}
	}
	e.PredictedIn, e.Predicted = s.predictStart(j)
	e.Accuracy = s.accuracy
}

func (s *Scheduler) explainPlaces(j *job, e *Explanation) {
	for i := range j.tasks {
		e.Attempts += int(j.tasks[i].attempts)
		a := j.tasks[i].run
		if a == nil || len(e.Placements) == placementsMost {
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
