package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// phase is the state of one control lease as this host sees it.
type phase uint8

const (
	phaseNone      phase = iota // not held; acquired if wanted
	phaseHeld                   // starts may be sent until control.until
	phaseHandover               // held and renewed, but no start may be sent
	phaseReleasing              // given up; the release may not have arrived yet
)

// control is the state of one lease.
type control struct {
	key    Key
	phase  phase
	wanted bool

	epoch ports.Epoch
	// floor is the lowest epoch that may be used. Epochs below it were
	// released, refused or replaced.
	floor    ports.Epoch
	until    time.Duration // end of use, counted from when the granted request was sent
	reported time.Duration // SentAt of the newest report passed on

	pending    bool          // a request is unanswered
	sentAt     time.Duration // of the last request
	next       time.Duration // when the next request is due
	failures   int           // in a row
	handoverBy time.Duration // when a handover stops waiting for Idle

	acks     []string // ended tasks that the worker may forget
	acksSent int      // how many of acks the pending request carries

	wake  time.Duration // when advance has something to do
	index int           // in the heap of wakes, or unscheduled
}

// unscheduled is the heap index of a control outside the heap.
const unscheduled = -1

// holding reports whether the worker counts this host as the holder, as far
// as this host knows.
func (c *control) holding() bool { return c.phase == phaseHeld || c.phase == phaseHandover }

// wakeAt returns when time alone changes something.
func (c *control) wakeAt(opts Options) time.Duration {
	request := c.next
	if c.pending {
		request = c.sentAt + opts.RequestTimeout
	}
	switch c.phase {
	case phaseHeld:
		return min(request, c.until)
	case phaseHandover:
		return min(request, c.until, c.handoverBy)
	case phaseReleasing:
		return min(c.next, c.until)
	default:
		if c.wanted {
			return request
		}
		return c.sentAt + opts.TTL
	}
}

// wakeHeap orders controls by wake, then by key, so that equal times come in
// the same order in every run. It implements heap.Interface.
type wakeHeap []*control

func (h wakeHeap) Len() int { return len(h) }

func (h wakeHeap) Less(i, j int) bool {
	if h[i].wake != h[j].wake {
		return h[i].wake < h[j].wake
	}
	return compareKeys(h[i].key, h[j].key) < 0
}

func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	c := x.(*control)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.index = unscheduled
	return c
}
