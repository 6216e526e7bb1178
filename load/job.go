package load

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/work"
)

// jobBody is a submission.
type jobBody struct {
	Kind     work.Kind `json:"kind"`
	Name     string    `json:"name"`
	Need     needBody  `json:"need"`
	Tasks    int       `json:"tasks"`
	Run      string    `json:"run"`
	Deadline string    `json:"deadline"`
}

type needBody struct {
	MilliCPU  int64 `json:"milli_cpu"`
	MemoryMiB int64 `json:"memory_mib"`
}

// jobState is how a job stands.
type jobState struct {
	Job     string `json:"job"`
	State   string `json:"state"`
	Outcome string `json:"outcome"`
	Failed  bool   `json:"failed"`
	Reason  string `json:"reason"`
}

// stateEnded is the state of a job that has an outcome.
const stateEnded = "ended"

// waitStep is how long one question waits for the end of a job.
const waitStep = 5 * time.Second

// job submits a job and waits for its end.
func (g *generator) job(ctx context.Context, op operation) result {
	ctx, cancel := context.WithDeadline(ctx, op.due.Add(g.opts.JobDeadline+grace))
	defer cancel()
	shape := g.opts.Mix.shape(op.kind)
	state, bad := g.submit(ctx, op, shape)
	if bad != nil {
		return *bad
	}
	g.rec.acceptedAfter(op.kind, time.Since(op.due))
	for state.State != stateEnded {
		if state, bad = g.await(ctx, op, state.Job); bad != nil {
			return *bad
		}
	}
	return g.jobResult(op, shape, state)
}

// submit hands the job in.
func (g *generator) submit(ctx context.Context, op operation, shape JobShape) (jobState, *result) {
	data, err := json.Marshal(jobBody{
		Kind: shape.Kind, Name: "load-" + strconv.FormatUint(op.number, 10), Tasks: shape.Tasks,
		Need: needBody{MilliCPU: shape.MilliCPU, MemoryMiB: shape.MemoryMiB},
		Run:  shape.Run.String(), Deadline: g.opts.JobDeadline.String(),
	})
	if err != nil {
		return jobState{}, &result{class: classNotRun, reason: err.Error()}
	}
	return g.ask(ctx, op, http.MethodPost, "/v1/jobs", data)
}

// await asks how a job stands and lets the host wait for its end.
func (g *generator) await(ctx context.Context, op operation, job string) (jobState, *result) {
	state, bad := g.ask(ctx, op, http.MethodGet, "/v1/jobs/"+job+"?wait="+waitStep.String(), nil)
	if bad == nil || ctx.Err() != nil {
		return state, bad
	}
	// The job is accepted: a question that failed says nothing about it.
	if !sleepUntil(ctx, time.Now().Add(time.Second)) {
		return jobState{}, &result{class: classUnknown, reason: reasonNoAnswer}
	}
	return jobState{Job: job}, nil
}

// ask makes one call about jobs.
func (g *generator) ask(ctx context.Context, op operation, method, path string, data []byte) (jobState, *result) {
	req, err := newRequest(ctx, method, "http://"+op.host+path, op.key, data)
	if err != nil {
		return jobState{}, &result{class: classNotRun, reason: reasonUnreachable}
	}
	_, answer, bad := g.exchange(req, op.due)
	if bad != nil {
		return jobState{}, bad
	}
	var state jobState
	if err := json.Unmarshal(answer, &state); err != nil || state.Job == "" {
		return jobState{}, &result{class: classWrong, reason: "answer is no job"}
	}
	return state, nil
}

// jobResult classifies an ended job. Its run time is no waiting time.
func (g *generator) jobResult(op operation, shape JobShape, state jobState) result {
	switch {
	case state.Outcome == work.OutcomeNotRun.String():
		return result{class: classNotRun, reason: "job: " + state.Reason}
	case state.Outcome == work.OutcomeUnknown.String():
		return result{class: classUnknown, reason: "job: " + state.Reason}
	case state.Failed:
		return result{class: classFailed, reason: "job: " + state.Reason}
	}
	return result{class: classRan, took: time.Since(op.due) - shape.Run}
}
