package stream

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Appender keeps at most one append open and spaces them.
type Appender struct {
	Stream ports.Stream
	Retry  time.Duration // before the next append after a failure, doubled with each further one

	tag    Tag
	open   bool
	sentAt time.Duration
	sent   bool // any append so far
	holdTo time.Duration
	fails  int // in a row
}

// mostDoublings bounds how the pause after failures grows: to 16 times Retry.
const mostDoublings = 4

// Ready reports whether a group may be sent now, at least interval after the
// one before.
func (a *Appender) Ready(now, interval time.Duration) bool {
	if a.open || now < a.holdTo {
		return false
	}
	return !a.sent || now >= a.sentAt+interval
}

// Send opens an append.
func (a *Appender) Send(now time.Duration, group [][]byte) Append {
	a.tag++
	a.open = true
	a.sent = true
	a.sentAt = now
	return Append{Stream: a.Stream, Tag: a.tag, Group: group}
}

// Open reports whether an append is open.
func (a *Appender) Open() bool { return a.open }

// Done takes the success of an append and reports whether it was the open one.
func (a *Appender) Done(tag Tag) bool {
	if !a.close(tag) {
		return false
	}
	a.fails = 0
	return true
}

func (a *Appender) close(tag Tag) bool {
	if !a.open || tag != a.tag {
		return false
	}
	a.open = false
	return true
}

// Failed takes the failure of an append and reports whether it was the open one.
func (a *Appender) Failed(now time.Duration, tag Tag) bool {
	if !a.close(tag) {
		return false
	}
	a.holdTo = now + a.Retry<<min(a.fails, mostDoublings)
	a.fails++
	return true
}
