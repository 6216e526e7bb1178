package ledger

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/stream"
)

// group is an append that is not settled: its records may be in the stream.
type group struct {
	tag         stream.Tag
	first, last uint64 // numbers of its records
	acked       bool   // it is in the stream, though not read back
	gifts       []gift
}

// gift is what one record gives away: set aside until the record is settled.
type gift struct {
	num   uint64
	team  ident.TeamID
	units int64
}

// draft collects the records of the next group.
type draft struct {
	holder *Holder
	group  *group
	data   [][]byte
}

// add encodes a record under the next number.
func (d *draft) add(rec Record) bool {
	h := d.holder
	rec.Writer = h.cfg.Self
	rec.Num = h.num + 1
	data, err := Encode(rec)
	if err != nil {
		return false
	}
	h.num++
	d.data = append(d.data, data)
	return true
}

// addMoves adds moves and sets their units aside.
//
// It guards against units used by two holders: from here on this holder does
// not use them, whatever becomes of the append.
func (d *draft) addMoves(m Moves) bool {
	if !d.add(Record{Moves: &m}) {
		return false
	}
	for _, g := range m.Transfers {
		d.setAside(g.Team, g.Units)
	}
	for _, b := range m.GiveBacks {
		d.setAside(b.Team, b.Units)
	}
	return true
}

func (d *draft) setAside(team ident.TeamID, units int64) {
	d.holder.aside[team] += units
	d.group.gifts = append(d.group.gifts, gift{num: d.holder.num, team: team, units: units})
}

// sendGroup forms and sends the next group, if one is due. At most one append is
// open, and what was acknowledged is read back before the next. A group whose
// answer was lost is followed by one with higher numbers, with nothing but an
// empty record if need be: once that is read back, the lost one has been read
// before it or is void for ever.
func (h *Holder) sendGroup() {
	if g := h.lastGroup(); g != nil && g.acked {
		return
	}
	if h.phase == phaseLoading && h.incomplete && h.reset {
		h.sendReset()
		return
	}
	urgent := h.urgent()
	if !h.appender.Ready(h.now, h.interval(urgent)) {
		return
	}
	d := &draft{holder: h, group: &group{first: h.num + 1}}
	switch h.phase {
	case phaseJoining:
		d.add(Record{Join: &Join{Zone: h.cfg.Zone}})
	case phaseMember:
		h.draftMember(d)
	}
	if len(d.data) == 0 {
		return
	}
	d.group.last = h.num
	h.proof.sent(h.num)
	cmd := h.appender.Send(h.now, d.data)
	d.group.tag = cmd.Tag
	h.groups = append(h.groups, d.group)
	h.emit(cmd)
}

// draftMember adds all that a member has to say.
func (h *Holder) draftMember(d *draft) {
	h.draftLimits(d)
	h.draftReclaims(d)
	h.draftHandOvers(d)
	h.draftMoves(d)
	h.draftLeave(d)
	h.draftSnapshot(d)
	if len(d.data) == 0 && (len(h.groups) > 0 || h.proof.needsRecord()) {
		d.add(Record{Moves: &Moves{}})
	}
}

func (h *Holder) interval(urgent bool) time.Duration {
	if urgent {
		return h.cfg.UrgentInterval
	}
	return h.cfg.AppendInterval
}

// urgent reports whether somebody waits for the next append.
func (h *Holder) urgent() bool {
	return h.phase == phaseJoining || len(h.groups) > 0 || h.proof.needsRecord() ||
		len(h.wants.asks) > 0 || len(h.reclaims) > 0 || len(h.handing) > 0 || h.leaving || h.limit.open || h.overLimit()
}

// sendReset empties the ledger by an operator's order.
func (h *Holder) sendReset() {
	if !h.appender.Ready(h.now, h.cfg.AppendInterval) {
		return
	}
	d := &draft{holder: h}
	if !d.add(Record{Reset: &Reset{After: h.reader.Last}}) {
		return
	}
	h.reset = false
	h.emit(h.appender.Send(h.now, d.data))
}

// settle takes a record of this holder that was read back. Numbers rise along
// the stream, so every group below it that was not read is void.
func (h *Holder) settle(v Verdict) {
	num := v.Record.Num
	if h.proof.read(num) {
		h.touched = append(h.touched, h.fold.Teams()...)
	}
	h.settleHandOvers(num, v.Applied)
	for len(h.groups) > 0 && h.groups[0].last < num {
		h.release(h.groups[0], h.groups[0].last)
		h.groups = h.groups[1:]
	}
	if len(h.groups) == 0 {
		return
	}
	g := h.groups[0]
	h.release(g, num)
	if num == g.last {
		h.groups = h.groups[1:]
	}
	if r := v.Record.Reclaim; r != nil && !v.Applied {
		h.reclaimVoid(r.Dead)
	}
}

// release takes the gifts of a group up to a number off what is set aside: what
// they gave is out of the holdings by now, the rest is this holder's again.
func (h *Holder) release(g *group, upTo uint64) {
	n := 0
	for n < len(g.gifts) && g.gifts[n].num <= upTo {
		team := g.gifts[n].team
		h.aside[team] -= g.gifts[n].units
		if h.aside[team] == 0 {
			delete(h.aside, team)
		}
		h.touched = append(h.touched, team)
		n++
	}
	g.gifts = g.gifts[n:]
}

func (h *Holder) lastGroup() *group {
	if len(h.groups) == 0 {
		return nil
	}
	return h.groups[len(h.groups)-1]
}

// appended notes that a group is in the stream; what it did is known only when
// it is read back.
func (h *Holder) appended(ev AppendDone) {
	if !h.appender.Done(ev.Tag) {
		return
	}
	if g := h.lastGroup(); g != nil && g.tag == ev.Tag {
		g.acked = true
	}
}

// appendFailed notes a failure. A group that certainly was not appended gives
// back what it set aside; any other stays open until the stream tells.
func (h *Holder) appendFailed(ev AppendFailed) {
	if !h.appender.Failed(h.now, ev.Tag) || !ev.Certain {
		return
	}
	g := h.lastGroup()
	if g == nil || g.tag != ev.Tag {
		return
	}
	h.release(g, g.last)
	h.unsendHandOvers(g.first)
	h.groups = h.groups[:len(h.groups)-1]
	if h.proof.num >= g.first {
		h.proof.num = 0
	}
}
