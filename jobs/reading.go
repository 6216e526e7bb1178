package jobs

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// page takes records read back.
func (o *Owner) page(ev PageRead) {
	ans := o.reader.Page(ev)
	if ans.Stale || o.phase == phaseIdle {
		return
	}
	if o.phase == phaseLoading {
		o.loading(ans)
		return
	}
	if ans.Expired {
		o.missed()
		return
	}
	for _, rec := range ans.Records {
		o.reader.Take(rec.Offset)
		o.record(rec)
	}
	if o.phase == phaseReading && ans.AtEnd {
		o.phase = phaseFencing
	}
}

// loading lets the loader find the start of reading.
func (o *Owner) loading(ans stream.Answer) {
	fold, whole, ok := o.load.page(&o.reader, ans)
	if !ok {
		return
	}
	o.fold = fold
	o.whole = whole
	o.marked = 0
	o.phase = phaseReading
}

// record folds one record and settles what it decides.
func (o *Owner) record(rec ports.Record) {
	v := o.fold.Apply(rec.Offset, rec.Data)
	if v.Record.Fence != nil {
		o.fenceRead(Epoch(rec.Offset), v.Record.Fence.Owner)
		return
	}
	if v.Record.Mark != nil && v.Applied {
		o.marked = rec.Offset
	}
	if o.owns() && v.Record.Epoch == o.epoch && v.Reason != RejectNumber && v.Reason != RejectMalformed {
		o.settle(rec.Offset, v)
	}
}

// fenceRead ends the epoch of this host, if it had one: nothing of it that was
// not read before the fence can ever be in force. If the fence is this host's,
// it begins an epoch.
func (o *Owner) fenceRead(epoch Epoch, owner ident.Holder) {
	if o.owns() {
		o.lose(owner)
	}
	if owner != o.cfg.Self || !o.want || o.phase == phaseReading {
		return
	}
	o.phase = phaseOwning
	o.epoch = epoch
	o.epochAt = o.now
	o.num = 0
	o.markAt = o.now
	o.emit(BecameOwner{Epoch: epoch, Whole: o.whole})
}

// lose settles every proposal that was not read as void and reports the loss.
func (o *Owner) lose(to ident.Holder) {
	o.groups = nil
	o.settleLanded()
	for _, p := range o.tray.drain() {
		o.emit(Void{ID: p.id, Reason: VoidLost})
	}
	o.emit(LostOwnership{Epoch: o.epoch, Owner: to})
	o.fenced = o.now + o.cfg.FenceInterval
	o.phase = phaseFencing
	if !o.want {
		o.phase = phaseIdle
	}
}

// settleLanded ends acceptances that are in force, and whose cancellation is
// not any more.
func (o *Owner) settleLanded() {
	for _, p := range o.tray.order() {
		if p.landed {
			o.effective(p, p.landedAt)
		}
	}
}

// missed handles records that expired before this host read them: it was cut
// off for longer than the log keeps records. What was sent can never be told;
// what was not sent is void.
func (o *Owner) missed() {
	if o.owns() {
		o.groups = nil
		o.settleLanded()
		for _, p := range o.tray.drain() {
			if p.sent() {
				o.emit(Undecided{ID: p.id, Final: true})
				continue
			}
			o.emit(Void{ID: p.id, Reason: VoidLost})
		}
		o.emit(LostOwnership{Epoch: o.epoch})
	}
	o.phase = phaseIdle
	if o.want {
		o.startLoading()
	}
}

// appended notes that a group is in the stream. It is not in force before it
// was read back with no other owner's fence before it.
func (o *Owner) appended(ev AppendDone) {
	if !o.appender.Done(ev.Tag) {
		return
	}
	if g := o.lastGroup(); g != nil && g.tag == ev.Tag {
		g.acked = true
	}
}

// appendFailed notes a failure. A group that certainly was not appended is
// taken back; any other stays open until the stream tells.
func (o *Owner) appendFailed(ev AppendFailed) {
	if !o.appender.Failed(o.now, ev.Tag) {
		return
	}
	g := o.lastGroup()
	if g == nil || g.tag != ev.Tag || !ev.Certain {
		return
	}
	o.groups = o.groups[:len(o.groups)-1]
	o.takeBack(g)
}

func (o *Owner) lastGroup() *group {
	if len(o.groups) == 0 {
		return nil
	}
	return o.groups[len(o.groups)-1]
}
