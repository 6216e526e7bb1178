package ledger

import (
	"maps"
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
)

// HandOver asks to move units of tasks that run on under another holder, which
// already counts them as used. They leave this holder's use and its holdings
// together, so that nobody can use them for anything else in between.
type HandOver struct {
	ID    uint64 // names the result
	To    ident.Holder
	Units map[ident.TeamID]int64
}

// HandedOver reports that the units are the other holder's.
type HandedOver struct{ ID uint64 }

// HandOverVoid reports that the units could not be moved, since the other
// holder is no member any more. They are used here again.
type HandOverVoid struct{ ID uint64 }

// StreamEvent marks an event.
func (HandOver) StreamEvent() {}

// StreamCommand marks a command.
func (HandedOver) StreamCommand() {}

// StreamCommand marks a command.
func (HandOverVoid) StreamCommand() {}

// pendingHandOver is a handover that is not settled. num is the number of its
// record, or zero while none is on its way.
type pendingHandOver struct {
	HandOver
	num uint64
}

// Count counts units as used without taking them from what is free: a task was
// adopted whose units are about to be handed over. Until they come, less can be
// used for new tasks.
func (h *Holder) Count(team ident.TeamID, units int64) { h.used[team] += units }

// draftHandOvers adds a record for each handover that has none on its way.
func (h *Holder) draftHandOvers(d *draft) {
	for _, p := range h.handing {
		if p.num != 0 {
			continue
		}
		var m Moves
		for _, team := range slices.Sorted(maps.Keys(p.Units)) {
			m.Transfers = append(m.Transfers, Transfer{Team: team, To: p.To, Units: p.Units[team]})
		}
		if !d.addMoves(m) {
			continue
		}
		p.num = h.num
		for team, units := range p.Units {
			h.Done(team, units)
		}
	}
}

// settleHandOvers takes a record of this holder that was read back: handovers
// in it are decided, those of lower numbers are void.
func (h *Holder) settleHandOvers(num uint64, applied bool) {
	h.handing = slices.DeleteFunc(h.handing, func(p *pendingHandOver) bool {
		switch {
		case p.num == 0 || p.num > num:
			return false
		case p.num < num || !applied:
			h.unsend(p)
			return false
		case h.fold.Member(p.To):
			h.emit(HandedOver{ID: p.ID})
			return true
		}
		h.unsend(p)
		h.emit(HandOverVoid{ID: p.ID})
		return true
	})
}

// unsendHandOvers takes back handovers whose group was certainly not appended.
func (h *Holder) unsendHandOvers(first uint64) {
	for _, p := range h.handing {
		if p.num >= first {
			h.unsend(p)
		}
	}
}

// unsend counts the units as used here again.
func (h *Holder) unsend(p *pendingHandOver) {
	p.num = 0
	for team, units := range p.Units {
		h.used[team] += units
	}
}
