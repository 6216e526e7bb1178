package host

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// manyHelpers returns the helpers of a region of that many hosts, all alike but for
// strong ones.
func manyHelpers(hosts int, strong ...int) *helpers {
	return manyHelpersOf(newHelpers(25e6), hosts, strong...)
}

func manyHelpersOf(h *helpers, hosts int, strong ...int) *helpers {
	for i := range hosts {
		h.ping(&hostrpc.PingRequest{Host: fmt.Sprintf("h%03d", i), Address: fmt.Sprintf("10.0.%d.%d:8180", i/250, i%250), MilliCpu: 200, LinkBps: 2e6, MemoryMib: 200})
	}
	for _, i := range strong {
		p := h.seen[fmt.Sprintf("h%03d", i)]
		p.strength = strength{milliCPU: 800, linkBps: 2e7, memoryMiB: 500}
		p.rank = p.over(strength{})
	}
	return h
}

// A leader of hundreds of hosts sends all their addresses to each of them several times a
// second: its link is full of them. What pings cost a leader must not grow with its hosts.
func TestPingsOfManyHosts(t *testing.T) {
	cost := func(hosts int) (perSecond float64, bytes int) {
		h := manyHelpers(hosts)
		resp := &hostrpc.PingResponse{Leading: true}
		h.answerPing(resp)
		return float64(hosts) * 1000 / float64(resp.NextMs), proto.Size(resp)
	}
	for _, hosts := range []int{97, 300, 1000} {
		perSecond, bytes := cost(hosts)
		if perSecond > 1.01*mostPings {
			t.Errorf("%d hosts: %.0f pings a second, want at most %d", hosts, perSecond, mostPings)
		}
		if _, few := cost(20); bytes > 2*few {
			t.Errorf("%d hosts: an answer has %d bytes, with 20 hosts %d", hosts, bytes, few)
		}
	}
	if perSecond, _ := cost(9); perSecond < 9/pingEvery.Seconds()-1 {
		t.Errorf("9 hosts: %.0f pings a second", perSecond)
	}
}

// A leader behind a link of 2 Mbit/s spends a fifth of it on pings of eighteen hosts.
func TestPingsOverANarrowLink(t *testing.T) {
	const linkBps = 250e3
	h := manyHelpersOf(newHelpers(linkBps), 18)
	resp := &hostrpc.PingResponse{}
	h.answerPing(resp)
	if used := 18 * pingBytes * 1000 / float64(resp.NextMs); used > 1.2*pingShare*linkBps {
		t.Errorf("pings take %.0f bytes a second of %.0f", used, linkBps)
	}
}

// Every host is told of some others sooner or later, so that it can ask one when the
// leader is gone.
func TestAddressesTakeTurns(t *testing.T) {
	h := manyHelpers(50)
	told := make(map[string]bool)
	for range 50 {
		resp := &hostrpc.PingResponse{}
		h.answerPing(resp)
		for _, a := range resp.Hosts {
			told[a] = true
		}
	}
	if len(told) != 50 {
		t.Errorf("%d of 50 addresses told", len(told))
	}
}

// A helper that is cut off would be asked for advice until its pings are missed, which in
// a large region takes seconds.
func TestHelperThatCannotBeReached(t *testing.T) {
	h := manyHelpers(3)
	h.lost("h001")
	if names := h.names(); len(names) != 3 {
		t.Errorf("%v are asked for advice", names)
	}
	h.ping(&hostrpc.PingRequest{Host: "h001"})
	if names := h.names(); len(names) != 4 {
		t.Errorf("%v are asked for advice after its next ping", names)
	}
}

// Strength counts processor, link and memory: of two hosts with the same processor the one
// with the wider link leads.
func TestStrongestComeFirst(t *testing.T) {
	h := manyHelpers(90, 40, 70)
	resp := &hostrpc.PingResponse{}
	h.answerPing(resp)
	if len(resp.Successors) != successorsNamed || resp.Successors[0] != "10.0.0.70:8180" || resp.Successors[1] != "10.0.0.40:8180" {
		t.Errorf("successors %v", resp.Successors)
	}
	weak := strength{milliCPU: 200, linkBps: 2e6, memoryMiB: 200}
	if !h.stronger(weak) || h.stronger(strength{milliCPU: 800, linkBps: 2e7, memoryMiB: 500}) {
		t.Error("hand-over to a host that is no stronger, or none to one that is")
	}
	if wide := (strength{milliCPU: 200, linkBps: 2e7, memoryMiB: 200}); wide.over(weak) < muchStronger || weak.over(wide) > 1 {
		t.Error("the width of the link does not count")
	}
}

// Most hosts of a large region are small, and one of them notices first that the leader is
// gone. It has not the processor or the link to lead, and everything waits until it has
// handed over. It asks a strong host to claim instead.
func TestSmallHostNominates(t *testing.T) {
	f := newFleet(t, 2, 0, time.Hour)
	first := f.leader()
	f.until("the leader knows the other", func() bool { return len(first.helpers.alive()) == 1 })
	strong, small := f.otherThan(first), f.addWith("small", "limits.cpuShare=0.1")
	f.until("the small host has read the claim", func() bool { claim, _ := small.election.current(); return claim != nil })
	_, fence := small.election.current()
	small.election.mu.Lock()
	small.election.successors = []string{"127.0.0.1:1", strong.settings.Control}
	small.election.mu.Unlock()
	f.until("the strong host leads", func() bool {
		return small.election.nominate(context.Background(), fence) || strong.election.leading() != nil
	})
	if small.election.leading() != nil {
		t.Error("the small host leads")
	}
	if _, fence := strong.election.current(); strong.election.nominate(context.Background(), fence) {
		t.Error("a host that leads nominates")
	}
}

// Takeovers follow one another, each new leader being taken for gone before it is heard. The
// silence that another one needs grows with them, and shrinks when they are long past.
func TestTakeoversConverge(t *testing.T) {
	e := newElection(New(platform.Settings{}, telemetry.Discard()))
	now := time.Hour
	e.claimTimes = []time.Duration{now}
	if got := e.patience(now); got != silence {
		t.Errorf("%v after one takeover, want %v", got, silence)
	}
	last := silence
	for range mostDoublings {
		e.claimTimes = append(e.claimTimes, now)
		got := e.patience(now)
		if got != 2*last {
			t.Errorf("%v after %d takeovers, want %v", got, len(e.claimTimes), 2*last)
		}
		last = got
	}
	e.claimTimes = append(e.claimTimes, now)
	if got := e.patience(now); got != last {
		t.Errorf("%v without a bound", got)
	}
	if got := e.patience(now + 2*claimMemory); got != silence {
		t.Errorf("%v long after, want %v", got, silence)
	}
}

// Guards against a host that is taken for gone because the advice service is slow to answer
// it: it would be back with its next ping, and be asked as if nothing were known of it.
func TestAdviceOutOfTimeKeepsItsHost(t *testing.T) {
	timeout := connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
	gone := connect.NewError(connect.CodeUnavailable, syscall.ECONNREFUSED)
	for _, tc := range []struct {
		err             error
		listed, notSent bool
	}{{timeout, true, false}, {gone, false, true}} {
		h := &Host{helpers: manyHelpers(2)}
		if got := platform.IsNotSent(h.adviceFailed("h000", tc.err)); got != tc.notSent {
			t.Errorf("%v: not sent is %v, want %v", tc.err, got, tc.notSent)
		}
		if _, listed := h.helpers.address("h000"); listed != tc.listed {
			t.Errorf("%v: listed is %v, want %v", tc.err, listed, tc.listed)
		}
	}
}
