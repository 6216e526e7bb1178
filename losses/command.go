package losses

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// Command implements "fireflyfold explain-run".
type Command struct {
	by string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "explain-run" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "report late jobs and their causes from the logs of hosts" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `explain-run [--by queue|workspace|zone|second|job] [FILE...]
  Reads the logs of all hosts of a region (standard input if no files are given) and
  counts late jobs by what took most of their time.

  fireflyfold explain-run --by second all.log
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.by, "by", "queue", "group rows by queue, workspace, zone, second or job")
}

// groups returns the row of a late job, by the value of --by.
var groups = map[string]func(LateJob) string{
	"queue":     func(j LateJob) string { return j.Queue },
	"workspace": func(j LateJob) string { return j.Workspace },
	"zone":      func(j LateJob) string { return j.Zone },
	"second":    func(j LateJob) string { return j.At.UTC().Format(time.TimeOnly) },
	"job":       func(j LateJob) string { return j.Job },
}

// UnknownGroupError reports a value of --by that names no group.
type UnknownGroupError struct{ By string }

// Error implements error.
func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("--by %q: want queue, workspace, zone, second or job", e.By)
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if groups[c.by] == nil {
		fmt.Fprintln(os.Stderr, "explain-run:", &UnknownGroupError{By: c.by})
		return subcommands.ExitUsageError
	}
	if err := c.run(os.Stdout, f.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "explain-run:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(out io.Writer, files []string) error {
	in := []io.Reader{os.Stdin}
	if len(files) > 0 {
		in = nil
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log file")
		}
		defer f.Close()
		in = append(in, f)
	}
	rep, err := Read(io.MultiReader(in...))
	if err != nil {
		return errors.Wrap(err, "read logs")
	}
	return Print(out, rep, c.by)
}

// Print writes a table of the late jobs, with a row for each group that by names: how many jobs
// were late, how many of them too late to be of use, and what took most of their time. It
// returns an *UnknownGroupError if by names no group.
func Print(out io.Writer, rep *Report, by string) error {
	group, known := groups[by]
	if !known {
		return &UnknownGroupError{By: by}
	}
	late := rep.LateJobs()
	fmt.Fprintf(out, "%d jobs completed, %d late; %d requests refused; %d lines unread\n", rep.Completed(), len(late), rep.Refused, rep.Unread)
	rows := make(map[string]map[Phase]int)
	pastUse := make(map[string]int)
	for _, j := range late {
		name := group(j)
		if rows[name] == nil {
			rows[name] = make(map[Phase]int)
		}
		rows[name][j.Phase]++
		if j.PastUse {
			pastUse[name]++
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tlate\tpast use\tmost of the time\n", by)
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", name, sum(rows[name]), pastUse[name], describe(rows[name]))
	}
	return w.Flush()
}

func sum(phases map[Phase]int) int {
	n := 0
	for _, jobs := range phases {
		n += jobs
	}
	return n
}

// describe lists the phases of a row, in the order of Phases.
func describe(phases map[Phase]int) string {
	text := ""
	for _, p := range Phases {
		if phases[p] == 0 {
			continue
		}
		if text != "" {
			text += "; "
		}
		text += fmt.Sprintf("%s %d", p, phases[p])
	}
	return text
}
