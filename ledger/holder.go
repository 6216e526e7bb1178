package ledger

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Config sets the pace of a holder.
type Config struct {
	Self ident.Holder
	Zone ident.Zone

	AppendInterval time.Duration // between appends while nobody waits
	UrgentInterval time.Duration // between appends while somebody waits
	RetryInterval  time.Duration // before a read or append after a failure
	ReadWait       time.Duration // how long a read may wait for news
	AskInterval    time.Duration // between requests of one team
	AskTTL         time.Duration // how long a peer's request is remembered
	DriftInterval  time.Duration // between gifts of unused units without a request
	ConfigStagger  time.Duration // delay per rank before stating new limits
	SnapshotEvery  uint64        // records between snapshots
	PageLimit      int           // records of one read
	GroupBytes     int           // of one record of a snapshot
}

// DefaultConfig returns the pace used in production.
func DefaultConfig(self ident.Holder, zone ident.Zone) Config {
	return Config{
		Self:           self,
		Zone:           zone,
		AppendInterval: time.Second,
		UrgentInterval: 100 * time.Millisecond,
		RetryInterval:  500 * time.Millisecond,
		ReadWait:       2 * time.Second,
		AskInterval:    500 * time.Millisecond,
		AskTTL:         2 * time.Second,
		DriftInterval:  30 * time.Second,
		ConfigStagger:  50 * time.Millisecond,
		SnapshotEvery:  4096,
		PageLimit:      1024,
		GroupBytes:     32 << 10,
	}
}

// Holder is one host's part in the ledger. It is not safe for concurrent use.
type Holder struct {
	cfg Config
}

// NewHolder returns a holder that has read nothing and may use nothing.
func NewHolder(cfg Config) *Holder { return &Holder{cfg: cfg} }

// Step handles one event at the given time of the process's own clock.
func (h *Holder) Step(now time.Duration, ev Event) []Command { return nil }

// TryUse takes units of a team for a task about to start and reports whether
// they were there. It never asks anybody.
func (h *Holder) TryUse(team ident.TeamID, units int64) bool { return false }

// Done returns the units of a task that has ended or was not started.
func (h *Holder) Done(team ident.TeamID, units int64) {}

// Free returns how many units of a team TryUse would give now.
func (h *Holder) Free(team ident.TeamID) int64 { return 0 }

// Used returns how many units of a team are in use here.
func (h *Holder) Used(team ident.TeamID) int64 { return 0 }
