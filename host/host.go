// Package host is one entry host of a region. It answers callers, keeps what
// they hand in in the platform's log, and either leads the region's scheduling
// or helps the host that does.
package host

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/leader"
	"github.com/fireflyfold/fireflyfold/linkstats"
	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/region"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

const (
	// connsPerAddress bounds the connections to one address: a look, several
	// starts at once, and a few that went silent.
	connsPerAddress = 16
	// readHeaderTimeout ends connections of callers that never finish a header.
	readHeaderTimeout = 5 * time.Second
	// leaseShare of the longest lease is asked for. A long lease outlives the
	// loss of the leader and cuts of some seconds; a short one frees the work of
	// a lost worker sooner.
	leaseShare = 1.0
	// startShare of a leader's link is for starts, each of which takes startBytes in the
	// mean, with its record in the log and the advice before it.
	startShare = 0.6
	startBytes = 1000
	// drainTime is how long a stopping host goes on answering on its open
	// connections before it closes idle ones.
	drainTime = 1200 * time.Millisecond
	// stopMargin is left of the platform's grace for the process to end.
	stopMargin = 1500 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	settings    platform.Settings
	incarnation string
	client      *platform.Client
	log         *logrus.Entry
	metrics     tally.Scope
	meter       *linkstats.Meter
	load        *linkstats.Load
	tel         *telemetry.Telemetry

	config   *configWatch
	intake   *logwriter.Writer
	election *election
	peers    *peers
	helpers  *helpers
	contact  contact
	group    conc.WaitGroup
	work     context.Context // ends when the host has stopped
	endWork  context.CancelFunc

	stopping  atomic.Bool
	stoppedAt atomic.Int64
}

// New returns a host that has not begun.
func New(s platform.Settings, tel *telemetry.Telemetry) *Host {
	meter := linkstats.New(tel.Metrics.SubScope("link"))
	client := platform.NewClient(s.Addresses, connsPerAddress, meter)
	h := &Host{
		settings: s, incarnation: newIncarnation(), client: client,
		meter: meter, load: linkstats.NewLoad(meter, s.LinkBps),
		log: tel.Log, metrics: tel.Metrics, tel: tel,
		helpers: newHelpers(s.LinkBps), peers: newPeers(platform.NewHTTPClient(connsPerAddress, meter)),
	}
	h.work, h.endWork = context.WithCancel(context.Background())
	h.config = &configWatch{client: client, log: h.log}
	h.config.peers = h.configOfPeers
	h.config.logAt.Store(int64(boottime.Now() - time.Hour))
	h.config.peerAt.Store(int64(boottime.Now() - time.Hour))
	h.config.provenAt.Store(int64(boottime.Now() - time.Hour))
	h.election = newElection(h)
	h.intake = logwriter.New(client, logwriter.Target{
		Topic: leader.TopicIntake, Parts: leader.IntakeParts, Producer: s.Host + "/" + h.incarnation, Epoch: 1, FirstSeq: 1, CallBytes: s.MaxAppendBytes,
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

func (h *Host) strength() strength {
	return strength{milliCPU: h.settings.MilliCPU, linkBps: h.settings.LinkBps, memoryMiB: h.settings.MemoryMB}
}

// Run serves until ctx ends, then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	defer h.endWork()
	lost := make(chan struct{})
	servers, err := h.listen()
	if err != nil {
		return err
	}
	h.log.WithFields(logrus.Fields{"incarnation": h.incarnation, "front": h.settings.Front, "control": h.settings.Control}).Info("started")
	h.group.Go(func() { h.config.run(h.work) })
	h.group.Go(func() { h.sendCallersAway(h.work, servers[0]) })
	h.group.Go(func() { h.election.watchClaims(h.work) })
	h.group.Go(func() { h.election.run(h.work) })
	h.group.Go(func() {
		if err := h.intake.Run(h.work); err != nil && h.work.Err() == nil {
			// Somebody writes under our producer's name; a new process has a new one.
			h.log.WithError(err).Error("intake lost")
			close(lost)
		}
	})
	select {
	case <-ctx.Done():
	case <-lost:
	}
	h.stop(servers)
	h.endWork()
	h.group.Wait()
	h.log.Info("stopped")
	return nil
}

// stop hands over, lets callers go, and ends.
func (h *Host) stop(servers []*http.Server) {
	h.log.WithField("leading", h.election.leading() != nil).Info("stopping")
	h.stoppedAt.Store(int64(boottime.Now()))
	h.stopping.Store(true)
	limit := h.settings.Grace - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	h.election.handOver(ctx)
	boottime.Sleep(ctx, drainTime)
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			h.log.WithError(err).Warn("connections were still busy at the end")
		}
	}
}

// intakeLate reports whether a submission would be taken too late in a stop to
// be answered before the process ends.
func (h *Host) intakeLate() bool {
	return boottime.Now()-time.Duration(h.stoppedAt.Load()) > h.settings.Grace-2*stopMargin
}

// Ready reports whether callers are well served here: the configuration is
// confirmed and the log takes submissions.
func (h *Host) Ready() bool {
	return !h.stopping.Load() && h.config.Config() != nil &&
		h.config.Age() < h.settings.KeyRevocation-revocationMargin && !h.isolated() &&
		(h.intake.Healthy() || h.config.PeerContact())
}

// listen opens the three ports. Callers come last, so that whoever reaches them
// finds the rest at work; their server is the first of the result.
func (h *Host) listen() ([]*http.Server, error) {
	control := http.NewServeMux()
	control.Handle(hostrpc.NewLeaderHandler(h))
	control.Handle(hostrpc.NewHelperHandler(h))
	control.Handle("/metrics", h.tel.Handler())
	ready := httprouter.New()
	ready.GET(platform.PathReady, h.serveReady)
	front := httprouter.New()
	front.HandleMethodNotAllowed = false
	front.RedirectTrailingSlash = false
	front.RedirectFixedPath = false
	front.NotFound = http.HandlerFunc(h.front)
	var servers []*http.Server
	for _, p := range []struct {
		address string
		handler http.Handler
	}{
		{h.settings.Control, h.meter.Server("", control)},
		{h.settings.Ready, h.meter.Server("ready", ready)},
		{h.settings.Front, h.meter.Server("front", front)},
	} {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return nil, &ListenError{Address: p.address, Cause: err}
		}
		s := &http.Server{Handler: p.handler, ReadHeaderTimeout: readHeaderTimeout, ConnContext: linkstats.ConnContext}
		servers = append([]*http.Server{s}, servers...)
		h.group.Go(func() {
			if err := s.Serve(h.meter.Listener(l)); err != http.ErrServerClosed {
				h.log.WithError(err).Error("listener ended")
			}
		})
	}
	return servers, nil
}

// ListenError reports a port that cannot be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
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
		Client: h.client, Fence: fence, CallBytes: h.settings.MaxAppendBytes, LinkBps: h.settings.LinkBps,
		Options: region.Options{
			MaxLease: h.settings.MaxLease, Lease: time.Duration(float64(h.settings.MaxLease) * leaseShare),
			LogRetention: h.settings.LogRetention, StatusKept: h.settings.StatusRetention,
			StartsPerS: startShare * float64(h.settings.LinkBps) / startBytes,
		},
		LinkLoad: func() float64 { return h.load.At(boottime.Now()) },
		Config:   h.config.Config, Hosts: h.helpers.names, Advise: h.adviseFrom,
		Log: h.log, Metrics: h.metrics.SubScope("leader"),
	}
}
