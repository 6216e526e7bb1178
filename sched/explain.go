package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
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

// Placement is where a task runs and why that worker was chosen.
type Placement struct {
	ID     ident.AttemptID
	Worker ident.WorkerID
	Why    string
}

// Explanation says why a job waits, or where it was placed.
type Explanation struct {
	Job     ident.JobID
	State   JobState
	Kind    work.Kind
	Team    ident.TeamID
	Waiting int // tasks that wait
	Waited  time.Duration

	Feasible   int // workers that could take one task now
	Rejections []Rejection
	Held       bool // room is held for the job

	Ahead       int     // jobs that come earlier in the order
	Share       float64 // dominant share that the team uses, of the zone
	Entitled    float64 // share that the team may expect while the zone is full
	LimitUnits  int64   // units of the team's limit that one task takes
	LimitBlocks bool    // the team's upper limit is what stops it

	NotBefore      time.Duration // time until the next attempt, after a failure
	PredictedIn    time.Duration // predicted time until the start; negative if not known
	PredictedError time.Duration // mean error of recent predictions
	Attempts       int
	LastFailure    string

	Placements []Placement
}

// Explain says why a job waits, or where it was placed.
func (s *Scheduler) Explain(now time.Duration, job ident.JobID) Explanation {
	return Explanation{Job: job, State: StateUnknown}
}

// Words renders the explanation for an operator.
func (e Explanation) Words() string { return "" }
