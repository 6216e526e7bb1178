package fleet

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// authenticates expects a key to belong to a team, or to be refused for why.
func (s *stream) authenticates(secret string, at time.Time, want ident.TeamID, why KeyReason) {
	s.t.Helper()
	got, err := s.state.Authenticate(secret, at)
	var refused *KeyError
	if errors.As(err, &refused) && refused.Reason == why && got == "" {
		return
	}
	if err != nil || got != want || why != "" {
		s.t.Errorf("got team %q, %v; want %q, %q", got, err, want, why)
	}
}

func TestAuthenticate(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	s.must(team("audit", 10))
	one, id1, hash1 := key(1)
	two, id2, hash2 := key(2)
	s.must(Intent{Keys: []WantKey{
		{Action: KeyGive, Team: "grants", Key: id1, Hash: hash1},
		{Action: KeyGive, Team: "audit", Key: id2, Hash: hash2},
	}})
	s.authenticates(one, wall, "grants", "")
	s.authenticates(two, wall, "audit", "")
	swapped := keyPrefix + keySep + string(id1) + keySep + strings.Split(two, keySep)[2]
	for _, wrong := range []string{swapped, one + "0", one[:len(one)-1], strings.ToUpper(one)} {
		if got, err := s.state.Authenticate(wrong, wall); err == nil {
			t.Errorf("%q authenticated as %q", wrong, got)
		}
	}
	s.authenticates("", wall, "", KeyMalformed)
	s.authenticates("ffk_"+string(id1)+"_", wall, "", KeyNotValid)
	s.authenticates("ffk__", wall, "", KeyNotValid)
}

// Story: a key has leaked and is withdrawn while a caller goes on using it. As
// soon as a host has folded the record the key is refused there, and it can
// never be made valid again, not even by a plan that somebody made before.
func TestWithdrawnKey(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	leaked, id, hash := key(1)
	give := Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}}
	early := s.plan("bert", give)
	s.must(give)
	old := s.state
	s.must(Intent{Keys: []WantKey{{Action: KeyWithdraw, Key: id}}})
	s.authenticates(leaked, wall, "", KeyNotValid)
	if _, err := old.Authenticate(leaked, wall); err != nil {
		t.Errorf("a State that readers hold has changed: %v", err)
	}
	if got := s.confirm("bert", early); got.Status != StatusRejected {
		t.Errorf("the early plan was %s", got.Status)
	}
	var exists *ExistsError
	if _, err := MakePlan(s.state, give, "bert", wall, NoImpact{}); !errors.As(err, &exists) {
		t.Errorf("giving it again: %v", err)
	}
	s.authenticates(leaked, wall, "", KeyNotValid)
}

// Story: a team's key is rotated with an hour of overlap, so that its callers
// can change over one by one. Both keys work during the hour, only the new one
// after it; the old one vanishes with the next key that is given.
func TestRotateWithOverlap(t *testing.T) {
	s := newStream(t)
	s.must(team("grants", 10))
	old, oldID, oldHash := key(1)
	fresh, freshID, freshHash := key(2)
	s.must(Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: oldID, Hash: oldHash}}})
	s.must(Intent{Keys: []WantKey{{Action: KeyRotate, Old: oldID, Key: freshID, Hash: freshHash, Overlap: time.Hour}}})
	s.authenticates(old, wall.Add(time.Hour), "grants", "")
	s.authenticates(fresh, wall, "grants", "")
	s.authenticates(old, wall.Add(time.Hour+time.Second), "", KeyExpired)
	s.authenticates(fresh, wall.Add(time.Hour+time.Second), "grants", "")

	_, id, hash := key(3)
	give := Intent{Keys: []WantKey{{Action: KeyGive, Team: "grants", Key: id, Hash: hash}}}
	p, err := MakePlan(s.state, give, "asha", wall.Add(time.Hour+expiredGrace), NoImpact{})
	if err != nil {
		t.Fatal(err)
	}
	s.confirm("asha", p)
	if _, found := s.state.Key(oldID); found {
		t.Error("the ended key is still kept")
	}
}

func TestNewKeyNeedsRandomness(t *testing.T) {
	var random *RandomError
	if _, _, _, err := NewKey(strings.NewReader("short")); !errors.As(err, &random) {
		t.Errorf("got %v", err)
	}
}
