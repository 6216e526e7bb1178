package jobs

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// group is an append that is not settled: its records may be in the stream.
type group struct {
	tag         stream.Tag
	first, last uint64 // numbers of its records
	acked       bool   // it is in the stream, though not read back
	entries     []entry
}

// entry is a record of a group that carries a proposal. Cancellations have none:
// while the log is out of reach for hours they are sent many times.
type entry struct {
	num      uint64
	proposal *proposal
}

// draft collects the records of the next group.
type draft struct {
	owner *Owner
	group *group
	data  [][]byte
	bytes int
}

// add encodes a record under the next number. It reports false, and leaves the
// draft as it was, if the record does not fit the group any more.
func (d *draft) add(body Record) bool {
	o := d.owner
	if len(d.data) >= o.cfg.GroupRecords {
		return false
	}
	body.Epoch = o.epoch
	body.Num = o.num + 1
	body.Elapsed = millis(o.now - o.epochAt)
	data, err := Encode(body)
	if err != nil {
		return false
	}
	if d.bytes+len(data) > o.cfg.GroupBytes && len(d.data) > 0 {
		return false
	}
	o.num++
	d.data = append(d.data, data)
	d.bytes += len(data)
	return true
}

// addProposal adds the record that a proposal wants.
func (d *draft) addProposal(p *proposal) bool {
	if !d.add(p.body) {
		return false
	}
	p.open = true
	d.group.entries = append(d.group.entries, entry{num: d.owner.num, proposal: p})
	return true
}

// addCancellation adds a record that makes sure that an acceptance does not run.
func (d *draft) addCancellation(p *proposal) bool {
	if !d.add(p.cancellation()) {
		return false
	}
	if p.doomed == 0 {
		p.doomed = d.owner.num
	}
	return true
}

// sendGroup forms and sends the next group, if one is due.
//
// At most one append is open, and what was acknowledged is read back before the
// next one, so a group is formed from the state right before it. A group whose
// answer was lost is followed by one with higher numbers and nothing in it that
// anybody proposed. Once that one is read back, the lost one has either been
// read before it or is void for ever, and what it carried can be sent again.
// So no proposal is in the stream twice, and proposals keep their order.
func (o *Owner) sendGroup() {
	if g := o.lastGroup(); g != nil && g.acked {
		return
	}
	clean := len(o.groups) == 0
	urgent := !clean || !o.tray.empty()
	if !o.appender.Ready(o.now, o.interval(urgent)) {
		return
	}
	d := &draft{owner: o, group: &group{first: o.num + 1}}
	if clean {
		o.addRefresh(d)
		o.addProposals(d)
	} else {
		o.addCancellations(d)
	}
	o.addMark(d, clean)
	if len(d.data) == 0 {
		return
	}
	d.group.last = o.num
	cmd := o.appender.Send(o.now, d.data)
	d.group.tag = cmd.Tag
	o.groups = append(o.groups, d.group)
	o.emit(cmd)
}

func (o *Owner) interval(urgent bool) time.Duration {
	if urgent {
		return o.cfg.AppendInterval
	}
	return o.cfg.RefreshInterval
}

// addProposals adds what waits, oldest first.
func (o *Owner) addProposals(d *draft) {
	for _, p := range o.tray.order() {
		fits := false
		if p.landed {
			fits = d.addCancellation(p)
		} else {
			fits = d.addProposal(p)
		}
		if !fits {
			return
		}
	}
}

// addCancellations follows expired acceptances, which may be in the stream, by
// their cancellation, unless somebody else still waits for them.
func (o *Owner) addCancellations(d *draft) {
	for _, p := range o.tray.order() {
		if p.body.Accepted == nil || !p.sent() {
			continue
		}
		over := p.doomed > 0 || p.expired && !p.hasLiveFollower()
		if over && !d.addCancellation(p) {
			return
		}
	}
}

// refreshShare is the part of a group that may be used to write jobs again.
const refreshShare = 4

// addRefresh writes again the jobs whose records have grown old. A group whose
// answer was lost could change a job before the record lands, so it is done
// only while nothing is open.
func (o *Owner) addRefresh(d *draft) {
	most := max(1, o.cfg.GroupRecords/refreshShare)
	for _, j := range o.fold.oldestUpTo(most, o.refreshDue) {
		if d.bytes > o.cfg.GroupBytes/refreshShare {
			return
		}
		if !d.add(Record{State: stateOf(j)}) {
			return
		}
	}
}

// refreshDue reports whether a job must be written again: by its age in the
// stream's time; because so many records came behind it that a successor would
// read long; or, in case the stream's time runs slow because the stream had no
// owner for long, because it is near the oldest record that is retained.
func (o *Owner) refreshDue(j *Job) bool {
	clock := o.fold.at.FenceClock + millis(o.now-o.epochAt)
	if clock-j.base.Clock >= millis(o.cfg.RefreshAfter) {
		return true
	}
	behind := int(o.fold.Position() - j.base.After)
	if behind >= o.cfg.RefreshRecords+refreshRatio*o.fold.Len() {
		return true
	}
	first, last := o.reader.First, o.reader.Last
	if first <= 1 || last <= first {
		return false
	}
	return j.base.After < first+(last-first)/expiryMargin
}

// refreshRatio is how many records for each job may stand behind the oldest one.
// It bounds both what a successor reads, to about so many times the live state,
// and what writing jobs again adds, to about one record in so many.
const refreshRatio = 4

// expiryMargin is the part of the retained records, from the oldest, in which a
// job is written again whatever its age.
const expiryMargin ports.Offset = 8

// addMark adds a mark when one is due, or as the record that settles a lost
// group when there is nothing else to send.
func (o *Owner) addMark(d *draft, clean bool) {
	settles := !clean && len(d.data) == 0
	grown := o.fold.Position() > o.marked
	due := o.now-o.markAt >= o.cfg.MarkEvery && grown
	if !settles && !due {
		return
	}
	if d.add(Record{Mark: &Mark{Start: o.fold.start()}}) {
		o.markAt = o.now
	}
}

// settle takes a record of this epoch that was read back in force. Numbers rise
// along the stream, so every group below it that was not read is void.
func (o *Owner) settle(at ports.Offset, v Verdict) {
	num := v.Record.Num
	for len(o.groups) > 0 && o.groups[0].last < num {
		g := o.groups[0]
		o.groups = o.groups[1:]
		o.takeBack(g)
	}
	if c := v.Record.Cancelled; c != nil {
		o.settleCancelled(c.Job, num)
	}
	if len(o.groups) == 0 || num < o.groups[0].first {
		return
	}
	g := o.groups[0]
	if len(g.entries) > 0 && g.entries[0].num == num {
		e := g.entries[0]
		g.entries = g.entries[1:]
		o.settleEntry(e, at, v)
	}
	if num == g.last {
		o.groups = o.groups[1:]
	}
}

// settleCancelled ends the acceptance that a cancellation of this host followed:
// it was read before and is cancelled now, or was not and is void.
func (o *Owner) settleCancelled(job ident.JobID, num uint64) {
	p := o.tray.jobs[job]
	if p != nil && p.doomed > 0 && num >= p.doomed {
		o.void(p, Void{Reason: VoidExpired})
	}
}

// takeBack handles a group that is not in the stream and never will be. What it
// carried goes into a later one, if it is still wanted.
func (o *Owner) takeBack(g *group) {
	for _, e := range g.entries {
		p := e.proposal
		if p.settled {
			continue
		}
		p.open = false
		switch {
		case p.expired:
			o.promote(p)
			o.void(p, Void{Reason: VoidExpired})
		case o.phase == phaseLeaving:
			o.void(p, Void{Reason: VoidNotOwner})
		}
	}
}
