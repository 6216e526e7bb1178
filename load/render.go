package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Render writes a report for people.
func Render(w io.Writer, r *Report) error {
	fmt.Fprintf(w, "%s: %.0f/s for %.0f s to %d hosts, goodput %.0f/s, sent late p99 %.1f ms, seed %d\n",
		r.Mix, r.Rate, r.Seconds, r.Hosts, r.Goodput, r.Lag.P99, r.Seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\toffered\tran\tlate\tfailed\tnot run\tunknown\twrong\tunsent\tp50 ms\tp90 ms\tp99 ms\tmax ms\taccepted p99\t")
	for _, kind := range Kinds {
		k, ok := r.Kinds[kind]
		if !ok {
			continue
		}
		accepted := "-"
		if k.Accepted != nil {
			accepted = fmt.Sprintf("%.1f", k.Accepted.P99)
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t\n",
			kind, k.Offered, k.Ran, k.Late, total(k.Failed), total(k.NotRun), total(k.Unknown), total(k.Wrong), k.Unsent,
			k.Latency.P50, k.Latency.P90, k.Latency.P99, k.Latency.Max, accepted)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	renderReasons(w, r)
	return renderAudit(w, r)
}

// renderReasons lists why operations did not end well.
func renderReasons(w io.Writer, r *Report) {
	for _, kind := range Kinds {
		k, ok := r.Kinds[kind]
		if !ok {
			continue
		}
		renderCounts(w, string(kind)+" failed", k.Failed, k.Examples)
		renderCounts(w, string(kind)+" not run", k.NotRun, k.Examples)
		renderCounts(w, string(kind)+" unknown", k.Unknown, k.Examples)
		renderCounts(w, string(kind)+" WRONG", k.Wrong, k.Examples)
	}
}

func renderCounts(w io.Writer, title string, counts map[string]int, examples map[string]string) {
	reasons := make([]string, 0, len(counts))
	for reason := range counts {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		line := fmt.Sprintf("  %s: %d x %s", title, counts[reason], reason)
		if example := examples[reason]; example != "" {
			line += ", for example: " + example
		}
		fmt.Fprintln(w, line)
	}
}

// renderAudit tells what the stand-in platform saw.
func renderAudit(w io.Writer, r *Report) error {
	if r.AuditErr != "" {
		_, err := fmt.Fprintf(w, "audit not available: %s\n", r.AuditErr)
		return err
	}
	if r.Audit == nil {
		return nil
	}
	_, err := fmt.Fprintf(w, "audit: %d starts, doubled %d, overlapped %d, over capacity %d, repeated idempotent %d\n",
		r.Audit.Starts, r.Audit.Doubled, r.Audit.Overlapped, r.Audit.OverCapacity, r.Audit.Repeated)
	return err
}
