// Package entry is one entry host: it drives the engine, and joins it to
// callers, operators, peers, workers and the platform.
//
// A goroutine stands for each duty, and bounded rings join them. The core
// goroutine alone touches the engine; it takes events from one ring and puts
// commands into the rings of the duties that carry them out. A duty whose ring
// is full costs an unanswered command, which the engine survives: every
// command has a timeout.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/connlimit"
	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/peer"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/ring"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/settings"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// Capacities of the rings, in items, and the goroutines that drain them.
const (
	eventRing    = 8192
	commandRing  = 2048
	leaseWorkers = 16
	taskWorkers  = 16
	peerWorkers  = 8
	readWorkers  = 4 // one for each stream that may be read at a time, and one for a peer
	logWorkers   = 3 // one for each stream that may be appended to
)

// Options are what a host is built from.
type Options struct {
	Settings  *settings.Settings
	Telemetry *telemetry.Telemetry
	Log       ports.Log
	HostList  ports.HostList
	Workers   ports.Workers
	// Engine is the base of the engine's options, for tests that need other
	// timings. Identity and leases are filled in from the settings.
	Engine engine.Options
}

// Host is one entry host.
type Host struct {
	opts    Options
	tel     *telemetry.Telemetry
	self    ident.Holder
	zone    ident.Zone
	started time.Time
	seq     atomic.Uint64

	engine  *engine.Engine
	calls   *registry
	waiters *waiters
	bodies  *byteBudget
	peers   *peer.Clients
	metrics *metrics
	history *history

	events  *ring.Ring[engine.Event]
	leasing *ring.Ring[engine.Command]
	tasking *ring.Ring[engine.Command]
	peering *ring.Ring[engine.Command]
	reading *ring.Ring[engine.Command]
	logging *ring.Ring[engine.AppendGroup]

	// Published by the core for the other goroutines.
	config atomic.Pointer[fleet.State]
	view   atomic.Pointer[engine.View]
	digest atomic.Pointer[member.Digest]
	facts  atomic.Pointer[engine.Facts]
	end    chan end        // how the core ended the host
	leaves context.Context // ends when the planned stop begins
	leave  context.CancelFunc

	api, peerAPI          net.Listener
	apiLimits, peerLimits *connlimit.Limiter
}

// end says why a host stopped by itself.
type end struct {
	reincarnate bool
	reason      string
}

// New builds a host and listens on its addresses. Run makes it serve.
func New(opts Options) (*Host, error) {
	s := opts.Settings
	h := &Host{
		opts:    opts,
		tel:     opts.Telemetry,
		self:    ident.Holder{Host: s.Host.Name, Incarnation: newIncarnation()},
		zone:    s.Host.Zone,
		started: time.Now(),
		calls:   newRegistry(),
		waiters: newWaiters(),
		bodies:  newByteBudget(s.Limits.BodyMemory, s.Limits.MaxBody),
		peers:   peer.NewClients(peer.Secret(s.Peers.Secret)),
		metrics: newMetrics(opts.Telemetry.Metrics),
		history: newHistory(s.Host.Name),
		events:  ring.New[engine.Event](eventRing),
		leasing: ring.New[engine.Command](commandRing),
		tasking: ring.New[engine.Command](commandRing),
		peering: ring.New[engine.Command](commandRing),
		reading: ring.New[engine.Command](commandRing),
		logging: ring.New[engine.AppendGroup](commandRing),
		end:     make(chan end, 1),
	}
	h.apiLimits = connlimit.New(callerLimits(s.Limits), opts.Telemetry.Metrics.SubScope("callers"))
	h.peerLimits = connlimit.New(peerLimits(s.Limits), opts.Telemetry.Metrics.SubScope("peers"))
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.leaves, h.leave = context.WithCancel(context.Background())
	h.engine = engine.New(h.engineOptions())
	return h, nil
}

// newIncarnation draws a number that no former life of the host has had.
func newIncarnation() ident.Incarnation {
	for {
		if n := rand.Uint64() >> 1; n != 0 { // positive as a signed number, for JSON readers
			return ident.Incarnation(n)
		}
	}
}

func (h *Host) engineOptions() engine.Options {
	s := h.opts.Settings
	opts := h.opts.Engine
	opts.Self = h.self
	opts.Zone = h.zone
	opts.Zones = nil
	for _, z := range s.Zones {
		opts.Zones = append(opts.Zones, z.Name)
	}
	opts.Addr = h.peerAPI.Addr().String()
	opts.Seed = rand.Uint64()
	opts.Lease.TTL = s.Lease.TTL
	opts.Lease.TaskTTL = s.Lease.TaskTTL
	opts.Lease.Drift = s.Lease.Drift
	opts.Request.MaxWaiting = s.Limits.MaxWaiting
	opts.ConfigPoll = s.Config.Poll
	opts.ListLag = s.Platform.ListLag
	opts.SnapshotEvery = s.Config.Snapshot
	opts.Sched = schedOptions(opts.Sched, s.Policy)
	opts.MaxRequestTime = s.Limits.RequestTimeout
	return opts
}

// schedOptions puts the deployment's policy into the scheduler's options.
func schedOptions(opts sched.Options, p settings.Policy) sched.Options {
	if p.Batch == settings.PlacementSpread {
		opts.Batch = sched.BatchSpread
	}
	if !p.Backfill {
		opts.Hold = sched.HoldDrain
	}
	if !p.Displace {
		opts.MaxDisplaced = sched.NeverDisplaced
		opts.KeepRunning = true
	}
	return opts
}

func (h *Host) listen() error {
	s := h.opts.Settings
	var err error
	if h.api, err = h.apiLimits.Listen(s.Host.API.String()); err != nil {
		return &ListenError{Role: "callers", Addr: s.Host.API.String(), Cause: err}
	}
	if h.peerAPI, err = h.peerLimits.Listen(s.Host.Peer.String()); err != nil {
		_ = h.api.Close()
		return &ListenError{Role: "peers", Addr: s.Host.Peer.String(), Cause: err}
	}
	return nil
}

// now is the host's monotonic clock.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// mint draws an identifier for work whose home is the given zone.
func (h *Host) mint(zone ident.Zone) ident.TaskID {
	return ident.TaskID{Zone: zone, Host: h.self.Host, Incarnation: h.self.Incarnation, Seq: h.seq.Add(1)}
}

// push hands an event that must not be lost to the core, waiting for room.
func (h *Host) push(ev engine.Event) {
	h.events.Push(context.Background(), ev)
}

// tryPush hands over an event that may be dropped under load.
func (h *Host) tryPush(ev engine.Event) {
	if !h.events.TryPush(ev) {
		h.metrics.ringFull.Inc(1)
	}
}

// APIAddr returns the address that callers reach the host at.
func (h *Host) APIAddr() string { return h.api.Addr().String() }

// PeerAddr returns the address that other hosts reach it at.
func (h *Host) PeerAddr() string { return h.peerAPI.Addr().String() }

// Self returns the holder that this life of the host is.
func (h *Host) Self() ident.Holder { return h.self }

// Scheduling reports whether this host schedules its zone's durable work.
func (h *Host) Scheduling() bool { return h.schedules() }

// ConfigOffset returns the offset of the configuration in force, or zero.
func (h *Host) ConfigOffset() ports.Offset {
	if state := h.config.Load(); state != nil {
		return state.Offset()
	}
	return 0
}

// ReincarnateError ends a life whose limit units were taken over while it was
// paused or cut off. The host is to be started anew.
type ReincarnateError struct {
	Reason string
}

// Error implements error.
func (e *ReincarnateError) Error() string { return "this life of the host is over: " + e.Reason }

// peerIdle is how long a peer's connection may stay idle. It is above the time
// after which peers close idle connections themselves, so that no call meets a
// connection that is being closed. Without a bound, strangers could hold as
// many connections as they like.
const peerIdle = time.Minute

// Run serves until ctx ends, and then stops at once, or until a drain that
// Drain began is complete. It returns a *ReincarnateError if the host has to
// be started anew.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.leave()
	api := h.server(h.routes())
	peers := &http.Server{
		Handler:           peer.NewHandler(&peerServer{h: h}, peer.Secret(h.opts.Settings.Peers.Secret), maxPeerCall(h.opts.Settings.Limits)),
		ReadHeaderTimeout: h.opts.Settings.Limits.HeaderTimeout,
		IdleTimeout:       peerIdle,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	api.BaseContext = peers.BaseContext
	h.apiLimits.Attach(api)
	h.peerLimits.Attach(peers)
	var duties conc.WaitGroup
	h.startDuties(ctx, &duties)
	duties.Go(func() { h.serveAPI(api) })
	duties.Go(func() { _ = peers.Serve(h.peerAPI) }) // returns when closed below
	err := h.wait(ctx)
	if err != nil {
		cancel() // what is in flight belongs to a life that is over
	}
	h.shut(ctx, api, peers)
	cancel()
	duties.Wait()
	h.peers.Close()
	return err
}

// shutTimeout bounds how long the last answers may take to go out.
const shutTimeout = 5 * time.Second

// shut ends the servers. Unless ctx has ended, calls that are being answered
// are answered first: the engine's part of a planned stop is complete before
// the last byte has left, and closing at once would cut these answers.
func (h *Host) shut(ctx context.Context, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, shutTimeout)
	defer cancel()
	var both conc.WaitGroup
	for _, s := range servers {
		both.Go(func() {
			_ = s.Shutdown(ctx) // what is left is closed below
			_ = s.Close()
		})
	}
	both.Wait()
}

// wait blocks until the host is told to stop or stops by itself.
func (h *Host) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case e := <-h.end:
		if e.reincarnate {
			return &ReincarnateError{Reason: e.reason}
		}
		return nil
	}
}

// Drain begins the planned stop. Run returns when it is complete, or when the
// time that the settings allow for it is over.
func (h *Host) Drain() {
	h.leave()
	h.push(engine.DrainRequested{})
	time.AfterFunc(h.opts.Settings.Limits.DrainTimeout, func() { h.stop(end{reason: "the planned stop took too long"}) })
}

// writeGrace is how long an answer may take to go out after the latest time at
// which it can be known.
const writeGrace = endGrace + 5*time.Second

// server bounds what a slow or malicious caller can hold.
func (h *Host) server(handler http.Handler) *http.Server {
	l := h.opts.Settings.Limits
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.HeaderTimeout + l.BodyTimeout,
		WriteTimeout:      l.BodyTimeout + max(l.RequestTimeout, jobTimeout, confirmTimeout) + writeGrace,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    int(l.MaxHeader),
		ErrorLog:          discardLog(),
	}
}

// serveAPI serves callers, with TLS if the settings name a certificate.
func (h *Host) serveAPI(server *http.Server) {
	t := h.opts.Settings.TLS
	if t.Enabled() {
		if err := server.ServeTLS(h.api, t.Certificate, t.Key); err != http.ErrServerClosed {
			h.stop(end{reason: err.Error()})
		}
		return
	}
	_ = server.Serve(h.api) // returns when closed by Run
}

func (h *Host) stop(e end) {
	select {
	case h.end <- e:
	default:
	}
}

// startDuties starts a goroutine for each duty.
func (h *Host) startDuties(ctx context.Context, duties *conc.WaitGroup) {
	spawn := func(n int, duty func()) {
		for range n {
			duties.Go(duty)
		}
	}
	spawn(1, func() { h.runCore(ctx) })
	spawn(1, func() { h.pollList(ctx) })
	spawn(1, func() { h.greetSeeds(ctx) })
	spawn(leaseWorkers, func() { drainRing(ctx, h.leasing.Items(), h.sendLeaseCommand) })
	spawn(taskWorkers, func() { drainRing(ctx, h.tasking.Items(), h.sendTaskCommand) })
	spawn(peerWorkers, func() { drainRing(ctx, h.peering.Items(), h.sendPeerCommand) })
	spawn(readWorkers, func() { drainRing(ctx, h.reading.Items(), h.sendReadCommand) })
	spawn(logWorkers, func() { drainRing(ctx, h.logging.Items(), h.appendGroup) })
}
