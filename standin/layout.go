package standin

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// DefaultRackSize is the number of workers in a rack.
const DefaultRackSize = 6

// ZoneLayout describes one availability zone.
type ZoneLayout struct {
	Zone    ident.Zone
	Workers int
	Hosts   int // entry hosts; the stand-in only names them
}

// Layout describes a deployment.
type Layout struct {
	Name         string
	Zones        []ZoneLayout
	RackSize     int // zero for DefaultRackSize
	WorkerSize   resource.Vector
	Services     []ident.ServiceID // answer on every worker
	Teams        []ident.TeamID
	ServiceTime  time.Duration // of the echo upstream
	AnswerSize   int           // bytes, at least, of the echo upstream's answers
	UsageLag     time.Duration
	UsagePercent int64
	HostLag      time.Duration // of the host list
	ZoneDelay    time.Duration // one way between two zones
	Log          LogConfig
}

// Sizes of the workers of both deployments.
const (
	workerSlots       = 8
	workerConnections = 64
	workerMemoryMiB   = 64 << 10
)

// appendRate is how many appends a second the log of both deployments takes.
const appendRate = 400

// Rosenau is the deployment of Stadtwerke Rosenau: four availability zones,
// nine entry hosts and 48 workers of 32 cores that answer for grants.
func Rosenau() Layout {
	l := deployment("rosenau", "oberbayern", 32)
	l.ZoneDelay = 500 * time.Microsecond
	l.Services = []ident.ServiceID{"grants"}
	l.Teams = []ident.TeamID{"citizens", "advisors", "crafts", "assessment", "payments", "reports"}
	return l
}

// Sabzkhata is the deployment of Sabzkhata Field Billing: four availability
// zones, nine entry hosts and 48 workers of 16 cores that answer for invoices.
func Sabzkhata() Layout {
	l := deployment("sabzkhata", "punjab", 16)
	l.ZoneDelay = 1500 * time.Microsecond
	l.Services = []ident.ServiceID{"invoicing"}
	l.Teams = []ident.TeamID{"lahore", "multan", "faisalabad", "statements", "reminders", "archive"}
	return l
}

// deployment is what both deployments have in common.
func deployment(name, region string, cores int64) Layout {
	const milli = 1000
	zone := func(n, hosts int) ZoneLayout {
		return ZoneLayout{Zone: ident.Zone(fmt.Sprintf("%s-%d", region, n)), Workers: 12, Hosts: hosts}
	}
	return Layout{
		Name:  name,
		Zones: []ZoneLayout{zone(1, 3), zone(2, 2), zone(3, 2), zone(4, 2)},
		WorkerSize: resource.Vector{
			MilliCPU: cores * milli, MemoryMiB: workerMemoryMiB, Slots: workerSlots, Connections: workerConnections,
		},
		ServiceTime: 5 * time.Millisecond,
		AnswerSize:  1 << 10,
		HostLag:     time.Second,
		Log:         LogConfig{KeepRecords: 1 << 20, KeepFor: time.Hour, AppendRate: appendRate},
	}
}

// LayoutByName returns a ready layout, or an *UnknownLayoutError.
func LayoutByName(name string) (Layout, error) {
	switch name {
	case "rosenau":
		return Rosenau(), nil
	case "sabzkhata":
		return Sabzkhata(), nil
	}
	return Layout{}, &UnknownLayoutError{Name: name}
}

// UnknownLayoutError reports a name that no ready layout has.
type UnknownLayoutError struct {
	Name string
}

// Error implements error.
func (e *UnknownLayoutError) Error() string {
	return fmt.Sprintf("unknown layout %q: want rosenau or sabzkhata", e.Name)
}

// workerConfigs lists the workers of a layout in order.
func (l Layout) workerConfigs() []WorkerConfig {
	rack := l.RackSize
	if rack == 0 {
		rack = DefaultRackSize
	}
	var out []WorkerConfig
	for _, zone := range l.Zones {
		for n := range zone.Workers {
			out = append(out, WorkerConfig{
				Worker:       ident.WorkerID(fmt.Sprintf("%s-w%02d", zone.Zone, n+1)),
				Zone:         zone.Zone,
				Rack:         fmt.Sprintf("%s-r%d", zone.Zone, n/rack+1),
				Size:         l.WorkerSize,
				Services:     l.Services,
				UsageLag:     l.UsageLag,
				UsagePercent: l.UsagePercent,
			})
		}
	}
	return out
}

// HostIDs lists the entry hosts of a zone as the layout names them.
func (z ZoneLayout) HostIDs() []ident.HostID {
	out := make([]ident.HostID, z.Hosts)
	for n := range out {
		out[n] = ident.HostID(fmt.Sprintf("%s-h%d", z.Zone, n+1))
	}
	return out
}
