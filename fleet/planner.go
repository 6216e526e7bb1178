package fleet

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

const (
	// MaxOverlap is the longest time that an old key may outlive its rotation.
	MaxOverlap = 90 * 24 * time.Hour

	// expiredGrace is how long after its end an old key is still kept, so that
	// hosts whose wall clocks differ agree that it has ended before it goes.
	expiredGrace = time.Hour
)

// MakePlan computes the plan of an intent against a State. planner is the
// operator's name, now the wall clock. It returns a Rejection if the intent
// cannot be met, a *NothingError among them.
func MakePlan(s *State, intent Intent, planner string, now time.Time, impact Impact) (Plan, error) {
	m := &maker{
		draft: newDraft(s, s.offset+1), impact: impact, now: now.UTC().Truncate(time.Second), seen: make(map[Ref]bool),
		plan: Plan{Planner: planner, Made: now.UTC().Truncate(time.Second), Base: s.offset},
	}
	if reason := m.intent(intent); reason != nil {
		return Plan{}, reason
	}
	if len(m.plan.Ops) == 0 {
		return Plan{}, &NothingError{}
	}
	m.plan.ID = planID(planner, m.plan.Base, m.plan.Ops)
	if err := m.plan.Check(s, planner, now); err != nil {
		return Plan{}, err
	}
	return m.plan, nil
}

// maker makes one plan. It carries out each operation on a draft, so that
// later wants see what earlier ones would change.
type maker struct {
	draft  *draft
	impact Impact
	now    time.Time // wall clock, whole seconds
	plan   Plan
	seen   map[Ref]bool // objects that the intent has named
}

// intent goes through everything that is wanted: teams first, because keys and
// services may belong to new ones, and removed teams last.
func (m *maker) intent(in Intent) Rejection {
	for _, want := range in.Teams {
		if want.Absent {
			continue
		}
		if reason := m.putTeam(want); reason != nil {
			return reason
		}
	}
	for _, want := range in.Keys {
		if reason := m.key(want); reason != nil {
			return reason
		}
	}
	for _, want := range in.Services {
		if reason := m.service(want); reason != nil {
			return reason
		}
	}
	for _, want := range in.Marks {
		if reason := m.mark(want); reason != nil {
			return reason
		}
	}
	for _, want := range in.Teams {
		if !want.Absent {
			continue
		}
		if reason := m.removeTeam(want.Team); reason != nil {
			return reason
		}
	}
	return nil
}

// once notes that the intent names an object, and refuses a second time: of
// two wishes for one object it is not clear which one counts.
func (m *maker) once(ref Ref) Rejection {
	if m.seen[ref] {
		return &ValueError{Object: ref, Field: "intent", Value: "named twice", Allowed: "each object once"}
	}
	m.seen[ref] = true
	return nil
}

// do adds an operation to the plan and carries it out on the draft.
func (m *maker) do(op Op) Rejection {
	ref := op.Object()
	before := m.draft.state.describeObject(ref)
	if reason := op.apply(m.draft); reason != nil {
		return reason
	}
	m.plan.Ops = append(m.plan.Ops, op)
	after := m.draft.state.describeObject(ref)
	m.plan.Lines = append(m.plan.Lines, Line{Object: ref, Before: before, After: after})
	return nil
}

func (m *maker) warn(format string, args ...any) {
	m.plan.Warnings = append(m.plan.Warnings, fmt.Sprintf(format, args...))
}

func (m *maker) irreversible(format string, args ...any) {
	m.plan.Irreversible = append(m.plan.Irreversible, fmt.Sprintf(format, args...))
}

// touch notes the work that an object has to do with.
func (m *maker) touch(ref Ref, t Touched) {
	if t.Partial {
		m.warn("%s: not every zone could be asked; more work may be touched than is shown.", ref)
	}
	if t.Running+t.Waiting+t.NeverRun > 0 || t.Units > 0 {
		m.plan.Touches = append(m.plan.Touches, Touch{Object: ref, Touched: t})
	}
}

func (m *maker) putTeam(want WantTeam) Rejection {
	ref := TeamRef(want.Team)
	if reason := m.once(ref); reason != nil {
		return reason
	}
	old, exists := m.draft.state.teams[want.Team]
	if !exists && want.Limit == nil {
		return &ValueError{Object: ref, Field: "limit", Value: "", Allowed: "a number of units; a new team needs one"}
	}
	op := &PutTeam{Team: want.Team, Share: max(old.Share, 1), Limit: old.Limit, Create: !exists}
	if want.Share != nil {
		op.Share = *want.Share
	}
	if want.Limit != nil {
		op.Limit = *want.Limit
	}
	if exists && op.Share == old.Share && op.Limit == old.Limit {
		return nil
	}
	if reason := m.do(op); reason != nil {
		return reason
	}
	if exists && op.Limit < old.Limit {
		m.limitLowered(op)
	}
	if op.Limit == 0 {
		m.warn("Team %s has a limit of 0: nothing of it can run.", want.Team)
	}
	m.checkReplicas(want.Team)
	return nil
}

// limitLowered tells what a lower limit means for work at hand.
func (m *maker) limitLowered(op *PutTeam) {
	t := m.impact.Team(op.Team, op.Limit)
	m.touch(TeamRef(op.Team), t)
	if t.Units > op.Limit {
		m.warn("Team %s has %d units running, %d more than its new limit. Nothing is stopped; nothing new starts until they have ended.",
			op.Team, t.Units, t.Units-op.Limit)
	}
	if t.NeverRun > 0 {
		m.warn("%d waiting jobs of team %s need more than its new limit at once and can no longer run.", t.NeverRun, op.Team)
	}
}

// removeTeam withdraws the team's keys and removes its services, then the team.
func (m *maker) removeTeam(team ident.TeamID) Rejection {
	ref := TeamRef(team)
	if reason := m.once(ref); reason != nil {
		return reason
	}
	if _, exists := m.draft.state.teams[team]; !exists {
		return nil
	}
	for _, key := range m.draft.state.KeysOf(team) {
		if reason := m.do(&WithdrawKey{Key: key.ID}); reason != nil {
			return reason
		}
	}
	for _, service := range m.draft.state.ServicesOf(team) {
		if reason := m.removeService(service); reason != nil {
			return reason
		}
	}
	if reason := m.do(&RemoveTeam{Team: team}); reason != nil {
		return reason
	}
	t := m.impact.Team(team, 0)
	m.touch(ref, t)
	m.irreversible("Team %s and all its keys go. A team of the same name is another team and needs new keys.", team)
	if t.Waiting > 0 {
		m.warn("%d waiting jobs of team %s can no longer run.", t.Waiting, team)
	}
	m.warnCutOff()
	return nil
}

// mark sets or takes away a mark.
func (m *maker) mark(want WantMark) Rejection {
	if reason := m.once(want.Target); reason != nil {
		return reason
	}
	old := m.draft.state.marks[want.Target]
	if old.Mode == want.Mode && (want.Mode == ModeNone || old.Reason == want.Reason) {
		return nil
	}
	if reason := m.do(&SetMark{Target: want.Target, Mode: want.Mode, Reason: want.Reason}); reason != nil {
		return reason
	}
	if want.Mode == ModeNone {
		return nil
	}
	m.touch(want.Target, m.touchedBy(want.Target))
	m.warnMark(want)
	return nil
}

// touchedBy counts the work on a marked object.
func (m *maker) touchedBy(ref Ref) Touched {
	switch ref.Kind {
	case KindWorker:
		return m.impact.Worker(ident.WorkerID(ref.ID))
	case KindUpstream:
		return m.impact.Upstream(ident.WorkerID(ref.ID))
	case KindHost:
		return m.impact.Host(ident.HostID(ref.ID))
	}
	return Touched{}
}

// warnMark says what a mark will do.
func (m *maker) warnMark(want WantMark) {
	switch {
	case want.Target.Kind == KindHost:
		m.warn("%s takes no new work; what is in flight ends first. Its workers go to other hosts of its zone.", want.Target)
	case want.Mode == ModeDrain && want.Target.Kind == KindWorker:
		m.warn("%s takes nothing new; requests run to their end, displaceable tasks are checkpointed and start elsewhere, other tasks run to their end.",
			want.Target)
	default:
		m.warn("%s takes nothing new; what runs there runs to its end.", want.Target)
	}
}
