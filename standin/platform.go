package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Timing of the servers.
const (
	tickEvery         = 5 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
	serverIdleTimeout = 2 * time.Minute // above that of the adapters' connections
)

// loopback is where workers listen; the kernel picks the ports.
const loopback = "127.0.0.1:0"

// Platform is a whole stand-in platform in one process: the log and the host
// list behind one address, and each worker behind its own.
type Platform struct {
	Layout  Layout
	Log     *LogState
	Hosts   *HostListState
	Audit   *Audit
	Workers []*Worker // in order of zones
	Network *Network  // between the zones, and between them and the platform

	listen      string
	workerBytes atomic.Int64
	clock       Clock
	addr        string
	addrs       map[ident.WorkerID]string
	servers     []*http.Server
	wg          conc.WaitGroup
	stop        context.CancelFunc
	closing     sync.Once
}

// NewPlatform returns a platform that does not listen yet. listen is the
// address (IP and port) of the log and host list; empty for a loopback port
// picked by the kernel.
func NewPlatform(layout Layout, listen string) *Platform {
	if listen == "" {
		listen = loopback
	}
	p := &Platform{
		Layout: layout, Audit: NewAudit(), clock: NewClock(), listen: listen,
		Log:     NewLogState(layout.Log),
		Hosts:   NewHostListState(layout.HostLag),
		Network: newNetwork(layout.ZoneDelay),
		addrs:   make(map[ident.WorkerID]string),
	}
	upstream := Echo(layout.ServiceTime, layout.AnswerSize)
	for _, cfg := range layout.workerConfigs() {
		p.Workers = append(p.Workers, NewWorker(NewWorkerState(cfg, p.Audit), upstream, p.clock))
	}
	return p
}

// Start listens and serves until Close, or until ctx ends. The workers are in
// the host list at once.
func (p *Platform) Start(ctx context.Context) error {
	ctx, p.stop = context.WithCancel(ctx)
	var entries []ports.WorkerEntry
	for _, worker := range p.Workers {
		addr, err := p.serve(loopback, worker, &p.workerBytes)
		if err != nil {
			p.Close()
			return err
		}
		cfg := worker.State.Config()
		p.addrs[cfg.Worker] = addr
		entries = append(entries, cfg.Entry(addr))
	}
	if err := p.serveFronts(); err != nil {
		p.Close()
		return err
	}
	p.Hosts.Change(p.clock()-p.Layout.HostLag, HostChange{Workers: entries})
	p.wg.Go(func() { p.tick(ctx) })
	p.wg.Go(func() {
		<-ctx.Done()
		p.shut()
	})
	return nil
}

// serveFronts serves the log and the host list: at the platform's own address
// with the admin calls, and for each zone at its relay.
func (p *Platform) serveFronts() error {
	admin := p.Admin()
	own := p.front(nil)
	own.Handle("/faults/", admin)
	own.Handle("/leaving/", admin)
	own.Handle("/audit", admin)
	own.Handle("/audit/", admin)
	own.Handle("/traffic", admin)
	addr, err := p.serve(p.listen, own, nil)
	if err != nil {
		return err
	}
	p.addr = addr
	for i, zone := range p.Layout.Zones {
		if err := p.serveZone(zone.Zone, i+1); err != nil {
			return err
		}
	}
	return nil
}

// serveZone serves what one zone sees of the platform, on the n-th port after
// the platform's own.
func (p *Platform) serveZone(zone ident.Zone, n int) error {
	listen, err := nextPort(p.listen, n)
	if err != nil {
		return err
	}
	view := func(listing ports.Listing) ports.Listing { return p.Network.view(zone, listing) }
	hidden, err := p.serve(loopback, p.front(view), nil)
	if err != nil {
		return err
	}
	relay, err := newRelayAt(listen, hidden)
	if err != nil {
		return err
	}
	p.Network.platform[zone] = relay
	return nil
}

// front routes the address that the log and the host list share.
func (p *Platform) front(view func(ports.Listing) ports.Listing) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(ports.PathLog, NewLog(p.Log, p.clock))
	hosts := NewHostList(p.Hosts, p.clock)
	hosts.view = view
	mux.Handle(ports.PathHosts, hosts)
	return mux
}

// serve starts a server and returns its address. Its bytes are added to a
// counter, unless that is nil.
func (p *Platform) serve(listen string, handler http.Handler, bytes *atomic.Int64) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", &ListenError{Addr: listen, Cause: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout}
	p.servers = append(p.servers, server)
	addr := listener.Addr().String()
	if bytes != nil {
		listener = countingListener{Listener: listener, bytes: bytes}
	}
	p.wg.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	return addr, nil
}

// tick drives the workers' clocks.
func (p *Platform) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := p.clock()
			for _, worker := range p.Workers {
				worker.State.Tick(now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Close stops everything and waits for it.
func (p *Platform) Close() {
	if p.stop != nil {
		p.stop()
	}
	p.shut()
	p.wg.Wait()
}

// shut closes the servers with all their connections.
func (p *Platform) shut() {
	p.closing.Do(func() {
		for _, server := range p.servers {
			_ = server.Close() // nothing is left to save
		}
		p.Network.close()
	})
}

// Addr returns the address of the log and the host list, which no fault
// between zones touches, and of the admin calls.
func (p *Platform) Addr() string { return p.addr }

// ZoneAddr returns the address at which a zone reaches the log and the host
// list, or "" for an unknown zone.
func (p *Platform) ZoneAddr(zone ident.Zone) string {
	relay, ok := p.Network.platform[zone]
	if !ok {
		return ""
	}
	return relay.Addr()
}

// WorkerAddr returns the address of a worker, or "" for an unknown one.
func (p *Platform) WorkerAddr(worker ident.WorkerID) string { return p.addrs[worker] }

// Worker returns a worker, or nil for an unknown one.
func (p *Platform) Worker(id ident.WorkerID) *Worker {
	for _, worker := range p.Workers {
		if worker.State.Config().Worker == id {
			return worker
		}
	}
	return nil
}

// Now returns the platform's own time.
func (p *Platform) Now() time.Duration { return p.clock() }

// ChangeHosts changes the host list; the change shows after the list's lag.
func (p *Platform) ChangeHosts(change HostChange) { p.Hosts.Change(p.clock(), change) }

// MarkLeaving lists a worker as leaving; it goes on running what it has and
// starting what it is told to. It returns an *UnknownNameError for a worker
// that does not exist.
func (p *Platform) MarkLeaving(id ident.WorkerID) error {
	worker := p.Worker(id)
	if worker == nil {
		return &UnknownNameError{Kind: "worker", Name: string(id)}
	}
	entry := worker.State.Config().Entry(p.addrs[id])
	entry.State = ports.StateLeaving
	p.ChangeHosts(HostChange{Workers: []ports.WorkerEntry{entry}})
	return nil
}

// ListenError reports an address that could not be listened on.
type ListenError struct {
	Addr  string
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
