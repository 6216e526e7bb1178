package succession

import (
	"testing"
	"time"
)

var (
	small  = Capacity{MilliCPU: 144, LinkBps: 1_250_000, MemoryMiB: 144}
	medium = Capacity{MilliCPU: 480, LinkBps: 1_250_000, MemoryMiB: 424}
	large  = Capacity{MilliCPU: 800, LinkBps: 25_000_000, MemoryMiB: 536}
)

// Guards against a region without starts for as long as a small host loads, and against changes of
// leader that cost more time than they save.
func TestOvertakes(t *testing.T) {
	for name, c := range map[string]struct {
		own, claimant Capacity
		age           time.Duration
		want          bool
	}{
		"large from small":                   {large, small, 0, true},
		"large from small that loads long":   {large, small, time.Second, true},
		"large from small that may be ready": {large, small, 5 * time.Second, false},
		"large from medium":                  {large, medium, 100 * time.Millisecond, true},
		"large from medium, late":            {large, medium, time.Second, false},
		"equal":                              {large, large, 0, false},
		"small from large":                   {small, large, 0, false},
		"own capacity unknown":               {Capacity{}, small, 0, false},
		"claimant of an earlier version":     {large, Capacity{}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Overtakes(c.own, c.claimant, c.age); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
