package host

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/julienschmidt/httprouter"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/region"
)

// operatorRouter returns the pages of the control port that the commands status and explain
// read. Like the metrics, they are for operators, who alone reach that port.
func (h *Host) operatorRouter() http.Handler {
	r := httprouter.New()
	r.GET("/v1/jobs/:job", h.serveStatus)
	r.GET(admin.PathExplain+"/:job", h.serveExplain)
	return r
}

// jobStatus is the document of the command status, as the callers' interface has it.
type jobStatus struct {
	Job         string `json:"job"`
	Kind        string `json:"kind,omitempty"` // the queue
	State       string `json:"state"`
	Reason      string `json:"reason,omitempty"`
	Explanation string `json:"explanation,omitempty"`
}

// jobExplanation is the document of the command explain, as the operators' interface has it.
type jobExplanation struct {
	Job   string   `json:"job"`
	State string   `json:"state"`
	Team  string   `json:"team"` // the workspace
	Kind  string   `json:"kind"` // the queue
	Words []string `json:"words"`
}

func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id := params.ByName("job")
	e, ok := h.explained(w, r, id)
	if !ok {
		return
	}
	s := jobStatus{Job: id, Kind: e.Queue, State: stateNames[region.State(e.State)], Reason: e.Why}
	for _, line := range crashWords(e.Crashes) {
		s.Explanation += line + "\n"
	}
	h.writeDocument(w, s)
}

func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id := params.ByName("job")
	e, ok := h.explained(w, r, id)
	if !ok {
		return
	}
	doc := jobExplanation{Job: id, State: stateNames[region.State(e.State)], Team: e.Workspace, Kind: e.Queue, Words: crashWords(e.Crashes)}
	if e.Why != "" {
		doc.Words = append([]string{"failed: " + e.Why}, doc.Words...)
	}
	h.writeDocument(w, doc)
}

// explained asks the leader about a job. It answers the call itself if that is not possible.
func (h *Host) explained(w http.ResponseWriter, r *http.Request, id string) (*hostrpc.ExplainResponse, bool) {
	e, err := h.explain(r.Context(), id)
	switch {
	case err != nil:
		http.Error(w, "the leader did not answer", http.StatusServiceUnavailable)
		return nil, false
	case e.State == int32(region.StateUnknown):
		http.Error(w, "no such job", http.StatusNotFound)
		return nil, false
	}
	return e, true
}

func (h *Host) explain(ctx context.Context, id string) (*hostrpc.ExplainResponse, error) {
	request := newRequest(&hostrpc.ExplainRequest{Job: id})
	if h.election.localLeader() != nil {
		resp, err := h.Explain(ctx, request)
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}
	claim, _ := h.election.newestClaim()
	if claim == nil {
		return nil, errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, h.leaderTimeout())
	defer cancel()
	resp, err := h.peers.leader(claim.Address).Explain(ctx, request)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Explain implements hostrpc.LeaderHandler. Its errors are those of State.
func (h *Host) Explain(_ context.Context, req *connect.Request[hostrpc.ExplainRequest]) (*connect.Response[hostrpc.ExplainResponse], error) {
	l := h.election.localLeader()
	if l == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
	}
	e, current := l.Explain(req.Msg.Job)
	if !current {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLeading)
	}
	resp := &hostrpc.ExplainResponse{State: int32(e.State), Workspace: e.Workspace, Queue: e.Queue, Why: e.Why}
	for _, c := range e.Crashes {
		resp.Crashes = append(resp.Crashes, crashMessage(c.RunID, c))
	}
	return connect.NewResponse(resp), nil
}

func crashMessage(id model.RunID, c region.CrashCounted) *hostrpc.Crash {
	return &hostrpc.Crash{
		Occurrence: id.Task.Occurrence, Step: id.Task.Step, Task: id.Task.Index, Run: id.Run, Worker: c.Worker, Alone: c.Alone, Begun: c.Begun, Outage: c.Outage,
	}
}

// crashWords returns a sentence for each crash.
func crashWords(crashes []*hostrpc.Crash) []string {
	var out []string
	for _, c := range crashes {
		line := fmt.Sprintf("worker %s crashed under run %d of task %d of step %d", c.Worker, c.Run, c.Task, c.Step)
		if c.Alone {
			line += ", which had it without other jobs"
		}
		if !c.Begun {
			line += "; its start got no answer"
		}
		if c.Outage {
			line += "; not counted, as its rack failed"
		}
		out = append(out, line)
	}
	return out
}

func (h *Host) writeDocument(w http.ResponseWriter, doc any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(doc); err != nil {
		h.log.WithError(err).Info("status page not written")
	}
}
