package fleet

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Plan is the answer to an intent: what would change, whom it touches, what
// cannot be undone. It changes nothing. It is whole in itself, so that any
// entry host can confirm it and none has to keep it.
type Plan struct {
	ID      PlanID       `json:"plan"`
	Planner string       `json:"planner"`
	Made    time.Time    `json:"made"` // wall clock, for people
	Base    ports.Offset `json:"base"`
	Ops     Ops          `json:"ops"`

	Lines        []Line   `json:"lines"`                  // what changes, one line for each operation
	Touches      []Touch  `json:"touches,omitempty"`      // whom it touches
	Irreversible []string `json:"irreversible,omitempty"` // what cannot be undone
	Warnings     []string `json:"warnings,omitempty"`
}

// Line says how one object changes.
type Line struct {
	Object Ref    `json:"object"`
	Before string `json:"before"` // "absent" if the object does not exist
	After  string `json:"after"`  // "absent" if the object is removed
}

// Touch says what work one line of a plan touches.
type Touch struct {
	Object Ref `json:"object"`
	Touched
}

// Touched counts the work that an object has to do with.
type Touched struct {
	Running  int      `json:"running"`            // tasks that run there, or of that team
	Waiting  int      `json:"waiting"`            // jobs that wait
	NeverRun int      `json:"never_run"`          // waiting jobs that could no longer run after the change
	Units    int64    `json:"units"`              // units of the team's limit in use
	Examples []string `json:"examples,omitempty"` // a few identifiers
	Partial  bool     `json:"partial,omitempty"`  // a zone could not be asked: there may be more
}

// Impact tells what work a change would touch. An entry host answers it from
// what it and its peers know.
type Impact interface {
	// Team counts the work of a team; NeverRun counts jobs which need more than
	// limit units at once.
	Team(team ident.TeamID, limit int64) Touched
	Service(service ident.ServiceID) Touched
	Worker(worker ident.WorkerID) Touched
	Upstream(worker ident.WorkerID) Touched
	Host(host ident.HostID) Touched
}

// Change returns the change to append when operator confirms the plan at the
// wall-clock time now.
func (p *Plan) Change(operator string, now time.Time) *Change {
	return &Change{
		Plan: p.ID, Planner: p.Planner, Operator: operator, At: now.UTC().Truncate(time.Second),
		Base: p.Base, Ops: p.Ops,
	}
}

// Check tells what the fold would say if the plan were confirmed now, without
// changing anything. It returns nil or a Rejection. It saves an append that is
// bound to be rejected, and gives the reason while the log is down.
func (p *Plan) Check(s *State, operator string, now time.Time) error {
	d := newDraft(s, s.offset+1)
	if s.applied(p.ID) != 0 {
		return nil
	}
	if reason := d.run(p.Change(operator, now)); reason != nil {
		return reason
	}
	return nil
}
