package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// goneKept is how many past members are remembered, so that a late record of
// theirs is known to be void.
const goneKept = 4096

// member is a holder that has joined.
type member struct {
	zone ident.Zone
	num  uint64       // highest number of its records
	gone bool         // reclaimed or left, for good
	heir ident.Holder // who got its units when it went
}

// team is one team's limit and who holds its units.
type team struct {
	limit   int64
	version ports.Offset
	sum     int64
	held    map[ident.Holder]int64
}

// Fold is the state that the records of the ledger give.
type Fold struct {
	after   ports.Offset
	members map[ident.Holder]*member
	live    []ident.Holder // members that are not gone, in order
	gone    []ident.Holder // oldest first
	teams   map[ident.TeamID]*team
	// minted and burned count units since the start of this fold, for checks.
	minted, burned int64
	snapshotAt     ports.Offset // At of the newest snapshot seen whole
	parts          partCounter
}

// NewFold returns the state of an empty ledger.
func NewFold() *Fold {
	return &Fold{
		members: map[ident.Holder]*member{},
		teams:   map[ident.TeamID]*team{},
		parts:   partCounter{},
	}
}

// Verdict says what a record did.
type Verdict struct {
	Record  Record
	Applied bool
	Reason  RejectReason   // if not applied
	Teams   []ident.TeamID // whose limit or holdings changed
}

// RejectReason says why a record had no effect.
type RejectReason string

// The reasons for which a record has no effect.
const (
	RejectMalformed RejectReason = "malformed"
	RejectStranger  RejectReason = "not-a-member"
	RejectGone      RejectReason = "no-longer-a-member"
	RejectNumber    RejectReason = "stale-number" // doubled, or late
	RejectKnown     RejectReason = "known"        // a member already
	RejectHeir      RejectReason = "no-such-heir" // the other side cannot take part
	RejectAlive     RejectReason = "alive"        // the holder has written since the proof
)

const accepted RejectReason = ""

// Apply folds the next record of the stream. The same records in the same
// order give the same state everywhere.
func (f *Fold) Apply(at ports.Offset, data []byte) Verdict {
	before := f.after
	f.after = at
	rec, err := Decode(data)
	if err != nil {
		return Verdict{Reason: RejectMalformed}
	}
	v := Verdict{Record: rec}
	if rec.Reset != nil && rec.Reset.After != before {
		v.Reason = RejectNumber
		return v
	}
	v.Reason = f.apply(rec, &v)
	v.Applied = v.Reason == accepted
	return v
}

func (f *Fold) apply(rec Record, v *Verdict) RejectReason {
	switch {
	case rec.Snapshot != nil:
		f.noteSnapshot(rec)
		return f.admit(rec)
	case rec.Reset != nil:
		f.reset()
		return accepted
	case rec.Join != nil:
		return f.join(rec)
	}
	if reason := f.admit(rec); reason != accepted {
		return reason
	}
	switch {
	case rec.Limits != nil:
		f.setLimits(rec.Limits, v)
	case rec.Moves != nil:
		f.move(rec.Writer, rec.Moves, v)
	case rec.Reclaim != nil:
		return f.reclaim(rec.Writer, rec.Reclaim, v)
	case rec.Leave != nil:
		return f.leave(rec.Writer, rec.Leave, v)
	default:
		return RejectMalformed
	}
	return accepted
}

// admit judges the envelope and notes the number.
//
// It guards against units that are given twice: an append that was given up
// arrives late, or arrives twice. Its numbers are then not above those that its
// writer used since, and it is void.
func (f *Fold) admit(rec Record) RejectReason {
	m := f.members[rec.Writer]
	switch {
	case m == nil:
		return RejectStranger
	case m.gone:
		return RejectGone
	case rec.Num <= m.num:
		return RejectNumber
	}
	m.num = rec.Num
	return accepted
}

func (f *Fold) reset() {
	empty := NewFold()
	empty.after = f.after
	*f = *empty
}

// Member reports whether a holder can hold units.
func (f *Fold) Member(h ident.Holder) bool {
	m := f.members[h]
	return m != nil && !m.gone
}

// Heir returns who answers for the units of a holder now: itself, or, if it is
// gone, whoever took them over last. Tasks count for the heir of who started
// them.
func (f *Fold) Heir(h ident.Holder) ident.Holder {
	for m := f.members[h]; m != nil && m.gone; m = f.members[h] {
		h = m.heir
	}
	return h
}

// Members returns all members in order.
func (f *Fold) Members() []ident.Holder { return slices.Clone(f.live) }

// Zone returns a member's zone.
func (f *Fold) Zone(h ident.Holder) ident.Zone {
	if m := f.members[h]; m != nil {
		return m.zone
	}
	return ""
}

// Teams returns all teams in order.
func (f *Fold) Teams() []ident.TeamID { return slices.Sorted(maps.Keys(f.teams)) }

// Held returns how many units of a team a holder holds.
func (f *Fold) Held(id ident.TeamID, h ident.Holder) int64 {
	if t := f.teams[id]; t != nil {
		return t.held[h]
	}
	return 0
}

// Sum returns how many units of a team there are, and its limit.
func (f *Fold) Sum(id ident.TeamID) (sum, limit int64) {
	if t := f.teams[id]; t != nil {
		return t.sum, t.limit
	}
	return 0, 0
}

// Usable returns how many units of a team a holder may have in use: what it
// holds, and, while a lowered limit is not reached, only what the limit leaves
// over if all others use everything they hold.
func (f *Fold) Usable(id ident.TeamID, h ident.Holder) int64 {
	t := f.teams[id]
	if t == nil {
		return 0
	}
	held := t.held[h]
	return max(0, min(held, t.limit-(t.sum-held)))
}

// Position returns the offset of the last record folded.
func (f *Fold) Position() ports.Offset { return f.after }

// compareHolders orders holders by host and incarnation.
func compareHolders(a, b ident.Holder) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
