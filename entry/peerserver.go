package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/problem"
)

// peerServer answers other entry hosts.
type peerServer struct {
	h *Host
}

// Exchange implements peerv1.PeerServiceHandler.
func (s *peerServer) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	if digest, ok := fromWireDigest(req.Msg.GetDigest()); ok {
		s.h.tryPush(engine.DigestReceived{Digest: digest})
	}
	res := &peerv1.ExchangeResponse{Digest: toWireDigest(s.h.ownDigest())}
	return connect.NewResponse(res), nil
}

// Forward implements peerv1.PeerServiceHandler.
func (s *peerServer) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest], stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	h := s.h
	h.metrics.forwardedIn.Inc(1)
	c, p := h.forwardedCall(req.Msg)
	if p == nil && !h.bodies.reserve(c.team, int64(len(c.body))) {
		p = bodiesFull()
	}
	if p != nil {
		return stream.Send(problemPart(p))
	}
	defer h.bodies.release(c.team, int64(len(c.body)))
	ctx, span := h.tel.Tracer.Start(ctx, "forwarded")
	defer span.End()
	p, cut := h.route(ctx, c, &streamSink{stream: stream})
	if cut != nil {
		return connect.NewError(connect.CodeAborted, cut)
	}
	if p != nil {
		return stream.Send(problemPart(p))
	}
	return nil
}

// forwardedCall checks what a peer sent. The team was authenticated by the
// peer; a key that was withdrawn meanwhile is refused by the next request.
func (h *Host) forwardedCall(msg *peerv1.ForwardRequest) (*call, *problem.Problem) {
	id, err := ident.ParseTaskID(msg.GetId())
	if err != nil {
		return nil, malformed("id", msg.GetId(), "a task identifier")
	}
	if int64(len(msg.GetBody())) > h.opts.Settings.Limits.MaxBody {
		return nil, tooLarge(h.opts.Settings.Limits.MaxBody)
	}
	left := time.Duration(msg.GetDeadlineLeftMs()) * time.Millisecond
	return &call{
		id:            id,
		team:          ident.TeamID(msg.GetTeam()),
		service:       ident.ServiceID(msg.GetService()),
		method:        msg.GetMethod(),
		path:          msg.GetPath(),
		header:        fromWireHeader(msg.GetHeaders()),
		body:          msg.GetBody(),
		deadline:      h.now() + min(left, h.opts.Settings.Limits.RequestTimeout),
		nonIdempotent: msg.GetNonIdempotent(),
		key:           msg.GetIdempotencyKey(),
		hops:          int(msg.GetHops()),
	}, nil
}

// CallJob implements peerv1.PeerServiceHandler.
func (s *peerServer) CallJob(ctx context.Context, req *connect.Request[peerv1.CallJobRequest]) (*connect.Response[peerv1.CallJobResponse], error) {
	body, p := s.h.runJobCall(ctx, fromWireJobCall(req.Msg, s.h.now()))
	res := &peerv1.CallJobResponse{Body: body}
	if p != nil {
		res.Problem = toWireProblem(p)
	}
	return connect.NewResponse(res), nil
}

// AskUnits implements peerv1.PeerServiceHandler.
func (s *peerServer) AskUnits(_ context.Context, req *connect.Request[peerv1.AskUnitsRequest]) (*connect.Response[peerv1.AskUnitsResponse], error) {
	s.h.tryPush(engine.UnitsAsked{
		From:  fromWireHolder(req.Msg.GetHolder()),
		Team:  ident.TeamID(req.Msg.GetTeam()),
		Units: req.Msg.GetUnits(),
		Lack:  req.Msg.GetLack(),
		Seq:   req.Msg.GetSeq(),
	})
	return connect.NewResponse(&peerv1.AskUnitsResponse{}), nil
}

// ReadConfig implements peerv1.PeerServiceHandler.
func (s *peerServer) ReadConfig(ctx context.Context, req *connect.Request[peerv1.ReadConfigRequest]) (*connect.Response[peerv1.ReadConfigResponse], error) {
	cmd, err := s.ask(ctx, func(call uint64) engine.Event {
		return engine.ConfigAsked{Call: call, After: ports.Offset(req.Msg.GetAfter())}
	})
	if err != nil {
		return nil, err
	}
	reply, _ := cmd.(engine.ConfigReply)
	return connect.NewResponse(toWireConfig(reply)), nil
}

// Promise implements peerv1.PeerServiceHandler.
func (s *peerServer) Promise(ctx context.Context, req *connect.Request[peerv1.PromiseRequest]) (*connect.Response[peerv1.PromiseResponse], error) {
	cmd, err := s.ask(ctx, func(call uint64) engine.Event {
		return engine.PromiseAsked{
			Call:    call,
			From:    fromWireHolder(req.Msg.GetFrom()),
			Order:   req.Msg.GetOrder(),
			Worker:  ident.WorkerID(req.Msg.GetWorker()),
			Release: req.Msg.GetRelease(),
		}
	})
	if err != nil {
		return nil, err
	}
	reply, _ := cmd.(engine.PromiseReply)
	return connect.NewResponse(&peerv1.PromiseResponse{Given: reply.Given, From: toWireHolder(reply.From)}), nil
}

// SettleAttempts implements peerv1.PeerServiceHandler.
func (s *peerServer) SettleAttempts(ctx context.Context, req *connect.Request[peerv1.SettleAttemptsRequest]) (*connect.Response[peerv1.SettleAttemptsResponse], error) {
	asked, err := fromWireAttempts(req.Msg.GetAttempts())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	cmd, err := s.ask(ctx, func(call uint64) engine.Event {
		return engine.AttemptsAsked{Call: call, From: fromWireHolder(req.Msg.GetFrom()), Attempts: asked}
	})
	if err != nil {
		return nil, err
	}
	reply, _ := cmd.(engine.AttemptsReply)
	res := &peerv1.SettleAttemptsResponse{From: toWireHolder(reply.From)}
	for _, state := range reply.States {
		res.States = append(res.States, string(state))
	}
	return connect.NewResponse(res), nil
}

// ListLeases implements peerv1.PeerServiceHandler.
func (s *peerServer) ListLeases(ctx context.Context, _ *connect.Request[peerv1.ListLeasesRequest]) (*connect.Response[peerv1.ListLeasesResponse], error) {
	cmd, err := s.ask(ctx, func(call uint64) engine.Event { return engine.LeasesAsked{Call: call} })
	if err != nil {
		return nil, err
	}
	reply, _ := cmd.(engine.LeasesReply)
	return connect.NewResponse(toWireLeases(reply.Leases)), nil
}

// Inspect implements peerv1.PeerServiceHandler.
func (s *peerServer) Inspect(context.Context, *connect.Request[peerv1.InspectRequest]) (*connect.Response[peerv1.InspectResponse], error) {
	facts, err := json.Marshal(s.h.ownFacts())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.InspectResponse{Facts: facts}), nil
}

// ask puts a question to the engine and waits for its reply.
func (s *peerServer) ask(ctx context.Context, event func(call uint64) engine.Event) (engine.Command, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	cmd, err := s.h.ask(ctx, event)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return cmd, nil
}

func problemPart(p *problem.Problem) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Problem{Problem: toWireProblem(p)}}
}

// streamSink answers a peer that forwarded a call.
type streamSink struct {
	stream *connect.ServerStream[peerv1.ForwardResponse]
}

func (s *streamSink) head(status int, header http.Header, _ int64) error {
	head := &peerv1.AnswerHead{Status: int32(status), Headers: toWireHeader(header)}
	return s.stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Head{Head: head}})
}

func (s *streamSink) chunk(p []byte) error {
	return s.stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Chunk{Chunk: p}})
}

func (s *streamSink) end(length int64) error {
	end := &peerv1.AnswerEnd{Length: length}
	return s.stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_End{End: end}})
}
