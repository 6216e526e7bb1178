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

// Options describe one run.
type Options struct {
	Layout   standin.Layout
	Time     time.Duration // of arrivals
	Rate     float64       // arrivals a second
	Progress io.Writer     // told what happens, a line each
}

// Shape of the load and of the faults.
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
	crashAt         = 0.25 // of the time of arrivals
	cutAt           = 0.5
	joinAt          = 0.8
	readyPoll       = 20 * time.Millisecond
	readyTimeout    = 20 * time.Second
	cutZone         = 2 // index in the layout
)

// Run runs one deployment under load and faults.
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
	r := &run{opts: opts, fleet: f, gauge: newGauge(f)}
	return r.measure(ctx)
}

// NotReadyError reports a fleet that did not get ready.
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

// awaitReady waits until every zone has a scheduler.
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

func schedulerOf(f *localfleet.Fleet, zone ident.Zone) *localfleet.Member {
	for _, m := range f.Hosts() {
		if m.Zone == zone && m.Running() && m.Host.Scheduling() {
			return m
		}
	}
	return nil
}

// run is one run under way.
type run struct {
	opts  Options
	fleet *localfleet.Fleet
	gauge *gauge
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
	background.Go(func() { r.gauge.run(ctx, r.opts.Time) })
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

// faults crashes the scheduler of the first zone, and cuts a zone off from the
// others and from the platform for a while.
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
	if !r.sleepUntil(ctx, cutAt-crashAt) {
		return
	}
	cut := zones[cutZone].Zone
	fmt.Fprintf(r.opts.Progress, "  zone %s is cut off from the other zones and the platform\n", cut)
	_ = r.fleet.Platform.Network.Isolate(cut, standin.RelayFaults{Hang: true}) // the zone exists
	joined := r.sleepUntil(ctx, joinAt-cutAt)
	_ = r.fleet.Platform.Network.Isolate(cut, standin.RelayFaults{})
	if joined {
		fmt.Fprintf(r.opts.Progress, "  zone %s is joined again\n", cut)
	}
}

// sleepUntil waits for a part of the time of arrivals and reports whether it
// passed.
func (r *run) sleepUntil(ctx context.Context, part float64) bool {
	timer := time.NewTimer(time.Duration(part * float64(r.opts.Time)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
