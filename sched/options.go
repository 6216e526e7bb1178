package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Limits holds the units of the teams' upper limits that this holder may use.
// It is called from Step only.
type Limits interface {
	// TryUse takes units for a task that starts, or reports false.
	TryUse(team ident.TeamID, units int64) bool
	// Done gives units back after the task has ended.
	Done(team ident.TeamID, units int64)
}

// Unlimited grants every use of units.
type Unlimited struct{}

// TryUse implements Limits.
func (Unlimited) TryUse(ident.TeamID, int64) bool { return true }

// Done implements Limits.
func (Unlimited) Done(ident.TeamID, int64) {}

// Hold says how room is kept for a job that does not fit behind smaller work.
type Hold int

// The ways of holding room.
const (
	HoldPlanned Hold = iota // keep planned workers; work that ends in time may use them
	HoldDrain               // keep planned workers for the job alone
	HoldNone                // never keep room
)

// Batch says which worker a task of a batch job gets, of those with room. Tasks
// that start together are always packed, since rooms for several are scarce.
type Batch int

// The placements of batch work.
const (
	BatchPack   Batch = iota // the one it fills best; leaves room for large tasks
	BatchSpread              // the one with the most room; a lost worker costs least
)

// Options are the settings of a Scheduler. The zero value of each field means
// its default.
type Options struct {
	Limits Limits // default Unlimited

	Batch Batch

	Hold      Hold
	HoldAfter time.Duration // wait of a job before room is held for it; default 2 s
	HoldFor   time.Duration // longest hold; default 10 min

	Patience       time.Duration // wait after which plain work counts as due; default 5 min
	UrgentPatience time.Duration // the same for urgent work; default 2 s
	UrgentOver     float64       // urgent work goes first up to this multiple of the team's share; default 1.5
	MaxDisplaced   int           // how often one task is displaced; NeverDisplaced for not at all; default 3
	KeepRunning    bool          // never displace to give another team its share

	MaxAttempts int           // default and bound of attempts of a task; default 5
	BackoffMin  time.Duration // after the first failure; default 1 s, doubled each time
	BackoffMax  time.Duration // default 5 min

	QuarantineAfter int           // failures of different jobs in a row; default 3
	QuarantineMin   time.Duration // first quarantine; default 30 s, doubled each time
	QuarantineMax   time.Duration // default 15 min

	MaxWaiting int // waiting jobs of one team before Admit refuses; default 50,000

	FirstFit bool // first in, first out on the first worker that fits: the plain baseline of the measurements
}

// NeverDisplaced as Options.MaxDisplaced lets every task run to its end.
const NeverDisplaced = -1
