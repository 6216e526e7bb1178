package demo

import (
	"context"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/localfleet"
)

// gaugeEvery is the time between two looks at the workers.
const gaugeEvery = 50 * time.Millisecond

// gauge looks at what the workers run while work arrives.
type gauge struct {
	fleet   *localfleet.Fleet
	looks   int
	packing float64 // sum over looks: processors in use on the workers in use
	packed  int     // looks with a worker in use
	units   map[ident.TeamID]int64
}

func newGauge(f *localfleet.Fleet) *gauge {
	return &gauge{fleet: f, units: map[ident.TeamID]int64{}}
}

// run looks until ctx ends or d has passed.
func (g *gauge) run(ctx context.Context, d time.Duration) {
	ticker := time.NewTicker(gaugeEvery)
	defer ticker.Stop()
	end := time.After(d)
	for {
		select {
		case <-ticker.C:
			g.look()
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (g *gauge) look() {
	g.looks++
	audit := g.fleet.Platform.Audit
	for _, team := range g.fleet.Platform.Layout.Teams {
		now, _ := audit.Units(team)
		g.units[team] += now
	}
	var used, size int64
	for _, w := range g.fleet.Platform.Workers {
		cfg := w.State.Config()
		if cpu := audit.Used(cfg.Worker).MilliCPU; cpu > 0 {
			used += cpu
			size += cfg.Size.MilliCPU
		}
	}
	if size > 0 {
		g.packing += float64(used) / float64(size)
		g.packed++
	}
}

// meanPacking is the mean share of processors in use on workers in use.
func (g *gauge) meanPacking() float64 { return g.packing / float64(max(g.packed, 1)) }

// meanUnits is the mean number of a team's units in use.
func (g *gauge) meanUnits(team ident.TeamID) float64 {
	return float64(g.units[team]) / float64(max(g.looks, 1))
}
