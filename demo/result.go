package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/load"
	"github.com/fireflyfold/fireflyfold/standin"
)

// TeamResult is the usage of one team during a run.
type TeamResult struct {
	Team     ident.TeamID
	Entitled float64 // share (0 to 1) of what runs, while the cell is full
	Running  float64 // mean share (0 to 1) of the units in use
	Peak     int64   // most units in use at once
	Limit    int64   // most units allowed at once
}

// Result is the outcome of a run of one deployment.
type Result struct {
	Name      string
	Report    *load.Report
	Audit     standin.Counts
	OverLimit int     // teams that exceeded their limit
	Packing   float64 // mean share (0 to 1) of processors in use on the workers in use
	Teams     []TeamResult
}

func (r *run) result(report *load.Report) *Result {
	res := &Result{
		Name:    r.opts.Layout.Name,
		Report:  report,
		Audit:   r.fleet.Platform.Audit.Counts(),
		Packing: r.sampler.meanPacking(),
	}
	var total float64
	for _, team := range r.opts.Layout.Teams {
		total += r.sampler.meanUnits(team)
	}
	for _, team := range r.opts.Layout.Teams {
		_, peak := r.fleet.Platform.Audit.Units(team)
		t := TeamResult{Team: team, Entitled: 1 / float64(len(r.opts.Layout.Teams)), Peak: peak, Limit: r.fleet.Limit()}
		if total > 0 {
			t.Running = r.sampler.meanUnits(team) / total
		}
		if peak > t.Limit {
			res.OverLimit++
		}
		res.Teams = append(res.Teams, t)
	}
	return res
}

// Broken returns the number of violations of the system's guarantees.
func (r *Result) Broken() int {
	wrong := r.Report.Broken() // answers that no caller may get
	return wrong + r.Audit.Doubled + r.Audit.Overlapped + r.Audit.OverCapacity + r.OverLimit
}

// Print writes the result as text tables to w.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "\n%s: %.0f s of arrivals, %.0f/s wanted\n", r.Name, r.Report.Seconds, r.Report.Rate)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsubmitted\tran\tlate\tfailed\tnot run\tunknown\twrong\tp50 ms\tp99 ms\t")
	for _, kind := range load.Kinds {
		k := r.Report.Kinds[kind]
		if k == nil || k.Offered == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", kind, k.Offered, k.Ran, k.Late,
			sum(k.Failed), sum(k.NotRun), sum(k.Unknown), sum(k.Wrong), k.Latency.P50, k.Latency.P99)
	}
	_ = t.Flush() // an error of standard output cannot be reported anywhere
	fmt.Fprintf(w, "doubled %d, in two places at once %d, over capacity %d, over limit %d\n",
		r.Audit.Doubled, r.Audit.Overlapped, r.Audit.OverCapacity, r.OverLimit)
	fmt.Fprintf(w, "packing: %.0f%% of the processors of workers in use\n", 100*r.Packing)
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "team\tshare\trunning\tpeak units\tlimit\t")
	for _, team := range r.Teams {
		fmt.Fprintf(t, "%s\t%.1f%%\t%.1f%%\t%d\t%d\t\n", team.Team, 100*team.Entitled, 100*team.Running, team.Peak, team.Limit)
	}
	_ = t.Flush()
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
