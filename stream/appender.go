package stream

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Appender limits a stream to one append in flight, spaces appends by an
// interval and backs off after failures.
type Appender struct {
	Stream ports.Stream
	Retry  time.Duration // backoff after a failure; doubled with each further one in a row

	tag      Tag
	inFlight bool
	sentAt   time.Duration
	sent     bool // an append has been sent
	retryAt  time.Duration
	failures int // in a row
}

// maxDoublings limits the backoff after failures to 16 times Retry.
const maxDoublings = 4

// Ready reports whether an append may be sent now: none is in flight, the
// backoff is over, and interval has passed since the last one was sent.
func (a *Appender) Ready(now, interval time.Duration) bool {
	if a.inFlight || now < a.retryAt {
		return false
	}
	return !a.sent || now >= a.sentAt+interval
}

// Send returns the command that appends the group, and records it as in flight.
func (a *Appender) Send(now time.Duration, group [][]byte) Append {
	a.tag++
	a.inFlight = true
	a.sent = true
	a.sentAt = now
	return Append{Stream: a.Stream, Tag: a.tag, Group: group}
}

// Open reports whether an append is in flight.
func (a *Appender) Open() bool { return a.inFlight }

// Done handles the success of an append and resets the backoff. It returns
// false, and changes nothing, if tag is not that of the append in flight.
func (a *Appender) Done(tag Tag) bool {
	if !a.complete(tag) {
		return false
	}
	a.failures = 0
	return true
}

func (a *Appender) complete(tag Tag) bool {
	if !a.inFlight || tag != a.tag {
		return false
	}
	a.inFlight = false
	return true
}

// Failed handles the failure of an append and starts the backoff. It returns
// false, and changes nothing, if tag is not that of the append in flight.
func (a *Appender) Failed(now time.Duration, tag Tag) bool {
	if !a.complete(tag) {
		return false
	}
	a.retryAt = now + a.Retry<<min(a.failures, maxDoublings)
	a.failures++
	return true
}
