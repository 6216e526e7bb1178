package jobs

import (
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// propose takes a proposal, or answers it at once.
func (o *Owner) propose(ev Propose) {
	p := &proposal{id: ev.ID, body: ev.Body, deadline: ev.Deadline}
	if v, refused := o.refuse(p); refused {
		v.ID = ev.ID
		o.emit(v)
		return
	}
	if a := ev.Body.Accepted; a != nil && o.answerKnown(p, a) {
		return
	}
	o.tray.put(p)
}

// refuse checks what can be said without the stream.
func (o *Owner) refuse(p *proposal) (Void, bool) {
	switch {
	case o.phase != phaseOwning:
		return Void{Reason: VoidNotOwner, RetryAfter: o.cfg.FenceInterval}, true
	case !proposable(p.body):
		return Void{Reason: VoidMalformed}, true
	case p.deadline > 0 && p.deadline <= o.now:
		return Void{Reason: VoidExpired}, true
	case len(o.tray.byID) >= o.cfg.MaxQueued:
		return Void{Reason: VoidFull, RetryAfter: o.cfg.RetryInterval}, true
	case o.tooLarge(p.body):
		return Void{Reason: VoidTooLarge}, true
	case o.tray.jobs[subject(p.body)] != nil:
		return Void{Reason: VoidRejected, Reject: RejectNoJob}, true
	}
	return Void{}, false
}

// proposable reports whether the record has exactly one body, and one that may
// be proposed.
func proposable(r Record) bool {
	if r.Fence != nil || r.State != nil || r.Mark != nil {
		return false
	}
	bodies := 0
	for _, set := range [...]bool{r.Accepted != nil, r.Assigned != nil, r.Ended != nil, r.JobEnded != nil, r.Cancelled != nil} {
		if set {
			bodies++
		}
	}
	return bodies == 1
}

// subject returns the job that a record other than an acceptance is about.
//
// Nothing may be proposed about a job whose acceptance is not settled: it may be
// in the state already and still be cancelled as "not run".
func subject(r Record) ident.JobID {
	switch {
	case r.Assigned != nil:
		return r.Assigned.Attempt.Job
	case r.Ended != nil:
		return r.Ended.Attempt.Job
	case r.JobEnded != nil:
		return r.JobEnded.Job
	case r.Cancelled != nil:
		return r.Cancelled.Job
	}
	return ident.JobID{}
}

// tooLarge reports whether an acceptance does not fit a group. The other
// records are small.
func (o *Owner) tooLarge(r Record) bool {
	if r.Accepted == nil {
		return false
	}
	data, err := Encode(r)
	return err != nil || len(data) > o.cfg.GroupBytes/2
}

// answerKnown handles an acceptance whose job or key is known already, in the
// stream or among the proposals.
//
// It guards against a caller's repeat that runs twice: while the first
// acceptance may or may not be in the stream, the repeat waits for its end
// instead of claiming the key again.
func (o *Owner) answerKnown(p *proposal, a *Accepted) bool {
	if o.fold.Job(a.Job) != nil {
		o.emit(Existing{ID: p.id, Job: a.Job})
		return true
	}
	if o.tray.jobs[a.Job] != nil {
		o.emit(Void{ID: p.id, Reason: VoidRejected, Reject: RejectKnown})
		return true
	}
	leader := o.tray.keys[a.Key]
	if a.Key == "" || leader != nil && leader.doomed > 0 {
		return false
	}
	if j := o.fold.ByKey(a.Key); j != nil {
		o.answerKey(p, &j.Accepted)
		return true
	}
	if leader == nil {
		return false
	}
	if first := leader.body.Accepted; first.Fingerprint != a.Fingerprint {
		o.emit(Void{ID: p.id, Reason: VoidKeyConflict, Job: first.Job})
		return true
	}
	p.leader = leader
	o.tray.put(p)
	return true
}

// answerKey settles an acceptance whose key has a job.
func (o *Owner) answerKey(p *proposal, first *Accepted) {
	if first.Fingerprint != p.body.Accepted.Fingerprint {
		o.emit(Void{ID: p.id, Reason: VoidKeyConflict, Job: first.Job})
		return
	}
	o.emit(Existing{ID: p.id, Job: first.Job})
}

// withdraw lets a proposal expire.
func (o *Owner) withdraw(ev Withdraw) {
	if p := o.tray.byID[ev.ID]; p != nil && !p.expired {
		o.expireOne(p)
	}
}

// expire lets pass the deadlines that have come.
func (o *Owner) expire() {
	for p := o.tray.dueBy(o.now); p != nil; p = o.tray.dueBy(o.now) {
		o.expireOne(p)
	}
}

// expireOne ends a proposal that cannot be in the stream as void. One that may
// be there is only reported as undecided: saying "not run" would be a guess.
func (o *Owner) expireOne(p *proposal) {
	p.expired = true
	if p.sent() {
		o.tell(p)
		return
	}
	if p.leader == nil {
		o.promote(p)
	}
	o.void(p, Void{Reason: VoidExpired})
}

func (o *Owner) tell(p *proposal) {
	if !p.told {
		p.told = true
		o.emit(Undecided{ID: p.id})
	}
}

// promote lets the first follower of a proposal that was never sent take its
// place.
func (o *Owner) promote(p *proposal) {
	heir := p.liveFollower()
	if heir == nil {
		return
	}
	followers := p.followers
	p.followers = nil
	heir.leader = nil
	o.tray.list = append(o.tray.list, heir)
	o.tray.keys[heir.key()] = heir
	for _, f := range followers {
		if f != heir && !f.settled {
			f.leader = heir
			heir.followers = append(heir.followers, f)
		}
	}
}

// refuseQueued voids what was never sent.
func (o *Owner) refuseQueued(reason VoidReason) {
	for _, p := range o.tray.order() {
		if !p.sent() {
			o.void(p, Void{Reason: reason})
		}
	}
}

// void ends a proposal without effect, and its followers with it.
func (o *Owner) void(p *proposal, v Void) {
	if p.settled {
		return
	}
	o.tray.remove(p)
	v.ID = p.id
	o.emit(v)
	for _, f := range p.followers {
		o.void(f, v)
	}
}

// settleEntry takes the verdict on a record that speaks for a proposal.
func (o *Owner) settleEntry(e entry, at ports.Offset, v Verdict) {
	p := e.proposal
	switch {
	case p.settled:
	case v.Applied && p.doomed > 0:
		p.open = false
		p.landed = true
		p.landedAt = at
	case v.Applied:
		o.effective(p, at)
	case v.Reason == RejectKeyTaken:
		o.settleTaken(p)
	default:
		o.void(p, Void{Reason: VoidRejected, Reject: v.Reason})
	}
}

// effective ends a proposal that is in the stream, in force.
func (o *Owner) effective(p *proposal, at ports.Offset) {
	o.tray.remove(p)
	o.emit(Effective{ID: p.id, Offset: at, Epoch: o.epoch, Late: p.expired})
	for _, f := range p.followers {
		if !f.settled {
			o.tray.remove(f)
			o.emit(Existing{ID: f.id, Job: p.body.Accepted.Job})
		}
	}
}

// settleTaken ends an acceptance whose key was taken in the stream.
func (o *Owner) settleTaken(p *proposal) {
	j := o.fold.ByKey(p.key())
	if j == nil || j.Fingerprint != p.body.Accepted.Fingerprint {
		o.void(p, Void{Reason: VoidKeyConflict})
		return
	}
	o.tray.remove(p)
	o.emit(Existing{ID: p.id, Job: j.Job})
	for _, f := range p.followers {
		if !f.settled {
			o.tray.remove(f)
			o.emit(Existing{ID: f.id, Job: j.Job})
		}
	}
}
