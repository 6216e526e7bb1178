package host

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

// serveState answers with the job's state as the leader knows it.
func (c *call) serveState() {
	state, ok := c.jobState()
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

// jobState asks the leader for the state of the caller's job. It reports false if the
// leader did not answer. A job of another workspace is reported as unknown: a caller
// must not be able to read or cancel it with its own key.
//
// While there is no leader, or it is still loading, the call is repeated for up to
// leaderWaitTimeout: a refusal would delay the answer by the caller's retry, a second
// or more.
func (c *call) jobState() (region.State, bool) {
	until := boottime.Now() + leaderWaitTimeout
	for {
		s, ok := c.leaderJobState()
		switch {
		case ok:
			return s.VisibleTo(c.owner), true
		case boottime.Now() > until || c.host.isolated() || !boottime.Sleep(c.ctx, leaderRetryInterval):
			return region.StateUnknown, false
		}
	}
}

// leaderTimeout returns the timeout of one call to the leader.
func (h *Host) leaderTimeout() time.Duration {
	if h.Ready() {
		return leaderCallTimeout
	}
	return leaderCallTimeoutUnready
}

func (c *call) leaderJobState() (leader.JobState, bool) {
	if l := c.host.election.localLeader(); l != nil {
		return l.State(c.job)
	}
	claim, _ := c.host.election.newestClaim()
	if claim == nil || c.host.isolated() {
		return leader.JobState{}, false
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.host.leaderTimeout())
	defer cancel()
	resp, err := c.host.peers.leader(claim.Address).State(ctx, newRequest(&hostrpc.StateRequest{Job: c.job}))
	if err != nil {
		return leader.JobState{}, false
	}
	c.host.peerContact.succeeded()
	return leader.JobState{
		State: region.State(resp.Msg.State), Workspace: resp.Msg.Workspace, ReadAge: time.Duration(resp.Msg.ReadAgeMs) * time.Millisecond,
	}, true
}

// servePending answers with the number of the queue's pending jobs.
func (c *call) servePending() {
	n, ok := c.leaderPending()
	if !ok {
		c.refuse("the leader did not answer")
		return
	}
	c.answer(http.StatusOK, platform.EncodePending(n))
}

func (c *call) leaderPending() (int64, bool) {
	if l := c.host.election.localLeader(); l != nil {
		return l.Pending(c.queue.Name)
	}
	claim, _ := c.host.election.newestClaim()
	if claim == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.host.leaderTimeout())
	defer cancel()
	resp, err := c.host.peers.leader(claim.Address).Pending(ctx, newRequest(&hostrpc.PendingRequest{Queue: c.queue.Name}))
	if err != nil {
		return 0, false
	}
	return resp.Msg.Jobs, true
}
