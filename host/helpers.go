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
	// pingEvery is how often a host asks the leader for a sign of life, in a region
	// where no leader has asked for less.
	pingEvery = 300 * time.Millisecond
	// mostPings and leastPings bound how many pings a second a leader takes from all hosts
	// together. With more hosts each pings less often: some other one notices all the same.
	mostPings  = 60
	leastPings = 8
	// pingBytes is what a ping and its answer take of a leader's link, and pingShare what all
	// of them may take.
	pingBytes = 700
	pingShare = 0.02
	// helperPings is how many pings a helper may miss, and helperSlack how late the next
	// one may be.
	helperPings = 3
	helperSlack = 600 * time.Millisecond
	// successorsNamed is how many hosts a leader names that should lead after it.
	successorsNamed = 4
	// addressSample is how many addresses of other hosts the answer to a ping holds.
	// All of them in each answer would cost bytes with the square of the hosts.
	addressSample = 6
)

// helpers are the hosts that have pinged this one, as the leader.
type helpers struct {
	mu   sync.Mutex
	seen map[string]*helper
	turn int // of the addresses told
	rate int // pings a second from all of them together
}

type helper struct {
	name    string
	address string
	first   time.Duration // when it was first seen in this incarnation
	until   time.Duration // when it no longer counts without another ping
	inc     string
	strength
	rank float64 // by strength
}

// newHelpers returns the helpers of a host whose link carries linkBps bytes a second.
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

// pingPause is how long the leader wants a host to wait before its next ping.
func (h *helpers) pingPause() time.Duration {
	return max(pingEvery, time.Duration(len(h.seen))*time.Second/time.Duration(h.rate))
}

// answerPing fills in the answer to a ping: how long the host is to wait before its next
// one, addresses of a few others, and who should lead next.
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

// lost takes a host that cannot be reached off the list until it pings again.
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

// names returns the helpers' names in order, after this host's own, "".
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

// strength is what a host may use of what leading takes: thousandths of a core, bytes a
// second of its link, and mebibytes.
type strength struct{ milliCPU, linkBps, memoryMiB int64 }

// over returns how many times as much a host has as another one: the mean of the three
// ratios, so that a host with more of everything is stronger whatever the units.
func (s strength) over(o strength) float64 {
	ratio := func(a, b int64) float64 { return float64(max(a, 1)) / float64(max(b, 1)) }
	return math.Cbrt(ratio(s.milliCPU, o.milliCPU) * ratio(s.linkBps, o.linkBps) * ratio(s.memoryMiB, o.memoryMiB))
}

// successors returns the helpers in the order in which they are asked to take
// over: the strongest first, and among equals the one that started last. In a rolling
// restart it is the least likely to be stopped next.
func (h *helpers) successors() []*helper {
	out := h.alive()
	slices.SortStableFunc(out, func(a, b *helper) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.first, a.first))
	})
	return out
}

// stronger reports whether some helper is so much stronger that it should lead instead.
func (h *helpers) stronger(than strength) bool {
	for _, p := range h.alive() {
		if p.over(than) >= muchStronger {
			return true
		}
	}
	return false
}
