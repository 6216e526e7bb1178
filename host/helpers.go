package host

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/succession"
)

const (
	// minPingInterval is the shortest interval between a host's pings to the leader. It
	// applies unless the leader has asked for a longer one.
	minPingInterval = 300 * time.Millisecond
	// maxPingRate and minPingRate bound the pings per second that a leader takes from all
	// hosts together. With more hosts each pings less often; the loss of the leader is
	// still detected in time by one of them.
	maxPingRate = 60
	minPingRate = 8
	// pingBytes is what a ping and its response take of a leader's link, and pingLinkShare
	// the fraction of the link that all pings may use.
	pingBytes     = 700
	pingLinkShare = 0.02
	// maxMissedPings is the number of ping intervals without a ping after which a helper
	// is dropped, and missedPingGrace the grace period added to them.
	maxMissedPings  = 3
	missedPingGrace = 600 * time.Millisecond
	// maxSuccessors is the largest number of preferred successors that a leader
	// sends to the other hosts.
	maxSuccessors = 4
	// minSuccessorRatio is the capacity that a successor has at least, relative to the leader. A
	// new leader knows only the hosts that pinged it first, which may be small ones; hosts to
	// which it names none keep the successors that the leader before has named.
	minSuccessorRatio = 1 / succession.HandOverRatio
	// maxSampledAddresses is the largest number of host addresses in the response to a ping.
	// With all addresses in each response, traffic would grow with the square of the
	// number of hosts.
	maxSampledAddresses = 6
)

// helpers tracks the hosts that ping this one while it leads.
type helpers struct {
	mu       sync.Mutex
	byName   map[string]*helper
	lastSent int // index of the last address sent in a response
	pingRate int // pings per second from all hosts together
	own      succession.Capacity

	// Lists of the helpers, built again after a change; nil until then. The scheduler asks
	// for the names at each tick.
	byNameOrder []*helper
	ranked      []*helper
	nameList    []string
	noneExpires time.Duration // until this time, no helper expires
}

type helper struct {
	name        string
	address     string
	firstPing   time.Duration // time of the first ping from this incarnation
	expiresAt   time.Duration // when it is dropped unless it pings again
	incarnation string
	capacity    succession.Capacity
	rank        float64 // capacity as one number; larger is better
}

// newHelpers returns an empty list for a leader whose link carries linkBps bytes
// per second.
func newHelpers(linkBps int64) *helpers {
	rate := int(min(pingLinkShare*float64(linkBps)/pingBytes, maxPingRate))
	return &helpers{byName: make(map[string]*helper), pingRate: max(rate, minPingRate)}
}

func (h *helpers) recordPing(r *hostrpc.PingRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Leaving {
		h.drop(r.Host)
		return
	}
	now := boottime.Now()
	interval := h.pingInterval()
	p, ok := h.byName[r.Host]
	if !ok || p.incarnation != r.Incarnation {
		p = &helper{name: r.Host, address: r.Address, firstPing: now, incarnation: r.Incarnation, capacity: succession.Capacity{MilliCPU: r.MilliCpu, LinkBps: r.LinkBps, MemoryMiB: r.MemoryMib}}
		p.rank = p.capacity.RatioTo(succession.Capacity{})
		h.byName[r.Host] = p
		h.invalidateLists()
	}
	p.expiresAt = now + maxMissedPings*interval + missedPingGrace
	h.noneExpires = min(h.noneExpires, p.expiresAt)
}

// pingInterval returns the interval at which each host is to ping the leader.
func (h *helpers) pingInterval() time.Duration {
	return max(minPingInterval, time.Duration(len(h.byName))*time.Second/time.Duration(h.pingRate))
}

// fillPingResponse fills in the response to a ping: the time until the host's next ping,
// addresses of a few other hosts, and the preferred successors of the leader.
func (h *helpers) fillPingResponse(resp *hostrpc.PingResponse) {
	alive, successors := h.alive(), h.successors()
	for _, p := range successors[:min(len(successors), maxSuccessors)] {
		if p.capacity.RatioTo(h.own) >= minSuccessorRatio {
			resp.Successors = append(resp.Successors, p.address)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for range min(maxSampledAddresses, len(alive)) {
		h.lastSent++
		resp.Hosts = append(resp.Hosts, alive[h.lastSent%len(alive)].address)
	}
	resp.NextMs = h.pingInterval().Milliseconds()
}

// remove removes a host that cannot be reached until it pings again.
func (h *helpers) remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(name)
}

func (h *helpers) drop(name string) {
	if _, known := h.byName[name]; known {
		delete(h.byName, name)
		h.invalidateLists()
	}
}

func (h *helpers) invalidateLists() {
	h.byNameOrder, h.ranked, h.nameList, h.noneExpires = nil, nil, nil, 0
}

// expire drops the helpers that have not pinged in time.
func (h *helpers) expire(now time.Duration) {
	if now <= h.noneExpires {
		return
	}
	earliest := time.Duration(math.MaxInt64)
	for name, p := range h.byName {
		if now > p.expiresAt {
			h.drop(name)
			continue
		}
		earliest = min(earliest, p.expiresAt)
	}
	h.noneExpires = earliest
}

// alive returns the helpers in the order of their names. Callers do not change the list.
func (h *helpers) alive() []*helper {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refreshLists()
	return h.byNameOrder
}

// refreshLists drops expired helpers and builds the lists again after a change.
func (h *helpers) refreshLists() {
	h.expire(boottime.Now())
	if h.nameList != nil {
		return
	}
	h.byNameOrder = slices.SortedFunc(maps.Values(h.byName), func(a, b *helper) int { return cmp.Compare(a.name, b.name) })
	h.ranked = slices.SortedStableFunc(slices.Values(h.byNameOrder), func(a, b *helper) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.firstPing, a.firstPing))
	})
	h.nameList = append(h.nameList, "")
	for _, p := range h.byNameOrder {
		h.nameList = append(h.nameList, p.name)
	}
}

// names returns "", which stands for this host, followed by the helpers' names in
// ascending order. Callers do not change the list.
func (h *helpers) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refreshLists()
	return h.nameList
}

func (h *helpers) address(name string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.byName[name]
	if !ok {
		return "", false
	}
	return p.address, true
}

// successors returns the helpers in the order in which they are asked to take over:
// by descending rank, and among equals the one that started last. In a rolling
// restart that one is the least likely to be stopped next. Callers do not change the list.
func (h *helpers) successors() []*helper {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refreshLists()
	return h.ranked
}

// hasLarger reports whether some helper exceeds the given host by at least the
// factor succession.HandOverRatio and should lead instead.
func (h *helpers) hasLarger(than succession.Capacity) bool {
	for _, p := range h.alive() {
		if p.capacity.RatioTo(than) >= succession.HandOverRatio {
			return true
		}
	}
	return false
}
