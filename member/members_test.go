package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

const testZone ident.Zone = "z1"

func listing(workers int, hosts ...ident.HostID) ports.Listing {
	var l ports.Listing
	for _, h := range hosts {
		l.Hosts = append(l.Hosts, ports.HostEntry{Host: h, Zone: testZone, Addr: string(h) + ":1", State: ports.StateLive})
	}
	for i := range workers {
		l.Workers = append(l.Workers, ports.WorkerEntry{Worker: ident.WorkerID(fmt.Sprintf("w%03d", i)), Zone: testZone, State: ports.StateLive})
	}
	return l
}

// world is one Members with what it wants, and the peers that speak to it.
type world struct {
	t     *testing.T
	m     *Members
	now   time.Duration
	wants map[Want]bool
	seq   uint64
	sent  []SendDigest
	moved int // wants given up
}

func newWorld(t *testing.T, self ident.HostID) *world {
	return &world{
		t:     t,
		m:     New(Options{Self: ident.Holder{Host: self, Incarnation: 1}, Zone: testZone, Addr: string(self) + ":1"}),
		wants: make(map[Want]bool),
	}
}

func (w *world) step(ev Event) {
	for _, cmd := range w.m.Step(w.now, ev) {
		switch cmd := cmd.(type) {
		case Want:
			key := cmd
			key.Wanted = true
			w.wants[key] = cmd.Wanted
			if !cmd.Wanted {
				w.moved++
			}
		case SendDigest:
			w.sent = append(w.sent, cmd)
		}
	}
}

// pass lets time go by; the given hosts are heard every second.
func (w *world) pass(d time.Duration, alive ...ident.HostID) {
	const tick = 250 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += tick {
		if w.now%time.Second == 0 {
			for _, h := range alive {
				w.hear(ident.Holder{Host: h, Incarnation: 1})
			}
		}
		w.step(Tick{})
	}
}

func (w *world) hear(holder ident.Holder) {
	w.seq++
	w.step(DigestReceived{Digest: Digest{Holder: holder, Zone: testZone, Addr: string(holder.Host) + ":1", Seq: w.seq}})
}

func (w *world) owned(class ports.LeaseClass) int {
	n := 0
	for want, wanted := range w.wants {
		if wanted && want.Class == class {
			n++
		}
	}
	return n
}

func (w *world) wantOwned(want int) {
	w.t.Helper()
	if got := w.owned(ports.ClassSlots); got != want {
		w.t.Errorf("at %v: owns %d workers, want %d", w.now, got, want)
	}
}

// share returns how many of the workers belong to self among the hosts.
func share(workers int, self ident.HostID, hosts ...ident.HostID) int {
	n := 0
	for _, w := range listing(workers).Workers {
		if Winner(string(w.Worker), hosts) == self {
			n++
		}
	}
	return n
}

// The list shows a host as live long after it died. Its workers must get an
// owner all the same, a bound after its last sign of life.
func TestListedButDead(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(90, "a", "b", "c")})
	w.pass(10*time.Second, "b", "c")
	w.wantOwned(share(90, "a", "a", "b", "c"))
	w.pass(5*time.Second, "c")
	w.wantOwned(share(90, "a", "a", "c"))
	w.step(ListRead{Listing: listing(90, "a", "b", "c")})
	w.pass(5*time.Second, "c")
	w.wantOwned(share(90, "a", "a", "c"))
}

// The list drops a host that is alive. Its workers must stay with it.
func TestDroppedButAlive(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(90, "a", "b")})
	w.pass(10*time.Second, "b")
	before := w.owned(ports.ClassSlots)
	w.step(ListRead{Listing: listing(90, "a")})
	w.pass(10*time.Second, "b")
	w.wantOwned(before)
}

// The list shows a new host that never comes up. Workers that would belong to
// it must keep their owner, or they would serve nobody.
func TestListedButNeverUp(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(90, "a")})
	w.pass(5 * time.Second)
	w.wantOwned(90)
	w.step(ListRead{Listing: listing(90, "a", "ghost")})
	w.pass(time.Minute)
	w.wantOwned(90)
	if w.moved != 0 {
		t.Errorf("%d workers were given up for a host that was never heard", w.moved)
	}
}

// A host joins. Only the workers that it gains move, and not all at once.
func TestFewMovesAtABoundedPace(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(900, "a", "b")})
	w.pass(5*time.Second, "b")
	before := share(900, "a", "a", "b")
	after := share(900, "a", "a", "b", "c")
	w.moved = 0
	w.hear(ident.Holder{Host: "c", Incarnation: 1})
	w.pass(4*time.Second, "b", "c")
	if w.moved == 0 || w.moved > 40 {
		t.Errorf("%d workers moved within 4 s, want 1 to 40", w.moved)
	}
	w.pass(30*time.Second, "b", "c")
	if w.moved != before-after {
		t.Errorf("%d workers moved, want the %d that c gains", w.moved, before-after)
	}
}

// A host flaps: it is heard, then silent, then heard. No worker moves to it
// before it has stayed.
func TestFlappingHostMovesNothing(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(90, "a")})
	for range 5 {
		w.hear(ident.Holder{Host: "b", Incarnation: 1})
		w.pass(2 * time.Second)
		for range 3 {
			w.step(PeerFailed{Host: "b"})
		}
		w.pass(2 * time.Second)
	}
	if w.moved != 0 {
		t.Errorf("%d workers moved to a flapping host", w.moved)
	}
}

// This host is paused for a minute. When it wakes, every peer looks silent; it
// must not ask for the whole zone before they had time to speak.
func TestOwnPauseIsForgiven(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(90, "a", "b")})
	w.pass(10*time.Second, "b")
	before := w.owned(ports.ClassSlots)
	w.now += time.Minute
	w.step(Tick{})
	w.wantOwned(before)
	w.pass(10 * time.Second)
	w.wantOwned(90)
}

// A host restarts at its address while the list still shows its former life as
// leaving, and a late digest of that life comes in. The new life must count.
func TestRestartAtSameAddress(t *testing.T) {
	w := newWorld(t, "a")
	l := listing(90, "a", "b")
	l.Hosts[1].State = ports.StateLeaving
	w.step(ListRead{Listing: l})
	w.pass(10 * time.Second)
	w.wantOwned(90)
	for range 10 {
		w.hear(ident.Holder{Host: "b", Incarnation: 2})
		late := Digest{Holder: ident.Holder{Host: "b", Incarnation: 1}, Zone: testZone, Seq: 1, Draining: true}
		w.step(DigestReceived{Digest: late})
		w.hear(ident.Holder{Host: "b", Incarnation: 2})
		w.pass(time.Second)
	}
	w.wantOwned(share(90, "a", "a", "b"))
}

// A planned stop: a draining host wants nothing any more, at once, and tells
// its peers.
func TestDrainWantsNothing(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(90, "a", "b")})
	w.pass(5*time.Second, "b")
	w.sent = nil
	w.step(Drain{})
	w.wantOwned(0)
	if w.owned(ports.ClassCompute) != 0 || w.m.Scheduler() {
		t.Error("still scheduler after Drain")
	}
	if len(w.sent) != 1 || !w.sent[0].Digest.Draining {
		t.Errorf("sent %#v, want one draining digest", w.sent)
	}
}

// Exactly one host of a zone wants to be its scheduler once all agree.
func TestOneScheduler(t *testing.T) {
	schedulers := 0
	for _, self := range []ident.HostID{"a", "b", "c"} {
		w := newWorld(t, self)
		w.step(ListRead{Listing: listing(9, "a", "b", "c")})
		w.pass(10*time.Second, "a", "b", "c")
		if w.m.Scheduler() {
			schedulers++
			if got := w.owned(ports.ClassCompute); got != 9 {
				t.Errorf("scheduler wants %d workers, want 9", got)
			}
		} else if got := w.owned(ports.ClassCompute); got != 0 {
			t.Errorf("another host wants %d workers in the compute class", got)
		}
	}
	if schedulers != 1 {
		t.Errorf("%d schedulers, want 1", schedulers)
	}
}

// A worker disappears from the list for a while. As long as it answers it must
// keep its lease, because its tasks end with it.
func TestWorkerDroppedFromList(t *testing.T) {
	w := newWorld(t, "a")
	w.step(ListRead{Listing: listing(2, "a")})
	w.pass(time.Second)
	w.step(ListRead{Listing: listing(1, "a")})
	for range 60 {
		w.step(WorkerAnswered{Worker: "w001"})
		w.pass(time.Second)
	}
	w.wantOwned(2)
	w.pass(31 * time.Second)
	w.wantOwned(1)
}

// Digests go to all of the own zone and to a fixed few elsewhere, and the
// zones form a ring, so that news reaches every zone.
func TestBoundedFanOutReachesAll(t *testing.T) {
	const zones, perZone = 33, 10
	var l ports.Listing
	for z := range zones {
		for h := range perZone {
			l.Hosts = append(l.Hosts, ports.HostEntry{
				Host:  ident.HostID(fmt.Sprintf("z%02d-h%02d", z, h)),
				Zone:  ident.Zone(fmt.Sprintf("z%02d", z)),
				Addr:  "x",
				State: ports.StateLive,
			})
		}
	}
	reach := map[ident.Zone]map[ident.Zone]bool{}
	for _, self := range l.Hosts {
		m := New(Options{Self: ident.Holder{Host: self.Host, Incarnation: 1}, Zone: self.Zone})
		m.Step(0, ListRead{Listing: l})
		remote, own := 0, 0
		for _, cmd := range m.Step(time.Millisecond, Tick{}) {
			d, ok := cmd.(SendDigest)
			if !ok {
				continue
			}
			zone := m.hosts[d.Host].zone
			if zone == self.Zone {
				own++
				continue
			}
			remote++
			if reach[self.Zone] == nil {
				reach[self.Zone] = map[ident.Zone]bool{}
			}
			reach[self.Zone][zone] = true
		}
		if own != perZone-1 || remote != defaultRemotePeers {
			t.Fatalf("%s sends to %d of its zone and %d elsewhere", self.Host, own, remote)
		}
	}
	for z := range zones {
		zone := ident.Zone(fmt.Sprintf("z%02d", z))
		next := ident.Zone(fmt.Sprintf("z%02d", (z+1)%zones))
		if !reach[zone][next] {
			t.Errorf("no host of %s sends to the next zone", zone)
		}
	}
}
