package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
)

func newRequest[T any](m *T) *connect.Request[T] { return connect.NewRequest(m) }

// peers holds the RPC clients for other hosts.
type peers struct {
	leaders clients[hostrpc.LeaderClient]
	helpers clients[hostrpc.HelperClient]
}

func newPeers(client *http.Client) *peers {
	return &peers{
		leaders: clients[hostrpc.LeaderClient]{newClient: func(url string) hostrpc.LeaderClient { return hostrpc.NewLeaderClient(client, url) }},
		helpers: clients[hostrpc.HelperClient]{newClient: func(url string) hostrpc.HelperClient { return hostrpc.NewHelperClient(client, url) }},
	}
}

func (p *peers) leader(address string) hostrpc.LeaderClient { return p.leaders.get(address) }
func (p *peers) helper(address string) hostrpc.HelperClient { return p.helpers.get(address) }

// clients creates and reuses one client per address.
type clients[C any] struct {
	newClient func(url string) C

	mu        sync.Mutex
	byAddress map[string]C
}

func (c *clients[C]) get(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = c.newClient("http://" + address)
		if c.byAddress == nil {
			c.byAddress = make(map[string]C)
		}
		c.byAddress[address] = client
	}
	return client
}

var errNotLeading = errors.New("this host does not lead")

// Ping implements hostrpc.LeaderHandler. A host that does not lead answers with its
// incarnation only.
func (h *Host) Ping(_ context.Context, req *connect.Request[hostrpc.PingRequest]) (*connect.Response[hostrpc.PingResponse], error) {
	l := h.election.localLeader()
	if l == nil {
		return connect.NewResponse(&hostrpc.PingResponse{Incarnation: h.incarnation}), nil
	}
	h.helpers.recordPing(req.Msg)
	resp := &hostrpc.PingResponse{Leading: true, Loading: !l.Loaded(), Incarnation: h.incarnation, LogContactMs: l.LogContactAge().Milliseconds()}
	h.helpers.fillPingResponse(resp)
	resp.JobAllowance = h.jobAllowance(l)
	return connect.NewResponse(resp), nil
}

// State implements hostrpc.LeaderHandler. It returns the state of a job and its
// workspace. It answers FAILED_PRECONDITION if this host does not lead, and
// UNAVAILABLE if its knowledge may be out of date.
func (h *Host) State(_ context.Context, req *connect.Request[hostrpc.StateRequest]) (*connect.Response[hostrpc.StateResponse], error) {
	l := h.election.localLeader()
	if l == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
	}
	s, upToDate := l.State(req.Msg.Job)
	if !upToDate {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLeading)
	}
	// Rounded up: a read must not seem to have been sent later than it was.
	age := (s.ReadAge + time.Millisecond).Milliseconds()
	return connect.NewResponse(&hostrpc.StateResponse{State: int32(s.State), Workspace: s.Workspace, ReadAgeMs: age}), nil
}

// Pending implements hostrpc.LeaderHandler. It returns the number of pending jobs of
// a queue. It answers FAILED_PRECONDITION if this host does not lead, and
// UNAVAILABLE if it is still loading.
func (h *Host) Pending(_ context.Context, req *connect.Request[hostrpc.PendingRequest]) (*connect.Response[hostrpc.PendingResponse], error) {
	l := h.election.localLeader()
	if l == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotLeading)
	}
	n, loaded := l.Pending(req.Msg.Queue)
	if !loaded {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLeading)
	}
	return connect.NewResponse(&hostrpc.PendingResponse{Jobs: n}), nil
}

// Advise implements hostrpc.HelperHandler. It calls the advice service on behalf of
// the leader. It answers DEADLINE_EXCEEDED if the service did not answer, and
// UNAVAILABLE for any other failure.
func (h *Host) Advise(ctx context.Context, req *connect.Request[hostrpc.AdviseRequest]) (*connect.Response[hostrpc.AdviseResponse], error) {
	m := req.Msg
	tickets, err := h.client.Advise(ctx, time.Duration(m.TimeoutMs)*time.Millisecond, m.Step, m.Workers)
	switch {
	case platform.IsNoAnswer(err):
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp := &hostrpc.AdviseResponse{}
	for _, t := range tickets {
		resp.Tickets = append(resp.Tickets, &hostrpc.Ticket{Worker: t.Worker, Ticket: t.Ticket})
	}
	return connect.NewResponse(resp), nil
}

var errLogUnreachable = errors.New("this host does not reach the log")

// Config implements hostrpc.HelperHandler. It returns the version and age of the
// configuration, and the configuration itself if it is newer than the caller's. It
// answers UNAVAILABLE if this host has none.
func (h *Host) Config(_ context.Context, req *connect.Request[hostrpc.ConfigRequest]) (*connect.Response[hostrpc.ConfigResponse], error) {
	config, raw := h.config.Config(), h.config.rawConfig.Load()
	if config == nil || raw == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errLogUnreachable)
	}
	resp := &hostrpc.ConfigResponse{Version: config.Version, AgeMs: h.config.ConfirmationAge().Milliseconds()}
	if config.Version > req.Msg.Version {
		resp.Config = *raw
	}
	if d := h.config.drains.get(); d != nil {
		resp.ZoneDrains = &hostrpc.ZoneDrains{Zones: d.Zones, AgeMs: ageOf(d).Milliseconds()}
	}
	return connect.NewResponse(resp), nil
}

// peerTimeout bounds a call in which another host uses the log on this host's behalf.
const peerTimeout = 400 * time.Millisecond

// maxPeerCalls is the largest number of hosts that one operation calls.
const maxPeerCalls = 2

// fetchConfigFromPeers asks other hosts, one after another, for the configuration.
// have is the version that this host has; 0 for none.
func (h *Host) fetchConfigFromPeers(ctx context.Context, have int64) (peerConfig, error) {
	var lastErr error = errNoPeers
	defer func() {
		if lastErr != nil {
			h.peerContact.failed()
		}
	}()
	for _, address := range h.election.otherHosts(maxPeerCalls) {
		sent := boottime.Now()
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		resp, err := h.peers.helper(address).Config(callCtx, newRequest(&hostrpc.ConfigRequest{Version: have}))
		cancel()
		if err != nil {
			lastErr = err
			continue
		}
		h.peerContact.succeeded()
		lastErr = nil
		m := resp.Msg
		got := peerConfig{version: m.Version, age: time.Duration(m.AgeMs) * time.Millisecond, raw: m.Config}
		if d := m.ZoneDrains; d != nil {
			got.drains = &model.ZoneDrains{Zones: d.Zones, ConfirmedAt: sent - time.Duration(d.AgeMs)*time.Millisecond}
		}
		return got, nil
	}
	return peerConfig{}, lastErr
}

var errNoPeers = errors.New("no other host is known")

// TakeOver implements hostrpc.HelperHandler. It claims the leadership that follows
// the given fencing token. It answers FAILED_PRECONDITION if this host is stopping
// or another host leads already, and UNAVAILABLE if the log cannot be reached or
// the claim failed.
func (h *Host) TakeOver(ctx context.Context, req *connect.Request[hostrpc.TakeOverRequest]) (*connect.Response[hostrpc.TakeOverResponse], error) {
	if h.stopping.Load() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errStopping)
	}
	if _, fence := h.election.newestClaim(); fence != req.Msg.Fence && h.election.localLeader() == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotLeading) // another host has claimed since
	}
	// An unanswered append by this host does not count against it: if the log is slow
	// for everyone, every helper would refuse and the region would have no leader for
	// seconds. The reads here and the claim itself show whether the log is reachable.
	if h.config.LogReadAge() > maxLogReadAge || !h.election.watcher.LogReadable(ctx) {
		return nil, connect.NewError(connect.CodeUnavailable, errLogUnreachable)
	}
	h.log.WithField("fence", req.Msg.Fence).Info("asked to take over")
	if !h.election.claimLeadership(h.runCtx, req.Msg.Fence) {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLeading)
	}
	return connect.NewResponse(&hostrpc.TakeOverResponse{}), nil
}

// maxLogReadAge is the largest age of a host's newest read of the log with which it
// takes over: a read waits for most of a second.
const maxLogReadAge = 2 * time.Second

var errStopping = errors.New("this host is stopping")

func (h *Host) pingRequest() *connect.Request[hostrpc.PingRequest] {
	return newRequest(&hostrpc.PingRequest{
		Host: h.settings.Host, Address: h.settings.Control, Zone: h.settings.Zone,
		Incarnation: h.incarnation, Leaving: h.stopping.Load(), MilliCpu: h.settings.MilliCPU,
		LinkBps: h.settings.LinkBps, MemoryMib: h.settings.MemoryMB,
	})
}

// adviseThrough calls the advice service from the host that a names; an empty name
// stands for this host. The error is a *platform.NotSentError if the service was
// certainly not called.
func (h *Host) adviseThrough(ctx context.Context, timeout time.Duration, a region.Advise) ([]model.Ticket, error) {
	step := platform.StepName(a.Job, a.Occurrence, a.Step)
	if a.Host == "" {
		return h.client.Advise(ctx, timeout, step, a.Workers)
	}
	address, ok := h.helpers.address(a.Host)
	if !ok {
		return nil, &platform.NotSentError{Cause: &unknownHostError{name: a.Host}}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := h.peers.helper(address).Advise(ctx, newRequest(&hostrpc.AdviseRequest{
		Step: step, Workers: a.Workers, TimeoutMs: timeout.Milliseconds(),
	}))
	if err != nil {
		return nil, h.classifyAdviceError(a.Host, err)
	}
	tickets := make([]model.Ticket, 0, len(resp.Msg.Tickets))
	for _, t := range resp.Msg.Tickets {
		tickets = append(tickets, model.Ticket{Worker: t.Worker, Ticket: t.Ticket})
	}
	return tickets, nil
}

// classifyAdviceError classifies the error of an advice call made through another
// host. A time-out is attributed to the advice service, not to the host, so the host
// stays on the list. Any other error that the host did not return itself removes it.
func (h *Host) classifyAdviceError(host string, err error) error {
	wrapped := errors.Wrap(err, "advice call through another host")
	switch connect.CodeOf(err) {
	case connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return wrapped
	}
	if !connect.IsWireError(err) {
		h.helpers.remove(host)
	}
	return &platform.NotSentError{Cause: wrapped}
}

type unknownHostError struct{ name string }

func (e *unknownHostError) Error() string { return "host " + e.name + " is not known" }
