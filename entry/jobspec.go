package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// Bounds of a job specification.
const (
	maxJobTasks = 10_000
	maxJobName  = 128
	maxAttempts = 20
	// defaultAttempts is how often a task of an idempotent job is tried.
	defaultAttempts = 3
	maxJobPayload   = 64 << 10
	maxRun          = 30 * 24 * time.Hour
	// Bounds of what one task may ask for. They keep sums over all tasks of a
	// job within an int64: a sum that overflows would look small, and pass.
	maxMilliCPU     = 1_000_000_000 // a million processors
	maxMemoryMiB    = 1 << 40
	maxAccelerators = 1_000_000
)

// jobBody is a submission as callers write it. Durations are Go durations.
type jobBody struct {
	Kind          work.Kind `json:"kind"`
	Name          string    `json:"name"`
	Need          needBody  `json:"need"`
	Tasks         int       `json:"tasks"`
	Run           duration  `json:"run"`
	Limit         duration  `json:"limit"`
	Deadline      duration  `json:"deadline"`
	Urgent        bool      `json:"urgent"`
	Displaceable  bool      `json:"displaceable"`
	NonIdempotent bool      `json:"non_idempotent"`
	MaxAttempts   int       `json:"max_attempts"`
	Payload       string    `json:"payload"`
}

type needBody struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
}

// duration is a Go duration in JSON.
type duration struct {
	time.Duration
	text string // as the caller wrote it
	bad  bool   // not a duration
}

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: an error
// would end the decoding, and the caller would learn of one bad field only.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration{Duration: parsed, text: string(text), bad: err != nil}
	return nil
}

func (d duration) within(limit time.Duration) bool {
	return !d.bad && d.Duration >= 0 && d.Duration <= limit
}

// spec checks every field and names all that are wrong.
func (b *jobBody) spec(team ident.TeamID) (work.Spec, []problem.Field) {
	if b.Tasks == 0 {
		b.Tasks = 1
	}
	switch {
	case b.NonIdempotent:
		b.MaxAttempts = 1
	case b.MaxAttempts == 0:
		b.MaxAttempts = defaultAttempts
	}
	return work.Spec{
		Kind:          b.Kind,
		Team:          team,
		Name:          b.Name,
		Need:          resource.Vector{MilliCPU: b.Need.MilliCPU, MemoryMiB: b.Need.MemoryMiB, Accelerators: b.Need.Accelerators},
		Tasks:         b.Tasks,
		Run:           b.Run.Duration,
		Limit:         b.Limit.Duration,
		Deadline:      b.Deadline.Duration,
		Urgent:        b.Urgent,
		Displaceable:  b.Displaceable,
		NonIdempotent: b.NonIdempotent,
		MaxAttempts:   b.MaxAttempts,
		Payload:       b.Payload,
	}, b.check()
}

// Words that several fields share.
const (
	allowedDuration = "0s to 720h, with its unit"
	maxShownValue   = 128 // bytes of a bad value that an answer repeats
)

func (b *jobBody) check() []problem.Field {
	var bad []problem.Field
	require := func(ok bool, name, value, allowed string) {
		if !ok {
			bad = append(bad, problem.Field{Name: name, Value: value[:min(len(value), maxShownValue)], Allowed: allowed})
		}
	}
	count := func(name string, n, least, most int64) {
		require(n >= least && n <= most, name, strconv.FormatInt(n, 10), fmt.Sprintf("%d to %d", least, most))
	}
	require(b.Kind == work.KindBatch || b.Kind == work.KindGang, "kind", string(b.Kind), "batch or gang; services are declared by an operator")
	require(len(b.Name) <= maxJobName && printable(b.Name), "name", b.Name, "at most 128 bytes of printable characters")
	count("tasks", int64(b.Tasks), 1, maxJobTasks)
	count("need.milli_cpu", b.Need.MilliCPU, 0, maxMilliCPU)
	count("need.memory_mib", b.Need.MemoryMiB, 0, maxMemoryMiB)
	count("need.accelerators", b.Need.Accelerators, 0, maxAccelerators)
	require(b.Need != needBody{}, "need", "", "at least one resource")
	require(b.Run.within(maxRun), "run", b.Run.text, allowedDuration)
	require(b.Limit.within(maxRun), "limit", b.Limit.text, allowedDuration)
	require(b.Deadline.within(maxRun), "deadline", b.Deadline.text, allowedDuration)
	count("max_attempts", int64(b.MaxAttempts), 1, maxAttempts)
	require(len(b.Payload) <= maxJobPayload, "payload", "", "at most 65536 bytes")
	return bad
}

// printable keeps characters out of names that would drive the terminal of an
// operator who lists jobs.
func printable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) })
}

func (h *Host) readSpec(w http.ResponseWriter, r *http.Request, team ident.TeamID) (work.Spec, *problem.Problem) {
	data, p := h.readBody(w, r, team)
	if p != nil {
		return work.Spec{}, p
	}
	defer h.bodies.release(team, int64(cap(data)))
	body, p := decodeJob(data)
	if p != nil {
		return work.Spec{}, p
	}
	spec, bad := body.spec(team)
	if len(bad) > 0 {
		p := problem.NotRun(problem.TypeMalformed, "some fields are out of range")
		p.Fields = bad
		return work.Spec{}, p
	}
	return spec, nil
}

// decodeJob reads exactly one job, without fields that no job has.
func decodeJob(data []byte) (jobBody, *problem.Problem) {
	var body jobBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return jobBody{}, notAJob(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return jobBody{}, malformed("body", "", "one JSON object and nothing after it")
	}
	return body, nil
}

// unknownField is how encoding/json begins the error for a field that the
// target does not have; there is no type for it.
const unknownField = "json: unknown field "

// notAJob names the field at which decoding ended.
func notAJob(err error) *problem.Problem {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return malformed(wrong.Field, wrong.Value, allowedJSON(wrong.Type))
	}
	if quoted, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		if name, err := strconv.Unquote(quoted); err == nil {
			return malformed(name[:min(len(name), maxShownValue)], "", "left out: no job has this field")
		}
	}
	return malformed("body", "", "one JSON object that describes a job: "+err.Error())
}

// allowedJSON says in words what JSON a Go type takes.
func allowedJSON(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[duration]():
		return "a text such as \"90s\""
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "a text"
	}
	return "a whole number that fits in 64 bits"
}
