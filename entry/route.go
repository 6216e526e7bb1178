package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/request"
)

// route runs a call here, or, if its idempotency key has to be claimed in
// another zone, on that zone's scheduler. An idempotent request needs no
// claim: running it twice does no harm.
func (h *Host) route(ctx context.Context, c *call, dst sink) (*problem.Problem, error) {
	if !c.nonIdempotent {
		c.key = ""
	}
	if c.key == "" {
		return h.runCall(ctx, c, dst)
	}
	zone := h.homeZone(c.team, c.key)
	if zone == h.zone && h.schedules() {
		return h.runCall(ctx, c, dst)
	}
	if c.hops >= maxJobHops {
		return noScheduler(zone), nil
	}
	for _, target := range h.jobTargets(zone) {
		p, cut, sent := h.forwardClaim(ctx, c, target.Addr, dst)
		if sent {
			return p, cut
		}
	}
	return noScheduler(zone), nil
}

// forwardClaim sends a call to where its key belongs. It reports false if the
// call certainly did not reach the peer.
func (h *Host) forwardClaim(ctx context.Context, c *call, addr string, dst sink) (*problem.Problem, error, bool) {
	left := c.deadline - h.now()
	ctx, cancel := context.WithTimeout(ctx, max(left, 0))
	defer cancel()
	ctx, span := h.tel.Tracer.Start(ctx, "forward")
	defer span.End()
	if !h.reaches(ctx, addr) {
		return nil, nil, false
	}
	msg := forwardRequest(c, left)
	msg.IdempotencyKey = c.key
	stream, err := h.peers.At(addr).Forward(ctx, connect.NewRequest(msg))
	if err != nil {
		return claimLost(), nil, forwardResult(ctx, err) != request.ResultNotRun
	}
	defer func() { _ = stream.Close() }()
	watched := &problemStream{forwardStream: stream}
	fin, cut := h.receive(ctx, c, watched, dst)
	switch {
	case watched.problem != nil:
		return fromWireProblem(watched.problem), nil, true
	case fin.Result == request.ResultAnswered || cut != nil:
		return nil, cut, true
	case fin.Result == request.ResultNotRun:
		return nil, nil, false
	}
	return claimLost(), nil, true
}

func claimLost() *problem.Problem {
	return problem.Unknown(problem.TypeUpstream, "no answer came back; repeat with the same Idempotency-Key to learn the outcome").After(time.Second)
}

// problemStream keeps the peer's refusal as it was sent.
type problemStream struct {
	forwardStream
	problem *peerv1.Problem
}

// Msg implements forwardStream.
func (s *problemStream) Msg() *peerv1.ForwardResponse {
	msg := s.forwardStream.Msg()
	if part, ok := msg.GetPart().(*peerv1.ForwardResponse_Problem); ok {
		s.problem = part.Problem
	}
	return msg
}

// ownDigest is what peers are answered with.
func (h *Host) ownDigest() member.Digest {
	if d := h.digest.Load(); d != nil {
		return *d
	}
	return member.Digest{}
}
