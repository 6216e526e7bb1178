package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// wall is the wall clock of these tests.
var wall = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// stream is a log stream with a host that follows it.
type stream struct {
	t       *testing.T
	records []ports.Record
	state   *State
}

func newStream(t *testing.T) *stream { return &stream{t: t, state: Empty()} }

// add appends a raw record and folds it.
func (s *stream) add(data []byte) Result {
	s.t.Helper()
	r := ports.Record{Offset: ports.Offset(len(s.records) + 1), Data: data}
	next, result, err := Apply(s.state, r)
	if err != nil {
		s.t.Fatalf("offset %d: %v", r.Offset, err)
	}
	s.records = append(s.records, r)
	s.state = next
	return result
}

// plan makes a plan against the newest State.
func (s *stream) plan(operator string, in Intent) Plan {
	s.t.Helper()
	p, err := MakePlan(s.state, in, operator, wall, NoImpact{})
	if err != nil {
		s.t.Fatalf("plan: %v", err)
	}
	return p
}

// confirm appends a plan, as its operator does.
func (s *stream) confirm(operator string, p Plan) Result {
	s.t.Helper()
	data, err := EncodeChange(p.Change(operator, wall))
	if err != nil {
		s.t.Fatal(err)
	}
	return s.add(data)
}

// must plans and confirms, and expects the change to be applied.
func (s *stream) must(in Intent) {
	s.t.Helper()
	if result := s.confirm("asha", s.plan("asha", in)); result.Status != StatusApplied {
		s.t.Fatalf("got %s: %v", result.Status, result.Reason)
	}
}

func ptr[T any](v T) *T { return &v }

// team wants a team with a limit.
func team(id ident.TeamID, limit int64) Intent {
	return Intent{Teams: []WantTeam{{Team: id, Limit: &limit}}}
}

// key draws the n-th key of a test.
func key(n byte) (string, KeyID, KeyHash) {
	secret, id, hash, err := NewKey(bytes.NewReader(bytes.Repeat([]byte{n}, 64)))
	if err != nil {
		panic(err)
	}
	return secret, id, hash
}

// Story: two operators plan a new limit for the same team at the same time and
// both confirm. The second is told that its plan is stale, who was first and
// with which plan; the first limit is in force. Cause: both plans name the
// same offset, and the team changed after it.
func TestTwoOperatorsRace(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	first := s.plan("asha", team("grants", 20))
	second := s.plan("bert", team("grants", 30))
	other := s.plan("bert", team("audit", 5))

	if got := s.confirm("asha", first); got.Status != StatusApplied {
		t.Fatalf("first: %+v", got)
	}
	got := s.confirm("bert", second)
	var stale *StaleError
	if got.Status != StatusRejected || !errors.As(got.Reason, &stale) {
		t.Fatalf("second: %+v", got)
	}
	want := []Changed{{Object: TeamRef("grants"), Offset: 2, Operator: "asha", Plan: first.ID, At: wall}}
	if diff := cmp.Diff(want, stale.Changes); diff != "" {
		t.Error(diff)
	}
	if limit := s.state.teams["grants"].Limit; limit != 20 {
		t.Errorf("limit is %d, want the first one's", limit)
	}
	if got := s.confirm("bert", other); got.Status != StatusApplied {
		t.Errorf("a plan for another object was rejected: %v", got.Reason)
	}
}

// Story: an operator plans a key for a team. Meanwhile a colleague removes the
// team and another team of the same name is created. Confirming the old plan
// must not give its key to the new team.
func TestPlanForTeamCreatedAnew(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	_, id, hash := key(1)
	p := s.plan("asha", Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}})
	s.must(Intent{Teams: []WantTeam{{Team: "grants", Absent: true}}})
	s.must(team("grants", 10))
	var stale *StaleError
	if got := s.confirm("asha", p); !errors.As(got.Reason, &stale) {
		t.Errorf("got %+v", got)
	}
}

// Story: a colleague marks a worker and takes the mark away again. A plan made
// before for the same worker is stale, although no mark is left that differs.
func TestPlanForRemovedObjectIsStale(t *testing.T) {
	s := newStream(t)
	mark := func(mode Mode) Intent {
		return Intent{Marks: []WantMark{{Target: WorkerRef("w1"), Mode: mode}}}
	}
	p := s.plan("asha", mark(ModeCordon))
	s.must(mark(ModeDrain))
	s.must(mark(ModeNone))
	var stale *StaleError
	if got := s.confirm("asha", p); !errors.As(got.Reason, &stale) {
		t.Errorf("got %+v", got)
	}
}

// Story: the log took a confirmation but its answer was lost, and the operator
// confirms once more. The second record has no effect and is not reported as
// stale: what the operator wanted is in force.
func TestConfirmedTwice(t *testing.T) {
	s := newStream(t)
	p := s.plan("asha", team("grants", 10))
	s.confirm("asha", p)
	before := s.state.Teams()
	got := s.confirm("bert", p)
	if got.Status != StatusDuplicate || got.First != 1 {
		t.Errorf("got %+v", got)
	}
	if diff := cmp.Diff(before, s.state.Teams()); diff != "" {
		t.Error(diff)
	}
}

// Story: somebody edits the plan file between plan and confirm, to a limit that
// was never shown to anyone. The identifier no longer fits and the record is
// rejected.
func TestEditedPlan(t *testing.T) {
	s := newStream(t)
	p := s.plan("asha", team("grants", 10))
	p.Ops[0].(*PutTeam).Limit = 1000
	var edited *EditedError
	if got := s.confirm("asha", p); !errors.As(got.Reason, &edited) {
		t.Errorf("got %+v", got)
	}
}

// Story: a plan lies on a desk for days. What it touches may have changed and
// been forgotten, so it is refused by its age alone.
func TestOldPlan(t *testing.T) {
	s := newStream(t)
	p := s.plan("asha", team("grants", 10))
	for range PlanWindow {
		s.add([]byte("noise"))
	}
	var expired *ExpiredError
	if got := s.confirm("asha", p); !errors.As(got.Reason, &expired) {
		t.Errorf("got %+v", got)
	}
}

// Story: a plan comes from a host of another deployment, whose stream is
// longer. It names an offset that this stream has not reached.
func TestPlanFromAnotherStream(t *testing.T) {
	s := newStream(t)
	ops := Ops{&PutTeam{Team: "grants", Share: 1, Limit: 5, Create: true}}
	p := Plan{Planner: "asha", Base: 7, Ops: ops, ID: planID("asha", 7, ops)}
	var future *FutureError
	if got := s.confirm("asha", p); !errors.As(got.Reason, &future) {
		t.Errorf("got %+v", got)
	}
}

// Story: a page of the stream is lost on the way. The record after the gap may
// not be folded: the host would miss the changes between for ever.
func TestGap(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	next, _, err := Apply(s.state, ports.Record{Offset: 3, Data: []byte("noise")})
	var gap *GapError
	if !errors.As(err, &gap) || next != s.state {
		t.Errorf("got %v", err)
	}
}

// Story: one change creates a team and, by a mistake, a service with an
// impossible need. Neither may take effect.
func TestRejectedWhole(t *testing.T) {
	s := newStream(t)
	ops := Ops{
		&PutTeam{Team: "grants", Share: 1, Limit: 5, Create: true},
		&PutService{Service: "checks", Team: "grants", Replicas: 1, Need: resource.Vector{MilliCPU: -1}},
	}
	p := Plan{Planner: "asha", Ops: ops, ID: planID("asha", 0, ops)}
	var value *ValueError
	if got := s.confirm("asha", p); !errors.As(got.Reason, &value) {
		t.Fatalf("got %+v", got)
	}
	if len(s.state.teams) != 0 || s.state.Offset() != 1 {
		t.Errorf("teams %v at offset %d", s.state.Teams(), s.state.Offset())
	}
}

// invalid holds operations that the fold must reject, with the type of reason.
var invalid = []struct {
	op   Op
	want Rejection
}{
	{&PutTeam{Team: "x", Share: 1}, &MissingError{}},
	{&PutTeam{Team: "grants", Share: 1, Create: true}, &ExistsError{}},
	{&PutTeam{Team: "a.b", Share: 1, Create: true}, &ValueError{}},
	{&PutTeam{Team: "grants", Share: 0}, &ValueError{}},
	{&PutTeam{Team: "grants", Share: 1, Limit: -1}, &ValueError{}},
	{&RemoveTeam{Team: "x"}, &MissingError{}},
	{&RemoveTeam{Team: "grants"}, &InUseError{}},
	{&GiveKey{Key: "k2", Team: "x", Hash: KeyHash{1}}, &MissingError{}},
	{&GiveKey{Key: "k2", Team: "grants"}, &ValueError{}},
	{&GiveKey{Key: "K 2", Team: "grants", Hash: KeyHash{1}}, &ValueError{}},
	{&ExpireKey{Key: "k2", Until: wall}, &MissingError{}},
	{&WithdrawKey{Key: "k2"}, &MissingError{}},
	{&PutService{Service: "s", Team: "x"}, &MissingError{}},
	{&PutService{Service: "s", Team: "grants", Replicas: 1}, &ValueError{}},
	{&PutService{Service: "s", Team: "grants", Need: resource.Vector{Slots: 1}}, &ValueError{}},
	{&PutService{Service: "s", Team: "grants", RequestTimeout: -1}, &ValueError{}},
	{&RemoveService{Service: "s"}, &MissingError{}},
	{&SetMark{Target: WorkerRef("w1"), Mode: "off"}, &ValueError{}},
	{&SetMark{Target: TeamRef("grants"), Mode: ModeDrain}, &ValueError{}},
	{&SetMark{Target: WorkerRef("w1"), Mode: ModeDrain, Reason: "\x1b[2J"}, &ValueError{}},
	{&SetMark{Target: WorkerRef("w1")}, &MissingError{}},
}

func TestInvalidOperations(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	_, id, hash := key(1)
	s.must(Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}})
	before := s.state
	for _, c := range invalid {
		ops := Ops{c.op}
		p := Plan{Planner: "asha", Base: s.state.Offset(), Ops: ops, ID: planID("asha", s.state.Offset(), ops)}
		got := s.confirm("asha", p)
		if fmt.Sprintf("%T", got.Reason) != fmt.Sprintf("%T", c.want) {
			t.Errorf("%s %+v: got %T (%v), want %T", c.op.name(), c.op, got.Reason, got.Reason, c.want)
		}
	}
	if diff := cmp.Diff(before.Teams(), s.state.Teams()); diff != "" {
		t.Error(diff)
	}
}

// Story: hosts are replaced one by one by a newer program, whose operators use
// a new kind of record. A host with the old program must stop at that record:
// rejecting it would leave the host with another configuration than the rest.
func TestNewerFormatStopsTheFold(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	next, _, err := Apply(s.state, ports.Record{Offset: 2, Data: []byte(`{"v":2,"anything":true}`)})
	var newer *NewerFormatError
	if !errors.As(err, &newer) || next != s.state {
		t.Errorf("got %v", err)
	}
}

// Story: a plan travels to the operator and back as JSON, and is confirmed at
// another host. It must still fit its identifier.
func TestPlanSurvivesTravel(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	_, id, hash := key(1)
	s.must(Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}})
	_, id2, hash2 := key(2)
	p := s.plan("asha", Intent{
		Teams:    []WantTeam{{Team: "audit", Limit: ptr(int64(3)), Share: ptr(int64(2))}},
		Keys:     []WantKey{{Action: KeyRotate, Old: id, Key: id2, Hash: hash2, Overlap: time.Hour}},
		Services: []WantService{{Service: "checks", Team: ptr(ident.TeamID("audit")), Payload: ptr("<&>")}},
		Marks:    []WantMark{{Target: UpstreamRef("w1"), Mode: ModeDrain, Reason: "Wartung für Jürgen"}},
	})
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var back Plan
	if err := json.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	if got := s.confirm("bert", back); got.Status != StatusApplied {
		t.Errorf("got %+v", got)
	}
}
