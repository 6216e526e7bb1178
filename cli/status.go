package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Greatest numbers of rows on the one screen of status; the lists show all.
const (
	screenHosts   = 12
	screenTeams   = 12
	screenHistory = 5
)

// staleConfig is the age of a configuration from which on status calls it old.
const staleConfig = 9 * time.Second

func newStatus(env Env) *command {
	var wait time.Duration
	return &command{
		env: env, name: "status", args: "[JOB]", synopsis: "Show the whole fleet on one screen, or how one job stands",
		example: "  fireflyfold status\n  fireflyfold status --wait 30s oberbayern-1.oberbayern-1-h1.3f2k.1c",
		about:   "Without a job it needs an operator's token, with one the key of the job's team.",
		flags:   func(f *flag.FlagSet) { f.DurationVar(&wait, "wait", 0, "wait this long for the outcome of the job") },
		run: func(ctx context.Context, c *command, args []string) error {
			if len(args) > 0 {
				id, err := oneArg(args, "job")
				if err != nil {
					return err
				}
				return c.job(ctx, id, wait)
			}
			var answer admin.Status
			if err := c.call(ctx, call{method: http.MethodGet, path: admin.PathStatus}, &answer); err != nil {
				return err
			}
			return c.print(answer, func(w io.Writer) { printStatus(w, answer) })
		},
	}
}

// printStatus prints the fleet: what is degraded first, because that is what
// an operator has come for.
func printStatus(w io.Writer, s admin.Status) {
	fmt.Fprintf(w, "Fleet as seen by %s in %s, %s\n", s.Host, s.Zone, wall(s.At))
	fmt.Fprintln(w, configWords(s.Config))
	printDegraded(w, s.Degraded)
	fmt.Fprintln(w, "\nZONES")
	printRows(w, "ZONE\tREACHABLE\tSEEN\tHOSTS\tWORKERS\tLEASED\tIMPAIRED\tUSED\tSCHEDULER", s.Zones, zoneRow)
	fmt.Fprintln(w, "\nHOSTS")
	printSome(w, hostHeader, hostsFirst(s.Hosts), hostRow, screenHosts, "hosts")
	fmt.Fprintln(w, "\nQUEUES")
	printRows(w, "ZONE\tKIND\tWAITING\tOLDEST\tRUNNING", s.Queues, func(q admin.QueueStatus) []any {
		return []any{q.Zone, q.Kind, q.Waiting, short(q.Oldest), q.Running}
	})
	fmt.Fprintln(w, "\nTEAMS")
	printSome(w, teamHeader, teamsFirst(s.Teams), teamRow, screenTeams, "teams")
	fmt.Fprintln(w, "\nLATELY")
	printSome(w, historyHeader, s.Recent, historyRow, screenHistory, "history")
}

// printSome prints the first rows and says how to see the rest.
func printSome[T any](w io.Writer, header string, rows []T, row func(T) []any, most int, command string) {
	printRows(w, header, rows[:min(len(rows), most)], row)
	if len(rows) > most {
		fmt.Fprintf(w, "... and %d more: fireflyfold %s\n", len(rows)-most, command)
	}
}

func configWords(c admin.ConfigStatus) string {
	text := fmt.Sprintf("Configuration at offset %d from the %s, %s old", c.Offset, c.Source, short(c.Age))
	if c.Source == admin.SourceNone {
		text = "No configuration yet: this host admits nothing"
	}
	if !c.LogReachable {
		text += "; the platform's log cannot be reached"
	}
	if c.Source != admin.SourceNone && c.Age.Duration() > staleConfig {
		text += "; OLD: newer changes, withdrawn keys among them, may not be known here"
	}
	return text
}

func printDegraded(w io.Writer, all []admin.Degradation) {
	if len(all) == 0 {
		fmt.Fprintln(w, "Nothing is degraded")
		return
	}
	fmt.Fprintln(w, "\nDEGRADED")
	for _, d := range all {
		since := ""
		if d.Since > 0 {
			since = " (for " + short(d.Since) + ")"
		}
		fmt.Fprintf(w, "  %s%s\n    means: %s\n    do:    %s\n", d.What, since, d.Means, d.Do)
	}
}

func zoneRow(z admin.ZoneStatus) []any {
	reachable := "yes"
	if !z.Reachable {
		reachable = "NO"
	}
	return []any{z.Zone, reachable, short(z.Age), z.Hosts, z.Workers, z.Leased, z.Impaired, usedWords(z.Used, z.Size), or(string(z.Scheduler), "none")}
}

// usedWords says how full workers are, by each resource that they have.
func usedWords(used, size resource.Vector) string {
	text := ""
	for _, part := range []struct {
		name       string
		used, size int64
	}{
		{"cpu", used.MilliCPU, size.MilliCPU}, {"memory", used.MemoryMiB, size.MemoryMiB},
		{"accel", used.Accelerators, size.Accelerators}, {"slots", used.Slots, size.Slots},
	} {
		if part.size > 0 {
			text += fmt.Sprintf("%s %s ", part.name, percent(float64(part.used)/float64(part.size)))
		}
	}
	return or(text, "-")
}

// hostsFirst puts hosts that are not live first.
func hostsFirst(hosts []admin.HostStatus) []admin.HostStatus {
	well := func(h admin.HostStatus) int {
		if h.State == "live" && h.Mark == "" {
			return 1
		}
		return 0
	}
	return slices.SortedStableFunc(slices.Values(hosts), func(a, b admin.HostStatus) int {
		return cmp.Or(cmp.Compare(well(a), well(b)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host))
	})
}

// teamsFirst puts teams nearest to their limit first.
func teamsFirst(teams []admin.TeamStatus) []admin.TeamStatus {
	near := func(t admin.TeamStatus) float64 { return float64(t.Units) / float64(max(t.Limit, 1)) }
	return slices.SortedStableFunc(slices.Values(teams), func(a, b admin.TeamStatus) int {
		return cmp.Or(cmp.Compare(near(b), near(a)), cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Team, b.Team))
	})
}
