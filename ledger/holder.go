package ledger

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/stream"
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
	AskTTL         time.Duration // how long a request is remembered, by both sides
	DriftInterval  time.Duration // between gifts of unused units without a request
	ConfigStagger  time.Duration // delay per rank before stating new limits
	SnapshotEvery  uint64        // records between snapshots
	SnapshotAfter  time.Duration // or this long after the one before, if any record came
	SnapshotBytes  int           // of one part of a snapshot
	PageLimit      int           // records of one read
	ProbeRecords   int           // records first read back from the end to find a snapshot
	TeamsPerRecord int           // most teams or moves in one record
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
		SnapshotAfter:  time.Hour,
		SnapshotBytes:  32 << 10,
		PageLimit:      1024,
		ProbeRecords:   2048,
		TeamsPerRecord: 256,
	}
}

// phase is what a holder is about.
type phase uint8

const (
	phaseLoading phase = iota // finds where to start reading
	phaseReading              // reads to the end of the stream
	phaseJoining              // waits for its join to be read back
	phaseMember
	phaseGone // reclaimed or left
)

// Holder is one host's part in the ledger. It is not safe for concurrent use.
type Holder struct {
	cfg      Config
	fold     *Fold
	reader   stream.Reader
	appender stream.Appender
	load     loader

	phase      phase
	incomplete bool     // Incomplete was reported and still holds
	num        uint64   // highest number given to a record
	groups     []*group // sent and not settled, oldest first

	// used is what runs here. aside is what is being given away: it was taken
	// out of use before the record was sent, and comes back only when the
	// record is known to have had no effect, or less than asked.
	used, aside map[ident.TeamID]int64

	proof proof
	wants wants
	limit limits
	snap  snapshots

	reclaims map[ident.Holder]*pendingReclaim
	handing  []*pendingHandOver
	leaving  bool
	avoid    map[ident.HostID]bool
	reset    bool

	driftAt time.Duration  // no gift without a request before this
	touched []ident.TeamID // of which more may be free since the last report

	now time.Duration
	out []Command
}

// NewHolder returns a holder that has read nothing and may use nothing. It
// starts with the first Tick.
func NewHolder(cfg Config) *Holder {
	return &Holder{
		cfg:      cfg,
		fold:     NewFold(),
		reader:   stream.Reader{Stream: StreamName, Retry: cfg.RetryInterval, Limit: cfg.PageLimit},
		appender: stream.Appender{Stream: StreamName, Retry: cfg.RetryInterval},
		load:     newLoader(cfg.ProbeRecords),
		used:     map[ident.TeamID]int64{},
		aside:    map[ident.TeamID]int64{},
		wants:    newWants(),
		limit:    newLimits(),
		reclaims: map[ident.Holder]*pendingReclaim{},
		avoid:    map[ident.HostID]bool{},
	}
}

func (h *Holder) emit(c Command) { h.out = append(h.out, c) }

// State returns what has been read of the ledger. It must not be changed and is
// valid until the next Step.
func (h *Holder) State() *Fold { return h.fold }

// Step handles one event at the given time of the process's own clock.
func (h *Holder) Step(now time.Duration, ev Event) []Command {
	h.now = now
	h.out = nil
	switch ev := ev.(type) {
	case PageRead:
		h.page(ev)
	case ReadFailed:
		h.reader.Failed(now, ev)
	case AppendDone:
		h.appended(ev)
	case AppendFailed:
		h.appendFailed(ev)
	case Configured:
		h.limit.configure(ev.Teams, now)
	case Waiting:
		h.wants.waiting = ev.Units
	case Asked:
		h.asked(ev)
	case LeasesHeld:
		h.leases(ev.Any)
	case ReclaimProved:
		h.reclaimProved(ev)
	case HandOver:
		h.handing = append(h.handing, &pendingHandOver{HandOver: ev})
	case Leaving:
		h.leaving = true
		for _, host := range ev.Avoid {
			h.avoid[host] = true
		}
	case ResetOrdered:
		h.reset = true
	}
	h.advance()
	return h.out
}

// advance sends the reads, requests and appends that are due.
func (h *Holder) advance() {
	if h.phase == phaseGone {
		return
	}
	wait := h.cfg.ReadWait
	if h.phase == phaseLoading || h.phase == phaseReading {
		wait = 0
	}
	if cmd, ok := h.reader.Next(h.now, wait); ok {
		h.emit(cmd)
	}
	if h.phase == phaseMember {
		h.ask()
	}
	h.sendGroup()
	h.settleDebts()
}

// TryUse takes units of a team for a task about to start and reports whether
// they were there. It asks nobody and works while the log is down.
//
// It refuses what this process may no longer count on: units set aside for a
// gift, units owed to a peer's request, everything above a lowered limit, and
// everything while somebody may have taken over its units; see LeasesHeld.
func (h *Holder) TryUse(team ident.TeamID, units int64) bool {
	if units <= 0 || h.Free(team) < units {
		return false
	}
	h.used[team] += units
	return true
}

// Done returns the units of a task that has ended or was not started. Units
// beyond those in use are ignored: counted below zero they would let work start
// that no unit covers.
func (h *Holder) Done(team ident.TeamID, units int64) {
	h.used[team] -= units
	if h.used[team] <= 0 {
		delete(h.used, team)
	}
}

// Free returns how many units of a team TryUse would give now.
func (h *Holder) Free(team ident.TeamID) int64 {
	if h.leaving || !h.proof.stands() || h.phase != phaseMember {
		return 0
	}
	return max(0, h.loose(team)-h.wants.owed[team])
}

// Used returns how many units of a team are in use here.
func (h *Holder) Used(team ident.TeamID) int64 { return h.used[team] }

// Held returns how many units of a team this holder holds, used or not.
func (h *Holder) Held(team ident.TeamID) int64 { return h.fold.Held(team, h.cfg.Self) }

// loose returns the usable units that are neither used nor set aside.
func (h *Holder) loose(team ident.TeamID) int64 {
	return h.fold.Usable(team, h.cfg.Self) - h.used[team] - h.aside[team]
}

// unused returns the units held that are neither used nor set aside. It is more
// than loose while a lowered limit is not reached.
func (h *Holder) unused(team ident.TeamID) int64 {
	return h.fold.Held(team, h.cfg.Self) - h.used[team] - h.aside[team]
}
