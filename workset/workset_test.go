package workset

import (
	"testing"
	"time"
)

func TestTargetFollowsDemand(t *testing.T) {
	var s Sizer
	steps := []struct {
		at     time.Duration
		demand float64
		want   int
	}{
		{0, 0, 10},                  // the least number
		{time.Second, 100, 300},     // more demand counts at once
		{2 * time.Second, 5, 300},   // less demand does not
		{7 * time.Second, 5, 300},   // until two windows are over
		{13 * time.Second, 5, 15},   // without it
		{14 * time.Second, 1.5, 15}, // the highest demand of both windows
	}
	for _, step := range steps {
		s.Observe(step.at, step.demand)
		if got := s.Target(10); got != step.want {
			t.Errorf("at %v: target %d, want %d", step.at, got, step.want)
		}
	}
}

func TestSmallSurplusIsKept(t *testing.T) {
	for active, want := range map[int]int{90: 0, 100: 0, 110: 0, 111: 11, 200: 100} {
		if got := Surplus(active, 100); got != want {
			t.Errorf("%d active workers of 100: surplus %d, want %d", active, got, want)
		}
	}
}
