package host

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
)

const (
	// pingEvery is the shortest interval between a host's pings to the leader. It
	// applies unless the leader has asked for a longer one.
	pingEvery = 300 * time.Millisecond
	// mostPings and leastPings bound the pings per second that a leader takes from all
	// hosts together. With more hosts each pings less often; the loss of the leader is
	// still detected in time by one of them.
	mostPings  = 60
	leastPings = 8
	// pingBytes is what a ping and its response take of a leader's link, and pingShare
	// the fraction of the link that all pings may use.
	pingBytes = 700
	pingShare = 0.02
	// helperPings is the number of ping intervals without a ping after which a helper
	// is dropped, and helperSlack the grace period added to them.
	helperPings = 3
	helperSlack = 600 * time.Millisecond
	// successorsNamed is the largest number of preferred successors that a leader
	// sends to the other hosts.
	successorsNamed = 4
	// addressSample is the largest number of host addresses in the response to a ping.
	// With all addresses in each response, traffic would grow with the square of the
	// number of hosts.
	addressSample = 6
)

// helpers tracks the hosts that ping this one while it leads.
type helpers struct {
	mu   sync.Mutex
	seen map[string]*helper
	turn int // index of the last address sent in a response
	rate int // pings per second from all hosts together
}

type helper struct {
	name    string
	address string
	first   time.Duration // time of the first ping from this incarnation
	until   time.Duration // when it is dropped unless it pings again
	inc     string
	strength
	rank float64 // capacity as one number; larger is better
}

// newHelpers returns an empty list for a leader whose link carries linkBps bytes
// per second.
func newHelpers(linkBps int64) *helpers {
	rate := int(min(pingShare*float64(linkBps)/pingBytes, mostPings))
	return &helpers{seen: make(map[string]*helper), rate: max(rate, leastPings)}
}

func (h *helpers) ping(r *hostrpc.PingRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Leaving {
		delete(h.seen, r.Host)
		return
	}
	now := boottime.Now()
	every := h.pingPause()
	p, ok := h.seen[r.Host]
	if !ok || p.inc != r.Incarnation {
		p = &helper{name: r.Host, address: r.Address, first: now, inc: r.Incarnation, strength: strength{r.MilliCpu, r.LinkBps, r.MemoryMib}}
		p.rank = p.over(strength{})
		h.seen[r.Host] = p
	}
	p.until = now + helperPings*every + helperSlack
}

// pingPause returns the interval at which each host is to ping the leader.
func (h *helpers) pingPause() time.Duration {
	return max(pingEvery, time.Duration(len(h.seen))*time.Second/time.Duration(h.rate))
}

// answerPing fills in the response to a ping: the time until the host's next ping,
// addresses of a few other hosts, and the preferred successors of the leader.
func (h *helpers) answerPing(resp *hostrpc.PingResponse) {
	alive, next := h.alive(), h.successors()
	for _, p := range next[:min(len(next), successorsNamed)] {
		resp.Successors = append(resp.Successors, p.address)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for range min(addressSample, len(alive)) {
		h.turn++
		resp.Hosts = append(resp.Hosts, alive[h.turn%len(alive)].address)
	}
	resp.NextMs = h.pingPause().Milliseconds()
}

// lost removes a host that cannot be reached until it pings again.
func (h *helpers) lost(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.seen, name)
}

func (h *helpers) alive() []*helper {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*helper
	now := boottime.Now()
	for name, p := range h.seen {
		if now > p.until {
			delete(h.seen, name)
			continue
		}
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// names returns "", which stands for this host, followed by the helpers' names in
// ascending order.
func (h *helpers) names() []string {
	out := []string{""}
	for _, p := range h.alive() {
		out = append(out, p.name)
	}
	return out
}

func (h *helpers) address(name string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.seen[name]
	if !ok {
		return "", false
	}
	return p.address, true
}

// strength holds the resources of a host that matter for leading: thousandths of a
// core, bytes per second of its link, and mebibytes of memory.
type strength struct{ milliCPU, linkBps, memoryMiB int64 }

// over returns the ratio of s to o: the geometric mean of the ratios of the three
// resources, which does not depend on their units.
func (s strength) over(o strength) float64 {
	ratio := func(a, b int64) float64 { return float64(max(a, 1)) / float64(max(b, 1)) }
	return math.Cbrt(ratio(s.milliCPU, o.milliCPU) * ratio(s.linkBps, o.linkBps) * ratio(s.memoryMiB, o.memoryMiB))
}

// successors returns the helpers in the order in which they are asked to take over:
// by descending rank, and among equals the one that started last. In a rolling
// restart that one is the least likely to be stopped next.
func (h *helpers) successors() []*helper {
	out := h.alive()
	slices.SortStableFunc(out, func(a, b *helper) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.first, a.first))
	})
	return out
}

// stronger reports whether some helper exceeds the given host by at least the
// factor muchStronger and should lead instead.
func (h *helpers) stronger(than strength) bool {
	for _, p := range h.alive() {
		if p.over(than) >= muchStronger {
			return true
		}
	}
	return false
}
