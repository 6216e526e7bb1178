package fleet

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// busy is an Impact of a fleet at work.
type busy struct{ NoImpact }

func (busy) Team(ident.TeamID, int64) Touched {
	return Touched{Running: 9, Waiting: 4, NeverRun: 2, Units: 12}
}

func (busy) Worker(ident.WorkerID) Touched {
	return Touched{Running: 3, Examples: []string{"a.a1.1.2"}}
}

// planned makes a plan at a busy fleet and returns it as text.
func (s *stream) planned(in Intent) (Plan, string) {
	s.t.Helper()
	p, err := MakePlan(s.state, in, "asha", wall, busy{})
	if err != nil {
		s.t.Fatal(err)
	}
	return p, fmt.Sprint(p.Lines, p.Touches, p.Irreversible, p.Warnings)
}

func wantAll(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing from %s", part, text)
		}
	}
}

// Story: a colleague lowers a limit below what runs. The plan must say, before
// anything happens, that nothing is stopped, what cannot start, and which jobs
// can no longer run at all.
func TestPlanOfLowerLimit(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 20))
	p, text := s.planned(team("grants", 10))
	wantAll(t, text, "share 1, limit 20 units", "share 1, limit 10 units", "12 units running, 2 more than",
		"2 waiting jobs of team grants need more")
	if len(p.Touches) != 1 || p.Touches[0].Units != 12 {
		t.Errorf("touches %+v", p.Touches)
	}
	if _, raised := s.planned(team("grants", 30)); strings.Contains(raised, "waiting") {
		t.Errorf("a higher limit warns: %s", raised)
	}
}

// Story: a team is removed with one intent. Its keys and services go with it,
// each shown; the plan says that this cannot be undone.
func TestPlanOfRemovedTeam(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 20))
	_, id, hash := key(1)
	s.must(Intent{
		Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}},
		Services: []WantService{{
			Service: "checks", Team: ptr(ident.TeamID("grants")), Replicas: ptr(3), Need: &resource.Vector{MilliCPU: 10},
		}},
	})
	p, text := s.planned(Intent{Teams: []WantTeam{{Team: "grants", Absent: true}}})
	wantAll(t, text, "key "+string(id), "3 replicas of service checks will be stopped", "needs new keys",
		"4 waiting jobs of team grants can no longer run", "cut off")
	if s.confirm("asha", p); len(s.state.Teams())+len(s.state.Keys())+len(s.state.Services()) != 0 {
		t.Error("something is left")
	}
}

func TestPlanWarnings(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 2))
	_, id, hash := key(1)
	s.must(Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}})
	_, id2, hash2 := key(2)
	cases := []struct {
		in   Intent
		want string
	}{
		{Intent{Keys: []WantKey{{Action: KeyWithdraw, Key: id}}}, "no other key"},
		{Intent{Keys: []WantKey{{Action: KeyWithdraw, Key: id}}}, "never be made valid again"},
		{Intent{Keys: []WantKey{{Action: KeyRotate, Old: id, Key: id2, Hash: hash2, Overlap: time.Hour}}}, "until 2026-12-02 10:00:00 UTC"},
		{Intent{Services: []WantService{{Service: "s", Team: ptr(ident.TeamID("grants")), Replicas: ptr(3),
			Need: &resource.Vector{MilliCPU: 1000}}}}, "need 3 units with all replicas; its limit is 2"},
		{Intent{Marks: []WantMark{{Target: WorkerRef("w1"), Mode: ModeDrain}}}, "checkpointed"},
		{Intent{Marks: []WantMark{{Target: UpstreamRef("w1"), Mode: ModeDrain}}}, "runs to its end"},
		{Intent{Marks: []WantMark{{Target: HostRef("a1"), Mode: ModeDrain}}}, "not every zone could be asked"},
		{team("idle", 0), "nothing of it can run"},
	}
	for _, c := range cases {
		_, text := s.planned(c.in)
		wantAll(t, text, c.want)
	}
}

func TestPlanRefusals(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 2))
	cases := []struct {
		in   Intent
		want Rejection
	}{
		{Intent{}, &NothingError{}},
		{team("grants", 2), &NothingError{}},
		{Intent{Teams: []WantTeam{{Team: "x", Absent: true}}}, &NothingError{}},
		{Intent{Teams: []WantTeam{{Team: "x"}}}, &ValueError{}},
		{Intent{Teams: []WantTeam{{Team: "grants"}, {Team: "grants"}}}, &ValueError{}},
		{Intent{Keys: []WantKey{{Action: "lose", Key: "k"}}}, &ValueError{}},
		{Intent{Keys: []WantKey{{Action: KeyRotate, Old: "k", Key: "k2"}}}, &MissingError{}},
		{Intent{Keys: []WantKey{{Action: KeyWithdraw, Key: "k"}}}, &MissingError{}},
		{Intent{Services: []WantService{{Service: "s"}}}, &ValueError{}},
		{Intent{Services: []WantService{{Service: "s", Team: ptr(ident.TeamID("x"))}}}, &MissingError{}},
	}
	for _, c := range cases {
		_, err := MakePlan(s.state, c.in, "asha", wall, NoImpact{})
		if fmt.Sprintf("%T", err) != fmt.Sprintf("%T", c.want) {
			t.Errorf("%+v: got %T (%v), want %T", c.in, err, err, c.want)
		}
	}
}

// Story: the log is down when an operator confirms a plan that is stale. The
// host says so at once, with the same reason that the fold would give.
func TestCheckSaysWhatTheFoldWouldSay(t *testing.T) {
	s := newStream(t)
	p := s.plan("asha", team("grants", 20))
	if err := p.Check(s.state, "asha", wall); err != nil {
		t.Fatal(err)
	}
	s.must(team("grants", 30))
	before := s.state.Offset()
	err := p.Check(s.state, "asha", wall)
	got := s.confirm("asha", p)
	if diff := cmp.Diff(got.Reason.Error(), err.Error()); diff != "" || before+1 != got.Offset {
		t.Error(diff)
	}
	var stale *StaleError
	if !errors.As(err, &stale) {
		t.Errorf("got %v", err)
	}
}

// Marks on a worker hold for its upstreams too, and the stronger one counts.
func TestMarks(t *testing.T) {
	s := newStream(t)
	mark := func(target Ref, mode Mode) {
		s.must(Intent{Marks: []WantMark{{Target: target, Mode: mode}}})
	}
	mark(UpstreamRef("w1"), ModeDrain)
	mark(WorkerRef("w2"), ModeCordon)
	mark(WorkerRef("w3"), ModeDrain)
	mark(UpstreamRef("w3"), ModeCordon)
	mark(HostRef("a1"), ModeDrain)
	got := []Mode{
		s.state.WorkerMode("w1"), s.state.UpstreamMode("w1"), s.state.UpstreamMode("w2"),
		s.state.UpstreamMode("w3"), s.state.UpstreamMode("w4"), s.state.HostMode("a1"),
	}
	want := []Mode{ModeNone, ModeDrain, ModeCordon, ModeDrain, ModeNone, ModeDrain}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	mark(WorkerRef("w2"), ModeNone)
	if s.state.UpstreamMode("w2") != ModeNone || len(s.state.Marks()) != 4 {
		t.Errorf("marks %v", s.state.Marks())
	}
}
