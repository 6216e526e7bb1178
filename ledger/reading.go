package ledger

import (
	"slices"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// page takes records read back.
func (h *Holder) page(ev PageRead) {
	ans := h.reader.Page(ev)
	if ans.Stale || h.phase == phaseGone {
		return
	}
	if h.phase == phaseLoading {
		h.loading(ans)
		return
	}
	if ans.Expired {
		h.missed()
		return
	}
	for _, rec := range ans.Records {
		h.reader.Take(rec.Offset)
		h.record(rec)
		if h.phase == phaseGone {
			return
		}
	}
	if h.phase == phaseReading && ans.AtEnd {
		h.phase = phaseJoining
	}
	h.report()
}

// loading lets the loader find the start of reading.
func (h *Holder) loading(ans stream.Answer) {
	start, ok := h.load.probe.Page(&h.reader, ans, &h.load)
	if !ok {
		return
	}
	if !start.Found && !start.Whole {
		h.lacks()
		return
	}
	h.fold = NewFold()
	if start.Found {
		h.fold = h.load.best
	}
	h.incomplete = false
	h.snap.seenAt = h.now
	h.phase = phaseReading
}

// lacks handles a stream whose oldest records expired before they were written
// again. Going on from half a state could mint units that somebody holds.
func (h *Holder) lacks() {
	if !h.incomplete {
		h.incomplete = true
		h.emit(Incomplete{})
	}
	h.load = newLoader(h.cfg.ProbeRecords)
	h.reader.Pause(h.now)
	h.reader.Seek(0)
}

// missed handles records that expired before this holder read them: it was cut
// off for longer than the log keeps records, and cannot tell what it holds.
func (h *Holder) missed() {
	if h.phase == phaseMember {
		h.dethrone(ident.Holder{})
		return
	}
	h.phase = phaseLoading
	h.load = newLoader(h.cfg.ProbeRecords)
	h.reader.Seek(0)
}

func (h *Holder) dethrone(by ident.Holder) {
	h.phase = phaseGone
	h.emit(Dethroned{By: by})
}

// record folds one record and settles what it decides.
func (h *Holder) record(rec ports.Record) {
	before := h.fold.snapshotAt
	v := h.fold.Apply(rec.Offset, rec.Data)
	if h.fold.snapshotAt != before {
		h.snap.seenAt = h.now
	}
	if v.Record.Writer == h.cfg.Self && v.Record.Num > 0 && v.Reason != RejectNumber {
		h.settle(v)
	}
	if v.Record.Limits != nil || v.Record.Reset != nil {
		h.limit.open = true
	}
	if v.Applied {
		h.membership(v.Record)
	}
	h.touched = append(h.touched, v.Teams...)
}

// membership notes what a record in force says of this holder's place.
func (h *Holder) membership(rec Record) {
	self := h.cfg.Self
	switch {
	case rec.Join != nil && rec.Writer == self && h.phase == phaseJoining:
		h.phase = phaseMember
		h.emit(Joined{})
	case rec.Leave != nil && rec.Writer == self:
		h.phase = phaseGone
		h.emit(Left{})
	case rec.Reclaim != nil && rec.Reclaim.Dead == self:
		h.dethrone(rec.Writer)
	case rec.Reset != nil && h.phase == phaseMember:
		h.dethrone(rec.Writer)
	case rec.Reclaim != nil:
		h.wants.forget(rec.Reclaim.Dead)
		h.reclaimed(rec.Reclaim.Dead, rec.Writer)
	case rec.Leave != nil:
		h.wants.forget(rec.Writer)
		h.reclaimed(rec.Writer, rec.Leave.To)
	}
}

// report tells of which teams more can be used.
func (h *Holder) report() {
	slices.Sort(h.touched)
	changed := slices.Compact(h.touched)
	h.touched = nil
	changed = slices.DeleteFunc(changed, func(id ident.TeamID) bool { return h.Free(id) == 0 })
	if len(changed) > 0 {
		h.emit(Changed{Teams: changed})
	}
}
