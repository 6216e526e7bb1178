// Package host implements one entry host of a region. It serves callers, appends
// what they submit to the platform's log, and either leads the region's scheduling
// or assists the host that leads it.
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/connlimit"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/linkstats"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
	"github.com/fireflyfold/fireflyfold/succession"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

const (
	// connsPerAddress bounds the connections to one address: a status poll, several
	// concurrent starts, and a few that no longer answer.
	connsPerAddress = 16
	// readHeaderTimeout closes connections of callers that never complete a header.
	readHeaderTimeout = 5 * time.Second
	// leaseShare is the fraction of the longest allowed lease that is requested. A
	// long lease outlasts the loss of the leader and network partitions of some
	// seconds; a short one frees the tasks of a lost worker sooner.
	leaseShare = 1.0
	// startShare is the fraction of a leader's link that task starts may use. A start
	// takes startBytes on average, including its log record and the advice before it.
	startShare = 0.6
	startBytes = 1000
	// drainTime is how long a stopping host keeps answering on open connections
	// before it closes idle ones.
	drainTime = 1200 * time.Millisecond
	// stopMargin is the part of the platform's grace period that is left for the
	// process to exit.
	stopMargin = 1500 * time.Millisecond
)

// Host is one entry host of a region.
type Host struct {
	settings    platform.Settings
	incarnation string
	client      *platform.Client
	log         *logrus.Entry
	metrics     tally.Scope
	meter       *linkstats.Meter
	linkLoad    *linkstats.Load
	tel         *telemetry.Telemetry

	config      *configWatch
	intake      *logwriter.Writer
	election    *election
	peers       *peers
	helpers     *helpers
	peerContact peerContact
	jobBudget   *jobBudget
	jobRoom     jobRoom
	group       conc.WaitGroup
	runCtx      context.Context // canceled when the host has stopped
	cancelRun   context.CancelFunc

	stopping  atomic.Bool
	stoppedAt atomic.Int64
}

// New returns a host with the given settings. Run starts it.
func New(s platform.Settings, tel *telemetry.Telemetry) *Host {
	meter := linkstats.New(tel.Metrics.SubScope("link"))
	client := platform.NewClient(s.Addresses, connsPerAddress, meter)
	h := &Host{
		settings: s, incarnation: newIncarnation(), client: client,
		meter: meter, linkLoad: linkstats.NewLoad(meter, s.LinkBps),
		log: tel.Log, metrics: tel.Metrics, tel: tel,
		helpers: newHelpers(s.LinkBps), peers: newPeers(platform.NewHTTPClient(connsPerAddress, meter)),
	}
	h.helpers.own = h.capacity()
	h.runCtx, h.cancelRun = context.WithCancel(context.Background())
	h.config = newConfigWatch(client, h.log, h.metrics)
	h.config.fetchFromPeers = h.fetchConfigFromPeers
	h.election = newElection(h)
	h.jobBudget = newJobBudget(h)
	h.intake = logwriter.New(client, logwriter.Target{
		Topic: leader.TopicIntake, Parts: leader.IntakeParts, Producer: s.Host + "/" + h.incarnation, Epoch: 1, FirstSeq: 1, OwnEpochs: true, CallBytes: s.MaxAppendBytes,
	})
	return h
}

func newIncarnation() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand does not fail on Linux
	}
	return hex.EncodeToString(b[:])
}

func (h *Host) capacity() succession.Capacity {
	return succession.Capacity{MilliCPU: h.settings.MilliCPU, LinkBps: h.settings.LinkBps, MemoryMiB: h.settings.MemoryMB}
}

// Run serves until ctx ends or another producer replaces the intake writer, and then
// stops gracefully. It returns a *ListenError if a port cannot be opened.
func (h *Host) Run(ctx context.Context) error {
	defer h.cancelRun()
	intakeFailed := make(chan struct{})
	servers, err := h.listen()
	if err != nil {
		return err
	}
	h.log.WithFields(logrus.Fields{"incarnation": h.incarnation, "front": h.settings.Front, "control": h.settings.Control}).Info("started")
	h.group.Go(func() { h.config.run(h.runCtx) })
	h.group.Go(func() { h.syncKeepAlives(h.runCtx, servers[0]) })
	h.group.Go(func() { h.election.watchClaims(h.runCtx) })
	h.group.Go(func() { h.election.run(h.runCtx) })
	h.group.Go(func() {
		if err := h.intake.Run(h.runCtx); err != nil && h.runCtx.Err() == nil {
			// Another producer wrote under this host's producer name. A new process has
			// a new incarnation and with it a new name.
			h.log.WithError(err).Error("intake writer failed; stopping")
			close(intakeFailed)
		}
	})
	select {
	case <-ctx.Done():
	case <-intakeFailed:
	}
	h.stop(servers)
	h.cancelRun()
	h.group.Wait()
	h.log.Info("stopped")
	return nil
}

// stop hands over the leadership, drains the callers' connections and shuts down
// the servers, all within the grace period.
func (h *Host) stop(servers []*http.Server) {
	h.log.WithField("leading", h.election.localLeader() != nil).Info("stopping")
	h.stoppedAt.Store(int64(boottime.Now()))
	h.stopping.Store(true)
	limit := h.settings.Grace - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	h.election.handOver(ctx)
	boottime.Sleep(ctx, drainTime)
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			h.log.WithError(err).Warn("connections still busy when the stop timed out")
		}
	}
}

// tooLateForIntake reports whether too little of the grace period is left in a stop
// to answer a new submission before the process ends.
func (h *Host) tooLateForIntake() bool {
	return boottime.Now()-time.Duration(h.stoppedAt.Load()) > h.settings.Grace-2*stopMargin
}

// Ready reports whether this host can serve callers: it is neither stopping nor
// isolated, its configuration is confirmed, and submissions reach the log directly
// or through a peer.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.config.Config() != nil &&
		h.config.ConfirmationAge() < h.settings.KeyRevocation-revocationMargin && !h.isolated() &&
		(h.intake.Healthy() || h.config.PeerConfirmed())
}

// listen opens the three ports. The callers' port is opened last, when the other
// servers already run; its server is the first of the result.
func (h *Host) listen() ([]*http.Server, error) {
	control := http.NewServeMux()
	control.Handle(hostrpc.NewLeaderHandler(h, h.rpcOptions()...))
	control.Handle(hostrpc.NewHelperHandler(h, h.rpcOptions()...))
	control.Handle("/metrics", h.tel.Handler())
	control.Handle("/v1/", h.operatorRouter())
	ready := httprouter.New()
	ready.GET(platform.PathReady, h.serveReady)
	front := httprouter.New()
	front.HandleMethodNotAllowed = false
	front.RedirectTrailingSlash = false
	front.RedirectFixedPath = false
	front.NotFound = http.HandlerFunc(h.serveCaller)
	var servers []*http.Server
	for _, p := range []struct {
		name    string
		address string
		handler http.Handler
		limits  connlimit.Options
	}{
		{"control", h.settings.Control, h.meter.Server("", connlimit.Buffer(control, h.maxRPCBytes())), h.controlLimits()},
		{"ready", h.settings.Ready, h.meter.Server("ready", ready), h.readyLimits()},
		{"front", h.settings.Front, h.meter.Server("front", front), h.frontLimits()},
	} {
		limiter := connlimit.New(p.limits, h.metrics.Tagged(map[string]string{"port": p.name}))
		l, err := limiter.Listen(p.address)
		if err != nil {
			return nil, &ListenError{Address: p.address, Cause: err}
		}
		s := &http.Server{Handler: p.handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: linkstats.ConnContext}
		limiter.Attach(s)
		servers = append([]*http.Server{s}, servers...)
		h.group.Go(func() {
			if err := s.Serve(h.meter.Listener(l)); err != http.ErrServerClosed {
				h.log.WithError(err).Error("server failed")
			}
		})
	}
	return servers, nil
}

// ListenError reports that a port cannot be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the error of the listen call.
func (e *ListenError) Unwrap() error { return e.Cause }

func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) leaderConfig(fence int64) leader.Config {
	return leader.Config{
		Client: h.client, Fence: fence, CallBytes: h.settings.MaxAppendBytes, LinkBps: h.settings.LinkBps, WorkerHeartbeat: h.settings.WorkerHeartbeat,
		Options: region.Options{
			MaxLease: h.settings.MaxLease, Lease: time.Duration(float64(h.settings.MaxLease) * leaseShare),
			ZoneDrain: h.settings.ZoneDrain, StopTime: h.settings.StopTime, RestoreTime: h.settings.RestoreTime, LogRetention: h.settings.LogRetention, RecordBytes: h.settings.MaxRecordBytes, StatusRetention: h.settings.StatusRetention,
			StartsPerS: startShare * float64(h.settings.LinkBps) / startBytes,
		},
		LinkLoad: func() float64 { return h.linkLoad.At(boottime.Now()) },
		Config:   h.config.Config, ZoneDrains: h.config.drains.get, Hosts: h.helpers.names, Advise: h.adviseThrough,
		Log: h.log, Metrics: h.metrics.SubScope("leader"),
	}
}
