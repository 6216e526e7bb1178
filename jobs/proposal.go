package jobs

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// proposal is a record that somebody on this host wants in the stream.
type proposal struct {
	id       ProposalID
	body     Record
	deadline time.Duration // zero for none

	open    bool // its record is in a group that is not settled
	expired bool // its deadline passed or it was withdrawn
	told    bool // Undecided was reported
	settled bool // its final command was given

	// doomed is the number of the first cancellation that followed it, while its
	// record was open; zero for none. A repeat of its key then stands for itself.
	doomed   uint64
	landed   bool // its record is in force until the cancellation is
	landedAt ports.Offset

	// leader is the earlier proposal with the same idempotency key, if any. The
	// follower is never sent: the leader's end decides it.
	leader    *proposal
	followers []*proposal
}

// sent reports whether the proposal may be in the stream.
func (p *proposal) sent() bool {
	if p.leader != nil {
		return p.leader.sent()
	}
	return p.open || p.landed
}

// hasLiveFollower reports whether somebody still waits for a proposal that
// expired.
func (p *proposal) hasLiveFollower() bool { return p.liveFollower() != nil }

func (p *proposal) liveFollower() *proposal {
	for _, f := range p.followers {
		if !f.settled && !f.expired {
			return f
		}
	}
	return nil
}

// cancellation returns the record that makes sure that an expired acceptance
// does not run, whether it is in the stream or not.
func (p *proposal) cancellation() Record {
	return Record{Cancelled: &Cancelled{Job: p.body.Accepted.Job, Reason: "deadline passed before acceptance"}}
}

// key returns the idempotency key that the proposal claims.
func (p *proposal) key() KeyHash {
	if p.body.Accepted == nil {
		return ""
	}
	return p.body.Accepted.Key
}

// tray holds the proposals that are not settled.
type tray struct {
	byID      map[ProposalID]*proposal
	list      []*proposal // leaders, oldest first; settled ones are skipped
	keys      map[KeyHash]*proposal
	jobs      map[ident.JobID]*proposal // acceptances, by job
	deadlines deadlines
}

func newTray() tray {
	return tray{
		byID: map[ProposalID]*proposal{},
		keys: map[KeyHash]*proposal{},
		jobs: map[ident.JobID]*proposal{},
	}
}

func (t *tray) empty() bool { return len(t.byID) == 0 }

func (t *tray) put(p *proposal) {
	t.byID[p.id] = p
	if p.body.Accepted != nil {
		t.jobs[p.body.Accepted.Job] = p
	}
	if p.deadline > 0 {
		heap.Push(&t.deadlines, p)
	}
	if p.leader != nil {
		p.leader.followers = append(p.leader.followers, p)
		return
	}
	t.list = append(t.list, p)
	if key := p.key(); key != "" {
		t.keys[key] = p
	}
}

// order returns the proposals that speak for themselves, oldest first.
func (t *tray) order() []*proposal {
	kept := t.list[:0]
	for _, p := range t.list {
		if !p.settled {
			kept = append(kept, p)
		}
	}
	clear(t.list[len(kept):])
	t.list = kept
	return kept
}

// remove forgets a settled proposal.
func (t *tray) remove(p *proposal) {
	p.settled = true
	delete(t.byID, p.id)
	if p.body.Accepted != nil {
		delete(t.jobs, p.body.Accepted.Job)
	}
	if key := p.key(); key != "" && t.keys[key] == p {
		delete(t.keys, key)
	}
}

// drain settles everything and returns it in order of age, each leader before
// its followers.
func (t *tray) drain() []*proposal {
	var out []*proposal
	for _, p := range t.order() {
		out = append(out, p)
		for _, f := range p.followers {
			if !f.settled {
				out = append(out, f)
			}
		}
	}
	for _, p := range out {
		p.settled = true
	}
	*t = newTray()
	return out
}

// dueBy returns the next unsettled proposal whose deadline has passed, or nil.
func (t *tray) dueBy(now time.Duration) *proposal {
	for len(t.deadlines) > 0 && t.deadlines[0].deadline <= now {
		p := heap.Pop(&t.deadlines).(*proposal)
		if !p.settled && !p.expired {
			return p
		}
	}
	return nil
}

// deadlines implements heap.Interface.
type deadlines []*proposal

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, k int) bool { return d[i].deadline < d[k].deadline }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, k int) { d[i], d[k] = d[k], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*proposal)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	p := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return p
}
