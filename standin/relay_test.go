package standin

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// A zone loses its way to the platform for a while. A write during a reset
// fails, a write whose answer vanishes is open, and a write that was held
// back arrives late and is still answered.
func TestRelayFaultsAsAWriterSeesThem(t *testing.T) {
	p := startPlatform(t)
	zone := ident.Zone("oberbayern-1")
	log := ports.NewHTTPLog(p.ZoneAddr(zone), ports.NewHTTPClient())
	ctx := context.Background()
	write := func(ctx context.Context, data string) error {
		_, err := log.Append(ctx, "s", [][]byte{[]byte(data)})
		return err
	}
	set := func(f RelayFaults) {
		t.Helper()
		if err := p.Network.SetPlatform(zone, f); err != nil {
			t.Fatal(err)
		}
	}
	if err := write(ctx, "through"); err != nil {
		t.Fatal(err)
	}
	set(RelayFaults{Cut: true})
	if err := write(ctx, "cut"); err == nil {
		t.Error("a write went through a cut relay")
	}
	set(RelayFaults{DropAnswers: true})
	short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	wantAs[*ports.UncertainError](t, write(short, "unanswered"))
	set(RelayFaults{Hang: true})
	done := make(chan error, 1)
	go func() { done <- write(ctx, "late") }()
	select {
	case err := <-done:
		t.Fatalf("a hanging relay answered %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	set(RelayFaults{})
	if err := <-done; err != nil {
		t.Error(err)
	}
	page, _, err := p.Log.Read(p.Now(), "s", 0, 10)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range page.Records {
		got = append(got, string(r.Data))
	}
	if len(got) != 3 || got[0] != "through" || got[1] != "unanswered" || got[2] != "late" {
		t.Errorf("the log holds %q", got)
	}
}

// What entry hosts cost is counted where it passes: a kilobyte into the log
// counts for the zone's way to the platform, a lease for the workers.
func TestTrafficIsCountedWhereItPasses(t *testing.T) {
	p := startPlatform(t)
	client := ports.NewHTTPClient()
	record := make([]byte, 1<<10)
	if _, err := ports.NewHTTPLog(p.ZoneAddr("oberbayern-1"), client).Append(context.Background(), "s", [][]byte{record}); err != nil {
		t.Fatal(err)
	}
	after := p.Traffic()
	if after.Platform < 1<<10 || after.Workers != 0 {
		t.Errorf("after an append: %+v", after)
	}
	callTo(t, p, ports.NewHTTPWorkers(client))
	if got := p.Traffic(); got.Workers == 0 || got.Platform != after.Platform {
		t.Errorf("after a lease: %+v", got)
	}
}

// A host asks for the list every second, and the list rarely changes. Only a
// change may be sent, and it must be seen at the next question.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	layout := smallLayout()
	layout.HostLag = 0
	p := NewPlatform(layout, "")
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	list := ports.NewHTTPHostList(p.ZoneAddr("oberbayern-1"), ports.NewHTTPClient())
	ask := func() (ports.Listing, int64) {
		t.Helper()
		before := p.Traffic().Platform
		listing, err := list.List(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return listing, p.Traffic().Platform - before
	}
	first, whole := ask()
	again, spared := ask()
	if len(first.Workers) != 1 || len(again.Workers) != 1 {
		t.Fatalf("listed %d and then %d workers", len(first.Workers), len(again.Workers))
	}
	if spared >= whole {
		t.Errorf("%d bytes for an unchanged list after %d for the whole", spared, whole)
	}
	if err := p.MarkLeaving(first.Workers[0].Worker); err != nil {
		t.Fatal(err)
	}
	if changed, _ := ask(); changed.Workers[0].State != ports.StateLeaving {
		t.Errorf("the change was not seen: %+v", changed.Workers)
	}
}

// Two zones are cut off from each other and both still reach the platform. A
// host must see its peer of the other zone at an address that can be cut, and
// its peers at home at their own.
func TestZonesSeeEachOtherThroughRelays(t *testing.T) {
	layout := smallLayout()
	layout.HostLag = 0
	layout.Zones = append(layout.Zones, ZoneLayout{Zone: "oberbayern-2", Workers: 1, Hosts: 1})
	p := NewPlatform(layout, "")
	if err := p.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	// The peer endpoint of the host is played by a worker of the other zone.
	peer := p.WorkerAddr("oberbayern-2-w01")
	p.ChangeHosts(HostChange{Hosts: []ports.HostEntry{{Host: "h2", Zone: "oberbayern-2", Addr: peer, State: ports.StateLive}}})
	seenFrom := func(zone ident.Zone) string {
		t.Helper()
		listing, err := ports.NewHTTPHostList(p.ZoneAddr(zone), ports.NewHTTPClient()).List(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return listing.Hosts[0].Addr
	}
	if got := seenFrom("oberbayern-2"); got != peer {
		t.Errorf("at home the host is listed at %s, want %s", got, peer)
	}
	relayed := seenFrom("oberbayern-1")
	workers := ports.NewHTTPWorkers(ports.NewHTTPClient())
	ask := func() error {
		return workers.Release(context.Background(), relayed, ports.ClassSlots, 0)
	}
	wantRefused(t, ask(), ports.RefusedEpoch)
	p.Network.SetBetween("oberbayern-1", "oberbayern-2", RelayFaults{Cut: true})
	var answered *ports.RefusedError
	if err := ask(); err == nil || errors.As(err, &answered) {
		t.Errorf("a cut zone answered %v", err)
	}
	if got := seenFrom("oberbayern-1"); got != relayed {
		t.Errorf("the address moved from %s to %s", relayed, got)
	}
	p.Network.SetBetween("oberbayern-1", "oberbayern-2", RelayFaults{})
	wantRefused(t, ask(), ports.RefusedEpoch)
}
