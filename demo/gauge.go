package demo

import (
	"context"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/localfleet"
)

// sampleInterval is the time between two samples of the workers' usage.
const sampleInterval = 50 * time.Millisecond

// sampler samples the usage of the workers and the teams while work arrives.
type sampler struct {
	fleet          *localfleet.Fleet
	samples        int
	packing        float64                // sum over packingSamples: share of processors in use on the workers in use
	packingSamples int                    // samples with a worker in use
	units          map[ident.TeamID]int64 // sum over samples: units in use
}

func newSampler(f *localfleet.Fleet) *sampler {
	return &sampler{fleet: f, units: map[ident.TeamID]int64{}}
}

// run takes samples until ctx ends or d has passed.
func (s *sampler) run(ctx context.Context, d time.Duration) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	end := time.After(d)
	for {
		select {
		case <-ticker.C:
			s.sample()
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *sampler) sample() {
	s.samples++
	audit := s.fleet.Platform.Audit
	for _, team := range s.fleet.Platform.Layout.Teams {
		inUse, _ := audit.Units(team)
		s.units[team] += inUse
	}
	var used, size int64
	for _, w := range s.fleet.Platform.Workers {
		cfg := w.State.Config()
		if cpu := audit.Used(cfg.Worker).MilliCPU; cpu > 0 {
			used += cpu
			size += cfg.Size.MilliCPU
		}
	}
	if size > 0 {
		s.packing += float64(used) / float64(size)
		s.packingSamples++
	}
}

// meanPacking returns the mean share (0 to 1) of processors in use on the workers
// in use.
func (s *sampler) meanPacking() float64 { return s.packing / float64(max(s.packingSamples, 1)) }

// meanUnits returns the mean number of units that a team had in use.
func (s *sampler) meanUnits(team ident.TeamID) float64 {
	return float64(s.units[team]) / float64(max(s.samples, 1))
}
