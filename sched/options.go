package sched

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Limits accounts for the units of the teams' upper limits that this scheduler
// may use. It is called from Step only.
type Limits interface {
	// TryUse takes units for tasks that start. It reports false, and takes
	// none, if they are not available.
	TryUse(team ident.TeamID, units int64) bool
	// Done returns units after the tasks have ended.
	Done(team ident.TeamID, units int64)
}

// Unlimited grants every use of units.
type Unlimited struct{}

// TryUse implements Limits.
func (Unlimited) TryUse(ident.TeamID, int64) bool { return true }

// Done implements Limits.
func (Unlimited) Done(ident.TeamID, int64) {}

// Hold selects how workers are reserved for a large job that small work would
// otherwise starve.
type Hold int

// The kinds of holds.
const (
	HoldPlanned Hold = iota // hold the planned workers; work expected to end before the planned start may use them
	HoldDrain               // hold the planned workers for the job alone
	HoldNone                // make no holds
)

// Batch selects the placement of batch tasks among the workers with room. Gangs
// are always packed, because room for several tasks at once is scarce.
type Batch int

// The placements of batch work.
const (
	BatchPack   Batch = iota // the worker with the tightest fit; leaves room for large tasks
	BatchSpread              // the worker with the most room; a lost worker loses the fewest tasks
)

// Options are the settings of a Scheduler. A zero field selects the default
// value of that field.
type Options struct {
	Limits Limits // default Unlimited

	Batch Batch

	Hold      Hold
	HoldAfter time.Duration // time at the head of its team before a hold is made for a job; default 2 s
	HoldFor   time.Duration // maximum length of a hold; default 10 min

	DueAfter       time.Duration // wait after which work that is not urgent counts as due; default 5 min
	UrgentDueAfter time.Duration // the same for urgent work; default 2 s
	UrgentOver     float64       // urgent work has priority up to this multiple of its team's share; default 1.5
	MaxDisplaced   int           // times that one task may be displaced (preempted); NeverDisplaced for none; default 3
	KeepRunning    bool          // displace no tasks to restore the share of another team

	MaxAttempts int           // default and maximum of the attempts of a task; default 5
	BackoffMin  time.Duration // backoff after the first failure, doubled each time; default 1 s
	BackoffMax  time.Duration // maximum backoff; default 5 min

	QuarantineAfter int           // consecutive failures of different jobs before a quarantine; default 3
	QuarantineMin   time.Duration // first quarantine, doubled each time; default 30 s
	QuarantineMax   time.Duration // maximum quarantine; default 15 min

	MaxWaiting int // waiting jobs of one team from which on Admit refuses more; default 50,000

	FirstFit bool // first in, first out on the first worker that fits; baseline for measurements
}

// NeverDisplaced as Options.MaxDisplaced lets every task run to its end without
// preemption.
const NeverDisplaced = -1
