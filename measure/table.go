package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Row is one measured value.
type Row struct {
	Deployment string
	Trace      string // or "cost", for decisions in a full zone
	Variant    string // the policy, or the number of workers
	Measure    string
	Unit       string
	Value      string
	Exact      bool // the same in every run
}

// allDeployments marks the rows of decisions in a full zone.
const (
	allDeployments = "both"
	costTrace      = "cost"
)

// Rows returns the measures of a replay, the exact ones first.
func (r Result) Rows() []Row {
	rows := rowsOf{deployment: Deployment(r.Trace), trace: r.Trace, variant: r.Policy}
	for kind, w := range r.Waits {
		if w.Tasks == 0 {
			continue
		}
		name := Kind(kind).String()
		rows.count(name+" tasks", w.Tasks)
		rows.exact(name+" wait p50", "s", decimal(w.P50.Seconds()))
		rows.exact(name+" wait p99", "s", decimal(w.P99.Seconds()))
		if Kind(kind) == Deadline || Kind(kind) == Urgent {
			rows.count(name+" late or never", w.Late)
		}
	}
	const percent = 100
	rows.exact("packing of upper bound", "%", decimal(percent*r.Packing))
	rows.exact("distance from share", "%", decimal(percent*r.Deviation))
	rows.exact("busy", "s", decimal(r.Busy.Seconds()))
	rows.exact("ends", "s", decimal(r.Ends.Seconds()))
	rows.count("jobs", r.Jobs)
	rows.count("ran", r.Ran)
	rows.count("failed", r.Failed)
	rows.count("unknown", r.Unknown)
	rows.count("refused early", r.Refused)
	rows.count("accepted and not run", r.NotRun)
	rows.exact("error of predicted start", "s", decimal(r.Accuracy.Error.Seconds()))
	rows.exact("wait of the same jobs", "s", decimal(r.Accuracy.Wait.Seconds()))
	rows.count("predictions", r.Accuracy.Samples)
	rows.count("steps", r.Steps)
	rows.count("assigned", r.Assigned)
	rows.count("controls", r.Controls)
	rows.exact("digest of commands", "", strconv.FormatUint(r.Digest, 16))
	rows.timed("control cost of a step", "us", decimal(float64(r.Spent.Nanoseconds())/nanosPerMicro/float64(r.Steps)))
	return rows.list
}

const nanosPerMicro = 1000

// Rows returns the measures of decisions in a full zone.
func (c Cost) Rows() []Row {
	rows := rowsOf{deployment: allDeployments, trace: costTrace, variant: fmt.Sprintf("%d workers", c.Workers)}
	rows.timed("waiting jobs", "", strconv.Itoa(c.Waiting))
	rows.timed("placements", "/s", strconv.Itoa(int(c.PerSecond)))
	rows.timed("step p50", "us", micros(c.P50))
	rows.timed("step p99", "us", micros(c.P99))
	rows.timed("cancellation in a wave", "us", micros(c.Cancel))
	rows.timed("allocated for a placement", "B", strconv.Itoa(int(c.Allocated)))
	rows.timed("memory of a worker", "B", strconv.Itoa(int(c.PerWorker)))
	rows.timed("memory of a running task", "B", strconv.Itoa(int(c.PerRunning)))
	rows.timed("memory of a waiting job", "B", strconv.Itoa(int(c.PerWaiting)))
	rows.timed("memory of a team", "B", strconv.Itoa(int(c.PerTeam)))
	return rows.list
}

type rowsOf struct {
	deployment, trace, variant string
	list                       []Row
}

func (r *rowsOf) add(measure, unit, value string, exact bool) {
	r.list = append(r.list, Row{r.deployment, r.trace, r.variant, measure, unit, value, exact})
}

func (r *rowsOf) exact(measure, unit, value string) { r.add(measure, unit, value, true) }
func (r *rowsOf) timed(measure, unit, value string) { r.add(measure, unit, value, false) }
func (r *rowsOf) count(measure string, n int)       { r.exact(measure, "", strconv.Itoa(n)) }

func decimal(v float64) string {
	const digits = 3
	return strconv.FormatFloat(v, 'f', digits, 64)
}

func micros(d time.Duration) string { return decimal(float64(d.Nanoseconds()) / nanosPerMicro) }

// WriteCSV writes rows with a header line.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"deployment", "trace", "variant", "measure", "unit", "value"})
	for _, r := range rows {
		_ = out.Write([]string{r.Deployment, r.Trace, r.Variant, r.Measure, r.Unit, r.Value})
	}
	out.Flush()
	return out.Error()
}

// WriteText writes one table for each trace: measures down, variants across.
func WriteText(w io.Writer, rows []Row) error {
	for len(rows) > 0 {
		end := slices.IndexFunc(rows, func(r Row) bool { return r.Trace != rows[0].Trace })
		if end < 0 {
			end = len(rows)
		}
		if err := writeTable(w, rows[:end]); err != nil {
			return err
		}
		rows = rows[end:]
	}
	return nil
}

func writeTable(w io.Writer, rows []Row) error {
	var variants, measures []string
	values := map[[2]string]string{}
	for _, r := range rows {
		name := r.Measure
		if r.Unit != "" {
			name += " (" + r.Unit + ")"
		}
		if !slices.Contains(variants, r.Variant) {
			variants = append(variants, r.Variant)
		}
		if !slices.Contains(measures, name) {
			measures = append(measures, name)
		}
		values[[2]string{name, r.Variant}] = r.Value
	}
	const gap = 2
	out := tabwriter.NewWriter(w, 0, 0, gap, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "\n%s: %s\t", rows[0].Deployment, rows[0].Trace)
	for _, v := range variants {
		fmt.Fprintf(out, "%s\t", v)
	}
	fmt.Fprintln(out)
	for _, m := range measures {
		fmt.Fprintf(out, "%s\t", m)
		for _, v := range variants {
			fmt.Fprintf(out, "%s\t", values[[2]string{m, v}])
		}
		fmt.Fprintln(out)
	}
	return out.Flush()
}
