package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// phase is the state of one control lease as known to this host.
type phase uint8

const (
	phaseNone      phase = iota // not held; acquired if wanted
	phaseHeld                   // starts may be sent until control.until
	phaseHandover               // held and renewed, but no start may be sent
	phaseReleasing              // given up; the release may not have reached the worker yet
)

// control is the state of one control lease.
type control struct {
	key    Key
	phase  phase
	wanted bool

	epoch ports.Epoch
	// minEpoch is the lowest epoch that may be used. Lower epochs were released,
	// refused or replaced.
	minEpoch     ports.Epoch
	until        time.Duration // the lease may be used before this; Span after SentAt of the grant
	reportSentAt time.Duration // SentAt of the newest report passed to the caller

	pending          bool          // a request is in flight
	sentAt           time.Duration // of the last request
	next             time.Duration // when the next request is due
	failures         int           // in a row
	handoverDeadline time.Duration // a handover waits no longer for Idle

	acks     []string // ended tasks that the worker may forget
	acksSent int      // number of acks in the pending request

	wake  time.Duration // when advance is due next
	index int           // in Manager.wakes, or unscheduled
}

// unscheduled is the index of a control that is not in the heap.
const unscheduled = -1

// holding reports whether the lease is held or being handed over. It does not
// check whether the lease has expired.
func (c *control) holding() bool { return c.phase == phaseHeld || c.phase == phaseHandover }

// wakeAt returns when the next timeout, request or expiry is due.
func (c *control) wakeAt(opts Options) time.Duration {
	request := c.next
	if c.pending {
		request = c.sentAt + opts.RequestTimeout
	}
	switch c.phase {
	case phaseHeld:
		return min(request, c.until)
	case phaseHandover:
		return min(request, c.until, c.handoverDeadline)
	case phaseReleasing:
		return min(c.next, c.until)
	default:
		if c.wanted {
			return request
		}
		return c.sentAt + opts.TTL
	}
}

// wakeHeap orders controls by wake, then by key, so that equal times have the
// same order in every run. It implements heap.Interface.
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
