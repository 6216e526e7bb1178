package host

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// Command implements the subcommand "fireflyfold host", which runs one entry host.
type Command struct {
	settings string
	level    string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "host" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run one entry host on the users' platform" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `host [--settings FILE] [--log-level LEVEL]
  Runs one entry host of a region. The settings file has the platform's format;
  without --settings the platform's path is used. SIGTERM begins a planned stop,
  SIGHUP rereads the settings.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file (default: the platform's)")
	f.StringVar(&c.level, "log-level", "info", "lowest severity that is logged")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, hangUps := catchSignals(ctx)
	if c.settings == "" {
		c.settings = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "host:", err)
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx, hangUps, s); err != nil {
		fmt.Fprintln(os.Stderr, "host:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const (
	// gcPercent lets the heap grow to four times the live data before a collection:
	// a leader holds some 15 MB live and allocates for every call.
	gcPercent = 300
	// memoryLimitShare is the fraction of the platform's memory bound at which the
	// runtime collects more often. Without it a burst could exceed the bound and end the
	// process.
	memoryLimitShare = 0.6
)

// limitMemory configures the garbage collector for a memory bound in MiB. It
// overrides GOGC and GOMEMLIMIT, because the platform ends a process that exceeds
// its bound.
func limitMemory(boundMB int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(boundMB<<20) * memoryLimitShare))
}

func (c *Command) run(ctx context.Context, hangUps <-chan os.Signal, s platform.Settings) error {
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	tel, err := telemetry.New(context.WithoutCancel(ctx), telemetry.Options{
		Service: "fireflyfold", Host: s.Host, Zone: s.Zone, LogLevel: c.level, LogOutput: out,
	})
	if err != nil {
		return err
	}
	tel.Log.Logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	limitMemory(s.MemoryMB)
	h := New(s, tel)
	watchCtx, endWatch := context.WithCancel(context.WithoutCancel(ctx))
	var watch conc.WaitGroup
	watch.Go(func() { h.watchSettings(watchCtx, c.settings, hangUps) })
	err = h.Run(ctx)
	endWatch()
	watch.Wait()
	// An error here loses at most the metrics and spans of the last second.
	_ = tel.Close(context.Background())
	return err
}
