package region

import (
	"cmp"
	"slices"
	"time"
)

// lateGrants holds until when calls without an answer may grant a worker leases, by the fencing
// token of the calls. An incarnation that has executed a call with a token refuses those with lower
// ones, so that only calls with the token of a start, or a higher one, can prolong what it started.
type lateGrants struct {
	list  []lateGrant // in the order of tokens
	probe lateGrant   // of the probe in flight; its zero value if that grants none

	renewed bool // the newest probe that was answered granted a lease
}

type lateGrant struct {
	fence int64
	until time.Duration // the call is not executed later
}

// add records a call that grants a lease if it is executed, and drops those that are not executed
// after a time any more: the leases that they grant are over.
func (g *lateGrants) add(c lateGrant, over time.Duration) {
	g.list = slices.DeleteFunc(g.list, func(old lateGrant) bool { return old.until < over })
	at, known := slices.BinarySearchFunc(g.list, c.fence, func(l lateGrant, fence int64) int { return cmp.Compare(l.fence, fence) })
	if known {
		g.list[at].until = max(g.list[at].until, c.until)
		return
	}
	g.list = slices.Insert(g.list, at, c)
}

// last returns until when a call with the fencing token, or a higher one, may grant a lease; 0 if
// there is none.
func (g *lateGrants) last(fence int64) time.Duration {
	var last time.Duration
	if g.probe.fence >= fence {
		last = g.probe.until
	}
	for i := len(g.list) - 1; i >= 0 && g.list[i].fence >= fence; i-- {
		last = max(last, g.list[i].until)
	}
	return last
}

// probeSent records that a probe is in flight which grants a lease.
func (g *lateGrants) probeSent(fence int64, at time.Duration) {
	g.probe = lateGrant{fence, at + lateCallWindow}
}

// settleProbeGrant records the outcome of the probe in flight. One that was answered, or not sent, is
// not executed any more.
func (s *Scheduler) settleProbeGrant(w *worker, err CallError) {
	if g := &w.grants; err == CallNoAnswer && g.probe.until > 0 {
		s.addGrant(w, lateGrant{g.probe.fence, s.now + lateCallWindow})
	}
	if err == CallOK {
		w.grants.renewed = w.grants.probe.until > 0
	}
	w.grants.probe = lateGrant{}
}

// addGrant records a call to a worker that may grant a lease late.
func (s *Scheduler) addGrant(w *worker, c lateGrant) {
	w.grants.add(c, s.now-s.maxLease()-lapseMargin)
}

// startGrantsUntil returns until when a start of the run that is sent at a time may grant a lease. A
// worker that guards its capacity may also take the lease from a start that it refuses for want of
// room, whether its ticket has expired or not.
func (s *Scheduler) startGrantsUntil(r *run, at time.Duration) time.Duration {
	if s.config != nil && s.config.Services[r.task.step.job.rec.Policy.GetService()].EnforcesCapacity {
		return at + lateCallWindow
	}
	return r.calls.closesBy(at + lateCallWindow)
}

// outdateStarts raises the worker's fencing token before a stop of a run whose start may be executed
// by another incarnation than the named one. That would take the lease of a start that comes after
// the stop, whether its ticket has expired or not, unless it has to refuse it for its token.
func (s *Scheduler) outdateStarts(r *run) {
	w := r.worker
	if r.task.step.needsAdvice() && r.unsettled() && r.calls.fence == s.fenceOf(w) && w.fenceSteps < maxFenceSteps/2 {
		s.raiseFence(w)
	}
}

// outdateGrants raises the worker's fencing token before the first start of a run whose ticket is
// not bound, if a call with the present one may grant a lease after the ticket has expired. An
// incarnation that executes the start refuses that call, so that what it grants need not be awaited.
//
// It leaves tokens for outdateAcks and endIncarnation, without which a leader steps down: where it
// does not raise the token, the run is only awaited for longer.
func (s *Scheduler) outdateGrants(r *run) {
	w := r.worker
	if w.fenceSteps < maxFenceSteps/2 && w.grants.last(s.fenceOf(w)) > r.calls.expireAt {
		s.raiseFence(w)
	}
}

// awaitsBinding reports whether a start to the worker has no answer whose ticket is not bound. The
// next probe then grants nothing: it shows whether the incarnation is up that the start names, and if
// it were executed late by another one, it would prolong what the start began there. Before a start
// is overdue, this holds for every second probe only, so that many starts let no lease expire.
func (s *Scheduler) awaitsBinding(w *worker) bool {
	if len(w.pendingCalls) == 0 {
		return false
	}
	before := s.now
	if !w.grants.renewed {
		before = s.overdueBefore()
	}
	return slices.ContainsFunc(w.runs, func(r *run) bool {
		at, pending := w.pendingCalls[r.id()]
		return pending && at <= before && r.task.step.needsAdvice() && r.unsettled()
	})
}
