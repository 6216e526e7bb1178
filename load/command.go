package load

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
)

// Exit codes of the command.
const (
	exitBroken = subcommands.ExitFailure    // an answer came that must never come
	exitUsage  = subcommands.ExitUsageError // nothing was sent
)

// keysVariable is the environment variable with the team keys, which keeps
// them out of the list of processes.
const keysVariable = "FIREFLYFOLD_KEYS"

// Command implements "fireflyfold load".
type Command struct {
	hosts, keys, mix, rates string
	asJSON                  bool
	opts                    Options
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "send a bounded load to running entry hosts and measure what callers see"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `load --hosts IP:PORT,... --keys KEY,... [--mix rosenau] [--rate 200[,400,...]] [--time 10s]
  Sends work that arrives at random moments at the wanted rate, whether or not
  earlier work has been answered, and checks that every answer is whole and
  belongs to its own request. The service must be the echo upstream of
  fireflyfold-platform. Several rates run one after the other. Keys may stand in
  FIREFLYFOLD_KEYS instead.
  Exit codes: 0 done; 1 an answer came that must never come; 2 wrong flags.
  Example: fireflyfold load --hosts 127.0.0.1:7501,127.0.0.1:7503 --rate 500 --time 10s --audit 127.0.0.1:7400
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.hosts, "hosts", "", "API addresses of entry hosts, used in turn")
	f.StringVar(&c.keys, "keys", "", "team keys, used in turn; without it those in "+keysVariable)
	f.StringVar(&c.mix, "mix", "rosenau", "what to send: "+MixNames)
	f.StringVar(&c.rates, "rate", "200", "operations a second, one or several")
	f.BoolVar(&c.asJSON, "json", false, "write one JSON document a run")
	f.DurationVar(&c.opts.Time, "time", 10*time.Second, "for how long work arrives, at each rate")
	f.DurationVar(&c.opts.Deadline, "deadline", 5*time.Second, "of each request")
	f.DurationVar(&c.opts.JobDeadline, "job-deadline", 20*time.Second, "within which a job must have ended")
	f.IntVar(&c.opts.Body, "body", 512, "bytes of a request's body")
	f.IntVar(&c.opts.InFlight, "in-flight", 8192, "operations at once; arrivals beyond are counted and not sent")
	f.IntVar(&c.opts.Connections, "connections", 1024, "to each host")
	f.Uint64Var(&c.opts.Seed, "seed", 0, "of the arrivals and bodies, 0 for a random one; a repeat with the same seed repeats the idempotency keys")
	f.StringVar(&c.opts.Audit, "audit", "", "address of fireflyfold-platform, whose audit is added to the report")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	rates, err := c.prepare()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return exitUsage
	}
	broken := 0
	for _, rate := range rates {
		report, err := c.once(ctx, rate)
		if err != nil {
			fmt.Fprintln(os.Stderr, "load:", err)
			return exitUsage
		}
		broken += report.Broken()
	}
	if broken > 0 {
		fmt.Fprintf(os.Stderr, "load: %d answers or runs that must never happen; see WRONG and audit above\n", broken)
		return exitBroken
	}
	return subcommands.ExitSuccess
}

// prepare reads the flags.
func (c *Command) prepare() ([]float64, error) {
	c.opts.Hosts = list(c.hosts)
	// The variable is no default of the flag: help would print the keys.
	c.opts.Keys = list(cmp.Or(c.keys, os.Getenv(keysVariable)))
	c.opts.Seed = cmp.Or(c.opts.Seed, uint64(rand.Uint32()))
	var err error
	if c.opts.Mix, err = MixByName(c.mix); err != nil {
		return nil, err
	}
	var rates []float64
	for _, text := range list(c.rates) {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, &OptionError{Name: "rate", Value: text, Allowed: "operations a second"}
		}
		rates = append(rates, rate)
		c.opts.Rate = rate
		if err := c.opts.Check(); err != nil {
			return nil, err
		}
	}
	if len(rates) == 0 {
		return nil, &OptionError{Name: "rate", Value: c.rates, Allowed: "operations a second"}
	}
	return rates, nil
}

// once runs at one rate and writes the report.
func (c *Command) once(ctx context.Context, rate float64) (*Report, error) {
	opts := c.opts
	opts.Rate = rate
	report, err := Run(ctx, opts)
	if err != nil {
		return nil, err
	}
	// Another rate must not repeat idempotency keys.
	c.opts.Seed++
	if c.asJSON {
		return report, json.NewEncoder(os.Stdout).Encode(report)
	}
	return report, Render(os.Stdout, report)
}

// list splits at commas and drops empty parts.
func list(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
