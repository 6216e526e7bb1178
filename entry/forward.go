package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/request"
	"github.com/fireflyfold/fireflyfold/work"
)

// forward sends a call to a peer and passes its answer on. The peer takes the
// identifier at most once, so a forward that was doubled on its way runs once.
func (h *Host) forward(ctx context.Context, c *call, cmd engine.ForwardCall, left time.Duration, dst sink) error {
	ctx, span := h.tel.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("peer", string(cmd.Peer)), attribute.Int("try", cmd.Try))
	if !h.reaches(ctx, cmd.Addr) {
		h.push(engine.RequestFinished{Finished: request.Finished{ID: c.id, Result: request.ResultNotRun, PeerSilent: true}})
		return nil
	}
	stream, err := h.peers.At(cmd.Addr).Forward(ctx, connect.NewRequest(forwardRequest(c, left)))
	if err != nil {
		h.push(engine.RequestFinished{Finished: request.Finished{ID: c.id, Result: forwardResult(ctx, err)}})
		return nil
	}
	defer func() { _ = stream.Close() }()
	fin, cut := h.receive(ctx, c, stream, dst)
	h.push(engine.RequestFinished{Finished: fin})
	return cut
}

// reaches reports whether the peer at addr answers. It is asked right before a
// call is sent to it.
//
// It guards callers against a peer that was cut off after its last digest: the
// call would hang until its deadline and end as unknown although it never
// ran. A peer that does not answer has been sent nothing, so the call can
// still go to another one or be refused as not run.
func (h *Host) reaches(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := h.peers.At(addr).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{})); err != nil {
		h.metrics.peerFailed.Inc(1)
		return false
	}
	return true
}

func forwardRequest(c *call, left time.Duration) *peerv1.ForwardRequest {
	return &peerv1.ForwardRequest{
		Id:             c.id.String(),
		Team:           string(c.team),
		Service:        string(c.service),
		DeadlineLeftMs: left.Milliseconds(),
		NonIdempotent:  c.nonIdempotent,
		Hops:           int32(c.hops) + 1,
		Method:         c.method,
		Path:           c.path,
		Headers:        toWireHeader(c.header),
		Body:           c.body,
	}
}

// forwardStream is the receive side of a forwarded call.
type forwardStream interface {
	Receive() bool
	Msg() *peerv1.ForwardResponse
	Err() error
}

// receive reads a peer's answer. Without an end whose length matches, the
// answer was cut.
func (h *Host) receive(ctx context.Context, c *call, stream forwardStream, dst sink) (request.Finished, error) {
	held := &heldSink{dst: dst}
	fin := request.Finished{ID: c.id}
	var length int64
	for stream.Receive() {
		var err error
		switch part := stream.Msg().GetPart().(type) {
		case *peerv1.ForwardResponse_Problem:
			fin.Result = problemResult(part.Problem)
			fin.Refused = fin.Result == request.ResultNotRun
			fin.RetryAfter = time.Duration(part.Problem.GetRetryAfterMs()) * time.Millisecond
			return fin, nil
		case *peerv1.ForwardResponse_Head:
			fin.ServerFail = part.Head.GetStatus() >= http.StatusInternalServerError
			err = held.head(int(part.Head.GetStatus()), fromWireHeader(part.Head.GetHeaders()), -1)
		case *peerv1.ForwardResponse_Chunk:
			length += int64(len(part.Chunk))
			err = held.chunk(part.Chunk)
		case *peerv1.ForwardResponse_End:
			if part.End.GetLength() != length {
				return broken(ctx, fin, &CutAnswerError{Declared: part.End.GetLength(), Received: length})
			}
			fin.Result = request.ResultAnswered
			err = held.end(length)
			fin.Committed = held.committed
			return fin, err
		}
		fin.Committed = held.committed
		if err != nil {
			fin.Result = request.ResultCallerGone
			return fin, err
		}
	}
	return broken(ctx, fin, stream.Err())
}

// broken classifies a forwarded call that ended without an end.
func broken(ctx context.Context, fin request.Finished, err error) (request.Finished, error) {
	if err == nil {
		err = &PeerProtocolError{Detail: "the stream ended without an end"}
	}
	if fin.Committed {
		fin.Result = request.ResultFailed
		return fin, err
	}
	fin.Result = forwardResult(ctx, err)
	return fin, nil
}

// forwardResult classifies a forward without an answer. Connection refused is
// the only failure that is certain to have come before anything was sent.
func forwardResult(ctx context.Context, err error) request.Result {
	switch {
	case notDialled(err):
		return request.ResultNotRun
	case connect.CodeOf(err) == connect.CodeUnauthenticated:
		return request.ResultNotRun
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return request.ResultDeadline
	case ctx.Err() != nil:
		return request.ResultCallerGone
	default:
		return request.ResultUncertain
	}
}

// problemResult turns a peer's typed refusal into the result of the forward.
func problemResult(p *peerv1.Problem) request.Result {
	if p.GetOutcome() == work.OutcomeNotRun.String() {
		return request.ResultNotRun
	}
	return request.ResultUncertain
}

func toWireHeader(src http.Header) []*peerv1.Header {
	list := make([]*peerv1.Header, 0, len(src))
	for name, values := range src {
		list = append(list, &peerv1.Header{Name: name, Values: values})
	}
	return list
}

func fromWireHeader(list []*peerv1.Header) http.Header {
	header := make(http.Header, len(list))
	for _, item := range list {
		header[item.GetName()] = item.GetValues()
	}
	return header
}

func toWireProblem(p *problem.Problem) *peerv1.Problem {
	return &peerv1.Problem{
		Type:         string(p.Type),
		Title:        p.Title,
		Status:       int32(p.Status),
		Detail:       p.Detail,
		Outcome:      p.Outcome.String(),
		RetryAfterMs: (time.Duration(p.RetryAfter) * time.Second).Milliseconds(),
	}
}

func fromWireProblem(p *peerv1.Problem) *problem.Problem {
	res := &problem.Problem{
		Type:       problem.Type(p.GetType()),
		Title:      p.GetTitle(),
		Status:     int(p.GetStatus()),
		Detail:     p.GetDetail(),
		RetryAfter: int(p.GetRetryAfterMs() / int64(time.Second/time.Millisecond)),
	}
	if err := res.Outcome.UnmarshalText([]byte(p.GetOutcome())); err != nil {
		res.Outcome = work.OutcomeUnknown
	}
	return res
}
