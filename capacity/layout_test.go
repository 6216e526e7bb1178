package capacity

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ledger"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
)

// layOut lists hosts and workers. The driven host is the one that schedules.
func (z *zone) layOut() {
	for i := range z.size.zones {
		name := zoneName(i)
		var hosts []ident.HostID
		for h := range z.size.hosts {
			host := hostName(name, h)
			hosts = append(hosts, host)
			addr := fmt.Sprintf("10.%d.%d.1:7000", i, h)
			z.listing.Hosts = append(z.listing.Hosts, ports.HostEntry{Host: host, Zone: name, Addr: addr, State: ports.StateLive})
			z.peers[host] = &member.Digest{Holder: ident.Holder{Host: host, Incarnation: 1}, Zone: name, Addr: addr, Services: []ident.ServiceID{"invoicing"}}
		}
		if i == 0 {
			z.self = ident.Holder{Host: member.Winner("scheduler/"+string(name), hosts), Incarnation: 1}
		}
		for w := range z.size.workers {
			z.listWorker(i, w)
		}
	}
	delete(z.peers, z.self.Host)
}

func (z *zone) listWorker(zone, n int) {
	const rack = 20
	name := zoneName(zone)
	id := ident.WorkerID(fmt.Sprintf("%s-worker-%03d", name, n))
	z.listing.Workers = append(z.listing.Workers, ports.WorkerEntry{
		Worker: id, Zone: name, Rack: fmt.Sprintf("%s-rack-%02d", name, n/rack), Addr: fmt.Sprintf("10.%d.%d.%d:8000", zone, n/250, n%250),
		Size: workerSize, Service: []ident.ServiceID{"invoicing"}, State: ports.StateLive,
	})
	if zone == 0 {
		z.workers[id] = &stubWorker{epoch: map[ports.LeaseClass]ports.Epoch{}}
	}
}

// unitsPerHost is what each host gets of each team's limit: enough for every
// task of its zone.
const unitsPerHost = 100_000

// services is the number of services whose replicas run.
const services = 20

// configure writes the configuration: teams with a key each, and services.
func (z *zone) configure(tb testing.TB) {
	tb.Helper()
	state, err := configuration(z.size, services)
	if err != nil {
		tb.Fatal(err)
	}
	z.config = fleet.Empty()
	for _, data := range state {
		z.append(engine.ConfigStream, [][]byte{data})
		z.config = applied(tb, z.config, data)
	}
}

// applied folds a change.
func applied(tb testing.TB, state *fleet.State, data []byte) *fleet.State {
	tb.Helper()
	next, result, err := fleet.Apply(state, ports.Record{Offset: state.Offset() + 1, Data: data})
	if err != nil || result.Status != fleet.StatusApplied {
		tb.Fatal(err, result.Reason)
	}
	return next
}

// changeLimit makes the record of a raised limit.
func (z *zone) changeLimit(tb testing.TB, state *fleet.State, by int64) (*fleet.State, []byte) {
	tb.Helper()
	limit := int64(z.size.zones*z.size.hosts)*unitsPerHost + by
	plan, err := fleet.MakePlan(state, fleet.Intent{Teams: []fleet.WantTeam{{Team: teamName(1), Limit: &limit}}}, "asha", wallStart, fleet.NoImpact{})
	if err != nil {
		tb.Fatal(err)
	}
	data, err := fleet.EncodeChange(plan.Change("asha", wallStart))
	if err != nil {
		tb.Fatal(err)
	}
	return applied(tb, state, data), data
}

// configuration returns the records of a configuration.
func configuration(s size, services int) ([][]byte, error) {
	source := rand.New(rand.NewSource(1))
	intent := fleet.Intent{}
	for i := range s.teams {
		limit, share := int64(s.zones*s.hosts)*unitsPerHost, int64(1)
		team := teamName(i)
		_, id, hash, err := fleet.NewKey(source)
		if err != nil {
			return nil, err
		}
		intent.Teams = append(intent.Teams, fleet.WantTeam{Team: team, Share: &share, Limit: &limit})
		intent.Keys = append(intent.Keys, fleet.WantKey{Action: fleet.KeyGive, Team: team, Key: id, Hash: hash})
	}
	for i := range min(services, servicesAtOnce) {
		replicas, team := s.zones*s.workers*s.tasks/serviceShare/services, teamName(i%s.teams)
		intent.Services = append(intent.Services, fleet.WantService{
			Service: ident.ServiceID(fmt.Sprintf("service-%03d", i)), Team: &team, Replicas: &replicas, Need: &taskNeed,
		})
	}
	plan, err := fleet.MakePlan(fleet.Empty(), intent, "asha", wallStart, fleet.NoImpact{})
	if err != nil {
		return nil, err
	}
	data, err := fleet.EncodeChange(plan.Change("asha", wallStart))
	return [][]byte{data}, err
}

// servicesAtOnce keeps a configuration within one change.
const servicesAtOnce = 250

var wallStart = time.Unix(1_800_000_000, 0).UTC()

// joinLedger makes every other host a member of the ledger of limit units.
func (z *zone) joinLedger(tb testing.TB) {
	tb.Helper()
	for _, h := range z.listing.Hosts {
		if h.Host == z.self.Host {
			continue
		}
		data, err := ledger.Encode(ledger.Record{Writer: ident.Holder{Host: h.Host, Incarnation: 1}, Num: 1, Join: &ledger.Join{Zone: h.Zone}})
		if err != nil {
			tb.Fatal(err)
		}
		z.append(ledger.StreamName, [][]byte{data})
	}
}
