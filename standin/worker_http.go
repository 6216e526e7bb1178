package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Worker serves a WorkerState and an upstream over HTTP.
type Worker struct {
	State    *WorkerState
	clock    Clock
	upstream Upstream
	mux      *http.ServeMux
}

// NewWorker returns the server of a worker. Something must call its state's
// Tick for tasks to end by themselves.
func NewWorker(state *WorkerState, upstream Upstream, clock Clock) *Worker {
	w := &Worker{State: state, clock: clock, upstream: upstream, mux: http.NewServeMux()}
	w.mux.HandleFunc("POST "+ports.PathLease, w.lease)
	w.mux.HandleFunc("POST "+ports.PathRelease, w.release)
	w.mux.HandleFunc("POST "+ports.PathStart, w.start)
	w.mux.HandleFunc("POST "+ports.PathControl, w.control)
	return w
}

// ServeHTTP answers lease, release, start, control and calls.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	// The path of a call belongs to the upstream and must not be cleaned.
	if path, ok := strings.CutPrefix(r.URL.RequestURI(), ports.PathCall+"/"); ok {
		w.call(out, r, "/"+path)
		return
	}
	w.mux.ServeHTTP(out, r)
}

func (w *Worker) lease(out http.ResponseWriter, r *http.Request) {
	var req ports.LeaseRequest
	if !readJSON(out, r, &req) {
		return
	}
	grant, err := w.State.Lease(w.clock(), req)
	if err != nil {
		replyError(out, r, err)
		return
	}
	reply(out, grant)
}

func (w *Worker) release(out http.ResponseWriter, r *http.Request) {
	var req ports.ReleaseRequest
	if readJSON(out, r, &req) {
		finish(out, r, w.State.Release(w.clock(), req.Class, req.Epoch))
	}
}

func (w *Worker) start(out http.ResponseWriter, r *http.Request) {
	var req ports.StartRequest
	if readJSON(out, r, &req) {
		finish(out, r, w.State.Start(w.clock(), req))
	}
}

func (w *Worker) control(out http.ResponseWriter, r *http.Request) {
	var req ports.ControlRequest
	if readJSON(out, r, &req) {
		finish(out, r, w.State.Control(w.clock(), req))
	}
}

// finish answers a call that returns nothing but an error.
func finish(out http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		replyError(out, r, err)
		return
	}
	out.WriteHeader(http.StatusNoContent)
}

// parseCall reads the headers of a call.
func parseCall(r *http.Request) (ports.Call, error) {
	const op = "call"
	epoch, errEpoch := strconv.ParseUint(r.Header.Get(ports.HeaderEpoch), 10, 64)
	inc, errInc := strconv.ParseUint(r.Header.Get(ports.HeaderIncarnation), 10, 64)
	left, errLeft := strconv.ParseInt(r.Header.Get(ports.HeaderDeadline), 10, 64)
	id, errID := ident.ParseTaskID(r.Header.Get(ports.HeaderTask))
	if errEpoch != nil || errInc != nil || errLeft != nil || errID != nil {
		return ports.Call{}, refused(op, ports.RefusedMalformed)
	}
	return ports.Call{
		Epoch:         ports.Epoch(epoch),
		Holder:        ident.Holder{Host: ident.HostID(r.Header.Get(ports.HeaderHost)), Incarnation: ident.Incarnation(inc)},
		ID:            id,
		Team:          ident.TeamID(r.Header.Get(ports.HeaderTeam)),
		Service:       ident.ServiceID(r.Header.Get(ports.HeaderService)),
		Deadline:      time.Duration(left),
		NonIdempotent: r.Header.Get(ports.HeaderNonIdempotent) == "true",
		Method:        r.Method,
	}, nil
}

// call runs the upstream in a slot and answers whole or not at all.
func (w *Worker) call(out http.ResponseWriter, r *http.Request, path string) {
	call, err := parseCall(r)
	if err != nil {
		replyError(out, r, err)
		return
	}
	// The body is read before the slot is taken, so that a slow sender holds
	// no slot and a cut body never runs.
	body, err := io.ReadAll(http.MaxBytesReader(out, r.Body, maxBody))
	if err != nil {
		problem(out, http.StatusBadRequest, ports.Problem{Refusal: ports.RefusedMalformed, Detail: err.Error()})
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	ticket, err := w.State.BeginCall(w.clock(), call, stop)
	if err != nil {
		replyError(out, r, err)
		return
	}
	answer := w.upstream(UpstreamRequest{
		Task: call.ID.String(), Service: string(call.Service), Method: r.Method,
		Path: path, Header: upstreamHeader(r), Body: body,
	})
	if ticket.Fail {
		answer = UpstreamAnswer{Status: http.StatusInternalServerError, Body: []byte("the upstream fails everything\n")}
	}
	end := w.serve(ctx, call, ticket, answer.ServiceTime)
	w.State.EndCall(w.clock(), ticket, end)
	w.answer(out, r, end, answer)
}

// serve waits out the service time and says how the call ended.
func (w *Worker) serve(ctx context.Context, call ports.Call, ticket Ticket, service time.Duration) End {
	took := time.NewTimer(time.Duration(float64(service) / ticket.Rate))
	defer took.Stop()
	deadline := time.NewTimer(call.Deadline)
	defer deadline.Stop()
	select {
	case <-took.C:
	case <-deadline.C:
		return EndDeadline
	case <-ctx.Done():
		return EndAborted
	}
	if ticket.Fail {
		return EndFailed
	}
	return EndDone
}

// answer writes the upstream's answer. A call that was stopped gets none: it
// may have had its effect, and a cut connection says so.
func (w *Worker) answer(out http.ResponseWriter, r *http.Request, end End, answer UpstreamAnswer) {
	faults := w.State.Faults()
	if faults.Paused {
		hang(r)
	}
	if faults.Paused || faults.Killed || (end != EndDone && end != EndFailed) {
		cut()
	}
	for name, values := range answer.Header {
		if !strings.HasPrefix(name, ports.HeaderPrefix) {
			out.Header()[name] = values
		}
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	out.WriteHeader(answer.Status)
	_, _ = out.Write(answer.Body) // a caller that is gone needs no answer
}

// upstreamHeader is the header of a call without what is meant for the worker.
func upstreamHeader(r *http.Request) http.Header {
	header := r.Header.Clone()
	for name := range header {
		if strings.HasPrefix(name, ports.HeaderPrefix) {
			header.Del(name)
		}
	}
	return header
}
