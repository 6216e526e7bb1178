package entry

import (
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/ports"
)

func toWireHolder(h ident.Holder) *peerv1.Holder {
	return &peerv1.Holder{Host: string(h.Host), Incarnation: uint64(h.Incarnation)}
}

func fromWireHolder(h *peerv1.Holder) ident.Holder {
	return ident.Holder{Host: ident.HostID(h.GetHost()), Incarnation: ident.Incarnation(h.GetIncarnation())}
}

func exchangeRequest(d member.Digest) *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{Digest: toWireDigest(d)}
}

func toWireDigest(d member.Digest) *peerv1.Digest {
	res := &peerv1.Digest{
		Holder:         toWireHolder(d.Holder),
		Zone:           string(d.Zone),
		Addr:           d.Addr,
		Seq:            d.Seq,
		ConfigOffset:   uint64(d.Config),
		FreeSlots:      int64(d.FreeSlots),
		Waiting:        int64(d.Waiting),
		Leases:         int64(d.Leases),
		Draining:       d.Draining,
		SchedulerEpoch: d.Scheduler,
		ConfigAgeMs:    d.ConfigAge.Milliseconds(),
	}
	for _, s := range d.Services {
		res.Services = append(res.Services, string(s))
	}
	return res
}

// fromWireDigest reports false for a digest without a holder, as a host that
// is still starting sends.
func fromWireDigest(d *peerv1.Digest) (member.Digest, bool) {
	holder := fromWireHolder(d.GetHolder())
	if holder.Host == "" || holder.Incarnation == 0 {
		return member.Digest{}, false
	}
	res := member.Digest{
		Holder:    holder,
		Zone:      ident.Zone(d.GetZone()),
		Addr:      d.GetAddr(),
		Seq:       d.GetSeq(),
		Config:    ports.Offset(d.GetConfigOffset()),
		FreeSlots: int(d.GetFreeSlots()),
		Waiting:   int(d.GetWaiting()),
		Leases:    int(d.GetLeases()),
		Draining:  d.GetDraining(),
		Scheduler: d.GetSchedulerEpoch(),
		ConfigAge: time.Duration(d.GetConfigAgeMs()) * time.Millisecond,
	}
	for _, s := range d.GetServices() {
		res.Services = append(res.Services, ident.ServiceID(s))
	}
	return res, true
}

func toWireConfig(cmd engine.ConfigReply) *peerv1.ReadConfigResponse {
	res := &peerv1.ReadConfigResponse{AgeMs: cmd.Age.Milliseconds()}
	if cmd.State != nil {
		res.State = fleet.Encode(cmd.State)
	}
	if cmd.Page == nil {
		return res
	}
	res.First = uint64(cmd.Page.First)
	res.Last = uint64(cmd.Page.Last)
	for _, r := range cmd.Page.Records {
		res.Records = append(res.Records, &peerv1.StreamRecord{Offset: uint64(r.Offset), Data: r.Data})
	}
	return res
}

// fromWireConfig reads a peer's answer. A state that cannot be decoded, from a
// peer of a newer version, counts as no answer.
func fromWireConfig(host ident.HostID, res *peerv1.ReadConfigResponse) engine.PeerConfig {
	ev := engine.PeerConfig{Host: host, Age: time.Duration(res.GetAgeMs()) * time.Millisecond}
	if len(res.GetState()) > 0 {
		if state, err := fleet.Decode(res.GetState()); err == nil {
			ev.State = state
		}
		return ev
	}
	if res.GetLast() == 0 {
		return ev
	}
	page := ports.Page{First: ports.Offset(res.GetFirst()), Last: ports.Offset(res.GetLast())}
	for _, r := range res.GetRecords() {
		page.Records = append(page.Records, ports.Record{Offset: ports.Offset(r.GetOffset()), Data: r.GetData()})
	}
	ev.Page = &page
	return ev
}

func toWireLeases(leases []ledger.LeaseSeen) *peerv1.ListLeasesResponse {
	res := &peerv1.ListLeasesResponse{}
	for _, l := range leases {
		info := &peerv1.LeaseInfo{
			Worker: string(l.Worker),
			Class:  string(l.Class),
			Holder: toWireHolder(l.Holder),
			LeftMs: l.Left.Milliseconds(),
		}
		for _, t := range l.Tasks {
			info.Tasks = append(info.Tasks, &peerv1.RunningTask{Id: t.ID, By: toWireHolder(t.By), Team: string(t.Team), Units: t.Units})
		}
		res.Leases = append(res.Leases, info)
	}
	return res
}

func fromWireLeases(res *peerv1.ListLeasesResponse) []ledger.LeaseSeen {
	var leases []ledger.LeaseSeen
	for _, info := range res.GetLeases() {
		seen := ledger.LeaseSeen{
			Worker: ident.WorkerID(info.GetWorker()),
			Class:  ports.LeaseClass(info.GetClass()),
			Holder: fromWireHolder(info.GetHolder()),
			Left:   time.Duration(info.GetLeftMs()) * time.Millisecond,
		}
		for _, t := range info.GetTasks() {
			seen.Tasks = append(seen.Tasks, ledger.RunningTask{
				ID:    t.GetId(),
				By:    fromWireHolder(t.GetBy()),
				Team:  ident.TeamID(t.GetTeam()),
				Units: t.GetUnits(),
			})
		}
		leases = append(leases, seen)
	}
	return leases
}

func toWireAttempts(asked []engine.AskedAttempt) []*peerv1.AskedAttempt {
	list := make([]*peerv1.AskedAttempt, 0, len(asked))
	for _, a := range asked {
		list = append(list, &peerv1.AskedAttempt{Id: a.ID.String(), Service: string(a.Service)})
	}
	return list
}

// fromWireAttempts returns an *ident.MalformedIDError for an identifier that
// is none.
func fromWireAttempts(list []*peerv1.AskedAttempt) ([]engine.AskedAttempt, error) {
	asked := make([]engine.AskedAttempt, 0, len(list))
	for _, a := range list {
		id, err := ident.ParseAttemptID(a.GetId())
		if err != nil {
			return nil, err
		}
		asked = append(asked, engine.AskedAttempt{ID: id, Service: ident.ServiceID(a.GetService())})
	}
	return asked, nil
}

func fromWireJobCall(msg *peerv1.CallJobRequest, now time.Duration) jobCall {
	return jobCall{
		verb:     jobVerb(msg.GetVerb()),
		team:     ident.TeamID(msg.GetTeam()),
		jobText:  msg.GetJob(),
		key:      msg.GetIdempotencyKey(),
		spec:     msg.GetSpec(),
		deadline: now + time.Duration(msg.GetDeadlineLeftMs())*time.Millisecond,
		hops:     int(msg.GetHops()),
	}
}
