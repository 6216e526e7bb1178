package adviceplan

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func workers(n int, c Candidate) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = c
	}
	return out
}

func lengths(calls [][]int) []int {
	var out []int
	for _, c := range calls {
		out = append(out, len(c))
	}
	return out
}

// Wide gangs beside narrow ones, with long calls: a wide gang whose workers do not fit into one
// call would never have valid tickets for all members, and calls that name more workers than a
// narrow gang needs would use up the service's time.
func TestPlanCoversMembers(t *testing.T) {
	const share = 0.34
	for name, c := range map[string]struct {
		candidates []Candidate
		members    int
		want       []int // number of workers in each call
	}{
		"narrow gang, nothing known":         {workers(350, Candidate{Places: 3}), 6, []int{18}},
		"wide gang, nothing known":           {workers(350, Candidate{Places: 2}), 60, []int{89, 88, 88}},
		"wide gang in a full region":         {workers(350, Candidate{Places: 1}), 60, []int{88, 88, 87, 87}},
		"only eligible workers are named":    {append(workers(30, Candidate{Places: 3, Eligible: true}), workers(300, Candidate{Places: 3})...), 20, []int{20}},
		"tickets that stay valid count":      {append(workers(5, Candidate{Places: 3, Eligible: true, Fresh: true}), workers(30, Candidate{Places: 3, Eligible: true})...), 20, []int{15}},
		"all tickets are valid":              {workers(20, Candidate{Places: 3, Eligible: true, Fresh: true}), 20, nil},
		"full workers are named to learn":    {workers(350, Candidate{}), 20, []int{100}},
		"full workers that are known to fit": {workers(30, Candidate{Eligible: true}), 20, nil},
		"too little room, some unknown":      {append(workers(10, Candidate{Places: 1, Eligible: true}), workers(40, Candidate{})...), 20, []int{40}},
		"too little room, all known":         {workers(10, Candidate{Places: 1, Eligible: true}), 20, nil},
		"none":                               {nil, 3, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, lengths(Plan(c.candidates, c.members, 100, share))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a gang that asks about workers other than those reserved for it, which lose the
// room that was collected there.
func TestPlanNamesReservedWorkersFirst(t *testing.T) {
	c := append(workers(20, Candidate{Places: 3, Eligible: true}), workers(4, Candidate{Places: 2, Eligible: true, Reserved: true})...)
	calls := Plan(c, 8, 100, 0.3)
	named := map[int]bool{}
	for _, call := range calls {
		for _, i := range call {
			named[i] = true
		}
	}
	for i := 20; i < 24; i++ {
		if !named[i] {
			t.Errorf("worker %d is reserved and not named", i)
		}
	}
}

// A worker is named once, whatever the plan.
func TestPlanNamesNoWorkerTwice(t *testing.T) {
	c := append(workers(200, Candidate{Places: 1}), workers(50, Candidate{Places: 2, Eligible: true})...)
	seen := map[int]bool{}
	for _, call := range Plan(c, 100, 100, 0.3) {
		for _, i := range call {
			if seen[i] {
				t.Errorf("worker %d is named twice", i)
			}
			seen[i] = true
		}
	}
}

func TestShareFollowsAnswers(t *testing.T) {
	var s Share
	if got := s.Get(); got < 0.33 || got > 0.34 {
		t.Errorf("share %v before any answer", got)
	}
	for range 200 {
		s.Observe(100, 70)
	}
	if got := s.Get(); got < 0.69 || got > 0.71 {
		t.Errorf("share %v, want 0.7", got)
	}
	for range 100 {
		s.Observe(100, 10)
	}
	if got := s.Get(); got > 0.15 {
		t.Errorf("share %v long after a change to 0.1", got)
	}
}

// Guards against decisions that change to and fro with each burst of work.
func TestScarcityIgnoresShortBursts(t *testing.T) {
	var s Scarcity
	now := time.Second
	observe := func(heldBack bool, d time.Duration) {
		for until := now + d; now < until; now += 10 * time.Millisecond {
			s.Observe(now, heldBack)
		}
	}
	observe(false, time.Second)
	observe(true, time.Second)
	if s.Scarce() {
		t.Error("scarce after one second without a free host")
	}
	observe(true, 3*time.Second)
	if !s.Scarce() {
		t.Error("not scarce after four seconds without a free host")
	}
	observe(false, time.Second)
	if !s.Scarce() {
		t.Error("not scarce any more after a second")
	}
	observe(false, 3*time.Second)
	if s.Scarce() {
		t.Error("scarce four seconds after hosts were free")
	}
}
