package host

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

// state answers with the job's state as the leader knows it.
func (c *call) state() {
	state, ok := c.ask()
	if !ok {
		c.refuse("the leader did not answer")
		return
	}
	if state == region.StateUnknown {
		c.answer(http.StatusGone, nil)
		return
	}
	c.answer(http.StatusOK, platform.EncodeState(stateNames[state]))
}

// ask asks the leader for the state of the caller's job. It reports false if the
// leader did not answer. A job of another workspace is reported as unknown: a caller
// must not be able to read or cancel it with its own key.
//
// While there is no leader, or it is still loading, the call is repeated for up to
// leaderPatience: a refusal would delay the answer by the caller's retry, a second
// or more.
func (c *call) ask() (region.State, bool) {
	until := boottime.Now() + leaderPatience
	for {
		state, workspace, ok := c.askLeader()
		switch {
		case ok && workspace != c.owner:
			return region.StateUnknown, true
		case ok:
			return state, true
		case boottime.Now() > until || c.host.isolated() || !boottime.Sleep(c.ctx, leaderLook):
			return region.StateUnknown, false
		}
	}
}

// askPatience returns the timeout of one call to the leader.
func (h *Host) askPatience() time.Duration {
	if h.Ready() {
		return askTimeout
	}
	return askTimeoutUnready
}

func (c *call) askLeader() (state region.State, workspace string, ok bool) {
	if l := c.host.election.localLeader(); l != nil {
		return l.State(c.job)
	}
	claim, _ := c.host.election.newestClaim()
	if claim == nil || c.host.isolated() {
		return region.StateUnknown, "", false
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.host.askPatience())
	defer cancel()
	resp, err := c.host.peers.leader(claim.Address).State(ctx, newRequest(&hostrpc.StateRequest{Job: c.job}))
	if err != nil {
		return region.StateUnknown, "", false
	}
	c.host.peerContact.succeeded()
	return region.State(resp.Msg.State), resp.Msg.Workspace, true
}

// pending answers with the number of the queue's pending jobs.
func (c *call) pending() {
	n, ok := c.askPending()
	if !ok {
		c.refuse("the leader did not answer")
		return
	}
	c.answer(http.StatusOK, platform.EncodePending(n))
}

func (c *call) askPending() (int64, bool) {
	if l := c.host.election.localLeader(); l != nil {
		return l.Pending(c.queue.Name)
	}
	claim, _ := c.host.election.newestClaim()
	if claim == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.host.askPatience())
	defer cancel()
	resp, err := c.host.peers.leader(claim.Address).Pending(ctx, newRequest(&hostrpc.PendingRequest{Queue: c.queue.Name}))
	if err != nil {
		return 0, false
	}
	return resp.Msg.Jobs, true
}
