// Package serve implements the command that runs one entry host until a signal
// stops it.
package serve

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/google/subcommands"

	"github.com/fireflyfold/fireflyfold/entry"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// Command implements "fireflyfold serve".
type Command struct {
	path string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run one entry host" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `serve --settings FILE.ini
  Runs one entry host. SIGTERM or SIGINT begins a planned stop: nothing new is
  taken, everything in flight ends, then the process exits. A second signal
  stops at once. SIGHUP has no effect: the settings are read at the start.
  Example: fireflyfold serve --settings deploy/rosenau.ini
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "", "settings file of this host (INI)")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	signals := catchSignals()
	if c.path == "" {
		fmt.Fprintln(os.Stderr, "serve: name the settings file with --settings FILE.ini")
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := run(ctx, signals, &s); err != nil {
		fmt.Fprintln(os.Stderr, "serve:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// catchSignals registers the signals for the rest of the process's life, and returns those that stop the host. The
// default action of each would end the process, and cut what it answers.
func catchSignals() *stopSignals {
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	s := &stopSignals{received: make(chan os.Signal, 2)}
	signal.Notify(s.received, os.Interrupt, syscall.SIGTERM)
	return s
}

// stopSignals are the signals that stop the host, whatever its incarnation.
type stopSignals struct {
	received chan os.Signal
	stopping atomic.Bool // one was received
}

// run runs incarnations of the host in turn. It starts the next one when a run
// ends with an *entry.ReincarnateError, unless the host is to stop, and returns any other result.
func run(ctx context.Context, signals *stopSignals, s *settings.Settings) error {
	tel, err := telemetry.New(ctx, telemetry.Options{
		Service:   "fireflyfold",
		Host:      string(s.Host.Name),
		Zone:      string(s.Host.Zone),
		OTLP:      s.Telemetry.OTLP,
		TraceFile: s.Telemetry.TraceFile,
		Sample:    s.Telemetry.Sample,
		LogLevel:  s.Log.Level,
	})
	if err != nil {
		return err
	}
	defer func() { _ = tel.Close(context.WithoutCancel(ctx)) }()
	for {
		err := runIncarnation(ctx, signals, s, tel)
		var reincarnate *entry.ReincarnateError
		switch {
		case !errors.As(err, &reincarnate):
			return err
		case signals.stopping.Load():
			return nil
		}
	}
}

// runIncarnation runs one incarnation of the host.
func runIncarnation(ctx context.Context, signals *stopSignals, s *settings.Settings, tel *telemetry.Telemetry) error {
	host, err := entry.New(entry.WithPlatform(entry.Options{Settings: s, Telemetry: tel}))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopped := make(chan struct{})
	defer close(stopped)
	go drainOnSignal(signals, stopped, host, cancel)
	tel.Log.WithField("api", host.APIAddr()).WithField("peer", host.PeerAddr()).Info("serving")
	err = host.Run(ctx)
	tel.Log.Info("stopped")
	return err
}

// drainOnSignal drains the host at the first signal and stops it without further
// delay at the second, by calling cancel. It returns when stopped is closed.
func drainOnSignal(signals *stopSignals, stopped <-chan struct{}, host *entry.Host, cancel context.CancelFunc) {
	select {
	case <-signals.received:
		signals.stopping.Store(true)
		host.Drain()
	case <-stopped:
		return
	}
	select {
	case <-signals.received:
		cancel()
	case <-stopped:
	}
}
