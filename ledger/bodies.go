package ledger

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
)

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
