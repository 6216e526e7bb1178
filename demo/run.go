package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/load"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Options are the settings of one run.
type Options struct {
	Layout   standin.Layout
	Time     time.Duration // how long work arrives
	Rate     float64       // arrivals a second
	Progress io.Writer     // receives a line for each event
}

// Parameters of the load and of the faults.
const (
	requestDeadline = 3 * time.Second
	jobDeadline     = 8 * time.Second
	bodySize        = 512
	inFlight        = 2048
	connections     = 64
	loadSeed        = 7
	teamLimit       = 240 // units
	replicas        = 8   // of the declared service
	replicaMilliCPU = 2000
	replicaMemory   = 2048 // MiB
	crashAt         = 0.25 // fraction of Options.Time, as the next two
	partitionAt     = 0.5
	healAt          = 0.8
	readyPoll       = 20 * time.Millisecond
	readyTimeout    = 20 * time.Second
	partitionedZone = 2 // index in the layout
)

// Run runs one deployment under load and faults, and returns its outcome. It
// returns a *NotReadyError if a zone has no scheduler within readyTimeout.
func Run(ctx context.Context, opts Options) (*Result, error) {
	f, err := localfleet.Start(ctx, localfleet.Options{Layout: opts.Layout, TeamLimit: teamLimit})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := declareService(f); err != nil {
		return nil, err
	}
	if err := awaitReady(ctx, f); err != nil {
		return nil, err
	}
	fmt.Fprintf(opts.Progress, "%s: %d entry hosts, %d workers; work arrives for %s\n",
		opts.Layout.Name, len(f.Hosts()), len(f.Platform.Workers), opts.Time)
	r := &run{opts: opts, fleet: f, sampler: newSampler(f)}
	return r.measure(ctx)
}

// NotReadyError reports that a zone had no scheduler within readyTimeout, or
// that the run was cancelled while it had none.
type NotReadyError struct {
	Zone ident.Zone
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "zone " + string(e.Zone) + " has no scheduler after " + readyTimeout.String()
}

func declareService(f *localfleet.Fleet) error {
	layout := f.Platform.Layout
	team := layout.Teams[0]
	n := replicas
	need := resource.Vector{MilliCPU: replicaMilliCPU, MemoryMiB: replicaMemory}
	return f.Change(fleet.Intent{Services: []fleet.WantService{{
		Service: layout.Services[0], Team: &team, Replicas: &n, Need: &need,
	}}})
}

// awaitReady waits until every zone has a scheduler, or returns a *NotReadyError.
func awaitReady(ctx context.Context, f *localfleet.Fleet) error {
	deadline := time.Now().Add(readyTimeout)
	for _, zone := range f.Platform.Layout.Zones {
		for schedulerOf(f, zone.Zone) == nil {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return &NotReadyError{Zone: zone.Zone}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// schedulerOf returns the running host that schedules the zone, or nil.
func schedulerOf(f *localfleet.Fleet, zone ident.Zone) *localfleet.Member {
	for _, m := range f.Hosts() {
		if m.Zone == zone && m.Running() && m.Host.Scheduling() {
			return m
		}
	}
	return nil
}

// run is a run in progress.
type run struct {
	opts    Options
	fleet   *localfleet.Fleet
	sampler *sampler
}

func (r *run) measure(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opts, err := r.loadOptions()
	if err != nil {
		return nil, err
	}
	var report *load.Report
	var background conc.WaitGroup
	background.Go(func() { r.sampler.run(ctx, r.opts.Time) })
	background.Go(func() { r.faults(ctx) })
	report, err = load.Run(ctx, opts)
	cancel()
	background.Wait()
	if err != nil {
		return nil, err
	}
	return r.result(report), nil
}

func (r *run) loadOptions() (load.Options, error) {
	mix, err := load.MixByName(r.opts.Layout.Name)
	if err != nil {
		return load.Options{}, err
	}
	opts := load.Options{
		Mix:         mix,
		Rate:        r.opts.Rate,
		Time:        r.opts.Time,
		Deadline:    requestDeadline,
		JobDeadline: jobDeadline,
		Body:        bodySize,
		InFlight:    inFlight,
		Connections: connections,
		Seed:        loadSeed,
	}
	for _, m := range r.fleet.Hosts() {
		opts.Hosts = append(opts.Hosts, m.Host.APIAddr())
	}
	for _, team := range r.opts.Layout.Teams {
		opts.Keys = append(opts.Keys, r.fleet.Keys[team])
	}
	return opts, nil
}

// faults crashes the scheduler of the first zone at crashAt. From partitionAt to
// healAt it isolates a zone from the other zones and from the platform.
func (r *run) faults(ctx context.Context) {
	zones := r.opts.Layout.Zones
	if !r.sleepUntil(ctx, crashAt) {
		return
	}
	if victim := schedulerOf(r.fleet, zones[0].Zone); victim != nil {
		fmt.Fprintf(r.opts.Progress, "  entry host %s, which schedules %s, crashes\n", victim.ID, victim.Zone)
		r.fleet.Kill(victim.ID)
		r.fleet.Unlist(victim.ID)
	}
	if !r.sleepUntil(ctx, partitionAt-crashAt) {
		return
	}
	partitioned := zones[partitionedZone].Zone
	fmt.Fprintf(r.opts.Progress, "  zone %s is cut off from the other zones and the platform\n", partitioned)
	_ = r.fleet.Platform.Network.Isolate(partitioned, standin.RelayFaults{Hang: true}) // the zone exists
	joined := r.sleepUntil(ctx, healAt-partitionAt)
	_ = r.fleet.Platform.Network.Isolate(partitioned, standin.RelayFaults{})
	if joined {
		fmt.Fprintf(r.opts.Progress, "  zone %s is joined again\n", partitioned)
	}
}

// sleepUntil waits for a fraction of Options.Time. It returns false if ctx ended
// first.
func (r *run) sleepUntil(ctx context.Context, fraction float64) bool {
	timer := time.NewTimer(time.Duration(fraction * float64(r.opts.Time)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
