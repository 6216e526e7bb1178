package host

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/record"
)

// Keep implements hostrpc.HelperHandler. It appends a record to the intake for a
// host that does not reach the log. It answers NOT_KEPT only if the record is
// certainly not in the log, and UNSPECIFIED if it may be.
func (h *Host) Keep(ctx context.Context, req *connect.Request[hostrpc.KeepRequest]) (*connect.Response[hostrpc.KeepResponse], error) {
	if !h.intake.Healthy() {
		return keepResponse(hostrpc.KeepOutcome_KEEP_OUTCOME_NOT_KEPT), nil
	}
	done := make(chan appendOutcome, 1)
	p := h.intake.Write(req.Msg.Record, func(a logwriter.Ack) { done <- h.outcomeOf(a) })
	select {
	case o := <-done:
		if o != appended {
			return keepResponse(hostrpc.KeepOutcome_KEEP_OUTCOME_NOT_KEPT), nil
		}
		return keepResponse(hostrpc.KeepOutcome_KEEP_OUTCOME_KEPT), nil
	case <-ctx.Done():
	case <-time.After(time.Duration(req.Msg.TimeoutMs) * time.Millisecond):
	}
	if p.Withdraw() {
		return keepResponse(hostrpc.KeepOutcome_KEEP_OUTCOME_NOT_KEPT), nil
	}
	return keepResponse(hostrpc.KeepOutcome_KEEP_OUTCOME_UNSPECIFIED), nil
}

func keepResponse(o hostrpc.KeepOutcome) *connect.Response[hostrpc.KeepResponse] {
	return connect.NewResponse(&hostrpc.KeepResponse{Outcome: o})
}

// peerAppendTimeout bounds the append that another host makes on this host's behalf.
// Its answer has to arrive within peerTimeout.
const peerAppendTimeout = 250 * time.Millisecond

// appendThroughPeers asks other hosts concurrently to append a record. One success is
// enough, and a record that is appended twice counts once.
func (h *Host) appendThroughPeers(ctx context.Context, data []byte) appendOutcome {
	addresses := h.election.otherHosts(maxPeerCalls)
	outcomes := make(chan appendOutcome, len(addresses))
	ctx, cancel := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	for _, address := range addresses {
		calls.Go(func() { outcomes <- h.appendThrough(ctx, address, data) })
	}
	result := notAppended
	for range addresses {
		switch <-outcomes {
		case appended:
			h.metrics.Counter("kept_by_peers").Inc(1)
			return appended
		case appendUnknown:
			result = appendUnknown
		}
	}
	return result
}

// appendThrough asks one host to append a record.
func (h *Host) appendThrough(ctx context.Context, address string, data []byte) appendOutcome {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := h.peers.helper(address).Keep(ctx, newRequest(&hostrpc.KeepRequest{
		Record: data, TimeoutMs: peerAppendTimeout.Milliseconds(),
	}))
	if err != nil {
		h.log.WithError(err).WithField("address", address).Debug("peer did not report the outcome of the append")
		return appendUnknown
	}
	h.peerContact.succeeded()
	switch resp.Msg.Outcome {
	case hostrpc.KeepOutcome_KEEP_OUTCOME_KEPT:
		return appended
	case hostrpc.KeepOutcome_KEEP_OUTCOME_NOT_KEPT:
		return notAppended
	}
	return appendUnknown
}

// Kept implements hostrpc.LeaderHandler. It passes a record that is already in the
// log to the leader on this host. It answers FAILED_PRECONDITION if this host does
// not lead, and INVALID_ARGUMENT if the record cannot be decoded.
func (h *Host) Kept(ctx context.Context, req *connect.Request[hostrpc.KeptRequest]) (*connect.Response[hostrpc.KeptResponse], error) {
	l := h.election.localLeader()
	if l == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
	}
	r := &record.Intake{}
	if err := proto.Unmarshal(req.Msg.Record, r); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	l.HandleIntake(ctx, r)
	return connect.NewResponse(&hostrpc.KeptResponse{}), nil
}

// notifyTimeout bounds the notification of the leader. The leader's own read of the
// log brings the record as well.
const notifyTimeout = 300 * time.Millisecond

// notifyLeader notifies the leader of a record that is in the log. If another host
// leads, the call runs in the background, and is skipped once this host has stopped.
func (h *Host) notifyLeader(r *record.Intake, data []byte) {
	if l := h.election.localLeader(); l != nil {
		l.HandleIntake(h.runCtx, r)
		return
	}
	claim, _ := h.election.newestClaim()
	if claim == nil || h.runCtx.Err() != nil {
		return
	}
	h.group.Go(func() {
		ctx, cancel := context.WithTimeout(h.runCtx, notifyTimeout)
		defer cancel()
		if _, err := h.peers.leader(claim.Address).Kept(ctx, newRequest(&hostrpc.KeptRequest{Record: data})); err != nil {
			h.metrics.Counter("leader_not_told").Inc(1)
			h.log.WithError(err).WithField("leader", claim.Host).Debug("leader not notified of an appended record; it will read it from the log")
			return
		}
		h.peerContact.succeeded()
	})
}
