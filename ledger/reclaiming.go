package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
)

// pendingReclaim is a reclaim that is not settled.
type pendingReclaim struct {
	num     uint64 // the dead holder's highest number when the proof stood
	adopted map[ident.TeamID]int64
}

func compareTeams(a, b ident.TeamID) int { return cmp.Compare(a, b) }

// reclaimProved takes a proof. The adopted tasks count as used at once, before
// their units are here: that holds back new work, and never allows any. A second
// proof of the same death is dropped while the first is not settled.
func (h *Holder) reclaimProved(ev ReclaimProved) {
	m := h.fold.members[ev.Dead]
	if h.reclaims[ev.Dead] != nil {
		return
	}
	if h.phase != phaseMember || m == nil || m.gone {
		h.emit(ReclaimVoid{Dead: ev.Dead})
		return
	}
	h.reclaims[ev.Dead] = &pendingReclaim{num: m.num, adopted: maps.Clone(ev.Adopted)}
	for team, units := range ev.Adopted {
		h.used[team] += units
	}
}

// draftReclaims adds the reclaims that are not settled.
func (h *Holder) draftReclaims(d *draft) {
	for _, dead := range slices.SortedFunc(maps.Keys(h.reclaims), compareHolders) {
		d.add(Record{Reclaim: &Reclaim{Dead: dead, Num: h.reclaims[dead].num}})
	}
}

// reclaimed notes that a member's units went to another one for good.
func (h *Holder) reclaimed(dead, to ident.Holder) {
	if h.reclaims[dead] == nil {
		return
	}
	if to != h.cfg.Self {
		h.reclaimVoid(dead)
		return
	}
	delete(h.reclaims, dead)
	h.emit(Reclaimed{Dead: dead})
}

// reclaimVoid drops a reclaim that had no effect.
func (h *Holder) reclaimVoid(dead ident.Holder) {
	r := h.reclaims[dead]
	if r == nil {
		return
	}
	delete(h.reclaims, dead)
	for _, team := range slices.Sorted(maps.Keys(r.adopted)) {
		h.Done(team, r.adopted[team])
	}
	h.emit(ReclaimVoid{Dead: dead})
}
