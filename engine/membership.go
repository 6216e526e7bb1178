package engine

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/jobs"
	"github.com/fireflyfold/fireflyfold/lease"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/request"
)

func (e *Engine) stepMembers(ev member.Event) {
	for _, cmd := range e.members.Step(e.now, ev) {
		switch cmd := cmd.(type) {
		case member.SendDigest:
			e.emit(SendDigest{Host: cmd.Host, Addr: cmd.Addr, Digest: cmd.Digest})
		case member.Want:
			e.wantLease(lease.Key{Worker: cmd.Worker, Class: cmd.Class}, cmd.Wanted)
		case member.SchedulerWanted:
			e.schedulerWanted(cmd.Wanted)
		}
	}
}

// wantLease forwards whether membership wants a lease to the lease manager.
// While a compute lease is covered by a promise to another host, it is not
// wanted.
func (e *Engine) wantLease(key lease.Key, wanted bool) {
	if key.Class == ports.ClassCompute && e.reclaim.promised(key.Worker) {
		e.reclaim.wanted[key.Worker] = wanted
		wanted = false
	}
	e.stepLeases(lease.Want{Key: key, Wanted: wanted})
}

func (e *Engine) listed(ev Listed) {
	e.stepMembers(member.ListRead{Listing: ev.Listing})
	e.applyMarks()
	e.hostsListed(ev.Listing)
}

func (e *Engine) digestReceived(d member.Digest) {
	e.stepMembers(member.DigestReceived{Digest: d})
	if d.Holder.Host == e.opts.Self.Host {
		return
	}
	e.stepRouter(request.PeerSeen{
		Host:     d.Holder.Host,
		Zone:     d.Zone,
		Free:     int64(d.FreeSlots),
		Waiting:  int64(d.Waiting),
		Services: d.Services,
		Draining: d.Draining,
	})
	e.config.peerSeen(e.now, d)
	if d.Zone == e.opts.Zone { // hosts of other zones never use this zone's workers
		e.stepRecovery(jobs.HostHeard{Host: d.Holder.Host})
	}
}

func (e *Engine) peerFailed(host ident.HostID) {
	e.stepMembers(member.PeerFailed{Host: host})
	e.stepRouter(request.PeerGone{Host: host})
}

// loadInterval is the interval at which the load in digests is refreshed.
const loadInterval = 100 * time.Millisecond

// reportLoad updates the load that membership puts into digests.
func (e *Engine) reportLoad() {
	if e.now < e.nextLoadAt {
		return
	}
	e.nextLoadAt = e.now + loadInterval
	load := member.Load{
		FreeSlots: int(e.router.Free()),
		Waiting:   e.router.Waiting(),
		Leases:    e.leases.Held(e.now),
		Services:  e.router.Services(),
		ConfigAge: e.config.age(e.now),
	}
	if state := e.config.state(); state != nil {
		load.Config = state.Offset()
	}
	if e.zone != nil {
		load.Scheduler = uint64(e.zone.epoch)
	}
	e.stepMembers(member.LoadChanged{Load: load})
}

// Digest returns the digest of this host, the reply to a peer's digest.
func (e *Engine) Digest() member.Digest { return e.members.Digest() }

// applyMarks updates the request path and the scheduler with the workers that
// accept no new work, by the host list or by an operator's mark.
func (e *Engine) applyMarks() {
	for _, entry := range e.members.Workers() {
		e.applyMark(entry)
	}
}

func (e *Engine) applyMark(entry ports.WorkerEntry) {
	leaving := entry.State == ports.StateLeaving
	e.stepRouter(request.WorkerLeaving{Worker: entry.Worker, Leaving: leaving || e.config.upstreamMarked(entry.Worker)})
	e.markCompute(entry.Worker, leaving)
}

// View is the state of the other hosts as published to the front ends. It is
// immutable.
type View struct {
	Schedules bool // this host owns its zone's job stream
	Hosts     []ViewHost
}

// ViewHost is one other host that membership considers live.
type ViewHost struct {
	Host      ident.HostID
	Zone      ident.Zone
	Addr      string
	Scheduler bool // according to its last digest
	Heard     bool // a digest of it has been received
	Config    ports.Offset
	Waiting   int
	Leases    int
	Free      int
	Holder    ident.Holder
}

// viewInterval bounds the delay until the view omits a host that no longer
// sends digests. Received digests and ownership of the job stream take effect
// at once.
const viewInterval = 200 * time.Millisecond

// publishView publishes a new view if it has changed.
func (e *Engine) publishView() {
	changes := e.members.Changes()
	if e.viewSent && e.view.Schedules == e.Schedules() && e.viewChanges == changes && e.now < e.nextViewAt {
		return
	}
	e.viewChanges = changes
	e.nextViewAt = e.now + viewInterval
	view := View{Schedules: e.Schedules()}
	for _, p := range e.members.Live(e.now) {
		view.Hosts = append(view.Hosts, viewHost(p))
	}
	if e.viewSent && e.view.Schedules == view.Schedules && slices.Equal(e.view.Hosts, view.Hosts) {
		return
	}
	e.view = view
	e.viewSent = true
	e.emit(ViewChanged{View: &view})
}

func viewHost(p member.Peer) ViewHost {
	return ViewHost{
		Host:      p.Host,
		Zone:      p.Zone,
		Addr:      p.Addr,
		Scheduler: p.Heard && p.Digest.Scheduler != 0,
		Heard:     p.Heard,
		Config:    p.Digest.Config,
		Waiting:   p.Digest.Waiting,
		Leases:    p.Digest.Leases,
		Free:      p.Digest.FreeSlots,
		Holder:    p.Digest.Holder,
	}
}
