package localfleet_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/fleet"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/standin"
)

// BenchmarkSpread measures how long a change of the configuration takes, from
// the moment the log has it, until each of nine hosts has it in force: with the
// log reachable for all, and with one zone that reaches its peers but not the
// platform.
func BenchmarkSpread(b *testing.B) {
	b.Run("log-up", func(b *testing.B) { benchmarkSpread(b, func(*localfleet.Fleet) {}) })
	b.Run("zone-without-log", func(b *testing.B) {
		benchmarkSpread(b, func(f *localfleet.Fleet) {
			zone := f.Platform.Layout.Zones[2].Zone
			if err := f.Platform.Network.SetPlatform(zone, standin.RelayFaults{Cut: true}); err != nil {
				b.Fatal(err)
			}
		})
	})
}

func benchmarkSpread(b *testing.B, fault func(*localfleet.Fleet)) {
	f, err := localfleet.Start(context.Background(), localfleet.Options{Layout: standin.Rosenau()})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	untilConfigured(b, f, time.Now())
	fault(f)
	var spread []time.Duration
	limit := int64(100)
	b.ResetTimer()
	for b.Loop() {
		limit++
		team := ident.TeamID(fmt.Sprintf("team-%d", limit))
		start := time.Now()
		if err := f.Change(fleet.Intent{Teams: []fleet.WantTeam{{Team: team, Limit: &limit}}}); err != nil {
			b.Fatal(err)
		}
		spread = append(spread, untilConfigured(b, f, start)...)
	}
	slices.Sort(spread)
	b.ReportMetric(spread[len(spread)/2].Seconds()*1e3, "p50-ms")
	b.ReportMetric(spread[len(spread)-1].Seconds()*1e3, "max-ms")
}

// untilConfigured returns how long after start each host had in force all that
// the log holds now.
func untilConfigured(b *testing.B, f *localfleet.Fleet, start time.Time) []time.Duration {
	b.Helper()
	page, _, err := f.Platform.Log.Read(f.Platform.Now(), engine.ConfigStream, 0, 1)
	if err != nil {
		b.Fatal(err)
	}
	offset := page.Last
	hosts := f.Hosts()
	took := make([]time.Duration, 0, len(hosts))
	reached := map[ident.HostID]bool{}
	for len(took) < len(hosts) {
		if time.Since(start) > testTimeout {
			b.Fatalf("only %d of %d hosts reached offset %d", len(took), len(hosts), offset)
		}
		for _, m := range hosts {
			if !reached[m.ID] && m.Host.ConfigOffset() >= offset {
				reached[m.ID] = true
				took = append(took, time.Since(start))
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
	return took
}
