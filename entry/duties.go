package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
)

// Timeouts of calls outside the request path.
const (
	workerTimeout = 1500 * time.Millisecond
	logTimeout    = 5 * time.Second
	listTimeout   = 2 * time.Second
	peerTimeout   = time.Second
)

// Pauses between polls.
const (
	tickEvery = 20 * time.Millisecond
	listEvery = time.Second
	readPause = 100 * time.Millisecond // after a failed read
)

// drainRing carries out the items of a ring until ctx ends: the loop of one
// duty.
func drainRing[T any](ctx context.Context, items <-chan T, do func(context.Context, T)) {
	for {
		select {
		case item := <-items:
			do(ctx, item)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) sendLease(ctx context.Context, cmd engine.SendLease) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	grant, err := h.opts.Workers.Lease(ctx, cmd.Addr, cmd.Request)
	h.push(engine.LeaseAnswered{Key: cmd.Key, SentAt: cmd.SentAt, Epoch: cmd.Request.Epoch, Grant: grant, Err: err})
}

func (h *Host) sendRelease(ctx context.Context, cmd engine.SendRelease) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err := h.opts.Workers.Release(ctx, cmd.Addr, cmd.Key.Class, cmd.Epoch)
	h.push(engine.ReleaseAnswered{Key: cmd.Key, Epoch: cmd.Epoch, Err: err})
}

// sendLeaseCommand serves the ring that leases and releases share, so that a
// release is never overtaken by the acquire that follows it.
func (h *Host) sendLeaseCommand(ctx context.Context, cmd engine.Command) {
	switch cmd := cmd.(type) {
	case engine.SendLease:
		h.sendLease(ctx, cmd)
	case engine.SendRelease:
		h.sendRelease(ctx, cmd)
	}
}

func (h *Host) sendTaskCommand(ctx context.Context, cmd engine.Command) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	switch cmd := cmd.(type) {
	case engine.StartTask:
		err := h.opts.Workers.Start(ctx, cmd.Addr, cmd.Request)
		h.push(engine.StartAnswered{ID: cmd.ID, Worker: cmd.Worker, Epoch: cmd.Request.Epoch, Err: err})
	case engine.ControlTask:
		if err := h.opts.Workers.Control(ctx, cmd.Addr, cmd.Request); err != nil {
			h.metrics.controlFailed.Inc(1)
		}
	}
}

func (h *Host) appendGroup(ctx context.Context, cmd engine.AppendGroup) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	h.metrics.appends.Inc(1)
	_, err := h.opts.Log.Append(ctx, cmd.Stream, cmd.Group)
	h.push(engine.Appended{Stream: cmd.Stream, Tag: cmd.Tag, Err: err})
}

// readStream reads one page from the log.
func (h *Host) readStream(ctx context.Context, cmd engine.ReadStream) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout+cmd.Wait)
	defer cancel()
	page, err := h.opts.Log.Read(ctx, cmd.Stream, cmd.After, cmd.Limit, cmd.Wait)
	if err != nil {
		h.metrics.readFailed.Inc(1)
		pause(ctx, readPause) // a log that refuses at once must not be asked in a tight loop
		h.push(engine.StreamFailed{Stream: cmd.Stream, Tag: cmd.Tag})
		return
	}
	h.push(engine.StreamRead{Stream: cmd.Stream, Tag: cmd.Tag, Page: page})
}

// sendReadCommand serves the ring of reads.
func (h *Host) sendReadCommand(ctx context.Context, cmd engine.Command) {
	if read, ok := cmd.(engine.ReadStream); ok {
		h.readStream(ctx, read)
	}
}

// sendPeerCommand serves the ring of calls to peers outside the request path.
func (h *Host) sendPeerCommand(ctx context.Context, cmd engine.Command) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	switch cmd := cmd.(type) {
	case engine.SendDigest:
		h.sendDigest(ctx, cmd)
	case engine.ReadPeer:
		h.readPeer(ctx, cmd)
	case engine.AskUnits:
		h.askUnits(ctx, cmd)
	case engine.AskPromise:
		h.askPromise(ctx, cmd)
	case engine.AskLeases:
		h.askLeases(ctx, cmd)
	case engine.AskAttempts:
		h.askAttempts(ctx, cmd)
	}
}

// greetSeeds exchanges digests with the hosts that the settings name, until
// the host has a configuration. A host that starts while the host list and the
// log are down meets its peers this way, and gets the configuration from them.
func (h *Host) greetSeeds(ctx context.Context) {
	for ctx.Err() == nil && h.config.Load() == nil {
		for _, seed := range h.opts.Settings.Peers.Seeds {
			if seed.String() != h.PeerAddr() {
				h.greet(ctx, seed.String())
			}
		}
		pause(ctx, listEvery)
	}
}

func (h *Host) greet(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := h.peers.At(addr).Exchange(ctx, connect.NewRequest(exchangeRequest(h.ownDigest())))
	if err != nil {
		h.metrics.peerFailed.Inc(1)
		return
	}
	if digest, ok := fromWireDigest(res.Msg.GetDigest()); ok {
		h.push(engine.DigestReceived{Digest: digest})
	}
}

func (h *Host) sendDigest(ctx context.Context, cmd engine.SendDigest) {
	res, err := h.peers.At(cmd.Addr).Exchange(ctx, connect.NewRequest(exchangeRequest(cmd.Digest)))
	if err != nil {
		h.push(engine.PeerFailed{Host: cmd.Host})
		return
	}
	if digest, ok := fromWireDigest(res.Msg.GetDigest()); ok {
		h.push(engine.DigestReceived{Digest: digest})
	}
}

// readPeer reads the configuration from a peer.
func (h *Host) readPeer(ctx context.Context, cmd engine.ReadPeer) {
	res, err := h.peers.At(cmd.Addr).ReadConfig(ctx, connect.NewRequest(&peerv1.ReadConfigRequest{After: uint64(cmd.After)}))
	if err != nil {
		h.push(engine.PeerConfig{Host: cmd.Host})
		return
	}
	h.push(fromWireConfig(cmd.Host, res.Msg))
}

// askUnits sends a wish for units. Nothing comes of a wish that is lost; it is
// repeated while work waits.
func (h *Host) askUnits(ctx context.Context, cmd engine.AskUnits) {
	_, err := h.peers.At(cmd.Addr).AskUnits(ctx, connect.NewRequest(&peerv1.AskUnitsRequest{
		Holder: toWireHolder(h.self),
		Team:   string(cmd.Team),
		Units:  cmd.Units,
		Lack:   cmd.Lack,
		Seq:    cmd.Seq,
	}))
	if err != nil {
		h.metrics.peerFailed.Inc(1)
	}
}

func (h *Host) askPromise(ctx context.Context, cmd engine.AskPromise) {
	res, err := h.peers.At(cmd.Addr).Promise(ctx, connect.NewRequest(&peerv1.PromiseRequest{
		Worker:  string(cmd.Worker),
		Release: cmd.Release,
		From:    toWireHolder(cmd.From),
		Order:   cmd.Order,
	}))
	if err != nil {
		h.metrics.peerFailed.Inc(1)
		return
	}
	h.push(engine.PromiseAnswered{
		From:   fromWireHolder(res.Msg.GetFrom()),
		Worker: cmd.Worker,
		Seq:    cmd.Seq,
		Given:  res.Msg.GetGiven() && !cmd.Release,
	})
}

func (h *Host) askAttempts(ctx context.Context, cmd engine.AskAttempts) {
	res, err := h.peers.At(cmd.Addr).SettleAttempts(ctx, connect.NewRequest(&peerv1.SettleAttemptsRequest{
		From:     toWireHolder(h.self),
		Attempts: toWireAttempts(cmd.Attempts),
	}))
	if err != nil {
		h.metrics.peerFailed.Inc(1)
		return
	}
	ev := engine.AttemptsAnswered{From: fromWireHolder(res.Msg.GetFrom()), Attempts: cmd.Attempts}
	for _, state := range res.Msg.GetStates() {
		ev.States = append(ev.States, engine.AttemptState(state))
	}
	h.push(ev)
}

func (h *Host) askLeases(ctx context.Context, cmd engine.AskLeases) {
	res, err := h.peers.At(cmd.Addr).ListLeases(ctx, connect.NewRequest(&peerv1.ListLeasesRequest{}))
	if err != nil {
		h.metrics.peerFailed.Inc(1)
		return
	}
	h.push(engine.LeasesAnswered{Host: cmd.Host, SentAt: cmd.SentAt, Leases: fromWireLeases(res.Msg)})
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pollList asks for the host list until ctx ends.
func (h *Host) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		listing, err := h.opts.HostList.List(listCtx)
		cancel()
		if err != nil {
			h.push(engine.ListFailed{})
		} else {
			h.push(engine.Listed{Listing: listing})
		}
		pause(ctx, listEvery)
	}
}
