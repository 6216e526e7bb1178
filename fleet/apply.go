package fleet

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Status says what a record did to the State.
type Status string

// The statuses.
const (
	StatusApplied   Status = "applied"
	StatusRejected  Status = "rejected"  // no effect; Result.Reason says why
	StatusDuplicate Status = "duplicate" // the same change was applied before; no further effect
	StatusSnapshot  Status = "snapshot"  // part of a snapshot; no effect on a State that is whole
	StatusKnown     Status = "known"     // at or before the State's offset; ignored
)

// Result is what became of one record.
type Result struct {
	Offset ports.Offset
	Status Status
	Change *Change      // nil if the record held none that could be read
	Reason Rejection    // for StatusRejected
	First  ports.Offset // for StatusDuplicate: where the change was applied
}

// Applied is an accepted change as the State remembers it.
type Applied struct {
	Offset   ports.Offset `json:"offset"`
	Plan     PlanID       `json:"plan"`
	Planner  string       `json:"planner"`
	Operator string       `json:"operator"`
	At       time.Time    `json:"at"`
	Objects  []Ref        `json:"objects"`
}

// Apply gives the State after one record. s itself does not change.
//
// It returns a *GapError if the record does not follow s, and a
// *NewerFormatError if this program is too old for the record; in both cases
// the State returned is s. Everything else that can be wrong with a record is
// a Result with StatusRejected, and the State moves on to its offset.
func Apply(s *State, r ports.Record) (*State, Result, error) {
	result := Result{Offset: r.Offset, Status: StatusKnown}
	if r.Offset <= s.offset {
		return s, result, nil
	}
	if r.Offset != s.offset+1 {
		return s, result, &GapError{Have: s.offset, Got: r.Offset}
	}
	rec, err := decodeRecord(r)
	if newer, ok := err.(*NewerFormatError); ok {
		return s, result, newer
	}
	d := newDraft(s, r.Offset)
	d.forget()
	switch {
	case err != nil:
		result.Status = StatusRejected
		result.Reason = asMalformed(err)
	case rec.Snapshot != nil:
		result.Status = StatusSnapshot
		d.noteSnapshot(rec.Snapshot)
	default:
		d = d.change(rec.Change, &result)
	}
	return &d.state, result, nil
}

// asMalformed returns err as a rejection.
func asMalformed(err error) Rejection {
	if malformed, ok := err.(*MalformedError); ok {
		return malformed
	}
	return &MalformedError{Detail: err.Error()}
}

// change applies a whole change or, if any part of it is rejected, none of it.
func (d *draft) change(c *Change, result *Result) *draft {
	result.Change = c
	if first := d.state.applied(c.Plan); first != 0 {
		// An append whose answer was lost may be repeated by the operator. The
		// second record must not look stale to them: their change is in force.
		result.Status = StatusDuplicate
		result.First = first
		return d
	}
	next := &draft{state: d.state, at: d.at} // owns no map yet, so d stays as it is
	if reason := next.run(c); reason != nil {
		result.Status = StatusRejected
		result.Reason = reason
		return d
	}
	result.Status = StatusApplied
	next.remember(c)
	return next
}

// run checks a change and carries out its operations on the draft.
func (d *draft) run(c *Change) Rejection {
	if reason := d.checkChange(c); reason != nil {
		return reason
	}
	if changes := d.state.changedSince(c.Base, c.Ops); len(changes) > 0 {
		return &StaleError{Base: c.Base, Changes: changes}
	}
	for _, op := range c.Ops {
		if reason := op.apply(d); reason != nil {
			return reason
		}
	}
	return nil
}

// checkChange checks what does not depend on configured objects.
func (d *draft) checkChange(c *Change) Rejection {
	switch {
	case len(c.Ops) == 0 || len(c.Ops) > MaxOps:
		return &MalformedError{Detail: "a change has 1 to 1000 operations"}
	case !ident.ValidName(c.Planner) || !ident.ValidName(c.Operator):
		return &MalformedError{Detail: "planner and operator must be names"}
	case c.Base >= d.at:
		return &FutureError{Base: c.Base, Offset: d.at}
	case c.Base+PlanWindow < d.at:
		return &ExpiredError{Base: c.Base, Offset: d.at}
	}
	if !encodable(c.At) {
		return &MalformedError{Detail: "the time of the change is out of range"}
	}
	if computed := planID(c.Planner, c.Base, c.Ops); computed != c.Plan || computed == "" {
		return &EditedError{Plan: c.Plan, Computed: computed}
	}
	return nil
}

// remember keeps an accepted change for PlanWindow records and forgets older
// ones. The list is copied: other States may share its array.
func (d *draft) remember(c *Change) {
	keep := d.state.recent
	for len(keep) > 0 && keep[0].Offset+PlanWindow < d.at {
		keep = keep[1:]
	}
	recent := make([]Applied, len(keep), len(keep)+1)
	copy(recent, keep)
	d.state.recent = append(recent, Applied{
		Offset: d.at, Plan: c.Plan, Planner: c.Planner, Operator: c.Operator, At: c.At.UTC(), Objects: c.Objects(),
	})
}

// applied returns the offset at which a plan was applied, or zero.
func (s *State) applied(plan PlanID) ports.Offset {
	i := slices.IndexFunc(s.recent, func(a Applied) bool { return a.Plan == plan })
	if i < 0 {
		return 0
	}
	return s.recent[i].Offset
}

// changedSince lists the objects of ops that changed after base, each once.
func (s *State) changedSince(base ports.Offset, ops Ops) []Changed {
	var changes []Changed
	note := func(ref Ref, at ports.Offset) {
		known := slices.ContainsFunc(changes, func(c Changed) bool { return c.Object == ref })
		if at > base && !known {
			changes = append(changes, s.describe(ref, at))
		}
	}
	for _, op := range ops {
		note(op.Object(), s.Revision(op.Object()))
		if id := op.team(); id != "" {
			note(TeamRef(id), s.teams[id].Created)
		}
	}
	return changes
}

// describe says who changed an object at an offset, if that is remembered.
func (s *State) describe(ref Ref, at ports.Offset) Changed {
	change := Changed{Object: ref, Offset: at}
	i := slices.IndexFunc(s.recent, func(a Applied) bool { return a.Offset == at })
	if i >= 0 {
		change.Operator = s.recent[i].Operator
		change.Plan = s.recent[i].Plan
		change.At = s.recent[i].At
	}
	return change
}
