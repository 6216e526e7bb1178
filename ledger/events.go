package ledger

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
)

// Tag names one append of this process.
type Tag uint64

// Event is something that happened to the holder.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// PageRead answers the Read command with the same After.
type PageRead struct {
	After platform.Offset
	Page  platform.Page
}

// ReadFailed reports that the Read command with the same After brought nothing.
type ReadFailed struct{ After platform.Offset }

// AppendDone reports that the group was appended.
type AppendDone struct{ Tag Tag }

// AppendFailed reports that the group got no answer, or a refusal. Certain
// means that the group was not and will not be appended; it is false for a
// *platform.UncertainError and only for that.
type AppendFailed struct {
	Tag     Tag
	Certain bool
}

// Configured tells the limits of the configuration in force.
type Configured struct{ Teams []TeamLimit }

// Waiting tells how many units the work that waits on this host needs, by team;
// a team that is absent needs none. It replaces what was told before.
type Waiting struct{ Units map[ident.TeamID]int64 }

// Asked is another member's request for units. Seq rises with every request of
// that member; a request that is not newer than the last one is dropped.
type Asked struct {
	From  ident.Holder
	Team  ident.TeamID
	Units int64
	Seq   uint64
}

// LeasesHeld tells whether this process holds any control lease of a worker,
// of any class, by its own clock. See Holder.TryUse.
type LeasesHeld struct{ Any bool }

// ReclaimProved asks to take over the units of a dead holder, on the proof of
// a Reclaimer. Adopted counts the units of the dead holder's tasks that this
// process runs on; they count as used at once.
type ReclaimProved struct {
	Dead    ident.Holder
	Adopted map[ident.TeamID]int64
}

// Leaving asks to give everything away, as the units become free, and to end
// the membership once nothing is used. No further use is allowed.
type Leaving struct{}

func (Tick) event()          {}
func (PageRead) event()      {}
func (ReadFailed) event()    {}
func (AppendDone) event()    {}
func (AppendFailed) event()  {}
func (Configured) event()    {}
func (Waiting) event()       {}
func (Asked) event()         {}
func (LeasesHeld) event()    {}
func (ReclaimProved) event() {}
func (Leaving) event()       {}

// Command is something that the holder wants done or known.
type Command interface{ command() }

// Append asks to append the group to the ledger's stream; the answer is
// AppendDone or AppendFailed with the same tag. At most one is open.
type Append struct {
	Tag   Tag
	Group [][]byte
}

// Read asks for a page; the answer is PageRead or ReadFailed. At most one is
// open.
type Read struct {
	After platform.Offset
	Limit int
	Wait  time.Duration
}

// Ask asks a peer for units; no answer is expected but units. It is sent once
// and may be lost.
type Ask struct {
	Peer  ident.Holder
	Team  ident.TeamID
	Units int64
	Seq   uint64
}

// Joined reports that this holder is a member.
type Joined struct{}

// Changed reports teams of which this holder can use more than before, in
// order of name.
type Changed struct{ Teams []ident.TeamID }

// Reclaimed reports that the dead holder's units are this holder's.
type Reclaimed struct{ Dead ident.Holder }

// ReclaimVoid reports that a reclaim had no effect: somebody else came first.
// The adopted tasks' units are no longer counted here.
type ReclaimVoid struct{ Dead ident.Holder }

// Dethroned reports that another member has taken over this holder's units, or
// that records expired before this holder read them. The process starts over
// with a new incarnation; TryUse has refused since before this command.
type Dethroned struct {
	By ident.Holder // zero if unknown
}

// Left reports that the membership ended as asked.
type Left struct{}

func (Append) command()      {}
func (Read) command()        {}
func (Ask) command()         {}
func (Joined) command()      {}
func (Changed) command()     {}
func (Reclaimed) command()   {}
func (ReclaimVoid) command() {}
func (Dethroned) command()   {}
func (Left) command()        {}
