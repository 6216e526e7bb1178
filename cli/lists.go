package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/settings"
)

// list returns a command that shows the rows of one page.
func list[T any](env Env, name, synopsis, path, header string, row func(T) []any) *command {
	return &command{
		env: env, name: name, synopsis: synopsis, example: "  fireflyfold " + name + "\n  fireflyfold " + name + " --json",
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) != 0 {
				return &UsageError{Detail: name + " takes flags only, not " + args[0]}
			}
			var rows []T
			if err := c.call(ctx, call{method: http.MethodGet, path: path}, &rows); err != nil {
				return err
			}
			return c.print(rows, func(w io.Writer) { printRows(w, header, rows, row) })
		},
	}
}

// printRows prints a table: a header with tabs between its columns, then rows.
func printRows[T any](w io.Writer, header string, rows []T, row func(T) []any) {
	if len(rows) == 0 {
		fmt.Fprintln(w, "(none)")
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, r := range rows {
		cells := row(r)
		for i, cell := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, cell)
		}
		fmt.Fprintln(t)
	}
	_ = t.Flush() // writes to w, which reports its own errors when it is closed
}

const teamHeader = "TEAM\tSHARE\tENTITLED\tUSING\tUNITS\tLIMIT\tWAITING\tKEYS"

func teamRow(t admin.TeamStatus) []any {
	units := strconv.FormatInt(t.Units, 10)
	if t.Partial {
		units = ">=" + units
	}
	return []any{t.Team, t.Share, percent(t.Entitled), percent(t.Using), units, t.Limit, t.Waiting, t.Keys}
}

func newTeams(env Env) *command {
	return list(env, "teams", "List teams against their share and limit", admin.PathTeams, teamHeader, teamRow)
}

func newKeys(env Env) *command {
	return list(env, "keys", "List keys, never the keys themselves", admin.PathKeys, "KEY\tTEAM\tSTATE\tUNTIL\tCHANGED BY\tPLAN",
		func(k admin.KeyStatus) []any {
			return []any{k.Key, k.Team, k.State, wall(k.Until), or(k.By, "-"), or(string(k.Plan), "-")}
		})
}

func newWorkers(env Env) *command {
	return list(env, "workers", "List workers, who holds them and what they do", admin.PathWorkers,
		"WORKER\tZONE\tRACK\tSTATE\tMARK\tTASKS\tREQUESTS\tUSED\tSIZE\tWHY",
		func(s admin.WorkerStatus) []any {
			mark := or(string(s.Mark), string(s.UpstreamMark), "-")
			return []any{s.Worker, s.Zone, s.Rack, s.State, mark, s.Tasks, s.Requests, s.Used, s.Size, or(s.Why, "-")}
		})
}

const hostHeader = "HOST\tZONE\tSTATE\tMARK\tSEEN\tCONFIG\tIN FLIGHT\tWAITING\tWORKERS\tUP"

func hostRow(h admin.HostStatus) []any {
	name := string(h.Host)
	if h.Scheduler {
		name += " (scheduler)"
	}
	return []any{name, h.Zone, h.State, or(string(h.Mark), "-"), short(h.Age), h.Config, h.InFlight, h.Waiting, h.Workers, short(h.Started)}
}

func newHosts(env Env) *command {
	return list(env, "hosts", "List entry hosts", admin.PathHosts, hostHeader, hostRow)
}

const historyHeader = "WHEN\tHOST\tEVENT\tOBJECT\tBY\tREASON"

func historyRow(e admin.HistoryEntry) []any {
	return []any{wall(e.At), or(string(e.Host), "-"), e.Event, or(e.Object, "-"), or(e.By, "-"), e.Reason}
}

func newHistory(env Env) *command {
	var limit int
	return &command{
		env: env, name: "history", synopsis: "List what the system and the operators did, newest first",
		example: "  fireflyfold history --limit 20",
		flags:   func(f *flag.FlagSet) { f.IntVar(&limit, "limit", 50, "greatest number of entries, up to 1000") },
		run: func(ctx context.Context, c *command, _ []string) error {
			var rows []admin.HistoryEntry
			path := admin.PathHistory + "?" + admin.LimitParam + "=" + strconv.Itoa(limit)
			if err := c.call(ctx, call{method: http.MethodGet, path: path}, &rows); err != nil {
				return err
			}
			return c.print(rows, func(w io.Writer) { printRows(w, historyHeader, rows, historyRow) })
		},
	}
}

func newCheckSettings(env Env) *command {
	return &command{
		env: env, name: "check-settings", args: "FILE", synopsis: "Check the settings file of an entry host",
		example: "  fireflyfold check-settings deploy/rosenau.ini", local: true,
		about: "Every bad field is named with its section, key and value and what is allowed.",
		run: func(_ context.Context, c *command, args []string) error {
			path, err := oneArg(args, "file")
			if err != nil {
				return err
			}
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.env.Stdout, "%s: host %s in zone %s, %d zones, callers on %s, peers on %s: all fields are allowed\n",
				path, s.Host.Name, s.Host.Zone, len(s.Zones), s.Host.API, s.Host.Peer)
			return nil
		},
	}
}

// short renders a length of time with two digits or so.
func short(s admin.Seconds) string {
	d := s.Duration()
	switch {
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// wall renders a wall-clock time.
func wall(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02 15:04:05Z")
}

// percent renders a fraction.
func percent(f float64) string { return strconv.FormatFloat(100*f, 'f', 1, 64) + "%" }
