package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Config sets the pace and the bounds of an owner.
type Config struct {
	Zone ident.Zone
	Self ident.Holder

	AppendInterval time.Duration // least time between two appends
	RetryInterval  time.Duration // before a read or append after a failure
	ReadWait       time.Duration // how long a read may wait for news when idle
	RefreshAfter   time.Duration // age, in the stream's time, at which a job is written again
	MarkEvery      time.Duration // least time between two marks
	GroupRecords   int           // most records of one append
	GroupBytes     int           // most bytes of one append
	MaxQueued      int           // most proposals that wait
	PageLimit      int           // records of one read
	ProbeRecords   int           // records read back from the end to find a mark
}

// DefaultConfig returns the pace used in production.
func DefaultConfig(zone ident.Zone, self ident.Holder) Config {
	return Config{
		Zone:           zone,
		Self:           self,
		AppendInterval: 50 * time.Millisecond,
		RetryInterval:  250 * time.Millisecond,
		ReadWait:       time.Second,
		RefreshAfter:   30 * time.Minute,
		MarkEvery:      10 * time.Second,
		GroupRecords:   512,
		GroupBytes:     256 << 10,
		MaxQueued:      8192,
		PageLimit:      1024,
		ProbeRecords:   2048,
	}
}

// Owner writes the job stream of a zone, when it owns it. It is not safe for
// concurrent use.
type Owner struct {
	cfg  Config
	fold *Fold
}

// NewOwner returns an owner that has read nothing and wants nothing.
func NewOwner(cfg Config) *Owner { return &Owner{cfg: cfg, fold: NewFold()} }

// Step handles one event at the given time of the process's own clock.
func (o *Owner) Step(now time.Duration, ev Event) []Command { return nil }

// State returns what has been read back of the stream. It must not be changed
// and is valid until the next Step.
func (o *Owner) State() *Fold { return o.fold }
