package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/settings"
)

// Every key of the settings' section "policy" reaches the scheduler: a key that
// does nothing would let an operator believe that the fleet obeys it.
func TestPolicyReachesTheScheduler(t *testing.T) {
	base := settings.Policy{Batch: settings.PlacementPack, Displace: true, Backfill: true}
	if diff := cmp.Diff(sched.Options{}, schedOptions(sched.Options{}, base)); diff != "" {
		t.Errorf("defaults change the options: %s", diff)
	}
	cases := []struct {
		name   string
		policy settings.Policy
		want   sched.Options
	}{
		{"batch", settings.Policy{Batch: settings.PlacementSpread, Displace: true, Backfill: true},
			sched.Options{Batch: sched.BatchSpread}},
		{"displace", settings.Policy{Batch: settings.PlacementPack, Backfill: true},
			sched.Options{MaxDisplaced: sched.NeverDisplaced, KeepRunning: true}},
		{"backfill", settings.Policy{Batch: settings.PlacementPack, Displace: true},
			sched.Options{Hold: sched.HoldDrain}},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, schedOptions(sched.Options{}, c.policy)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
