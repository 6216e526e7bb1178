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
	"github.com/fireflyfold/fireflyfold/succession"
	"github.com/fireflyfold/fireflyfold/telemetry"
)

// manyHelpers returns a list of the given number of helpers. All have the same small
// capacity, except for those whose indexes are in large.
func manyHelpers(hosts int, large ...int) *helpers {
	return manyHelpersOf(newHelpers(25e6), hosts, large...)
}

func manyHelpersOf(h *helpers, hosts int, large ...int) *helpers {
	for i := range hosts {
		h.recordPing(&hostrpc.PingRequest{Host: fmt.Sprintf("h%03d", i), Address: fmt.Sprintf("10.0.%d.%d:8180", i/250, i%250), MilliCpu: 200, LinkBps: 2e6, MemoryMib: 200})
	}
	for _, i := range large {
		p := h.byName[fmt.Sprintf("h%03d", i)]
		p.capacity = succession.Capacity{MilliCPU: 800, LinkBps: 2e7, MemoryMiB: 500}
		p.rank = p.capacity.RatioTo(succession.Capacity{})
	}
	return h
}

// A leader of hundreds of hosts that sent all addresses to each of them several times a
// second would saturate its link. The cost of pings must not grow with the hosts.
func TestPingLoadIsBoundedWithManyHosts(t *testing.T) {
	cost := func(hosts int) (perSecond float64, bytes int) {
		h := manyHelpers(hosts)
		resp := &hostrpc.PingResponse{Leading: true}
		h.fillPingResponse(resp)
		return float64(hosts) * 1000 / float64(resp.NextMs), proto.Size(resp)
	}
	for _, hosts := range []int{97, 300, 1000} {
		perSecond, bytes := cost(hosts)
		if perSecond > 1.01*maxPingRate {
			t.Errorf("%d hosts: %.0f pings a second, want at most %d", hosts, perSecond, maxPingRate)
		}
		if _, few := cost(20); bytes > 2*few {
			t.Errorf("%d hosts: an answer has %d bytes, with 20 hosts %d", hosts, bytes, few)
		}
	}
	if perSecond, _ := cost(9); perSecond < 9/minPingInterval.Seconds()-1 {
		t.Errorf("9 hosts: %.0f pings a second", perSecond)
	}
}

// Without the bound, pings from eighteen hosts took a fifth of a leader's link of
// 2 Mbit/s.
func TestPingLoadIsBoundedOnNarrowLink(t *testing.T) {
	const linkBps = 250e3
	h := manyHelpersOf(newHelpers(linkBps), 18)
	resp := &hostrpc.PingResponse{}
	h.fillPingResponse(resp)
	if used := 18 * pingBytes * 1000 / float64(resp.NextMs); used > 1.2*pingLinkShare*linkBps {
		t.Errorf("pings take %.0f bytes a second of %.0f", used, linkBps)
	}
}

// Ping responses must rotate through all addresses. A host needs the address of some
// other host when the leader has failed.
func TestPingResponsesRotateAddresses(t *testing.T) {
	h := manyHelpers(50)
	sent := make(map[string]bool)
	for range 50 {
		resp := &hostrpc.PingResponse{}
		h.fillPingResponse(resp)
		for _, a := range resp.Hosts {
			sent[a] = true
		}
	}
	if len(sent) != 50 {
		t.Errorf("%d of 50 addresses sent", len(sent))
	}
}

// Without removal, an unreachable helper would be asked for advice until its pings are
// overdue, which takes seconds in a large region.
func TestUnreachableHelperIsRemovedUntilNextPing(t *testing.T) {
	h := manyHelpers(3)
	h.remove("h001")
	if names := h.names(); len(names) != 3 {
		t.Errorf("%v are asked for advice", names)
	}
	h.recordPing(&hostrpc.PingRequest{Host: "h001"})
	if names := h.names(); len(names) != 4 {
		t.Errorf("%v are asked for advice after its next ping", names)
	}
}

// Capacity covers CPU, link and memory: of two hosts with the same CPU, the one with the
// wider link leads.
func TestSuccessorsAreOrderedByCapacity(t *testing.T) {
	h := manyHelpers(90, 40, 70)
	resp := &hostrpc.PingResponse{}
	h.fillPingResponse(resp)
	if len(resp.Successors) != maxSuccessors || resp.Successors[0] != "10.0.0.70:8180" || resp.Successors[1] != "10.0.0.40:8180" {
		t.Errorf("successors %v", resp.Successors)
	}
	small := succession.Capacity{MilliCPU: 200, LinkBps: 2e6, MemoryMiB: 200}
	if !h.hasLarger(small) || h.hasLarger(succession.Capacity{MilliCPU: 800, LinkBps: 2e7, MemoryMiB: 500}) {
		t.Error("hand-over to a host that is no larger, or none to one that is")
	}
	if wide := (succession.Capacity{MilliCPU: 200, LinkBps: 2e7, MemoryMiB: 200}); wide.RatioTo(small) < succession.HandOverRatio || small.RatioTo(wide) > 1 {
		t.Error("the bandwidth of the link is ignored")
	}
}

// In a large region most hosts are small, and a small one is likely to detect the loss of
// the leader first. It lacks the CPU and link to lead, and all work would wait until it has
// handed over. It must ask a large host to claim instead.
func TestSmallHostNominatesLargerSuccessor(t *testing.T) {
	f := newTestRegion(t, 2, 0, time.Hour)
	first := f.leader()
	f.waitUntil("the leader knows the other", func() bool { return len(first.helpers.alive()) == 1 })
	large, small := f.lastOther(first), f.addWith("small", "limits.cpuShare=0.1")
	f.waitUntil("the small host has read the claim", func() bool { claim, _ := small.election.newestClaim(); return claim != nil })
	_, fence := small.election.newestClaim()
	small.election.mu.Lock()
	small.election.successors = []string{"127.0.0.1:1", large.settings.Control}
	small.election.mu.Unlock()
	f.waitUntil("the large host leads", func() bool {
		return small.election.nominate(context.Background(), fence) || large.election.localLeader() != nil
	})
	if small.election.localLeader() != nil {
		t.Error("the small host leads")
	}
	if _, fence := large.election.newestClaim(); large.election.nominate(context.Background(), fence) {
		t.Error("the leader nominated another host")
	}
}

// Takeovers repeat if each new leader counts as failed before its first entries are
// read. The election timeout grows with recent takeovers and shrinks again later.
func TestElectionTimeoutGrowsWithRecentTakeovers(t *testing.T) {
	e := newElection(New(platform.Settings{}, telemetry.Discard()))
	now := time.Hour
	e.recentClaims = []time.Duration{now}
	if got := e.currentElectionTimeout(now); got != baseElectionTimeout {
		t.Errorf("%v after one takeover, want %v", got, baseElectionTimeout)
	}
	last := baseElectionTimeout
	for range maxTimeoutDoublings {
		e.recentClaims = append(e.recentClaims, now)
		got := e.currentElectionTimeout(now)
		if got != 2*last {
			t.Errorf("%v after %d takeovers, want %v", got, len(e.recentClaims), 2*last)
		}
		last = got
	}
	e.recentClaims = append(e.recentClaims, now)
	if got := e.currentElectionTimeout(now); got != last {
		t.Errorf("%v after one more takeover, which exceeds the bound", got)
	}
	if got := e.currentElectionTimeout(now + 2*recentClaimWindow); got != baseElectionTimeout {
		t.Errorf("%v after the claims expired, want %v", got, baseElectionTimeout)
	}
}

// A slow advice service must not remove the host that called it from the helpers: the host
// would be listed again at its next ping, as a new one without history.
func TestAdviceTimeoutKeepsHelper(t *testing.T) {
	timeout := connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
	refused := connect.NewError(connect.CodeUnavailable, syscall.ECONNREFUSED)
	for _, tc := range []struct {
		err             error
		listed, notSent bool
	}{{timeout, true, false}, {refused, false, true}} {
		h := &Host{helpers: manyHelpers(2)}
		if got := platform.IsNotSent(h.classifyAdviceError("h000", tc.err)); got != tc.notSent {
			t.Errorf("%v: not sent is %v, want %v", tc.err, got, tc.notSent)
		}
		if _, listed := h.helpers.address("h000"); listed != tc.listed {
			t.Errorf("%v: listed is %v, want %v", tc.err, listed, tc.listed)
		}
	}
}

// Guards against a leader that sorts all hosts for each tick of its scheduler.
func TestUnchangedHelpersAreNotListedAgain(t *testing.T) {
	h := newHelpers(1e9)
	for i := range 600 {
		h.recordPing(&hostrpc.PingRequest{Host: fmt.Sprintf("h%03d", i), Address: "10.0.0.1:1", Incarnation: "a"})
	}
	if n := testing.AllocsPerRun(100, func() { h.names(); h.alive(); h.successors() }); n != 0 {
		t.Errorf("%v allocations for lists of 600 unchanged helpers, want none", n)
	}
	before := len(h.names())
	h.remove("h007")
	if n := len(h.names()); n != before-1 {
		t.Errorf("%d hosts are listed after one of %d was removed", n, before)
	}
}
