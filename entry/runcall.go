package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/request"
)

// endGrace is how long a call waits for its end after its deadline. The engine
// ends every call at its deadline; without the bound a fault of the engine
// would leave the caller without any answer.
const endGrace = 2 * time.Second

// runCall takes an admitted call from the ring to its answer. It returns nil
// when the whole answer went to dst, and else the problem to report, or the
// error that cut an answer already begun.
func (h *Host) runCall(ctx context.Context, c *call, dst sink) (*problem.Problem, error) {
	if !h.calls.add(c) {
		return problem.Unknown(problem.TypeConflict, "the identifier "+c.id.String()+" was taken before"), nil
	}
	defer h.calls.remove(c.id)
	if !h.events.TryPush(h.admission(c)) {
		h.metrics.ringFull.Inc(1)
		return problem.NotRun(problem.TypeBusy, "this host has too many events to deal with").After(time.Second), nil
	}
	queueCtx, queued := h.tel.Tracer.Start(ctx, "queue")
	defer queued.End()
	var cut error
	gone := ctx.Done()
	timeout := time.NewTimer(c.deadline - h.now() + endGrace)
	defer timeout.Stop()
	for {
		select {
		case cmd := <-c.steps.Items():
			queued.End()
			if done, ok := cmd.(engine.RequestDone); ok {
				return doneProblem(done), cut
			}
			if err := h.try(queueCtx, c, cmd, dst); err != nil {
				cut = err
			}
		case <-gone:
			gone = nil
			h.push(engine.RequestCancelled{ID: c.id})
		case <-timeout.C:
			return problem.Unknown(problem.TypeInternal, "no decision by the deadline"), cut
		}
	}
}

func (h *Host) admission(c *call) engine.RequestAdmitted {
	return engine.RequestAdmitted{
		Request: request.Admitted{
			ID:            c.id,
			Team:          c.team,
			Service:       c.service,
			Deadline:      c.deadline,
			NonIdempotent: c.nonIdempotent,
			Hops:          c.hops,
		},
		Key:         c.key,
		Fingerprint: c.fingerprint(),
	}
}

// try carries out one dispatch or forward and reports its result. The error is
// set if it cut an answer that the caller had begun to read.
func (h *Host) try(ctx context.Context, c *call, cmd engine.Command, dst sink) error {
	left := c.deadline - h.now()
	ctx, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	h.placed(ctx, cmd)
	switch cmd := cmd.(type) {
	case engine.CallWorker:
		return h.callWorker(ctx, c, cmd, left, dst)
	case engine.ForwardCall:
		return h.forward(ctx, c, cmd, left, dst)
	}
	return nil
}

// placed marks in the trace where the engine decided to send a call. The
// decision itself takes microseconds, within the core's goroutine.
func (h *Host) placed(ctx context.Context, cmd engine.Command) {
	_, span := h.tel.Tracer.Start(ctx, "place")
	defer span.End()
	switch cmd := cmd.(type) {
	case engine.CallWorker:
		span.SetAttributes(attribute.String("worker", string(cmd.Worker)))
	case engine.ForwardCall:
		span.SetAttributes(attribute.String("peer", string(cmd.Peer)))
	}
}

func (h *Host) callWorker(ctx context.Context, c *call, cmd engine.CallWorker, left time.Duration, dst sink) error {
	ctx, span := h.tel.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("worker", string(cmd.Worker)), attribute.Int("try", cmd.Try))
	report := engine.RequestFinished{Worker: cmd.Worker, Epoch: cmd.Epoch}
	upstreamCtx, upstream := h.tel.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	answer, err := h.opts.Workers.Call(upstreamCtx, cmd.Addr, ports.Call{
		Epoch:         cmd.Epoch,
		Holder:        h.self,
		ID:            c.id,
		Team:          c.team,
		Service:       c.service,
		Deadline:      left,
		Method:        c.method,
		Path:          c.path,
		Header:        c.header,
		Body:          c.body,
		NonIdempotent: c.nonIdempotent,
	})
	upstream.End() // the head of the answer is here
	if err != nil {
		report.Finished = request.Finished{ID: c.id, Result: resultOf(ctx, err)}
		report.Refusal = refusalOf(err)
		h.push(report)
		return nil
	}
	_, passing := h.tel.Tracer.Start(ctx, "answer")
	res := copyAnswer(dst, answer)
	passing.End()
	_ = answer.Body.Close() // read to its end or given up
	report.Finished = finishedOf(ctx, c, answer.Status, res)
	h.push(report)
	if res.committed && !res.whole() {
		return errors.Join(res.source, res.caller)
	}
	return nil
}

// finishedOf classifies an answer that had a head.
func finishedOf(ctx context.Context, c *call, status int, res copied) request.Finished {
	fin := request.Finished{
		ID:         c.id,
		Committed:  res.committed,
		ServerFail: status >= http.StatusInternalServerError,
	}
	switch {
	case res.whole():
		fin.Result = request.ResultAnswered
	case res.caller != nil:
		fin.Result = request.ResultCallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		fin.Result = request.ResultDeadline
	case ctx.Err() != nil:
		fin.Result = request.ResultCallerGone
	default:
		fin.Result = request.ResultFailed
	}
	return fin
}

// resultOf classifies a call that brought no answer. Only a refusal by the
// worker and a call that was never sent are certain not to have run.
func resultOf(ctx context.Context, err error) request.Result {
	var refused *ports.RefusedError
	var notSent *ports.NotSentError
	switch {
	case errors.As(err, &refused) && refused.Refusal != ports.RefusedDuplicate:
		return request.ResultNotRun
	case errors.As(err, &notSent):
		return request.ResultNotRun
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.ResultDeadline
	case ctx.Err() != nil:
		return request.ResultCallerGone
	default:
		return request.ResultUncertain
	}
}

func refusalOf(err error) ports.Refusal {
	var refused *ports.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return ""
}
