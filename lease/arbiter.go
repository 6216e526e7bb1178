package lease

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Arbiter decides which control leases one host holds. There are two
// implementations: with Manager the worker grants the lease; with LogArbiter a
// stream of the log does, for workers that do not check epochs.
type Arbiter interface {
	// Step handles one event and returns the commands to execute, in order.
	Step(now time.Duration, ev Event) []Command
	// Epoch returns the epoch under which a start may be sent at now.
	Epoch(key Key, now time.Duration) (ports.Epoch, bool)
	// Left returns for how much longer starts may be sent; zero if none may be.
	Left(key Key, now time.Duration) time.Duration
	// Held returns the number of leases held, including those being handed over.
	Held(now time.Duration) int
	// Drained reports whether every lease has been given up after a Drain.
	Drained(now time.Duration) bool
	// Next returns when the next Tick is due, and false if none is.
	Next() (time.Duration, bool)
}

var _ Arbiter = (*Manager)(nil)
