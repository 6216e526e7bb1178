package measure

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Command is the subcommand `measure`: it replays the recorded traces, times
// decisions in full zones of several sizes, and prints all measures.
type Command struct {
	Out io.Writer // default os.Stdout
	Err io.Writer // default os.Stderr

	csv    bool
	replay bool
	trace  string
	seeds  int
}

// The zones in which the cost of decisions is measured.
const (
	costWaiting    = 10_000
	costPlacements = 20_000
)

var costWorkers = []int{12, 48, 800, 26_000}

// Name implements subcommands.Command.
func (*Command) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure the decisions on recorded traces" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `measure [--csv] [--trace NAME] [--seeds N] [--replay-only]:
  Replay the recorded traces of both deployments with each policy and print
  waiting times, packing, distance from shares and control cost; then time
  decisions in full zones of several sizes. Replays are exact, times are not.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.csv, "csv", false, "print CSV instead of tables")
	f.StringVar(&c.trace, "trace", "", "replay one trace alone")
	f.IntVar(&c.seeds, "seeds", 0, "also print the means over generated traces of so many other seeds")
	f.BoolVar(&c.replay, "replay-only", false, "leave out the cost of decisions in full zones")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.Out == nil {
		c.Out = os.Stdout
	}
	if c.Err == nil {
		c.Err = os.Stderr
	}
	rows, err := c.rows(ctx)
	if err == nil {
		err = c.write(rows)
	}
	if err != nil {
		fmt.Fprintln(c.Err, "measure:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) write(rows []Row) error {
	if c.csv {
		return WriteCSV(c.Out, rows)
	}
	return WriteText(c.Out, rows)
}

func (c *Command) rows(ctx context.Context) ([]Row, error) {
	var rows []Row
	names := Names()
	if c.trace != "" {
		names = []string{c.trace}
	}
	for _, name := range names {
		trace, err := Recorded(name)
		if err != nil {
			return nil, err
		}
		for _, policy := range Policies() {
			rows = append(rows, Replay(trace, policy).Rows()...)
		}
		if c.seeds > 0 {
			rows = append(rows, Means(name, c.seeds)...)
		}
	}
	if c.replay {
		return rows, ctx.Err()
	}
	for _, workers := range costWorkers {
		rows = append(rows, MeasureCost(workers, costWaiting, costPlacements).Rows()...)
	}
	return rows, ctx.Err()
}

var _ subcommands.Command = (*Command)(nil)
