package entry

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/work"
)

// jobTimeout is how long a submission may wait for the log.
const jobTimeout = 10 * time.Second

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
