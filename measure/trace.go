package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// Trace is a recorded sequence of jobs and the zone that they met.
type Trace struct {
	Name    string
	Workers []WorkerGroup
	Teams   []sched.Team
	Jobs    []Job // by arrival
}

// WorkerGroup is a number of equal workers, PerRack of them to a rack.
type WorkerGroup struct {
	Count   int
	PerRack int
	Size    resource.Vector
}

// Job is one job of a trace. Times are since the start of the trace.
type Job struct {
	At     time.Duration
	Spec   work.Spec
	Run    time.Duration // real run time of each task
	Fails  int           // attempts of its first task that fail
	Cancel time.Duration // time of its cancellation; zero for none
}

// MalformedTraceError reports a line of a trace that cannot be read.
type MalformedTraceError struct {
	Trace string
	Line  int
	Field string
}

// Error implements error.
func (e *MalformedTraceError) Error() string {
	return fmt.Sprintf("trace %s, line %d: malformed %s", e.Trace, e.Line, e.Field)
}

// The first field of a line says what it describes.
const (
	lineWorkers = "workers" // count, per rack, milli-cpu, MiB, accelerators
	lineTeam    = "team"    // name, weight
	lineJob     = "job"     // see jobFields
)

// Flags of a job.
const (
	flagUrgent        = 'u'
	flagDisplaceable  = 'd'
	flagNonIdempotent = 'n'
)

// WriteTrace writes a trace as CSV lines; times are in milliseconds.
func WriteTrace(w io.Writer, t Trace) error {
	out := csv.NewWriter(w)
	for _, g := range t.Workers {
		_ = out.Write(append([]string{lineWorkers},
			ints(int64(g.Count), int64(g.PerRack), g.Size.MilliCPU, g.Size.MemoryMiB, g.Size.Accelerators)...))
	}
	for _, team := range t.Teams {
		_ = out.Write(append([]string{lineTeam, string(team.ID)}, ints(team.Weight)...))
	}
	for _, j := range t.Jobs {
		_ = out.Write(jobLine(j))
	}
	out.Flush()
	return out.Error()
}

func jobLine(j Job) []string {
	s := j.Spec
	line := []string{lineJob, string(s.Kind), string(s.Team), s.Name, flags(s)}
	return append(line, ints(j.At.Milliseconds(), int64(s.Tasks),
		s.Need.MilliCPU, s.Need.MemoryMiB, s.Need.Accelerators,
		s.Run.Milliseconds(), j.Run.Milliseconds(), s.Deadline.Milliseconds(),
		int64(j.Fails), j.Cancel.Milliseconds())...)
}

// jobFields is the number of fields of a job's line.
const (
	jobFields = 15
	jobTexts  = 5 // the fields before the numbers
)

func flags(s work.Spec) string {
	var set []rune
	if s.Urgent {
		set = append(set, flagUrgent)
	}
	if s.Displaceable {
		set = append(set, flagDisplaceable)
	}
	if s.NonIdempotent {
		set = append(set, flagNonIdempotent)
	}
	return string(set)
}

func ints(values ...int64) []string {
	fields := make([]string, len(values))
	for i, v := range values {
		fields[i] = strconv.FormatInt(v, 10)
	}
	return fields
}

// ReadTrace reads what WriteTrace wrote. It returns a *MalformedTraceError for
// a line of another form.
func ReadTrace(name string, r io.Reader) (Trace, error) {
	t := Trace{Name: name}
	in := csv.NewReader(r)
	in.FieldsPerRecord = -1
	lines, err := in.ReadAll()
	if err != nil {
		return t, err
	}
	for i, line := range lines {
		if field := t.add(line); field != "" {
			return t, &MalformedTraceError{Trace: name, Line: i + 1, Field: field}
		}
	}
	return t, nil
}

// add takes in one line, or returns the name of the field that is malformed.
func (t *Trace) add(line []string) string {
	switch {
	case line[0] == lineWorkers && len(line) == 6:
		n, ok := numbers(line[1:])
		t.Workers = append(t.Workers, WorkerGroup{Count: int(n[0]), PerRack: int(n[1]), Size: vector(n[2:])})
		return unless(ok, lineWorkers)
	case line[0] == lineTeam && len(line) == 3:
		n, ok := numbers(line[2:])
		t.Teams = append(t.Teams, sched.Team{ID: ident.TeamID(line[1]), Weight: n[0]})
		return unless(ok, lineTeam)
	case line[0] == lineJob && len(line) == jobFields:
		n, ok := numbers(line[jobTexts:])
		t.Jobs = append(t.Jobs, readJob(line, n))
		return unless(ok, lineJob)
	}
	return "line"
}

func readJob(line []string, n []int64) Job {
	j := Job{
		At:     millis(n[0]),
		Run:    millis(n[6]),
		Fails:  int(n[8]),
		Cancel: millis(n[9]),
		Spec: work.Spec{
			Kind:     work.Kind(line[1]),
			Team:     ident.TeamID(line[2]),
			Name:     line[3],
			Tasks:    int(n[1]),
			Need:     vector(n[2:5]),
			Run:      millis(n[5]),
			Deadline: millis(n[7]),
		},
	}
	for _, flag := range line[4] {
		j.Spec.Urgent = j.Spec.Urgent || flag == flagUrgent
		j.Spec.Displaceable = j.Spec.Displaceable || flag == flagDisplaceable
		j.Spec.NonIdempotent = j.Spec.NonIdempotent || flag == flagNonIdempotent
	}
	return j
}

func numbers(fields []string) ([]int64, bool) {
	values := make([]int64, len(fields))
	for i, field := range fields {
		v, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return values, false
		}
		values[i] = v
	}
	return values, true
}

func unless(ok bool, field string) string {
	if ok {
		return ""
	}
	return field
}

func vector(n []int64) resource.Vector {
	return resource.Vector{MilliCPU: n[0], MemoryMiB: n[1], Accelerators: n[2]}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
