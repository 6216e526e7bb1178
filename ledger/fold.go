package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/platform"
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
	version platform.Offset
	sum     int64
	held    map[ident.Holder]int64
}

// Fold is the state that the records of the ledger give.
type Fold struct {
	after   platform.Offset
	members map[ident.Holder]*member
	live    []ident.Holder // members that are not gone, in order
	gone    []ident.Holder // oldest first
	teams   map[ident.TeamID]*team
	// minted and burned count units since the start of this fold, for checks.
	minted, burned int64
	snapshotAt     platform.Offset // At of the newest snapshot seen whole
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
func (f *Fold) Apply(at platform.Offset, data []byte) Verdict {
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

// join adds a member, which starts with nothing.
func (f *Fold) join(rec Record) RejectReason {
	if f.members[rec.Writer] != nil {
		if reason := f.admit(rec); reason != accepted {
			return reason
		}
		return RejectKnown
	}
	f.members[rec.Writer] = &member{zone: rec.Join.Zone, num: rec.Num}
	i, _ := slices.BinarySearchFunc(f.live, rec.Writer, compareHolders)
	f.live = slices.Insert(f.live, i, rec.Writer)
	return accepted
}

// setLimits puts limits in force and mints what a raised one adds, evenly over
// the members, of which the writer is one. A lower version that comes later changes nothing, so hosts that
// learn of configurations in another order agree.
func (f *Fold) setLimits(l *Limits, v *Verdict) {
	for _, tl := range l.Teams {
		t := f.teams[tl.Team]
		if t == nil {
			t = &team{held: map[ident.Holder]int64{}}
		}
		if tl.Limit < 0 || tl.Version <= t.version {
			continue
		}
		f.teams[tl.Team] = t
		t.limit = tl.Limit
		t.version = tl.Version
		f.mintEvenly(t)
		v.Teams = append(v.Teams, tl.Team)
	}
}

// mintEvenly fills a team up to its limit. The remainder goes round with the
// version, so that small limits do not all end up with one holder.
func (f *Fold) mintEvenly(t *team) {
	n := int64(len(f.live))
	missing := t.limit - t.sum
	if missing <= 0 {
		return
	}
	turn := int64(uint64(t.version) % uint64(n))
	for i, h := range f.live {
		units := missing / n
		if (int64(i)+turn)%n < missing%n {
			units++
		}
		f.mint(t, h, units)
	}
}

func (f *Fold) mint(t *team, to ident.Holder, units int64) {
	if units == 0 {
		return
	}
	t.held[to] += units
	t.sum += units
	f.minted += units
}

// move gives units away. Each move is judged by what its writer holds at this
// point of the stream.
func (f *Fold) move(from ident.Holder, m *Moves, v *Verdict) {
	for _, g := range m.Transfers {
		t := f.teams[g.Team]
		if t == nil || g.Units <= 0 || t.held[from] < g.Units || g.To == from || !f.Member(g.To) {
			continue
		}
		t.take(from, g.Units)
		t.held[g.To] += g.Units
		v.Teams = append(v.Teams, g.Team)
	}
	for _, b := range m.GiveBacks {
		t := f.teams[b.Team]
		if t == nil {
			continue
		}
		units := min(b.Units, t.held[from], t.sum-t.limit)
		if units <= 0 {
			continue
		}
		t.take(from, units)
		t.sum -= units
		f.burned += units
		v.Teams = append(v.Teams, b.Team)
	}
}

// take lowers what a holder holds.
func (t *team) take(from ident.Holder, units int64) {
	t.held[from] -= units
	if t.held[from] == 0 {
		delete(t.held, from)
	}
}

// reclaim ends a dead holder's membership.
//
// It guards against units used in two places: a holder that was paused, or cut
// off, comes back between the proof of its death and this record. It writes
// before it uses units again, so its number is past the one of the proof.
func (f *Fold) reclaim(by ident.Holder, r *Reclaim, v *Verdict) RejectReason {
	dead := f.members[r.Dead]
	if dead == nil || dead.gone || r.Dead == by || dead.zone != f.members[by].zone {
		return RejectHeir
	}
	if dead.num != r.Num {
		return RejectAlive
	}
	f.bequeath(r.Dead, by, v)
	return accepted
}

func (f *Fold) leave(from ident.Holder, l *Leave, v *Verdict) RejectReason {
	if l.To == from || !f.Member(l.To) {
		return RejectHeir
	}
	f.bequeath(from, l.To, v)
	return accepted
}

// bequeath moves everything and ends the giver's membership.
func (f *Fold) bequeath(from, to ident.Holder, v *Verdict) {
	for _, id := range f.Teams() {
		t := f.teams[id]
		units := t.held[from]
		if units == 0 {
			continue
		}
		delete(t.held, from)
		t.held[to] += units
		v.Teams = append(v.Teams, id)
	}
	f.members[from].gone = true
	f.members[from].heir = to
	if i, ok := slices.BinarySearchFunc(f.live, from, compareHolders); ok {
		f.live = slices.Delete(f.live, i, i+1)
	}
	f.bury(from)
}

func (f *Fold) bury(h ident.Holder) {
	f.gone = append(f.gone, h)
	if len(f.gone) > goneKept {
		delete(f.members, f.gone[0])
		f.gone = f.gone[1:]
	}
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
func (f *Fold) Position() platform.Offset { return f.after }

// compareHolders orders holders by host and incarnation.
func compareHolders(a, b ident.Holder) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}
