package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
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
)

// jobTimeout is how long a submission may wait for the log.
const jobTimeout = 10 * time.Second

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
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = duration(parsed)
	return nil
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
		Run:           time.Duration(b.Run),
		Limit:         time.Duration(b.Limit),
		Deadline:      time.Duration(b.Deadline),
		Urgent:        b.Urgent,
		Displaceable:  b.Displaceable,
		NonIdempotent: b.NonIdempotent,
		MaxAttempts:   b.MaxAttempts,
		Payload:       b.Payload,
	}, b.check()
}

func (b *jobBody) check() []problem.Field {
	var bad []problem.Field
	require := func(ok bool, name, value, allowed string) {
		if !ok {
			bad = append(bad, problem.Field{Name: name, Value: value, Allowed: allowed})
		}
	}
	number := func(n int64) string { return strconv.FormatInt(n, 10) }
	length := func(d duration) string { return time.Duration(d).String() }
	require(b.Kind == work.KindBatch || b.Kind == work.KindGang, "kind", string(b.Kind), "batch or gang; services are declared by an operator")
	require(len(b.Name) <= maxJobName, "name", b.Name[:min(len(b.Name), maxJobName)], "at most 128 bytes")
	require(b.Tasks >= 1 && b.Tasks <= maxJobTasks, "tasks", strconv.Itoa(b.Tasks), "1 to 10000")
	require(b.Need.MilliCPU >= 0, "need.milli_cpu", number(b.Need.MilliCPU), "thousandths of a processor, not negative")
	require(b.Need.MemoryMiB >= 0, "need.memory_mib", number(b.Need.MemoryMiB), "MiB, not negative")
	require(b.Need.Accelerators >= 0, "need.accelerators", number(b.Need.Accelerators), "a count, not negative")
	require(b.Need != needBody{}, "need", "", "at least one resource")
	require(b.Run >= 0 && b.Run <= duration(maxRun), "run", length(b.Run), "0s to 720h")
	require(b.Limit >= 0 && b.Limit <= duration(maxRun), "limit", length(b.Limit), "0s to 720h")
	require(b.Deadline >= 0 && b.Deadline <= duration(maxRun), "deadline", length(b.Deadline), "0s to 720h")
	require(b.MaxAttempts >= 1 && b.MaxAttempts <= maxAttempts, "max_attempts", strconv.Itoa(b.MaxAttempts), "1 to 20")
	require(len(b.Payload) <= maxJobPayload, "payload", "", "at most 65536 bytes")
	return bad
}

// submitJob accepts a durable job once it is in the log.
func (h *Host) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	h.metrics.submissions.Inc(1)
	team, p := h.authenticate(r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	spec, p := h.readSpec(w, r, team)
	if p != nil {
		problem.Write(w, p)
		return
	}
	key := r.Header.Get(headerIdempotency)
	if len(key) > maxIdempotencyKey {
		problem.Write(w, malformed(headerIdempotency, "", "at most 255 bytes"))
		return
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		problem.Write(w, problem.NotRun(problem.TypeInternal, err.Error()))
		return
	}
	job := h.mint(h.homeZone(team, key))
	h.replyJob(w, r.Context(), http.StatusAccepted, jobCall{
		verb:     verbSubmit,
		team:     team,
		jobText:  job.String(),
		key:      key,
		spec:     encoded,
		deadline: h.now() + jobTimeout,
	})
}

// homeZone is where a job is decided: for a key, by hash over the configured
// zones, whether they can be reached or not. Hashing over the live zones would
// let both sides of a partition accept the same key.
func (h *Host) homeZone(team ident.TeamID, key string) ident.Zone {
	if key == "" {
		return h.zone
	}
	zones := make([]ident.HostID, 0, len(h.opts.Settings.Zones))
	for _, z := range h.opts.Settings.Zones {
		zones = append(zones, ident.HostID(z.Name))
	}
	return ident.Zone(member.Winner(string(team)+"\x00"+key, zones))
}

func (h *Host) readSpec(w http.ResponseWriter, r *http.Request, team ident.TeamID) (work.Spec, *problem.Problem) {
	data, p := h.readBody(w, r)
	if p != nil {
		return work.Spec{}, p
	}
	defer h.bodies.release(int64(len(data)))
	var body jobBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return work.Spec{}, problem.NotRun(problem.TypeMalformed, "the body is not a job: "+err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return work.Spec{}, problem.NotRun(problem.TypeMalformed, "the body holds more than one job")
	}
	spec, bad := body.spec(team)
	if len(bad) > 0 {
		p := problem.NotRun(problem.TypeMalformed, "some fields are out of range")
		p.Fields = bad
		return work.Spec{}, p
	}
	return spec, nil
}

func (h *Host) getJob(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		h.jobVerbCall(w, r, params, verbGet, jobTimeout)
		return
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		problem.Write(w, malformed("wait", text, "a duration such as 10s"))
		return
	}
	h.jobVerbCall(w, r, params, verbWait, min(wait, h.opts.Settings.Limits.RequestTimeout))
}

func (h *Host) cancelJob(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	h.jobVerbCall(w, r, params, verbCancel, jobTimeout)
}

func (h *Host) explainJob(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	h.jobVerbCall(w, r, params, verbExplain, jobTimeout)
}

func (h *Host) jobVerbCall(w http.ResponseWriter, r *http.Request, params httprouter.Params, verb jobVerb, timeout time.Duration) {
	team, p := h.authenticate(r)
	if p != nil {
		problem.Write(w, p)
		return
	}
	h.replyJob(w, r.Context(), http.StatusOK, jobCall{
		verb:     verb,
		team:     team,
		jobText:  params.ByName("id"),
		deadline: h.now() + timeout,
	})
}

func (h *Host) replyJob(w http.ResponseWriter, ctx context.Context, status int, c jobCall) {
	body, p := h.runJobCall(ctx, c)
	if p != nil {
		h.metrics.refused(p)
		problem.Write(w, p)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has gone away needs no answer
}

// jobReplyBody is how a job stands, as callers read it.
type jobReplyBody struct {
	Job       string          `json:"job"`
	StatusURL string          `json:"status_url"`
	Kind      work.Kind       `json:"kind"`
	Name      string          `json:"name,omitempty"`
	Team      ident.TeamID    `json:"team"`
	State     engine.JobState `json:"state"`
	Outcome   string          `json:"outcome,omitempty"`
	Failed    bool            `json:"failed,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	Words     string          `json:"explanation,omitempty"`
}

func describeJob(info engine.JobInfo) jobReplyBody {
	body := jobReplyBody{
		Job:       info.Job.String(),
		StatusURL: "/v1/jobs/" + info.Job.String(),
		Kind:      info.Spec.Kind,
		Name:      info.Spec.Name,
		Team:      info.Spec.Team,
		State:     info.State,
		Failed:    info.Failed,
		Reason:    info.Reason,
	}
	if info.State == engine.JobStateEnded {
		body.Outcome = info.Outcome.String()
	}
	if info.Explain != nil {
		body.Words = info.Explain.Words()
	}
	return body
}

func jobEnded(body []byte) bool {
	var reply jobReplyBody
	return json.Unmarshal(body, &reply) == nil && reply.State == engine.JobStateEnded
}

// digestOf names a submission, to tell a repeat from other work.
func digestOf(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = sum.Write([]byte(strconv.Itoa(len(part)) + ":")) // a hash never fails
		_, _ = sum.Write(part)
	}
	return base64.RawURLEncoding.EncodeToString(sum.Sum(nil)[:16])
}

func (c *call) fingerprint() string {
	if c.key == "" {
		return ""
	}
	return digestOf([]byte(c.method), []byte(c.service), []byte(c.path), c.body)
}
