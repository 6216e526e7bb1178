package demo

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflyfold/fireflyfold/standin"
)

// Command implements the command "fireflyfold demo".
type Command struct {
	only string
	time time.Duration
	rate float64
}

// Defaults and limits of the flags. The rate is in arrivals a second.
const (
	defaultTime = 6 * time.Second
	defaultRate = 250
	maxTime     = time.Minute
)

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "show both deployments at work in one process" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `demo [--only NAME] [--time 6s] [--rate 250]
  Runs Rosenau and then Sabzkhata on embedded stand-ins, crashes an entry host
  and cuts off a zone on the way, and prints what became of the work. It exits
  with 1 if a promise was broken.
  Example: fireflyfold demo --only rosenau
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.only, "only", "", "rosenau or sabzkhata; both if empty")
	f.DurationVar(&c.time, "time", defaultTime, "how long work arrives, for each deployment; at most 1m")
	f.Float64Var(&c.rate, "rate", defaultRate, "arrivals a second")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	layouts := []standin.Layout{standin.Rosenau(), standin.Sabzkhata()}
	if c.only != "" {
		layout, err := standin.LayoutByName(c.only)
		if err != nil {
			fmt.Fprintln(os.Stderr, "demo:", err)
			return subcommands.ExitUsageError
		}
		layouts = []standin.Layout{layout}
	}
	broken := 0
	for _, layout := range layouts {
		result, err := Run(ctx, Options{Layout: layout, Time: min(c.time, maxTime), Rate: c.rate, Progress: os.Stderr})
		if err != nil {
			fmt.Fprintln(os.Stderr, "demo:", err)
			return subcommands.ExitFailure
		}
		result.Print(os.Stdout)
		broken += result.Broken()
	}
	if broken > 0 {
		fmt.Println("A PROMISE WAS BROKEN: see the rows above.")
		return subcommands.ExitFailure
	}
	fmt.Println("No promise was broken.")
	return subcommands.ExitSuccess
}
