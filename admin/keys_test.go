package admin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Story: a caller says that its key is refused. The page of keys tells the
// operator which keys are valid, ending, ended or withdrawn, and by whom.
func TestKeysOf(t *testing.T) {
	state := fleet.Empty()
	start := time.Unix(1000, 0)
	change := func(in fleet.Intent) fleet.PlanID {
		plan, err := fleet.MakePlan(state, in, "asha", start, fleet.NoImpact{})
		if err != nil {
			t.Fatal(err)
		}
		data, err := fleet.EncodeChange(plan.Change("bert", start))
		if err != nil {
			t.Fatal(err)
		}
		next, _, err := fleet.Apply(state, ports.Record{Offset: state.Offset() + 1, Data: data})
		if err != nil {
			t.Fatal(err)
		}
		state = next
		return plan.ID
	}
	give := func(team ident.TeamID, key fleet.KeyID) fleet.WantKey {
		return fleet.WantKey{Action: fleet.KeyGive, Team: team, Key: key, Hash: fleet.KeyHash{1}}
	}
	limit := int64(1)
	first := change(fleet.Intent{
		Teams: []fleet.WantTeam{{Team: "a", Limit: &limit}},
		Keys:  []fleet.WantKey{give("a", "k1"), give("a", "k2"), give("a", "k3")},
	})
	second := change(fleet.Intent{Keys: []fleet.WantKey{
		{Action: fleet.KeyRotate, Old: "k2", Key: "k4", Hash: fleet.KeyHash{2}, Overlap: time.Minute},
		{Action: fleet.KeyWithdraw, Key: "k1"},
	}})
	until := start.Add(time.Minute).UTC()
	want := []KeyStatus{
		{Key: "k2", Team: "a", State: KeyEnding, Until: until, Changed: 2, By: "bert", Plan: second},
		{Key: "k3", Team: "a", State: KeyValid, Changed: 1, By: "bert", Plan: first},
		{Key: "k4", Team: "a", State: KeyValid, Changed: 2, By: "bert", Plan: second},
		{Key: "k1", State: KeyWithdrawn, Changed: 2, By: "bert", Plan: second},
	}
	if diff := cmp.Diff(want, KeysOf(state, start)); diff != "" {
		t.Error(diff)
	}
	if got := KeysOf(state, until.Add(time.Second))[0].State; got != KeyEnded {
		t.Errorf("got %s", got)
	}
}
