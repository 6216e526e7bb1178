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
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// staleAfter is the age from which a configuration is reported as stale.
const staleAfter = 9 * time.Second

// recentEntries is how much history the status shows.
const recentEntries = 8

// Status implements admin.Backend.
func (b *operatorBackend) Status(ctx context.Context) (admin.Status, error) {
	s := b.h.inspect(ctx)
	own := s.hosts[0].Facts
	st := admin.Status{
		Host:   b.h.self.Host,
		Zone:   b.h.zone,
		At:     time.Now().UTC(),
		Config: b.configStatus(own),
		Zones:  b.zones(s),
		Hosts:  b.hosts(s),
		Queues: queues(s),
		Teams:  b.teams(s),
		Recent: b.h.history.newest(recentEntries),
	}
	st.Degraded = degraded(own, st)
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

// zones sums up what the hosts of each zone say.
func (b *operatorBackend) zones(s survey) []admin.ZoneStatus {
	var list []admin.ZoneStatus
	for _, z := range b.h.opts.Settings.Zones {
		zs := admin.ZoneStatus{Zone: z.Name, Region: z.Region}
		for _, f := range s.hosts {
			if f.Zone == z.Name {
				zs.Hosts++
				addHost(&zs, f)
			}
		}
		list = append(list, zs)
	}
	return list
}

// addHost adds what one host of a zone says. Every host lists all workers of
// its zone, and counts the leases that it holds itself.
func addHost(zs *admin.ZoneStatus, f hostFacts) {
	if !f.Reached {
		return
	}
	zs.Reachable = true
	zs.Workers = max(zs.Workers, len(f.Facts.Workers))
	if f.Facts.Scheduler {
		zs.Scheduler = f.Host
	}
	for _, w := range f.Facts.Workers {
		if w.ComputeHeld {
			zs.Leased++
			zs.Size = zs.Size.Add(w.Entry.Size)
			zs.Used = zs.Used.Add(w.Used)
		}
		if w.SlotsHeld {
			zs.Used.Slots += w.Requests
		}
		if w.Quarantined || (w.SlotsHeld && w.Entry.State == ports.StateLeaving) {
			zs.Impaired++
		}
	}
}

func queues(s survey) []admin.QueueStatus {
	list := []admin.QueueStatus{}
	for _, f := range s.hosts {
		if f.Facts.WaitingReqs > 0 || f.Facts.InFlight > 0 {
			list = append(list, admin.QueueStatus{Zone: f.Zone, Kind: work.KindRequest, Waiting: f.Facts.WaitingReqs, Running: int(f.Facts.InFlight)})
		}
		if f.Facts.Scheduler {
			list = append(list, admin.QueueStatus{Zone: f.Zone, Kind: work.KindBatch, Waiting: f.Facts.JobsWaiting, Running: f.Facts.JobsRunning})
		}
	}
	return list
}

// Hosts implements admin.Backend.
func (b *operatorBackend) Hosts(ctx context.Context) ([]admin.HostStatus, error) {
	return b.hosts(b.h.inspect(ctx)), nil
}

func (b *operatorBackend) hosts(s survey) []admin.HostStatus {
	state := b.h.config.Load()
	silences := map[ident.HostID]time.Duration{}
	for _, silence := range s.hosts[0].Facts.Silences {
		silences[silence.Host] = silence.For
	}
	list := []admin.HostStatus{}
	for _, f := range s.hosts {
		hs := hostStatus(f)
		hs.Age = admin.SecondsOf(silences[f.Host])
		if state != nil {
			hs.Mark = state.HostMode(f.Host)
		}
		list = append(list, hs)
	}
	return list
}

func hostStatus(f hostFacts) admin.HostStatus {
	hs := admin.HostStatus{
		Host:      f.Host,
		Zone:      f.Zone,
		State:     "live",
		InFlight:  int(f.Facts.InFlight),
		Waiting:   f.Facts.WaitingReqs,
		Scheduler: f.Facts.Scheduler,
		Config:    ports.Offset(f.Config),
		Started:   admin.SecondsOf(f.Up),
		Life:      f.Life,
	}
	for _, w := range f.Facts.Workers {
		if w.SlotsHeld {
			hs.Workers++
		}
	}
	switch {
	case !f.Reached:
		hs.State = "silent"
	case f.Facts.Draining:
		hs.State = "draining"
	}
	return hs
}

// Teams implements admin.Backend.
func (b *operatorBackend) Teams(ctx context.Context) ([]admin.TeamStatus, error) {
	if _, err := b.state(); err != nil {
		return nil, err
	}
	return b.teams(b.h.inspect(ctx)), nil
}

// teams adds up what the hosts use of each team's limit.
func (b *operatorBackend) teams(s survey) []admin.TeamStatus {
	list := []admin.TeamStatus{}
	state := b.h.config.Load()
	if state == nil {
		return list
	}
	used := map[ident.TeamID]int64{}
	for _, f := range s.hosts {
		for _, u := range f.Facts.Units {
			used[u.Team] += u.Used
		}
	}
	var shares, units int64
	for _, t := range state.Teams() {
		shares += t.Share
		units += used[t.ID]
	}
	for _, t := range state.Teams() {
		list = append(list, admin.TeamStatus{
			Team:     t.ID,
			Share:    t.Share,
			Entitled: float64(t.Share) / float64(max(shares, 1)),
			Using:    float64(used[t.ID]) / float64(max(units, 1)),
			Limit:    t.Limit,
			Units:    used[t.ID],
			Keys:     len(state.KeysOf(t.ID)),
			Partial:  s.partial,
		})
	}
	return list
}

// Workers implements admin.Backend.
func (b *operatorBackend) Workers(ctx context.Context) ([]admin.WorkerStatus, error) {
	state := b.h.config.Load()
	merged := map[ident.WorkerID]admin.WorkerStatus{}
	for _, f := range b.h.inspect(ctx).hosts {
		for _, w := range f.Facts.Workers {
			merged[w.Entry.Worker] = mergeWorker(merged[w.Entry.Worker], f.Host, w, state)
		}
	}
	list := make([]admin.WorkerStatus, 0, len(merged))
	for _, ws := range merged {
		list = append(list, finishWorker(ws))
	}
	slices.SortFunc(list, func(a, b admin.WorkerStatus) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return list, nil
}

// mergeWorker adds what one host knows of a worker: only the holder of a lease
// knows what runs under it.
func mergeWorker(ws admin.WorkerStatus, host ident.HostID, w engine.WorkerFacts, state *fleet.State) admin.WorkerStatus {
	ws.Worker = w.Entry.Worker
	ws.Zone = w.Entry.Zone
	ws.Rack = w.Entry.Rack
	ws.Size = w.Entry.Size
	ws.Services = w.Entry.Service
	if w.SlotsHeld {
		ws.Slots = host
		ws.Requests = int(w.Requests)
	}
	if w.ComputeHeld {
		ws.Compute = host
		ws.Used = w.Used
		ws.Tasks = w.Tasks
	}
	if w.Quarantined {
		ws.State = "quarantined"
		ws.Why = "requests fail there"
	}
	if w.Entry.State == ports.StateLeaving && ws.State == "" {
		ws.State = "leaving"
	}
	if state != nil {
		ws.Mark = state.WorkerMode(w.Entry.Worker)
		ws.UpstreamMark = state.UpstreamMode(w.Entry.Worker)
	}
	return ws
}

func finishWorker(ws admin.WorkerStatus) admin.WorkerStatus {
	switch {
	case ws.State != "":
	case ws.Slots == "" && ws.Compute == "":
		ws.State = "unleased"
		ws.Why = "no host that could be asked holds a lease of it"
	default:
		ws.State = "live"
	}
	return ws
}

// degraded lists what does not work as it should, and what it means.
func degraded(f engine.Facts, st admin.Status) []admin.Degradation {
	list := []admin.Degradation{}
	add := func(what, means, do string, since time.Duration) {
		list = append(list, admin.Degradation{What: what, Means: means, Do: do, Since: admin.SecondsOf(since)})
	}
	if !f.LogReachable {
		add("the platform's log cannot be reached from here",
			"requests and running work go on; new jobs and idempotency keys are refused as not run",
			"restore the log; nothing has to be done here", f.ConfigAge)
	}
	if f.ConfigAge > staleAfter {
		add("the configuration may be out of date",
			"a key withdrawn since then still works here",
			"restore the path to the log or to another availability zone", f.ConfigAge)
	}
	if f.Recovering {
		add("settling what an earlier scheduler of the zone left running", "some jobs wait until their workers have answered", "nothing", 0)
	}
	impaired := 0
	for _, z := range st.Zones {
		impaired += z.Impaired
		if !z.Reachable {
			add("availability zone "+string(z.Zone)+" does not answer", "jobs whose home it is are refused as not run", "check the network between the zones", 0)
		}
	}
	if impaired > 0 {
		add(strconv.Itoa(impaired)+" workers are leaving or quarantined", "they get no new work, but for a probe now and then", "fireflyfold workers shows which", 0)
	}
	return list
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
