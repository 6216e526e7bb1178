package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fireflyfold/fireflyfold/admin"
	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// staleAfter is the age from which a configuration is reported as stale.
const staleAfter = 9 * time.Second

// recentEntries is how much history the status shows.
const recentEntries = 8

// Status implements admin.Backend.
func (b *operatorBackend) Status(ctx context.Context) (admin.Status, error) {
	f := b.h.loadFacts()
	st := admin.Status{
		Host:   b.h.self.Host,
		Zone:   b.h.zone,
		At:     time.Now().UTC(),
		Config: b.configStatus(f),
		Zones:  b.zones(f),
		Queues: []admin.QueueStatus{{Zone: b.h.zone, Kind: work.KindRequest, Waiting: f.WaitingReqs, Running: int(f.InFlight)}},
		Recent: b.h.history.newest(recentEntries),
	}
	if f.Scheduler {
		st.Queues = append(st.Queues, admin.QueueStatus{Zone: b.h.zone, Kind: work.KindBatch, Waiting: f.JobsWaiting, Running: f.JobsRunning})
	}
	st.Hosts, _ = b.Hosts(ctx) // never fails
	st.Teams, _ = b.Teams(ctx) // no teams without a configuration
	st.Degraded = b.degraded(f, st)
	return st, nil
}

func (b *operatorBackend) configStatus(f engine.Facts) admin.ConfigStatus {
	cs := admin.ConfigStatus{Age: admin.SecondsOf(f.ConfigAge), Source: admin.SourceNone, LogReachable: f.LogReachable}
	if state := b.h.config.Load(); state != nil {
		cs.Offset = state.Offset()
		cs.Source = admin.SourceLog
		if !f.LogReachable {
			cs.Source = admin.SourcePeer
		}
	}
	return cs
}

// zones sums up the own zone from what this host knows, and the others from
// the digests of their hosts.
func (b *operatorBackend) zones(f engine.Facts) []admin.ZoneStatus {
	view := b.h.loadView()
	var list []admin.ZoneStatus
	for _, z := range b.h.opts.Settings.Zones {
		zs := admin.ZoneStatus{Zone: z.Name, Region: z.Region, Reachable: z.Name == b.h.zone}
		if z.Name == b.h.zone {
			ownZone(&zs, f)
			zs.Hosts++
			if f.Scheduler {
				zs.Scheduler = b.h.self.Host
			}
		}
		for _, host := range view.Hosts {
			if host.Zone != z.Name {
				continue
			}
			zs.Hosts++
			zs.Reachable = zs.Reachable || host.Heard
			if host.Scheduler {
				zs.Scheduler = host.Host
			}
		}
		list = append(list, zs)
	}
	return list
}

func ownZone(zs *admin.ZoneStatus, f engine.Facts) {
	zs.Workers = len(f.Workers)
	for _, w := range f.Workers {
		if w.SlotsHeld || w.ComputeHeld {
			zs.Leased++
			zs.Size = zs.Size.Add(w.Entry.Size)
			zs.Used = zs.Used.Add(w.Used)
		}
		if w.Quarantined || w.Entry.State == platform.StateLeaving {
			zs.Impaired++
		}
	}
}

// Hosts implements admin.Backend.
func (b *operatorBackend) Hosts(context.Context) ([]admin.HostStatus, error) {
	f := b.h.loadFacts()
	own := admin.HostStatus{
		Host:      b.h.self.Host,
		Zone:      b.h.zone,
		State:     "live",
		InFlight:  int(f.InFlight),
		Waiting:   f.WaitingReqs,
		Workers:   slotsHeld(f),
		Scheduler: f.Scheduler,
		Started:   admin.SecondsOf(b.h.now()),
		Life:      b.h.self.Incarnation,
	}
	if f.Draining {
		own.State = "draining"
	}
	state := b.h.config.Load()
	if state != nil {
		own.Config = state.Offset()
		own.Mark = state.HostMode(own.Host)
	}
	list := []admin.HostStatus{own}
	for _, p := range b.h.loadView().Hosts {
		list = append(list, peerStatus(p, state))
	}
	return list, nil
}

func slotsHeld(f engine.Facts) int {
	n := 0
	for _, w := range f.Workers {
		if w.SlotsHeld {
			n++
		}
	}
	return n
}

func peerStatus(p engine.ViewHost, state *fleet.State) admin.HostStatus {
	hs := admin.HostStatus{
		Host:      p.Host,
		Zone:      p.Zone,
		State:     "live",
		Config:    p.Config,
		Waiting:   p.Waiting,
		Workers:   p.Leases,
		Scheduler: p.Scheduler,
		Life:      p.Holder.Incarnation,
	}
	if !p.Heard {
		hs.State = "listed" // by the platform; this host exchanges no digests with it
	}
	if state != nil {
		hs.Mark = state.HostMode(p.Host)
	}
	return hs
}

// Teams implements admin.Backend. Units in use are those of this host; a team
// may use more elsewhere.
func (b *operatorBackend) Teams(context.Context) ([]admin.TeamStatus, error) {
	state, err := b.state()
	if err != nil {
		return nil, err
	}
	used := map[ident.TeamID]int64{}
	for _, u := range b.h.loadFacts().Units {
		used[u.Team] = u.Used
	}
	var shares int64
	for _, t := range state.Teams() {
		shares += t.Share
	}
	list := []admin.TeamStatus{}
	for _, t := range state.Teams() {
		list = append(list, admin.TeamStatus{
			Team:     t.ID,
			Share:    t.Share,
			Entitled: float64(t.Share) / float64(max(shares, 1)),
			Limit:    t.Limit,
			Units:    used[t.ID],
			Keys:     len(state.KeysOf(t.ID)),
			Partial:  true,
		})
	}
	return list, nil
}

// Workers implements admin.Backend. It knows the workers of the own zone.
func (b *operatorBackend) Workers(context.Context) ([]admin.WorkerStatus, error) {
	state := b.h.config.Load()
	list := []admin.WorkerStatus{}
	for _, w := range b.h.loadFacts().Workers {
		list = append(list, b.workerStatus(w, state))
	}
	return list, nil
}

func (b *operatorBackend) workerStatus(w engine.WorkerFacts, state *fleet.State) admin.WorkerStatus {
	ws := admin.WorkerStatus{
		Worker:   w.Entry.Worker,
		Zone:     w.Entry.Zone,
		Rack:     w.Entry.Rack,
		State:    "live",
		Size:     w.Entry.Size,
		Used:     w.Used,
		Tasks:    w.Tasks,
		Requests: int(w.Requests),
		Services: w.Entry.Service,
	}
	if w.SlotsHeld {
		ws.Slots = b.h.self.Host
	}
	if w.ComputeHeld {
		ws.Compute = b.h.self.Host
	}
	switch {
	case w.Entry.State == platform.StateLeaving:
		ws.State = "leaving"
	case w.Quarantined:
		ws.State = "quarantined"
		ws.Why = "requests fail there"
	}
	if state != nil {
		ws.Mark = state.WorkerMode(w.Entry.Worker)
		ws.UpstreamMark = state.UpstreamMode(w.Entry.Worker)
	}
	return ws
}

// degraded lists what does not work as it should, and what it means.
func (b *operatorBackend) degraded(f engine.Facts, st admin.Status) []admin.Degradation {
	list := []admin.Degradation{}
	add := func(what, means, do string) {
		list = append(list, admin.Degradation{What: what, Means: means, Do: do})
	}
	if !f.LogReachable {
		add("the platform's log cannot be reached from here",
			"requests and running work go on; new jobs and idempotency keys are refused as not run",
			"restore the log; nothing has to be done here")
	}
	if f.ConfigAge > staleAfter {
		add("the configuration was last known to be the newest "+f.ConfigAge.Round(time.Second).String()+" ago",
			"a key withdrawn since then still works here",
			"restore the path to the log or to another availability zone")
	}
	if f.Recovering {
		add("settling what an earlier scheduler of the zone left running", "some jobs wait until their workers have answered", "nothing")
	}
	for _, z := range st.Zones {
		if !z.Reachable {
			add("availability zone "+string(z.Zone)+" does not answer", "jobs whose home it is are refused as not run", "check the network between the zones")
		}
	}
	if n := quarantined(f); n > 0 {
		add(strconv.Itoa(n)+" workers are quarantined", "they failed what was sent to them and get a probe now and then", "look at these workers")
	}
	return list
}

func quarantined(f engine.Facts) int {
	n := 0
	for _, w := range f.Workers {
		if w.Quarantined {
			n++
		}
	}
	return n
}

func (h *Host) loadView() *engine.View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &engine.View{}
}

// schedules reports whether this host owns its zone's job stream.
func (h *Host) schedules() bool { return h.loadView().Schedules }

// jobTargets lists the hosts to send a job call of a zone to: the zone's
// scheduler first, if its digest is known.
func (h *Host) jobTargets(zone ident.Zone) []engine.ViewHost {
	var targets []engine.ViewHost
	for _, p := range h.loadView().Hosts {
		if p.Zone == zone {
			targets = append(targets, p)
		}
	}
	slices.SortStableFunc(targets, func(a, b engine.ViewHost) int {
		switch {
		case a.Scheduler && !b.Scheduler:
			return -1
		case b.Scheduler && !a.Scheduler:
			return 1
		}
		return 0
	})
	return targets
}

// impact tells what a change would touch, as far as this host knows.
type impact struct {
	facts engine.Facts
}

// Team implements fleet.Impact.
func (i *impact) Team(team ident.TeamID, _ int64) fleet.Touched {
	t := fleet.Touched{Partial: true}
	for _, u := range i.facts.Units {
		if u.Team == team {
			t.Units = u.Used
			t.Running = int(u.Used)
		}
	}
	return t
}

// Service implements fleet.Impact.
func (i *impact) Service(ident.ServiceID) fleet.Touched { return fleet.Touched{Partial: true} }

// Worker implements fleet.Impact.
func (i *impact) Worker(worker ident.WorkerID) fleet.Touched {
	t := fleet.Touched{Partial: true}
	for _, w := range i.facts.Workers {
		if w.Entry.Worker == worker {
			t.Running = w.Tasks + int(w.Requests)
			t.Units = resource.LimitUnits(w.Used)
		}
	}
	return t
}

// Upstream implements fleet.Impact.
func (i *impact) Upstream(worker ident.WorkerID) fleet.Touched {
	t := fleet.Touched{Partial: true}
	for _, w := range i.facts.Workers {
		if w.Entry.Worker == worker {
			t.Running = int(w.Requests)
		}
	}
	return t
}

// Host implements fleet.Impact.
func (i *impact) Host(ident.HostID) fleet.Touched {
	return fleet.Touched{Running: int(i.facts.InFlight), Waiting: i.facts.WaitingReqs, Partial: true}
}
