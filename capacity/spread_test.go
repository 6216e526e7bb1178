package capacity

import (
	"fmt"
	"testing"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/member"
	"github.com/fireflyfold/fireflyfold/ports"
)

// BenchmarkSpread counts in how many steps from host to host news of one host
// reaches all others, at worst, and how many digests a host sends in a step.
func BenchmarkSpread(b *testing.B) {
	for _, s := range []size{today, letter} {
		b.Run(fmt.Sprintf("zones=%d/hosts=%d", s.zones, s.zones*s.hosts), func(b *testing.B) {
			z := &zone{size: s, workers: map[ident.WorkerID]*stubWorker{}, peers: map[ident.HostID]*member.Digest{}}
			z.layOut()
			for b.Loop() {
				to := peersOf(z.listing)
				steps, most := 0, 0
				for host := range to {
					steps = max(steps, stepsFrom(host, to))
					most = max(most, len(to[host]))
				}
				b.ReportMetric(float64(steps), "steps")
				b.ReportMetric(float64(most), "peers")
			}
		})
	}
}

// peersOf lists to whom each host sends its digests.
func peersOf(listing ports.Listing) map[ident.HostID][]ident.HostID {
	to := map[ident.HostID][]ident.HostID{}
	for _, h := range listing.Hosts {
		m := member.New(member.Options{Self: ident.Holder{Host: h.Host, Incarnation: 1}, Zone: h.Zone})
		m.Step(0, member.ListRead{Listing: ports.Listing{Hosts: listing.Hosts}})
		for _, cmd := range m.Step(tickEvery, member.Tick{}) {
			if d, ok := cmd.(member.SendDigest); ok {
				to[h.Host] = append(to[h.Host], d.Host)
			}
		}
	}
	return to
}

// stepsFrom counts the steps until everyone has the news of one host.
func stepsFrom(first ident.HostID, to map[ident.HostID][]ident.HostID) int {
	known := map[ident.HostID]bool{first: true}
	steps := 0
	for edge := []ident.HostID{first}; len(edge) > 0; steps++ {
		var next []ident.HostID
		for _, host := range edge {
			for _, peer := range to[host] {
				if !known[peer] {
					known[peer] = true
					next = append(next, peer)
				}
			}
		}
		edge = next
	}
	return steps - 1
}
