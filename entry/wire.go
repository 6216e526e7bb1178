package entry

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
	"github.com/fireflyfold/fireflyfold/platform"
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
		Config:    platform.Offset(d.GetConfigOffset()),
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

func toWirePage(p platform.Page) *peerv1.ReadStreamResponse {
	res := &peerv1.ReadStreamResponse{First: uint64(p.First), Last: uint64(p.Last)}
	for _, r := range p.Records {
		res.Records = append(res.Records, &peerv1.StreamRecord{Offset: uint64(r.Offset), Data: r.Data})
	}
	return res
}

func fromWirePage(res *peerv1.ReadStreamResponse) platform.Page {
	page := platform.Page{First: platform.Offset(res.GetFirst()), Last: platform.Offset(res.GetLast())}
	for _, r := range res.GetRecords() {
		page.Records = append(page.Records, platform.Record{Offset: platform.Offset(r.GetOffset()), Data: r.GetData()})
	}
	return page
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
