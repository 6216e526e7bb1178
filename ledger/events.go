package ledger

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/stream"
)

// Event is something that happened to the holder.
type Event = stream.Event

// The events that every machine on a stream takes.
type (
	Tick         = stream.Tick
	PageRead     = stream.PageRead
	ReadFailed   = stream.ReadFailed
	AppendDone   = stream.AppendDone
	AppendFailed = stream.AppendFailed
)

// Configured tells the limits of the configuration in force.
type Configured struct{ Teams []TeamLimit }

// Waiting tells how many units the work that waits on this host needs, by team;
// a team that is absent needs none. It replaces what was told before. The holder
// keeps the map; the caller must not change it any more.
type Waiting struct{ Units map[ident.TeamID]int64 }

// Asked is another member's request, as its Ask command said.
type Asked struct {
	From  ident.Holder
	Team  ident.TeamID
	Units int64
	Lack  int64
	Seq   uint64
}

// LeasesHeld tells whether this process holds any control lease of a worker, of
// any class, by its own clock. It is told at every change, also when the last
// lease lapses and another is acquired at one moment: first false, then true.
// After a change to true no unit is used before the ledger has shown that
// nobody took them over meanwhile.
type LeasesHeld struct{ Any bool }

// ReclaimProved asks to take over the units of a dead holder, on the proof of
// a Reclaimer. Adopted counts the units of the dead holder's tasks that this
// process runs on; they count as used at once.
type ReclaimProved struct {
	Dead    ident.Holder
	Adopted map[ident.TeamID]int64
}

// Leaving asks to give everything away, as the units become free, and to end
// the membership once nothing is used. No further use is allowed. Avoid names
// hosts that are leaving as well, which get nothing.
type Leaving struct{ Avoid []ident.HostID }

// ResetOrdered asks to empty the ledger. It is an operator's last resort after
// Incomplete, when nothing of any team runs.
type ResetOrdered struct{}

// StreamEvent marks an event.
func (Configured) StreamEvent() {}

// StreamEvent marks an event.
func (Waiting) StreamEvent() {}

// StreamEvent marks an event.
func (Asked) StreamEvent() {}

// StreamEvent marks an event.
func (LeasesHeld) StreamEvent() {}

// StreamEvent marks an event.
func (ReclaimProved) StreamEvent() {}

// StreamEvent marks an event.
func (ResetOrdered) StreamEvent() {}

// StreamEvent marks an event.
func (Leaving) StreamEvent() {}

// Command is something that the holder wants done or known.
type Command = stream.Command

// The commands that every machine on a stream gives.
type (
	Append = stream.Append
	Read   = stream.Read
)

// Ask asks a peer for units; no answer is expected but units. It is sent once
// and may be lost.
type Ask struct {
	Peer  ident.Holder
	Team  ident.TeamID
	Units int64  // wanted from this peer
	Lack  int64  // wanted altogether: how short this holder is
	Seq   uint64 // rises with every request; an older one is dropped
}

// Joined reports that this holder is a member.
type Joined struct{}

// Changed reports teams of which this holder may use more than before, in order
// of name.
type Changed struct{ Teams []ident.TeamID }

// Reclaimed reports that the dead holder's units are this holder's.
type Reclaimed struct{ Dead ident.Holder }

// ReclaimVoid reports that a reclaim had no effect: somebody else came first, the
// holder is alive, or this one is no member. The adopted tasks' units are not, or
// no longer, counted here.
type ReclaimVoid struct{ Dead ident.Holder }

// Dethroned reports that another member has taken over this holder's units, or
// that records expired before this holder read them. The process starts over
// with a new incarnation; TryUse has refused since before this command.
type Dethroned struct {
	By ident.Holder // zero if unknown
}

// Incomplete reports that records have expired that were not written again, so
// that nobody can tell who holds what. No unit can be used until another host
// writes a snapshot or an operator orders a reset.
type Incomplete struct{}

// Left reports that the membership ended as asked.
type Left struct{}

// StreamCommand marks a command.
func (Ask) StreamCommand() {}

// StreamCommand marks a command.
func (Joined) StreamCommand() {}

// StreamCommand marks a command.
func (Changed) StreamCommand() {}

// StreamCommand marks a command.
func (Reclaimed) StreamCommand() {}

// StreamCommand marks a command.
func (ReclaimVoid) StreamCommand() {}

// StreamCommand marks a command.
func (Dethroned) StreamCommand() {}

// StreamCommand marks a command.
func (Incomplete) StreamCommand() {}

// StreamCommand marks a command.
func (Left) StreamCommand() {}
