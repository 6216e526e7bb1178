package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Arbiter decides for one host which control leases it holds. There are two:
// Manager leaves the decision to the worker, LogArbiter to a stream of the
// log, for workers that check nothing.
type Arbiter interface {
	// Step takes in one event and returns what is to be done, in order.
	Step(now time.Duration, ev Event) []Command
	// Epoch returns the epoch under which a start may be sent at now.
	Epoch(key Key, now time.Duration) (ports.Epoch, bool)
	// Left returns how long starts may still be sent; zero if not at all.
	Left(key Key, now time.Duration) time.Duration
	// Held returns the number of leases held, those under handover included.
	Held(now time.Duration) int
	// Drained reports whether a Drain has given back every lease.
	Drained(now time.Duration) bool
	// Next returns when the next Tick has something to do, and false if never.
	Next() (time.Duration, bool)
}

var _ Arbiter = (*Manager)(nil)
