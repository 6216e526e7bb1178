package entry

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/iter"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/peer/peerv1"
)

// Bounds of looking at the whole fleet for an operator.
const (
	inspectTimeout = 700 * time.Millisecond
	inspectHosts   = 64 // more are left out and the answer says so
	inspectAtOnce  = 16
)

// hostFacts is one host's picture of itself.
type hostFacts struct {
	Host    ident.HostID      `json:"host"`
	Zone    ident.Zone        `json:"zone"`
	Life    ident.Incarnation `json:"incarnation"`
	Up      time.Duration     `json:"up"`
	Config  uint64            `json:"config"`
	Facts   engine.Facts      `json:"facts"`
	Reached bool              `json:"-"`
}

// ownFacts is this host's picture of itself.
func (h *Host) ownFacts() hostFacts {
	f := hostFacts{Host: h.self.Host, Zone: h.zone, Life: h.self.Incarnation, Up: h.now(), Facts: h.loadFacts(), Reached: true}
	if state := h.config.Load(); state != nil {
		f.Config = uint64(state.Offset())
	}
	return f
}

// survey is what an operator is shown of the fleet.
type survey struct {
	hosts   []hostFacts // this one first
	partial bool        // some host could not be asked
}

// inspect asks every known host for its picture of itself.
func (h *Host) inspect(ctx context.Context) survey {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	targets := h.loadView().Hosts
	s := survey{hosts: []hostFacts{h.ownFacts()}}
	if len(targets) > inspectHosts {
		targets = targets[:inspectHosts]
		s.partial = true
	}
	mapper := iter.Mapper[engine.ViewHost, hostFacts]{MaxGoroutines: inspectAtOnce}
	for _, f := range mapper.Map(targets, func(p *engine.ViewHost) hostFacts { return h.inspectOne(ctx, p) }) {
		s.partial = s.partial || !f.Reached
		s.hosts = append(s.hosts, f)
	}
	return s
}

// inspectOne asks one host. The result says if it was not reached.
func (h *Host) inspectOne(ctx context.Context, p *engine.ViewHost) hostFacts {
	f := hostFacts{Host: p.Host, Zone: p.Zone}
	res, err := h.peers.At(p.Addr).Inspect(ctx, connect.NewRequest(&peerv1.InspectRequest{}))
	if err != nil {
		return f
	}
	var got hostFacts
	if json.Unmarshal(res.Msg.GetFacts(), &got) != nil {
		return f
	}
	got.Reached = true
	return got
}
