package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// serviceTimeGain is the weight of a new sample in the average service time.
const serviceTimeGain = 0.05

// minRetryAfter is the shortest advice to come back.
const minRetryAfter = 100 * time.Millisecond

func (r *Router) admit(now time.Duration, ev Admitted) {
	c := &call{Admitted: ev, admittedAt: now}
	if ev.Hops > 0 && r.forwardedIDs.full() {
		r.emit(Reject{ID: ev.ID, Cause: &RejectedError{Cause: CauseOverload, RetryAfter: minRetryAfter}})
		return
	}
	if cause := r.duplicate(now, ev); cause != "" {
		r.emit(Reject{ID: ev.ID, Cause: &RejectedError{Cause: cause, RetryAfter: minRetryAfter}})
		return
	}
	r.calls[ev.ID] = c
	switch {
	case r.draining:
		r.reject(c, CauseDraining, minRetryAfter)
	case now >= ev.Deadline:
		r.reject(c, CauseDeadline, 0)
	case r.team(ev.Team).waiting > 0 || !r.start(now, c):
		r.enqueue(now, c)
	}
}

// duplicate returns why an identifier that was taken before is rejected, or "".
func (r *Router) duplicate(now time.Duration, ev Admitted) Cause {
	if _, running := r.calls[ev.ID]; running {
		return CauseDuplicate
	}
	if ev.Hops == 0 {
		return ""
	}
	switch r.forwardedIDs.add(now, ev.ID) {
	case idAdmitted:
		return CauseDuplicate
	case idRefused:
		return CauseOverload
	}
	return ""
}

// enqueue lets c wait, unless too much waits already. The bound is shared in
// proportion to weight among the teams that wait, so that one team's flood is
// refused at its own part and leaves the others theirs.
func (r *Router) enqueue(now time.Duration, c *call) {
	q := r.team(c.Team)
	if q.waiting >= r.waitingShare(q) || r.waiting >= r.opts.MaxWaiting {
		r.reject(c, CauseOverload, r.retryAfter(q))
		return
	}
	if now+r.expectedWait(q) > c.Deadline {
		r.reject(c, CauseDeadline, r.retryAfter(q))
		return
	}
	q.push(c)
	r.waiting++
}

// waitingShare is the number of calls that team q may have waiting: its part
// of the bound by weight among the teams that wait, or half of what is left
// when nobody else does.
func (r *Router) waitingShare(q *teamQueue) int {
	total := q.weight
	for _, other := range r.sortedTeams {
		if other != q && other.waiting > 0 {
			total += other.weight
		}
	}
	if total == q.weight {
		return max(r.opts.MaxWaiting/2, 1)
	}
	return max(r.opts.MaxWaiting*int(q.weight)/int(max(total, 1)), 1)
}

// expectedWait estimates how long one more call of q waits.
func (r *Router) expectedWait(q *teamQueue) time.Duration {
	slots := int64(0)
	for _, w := range r.workers {
		if !w.leaving && !w.quarantined {
			slots += w.slots
		}
	}
	if slots == 0 || r.avgServiceTime == 0 {
		return 0
	}
	return time.Duration(float64(q.waiting+1) * r.avgServiceTime / float64(slots) * float64(time.Second))
}

func (r *Router) retryAfter(q *teamQueue) time.Duration {
	return max(r.expectedWait(q), minRetryAfter)
}

// start places c on a worker of this host or on a peer, and reports false if c
// must wait.
func (r *Router) start(now time.Duration, c *call) bool {
	w := r.pickWorker(now, c)
	if w != nil && r.opts.Limits.TryUse(c.Team, UnitsOfRequest) {
		r.dispatch(now, c, w)
		return true
	}
	if w != nil {
		r.emit(Want{Team: c.Team, Units: UnitsOfRequest + int64(r.team(c.Team).waiting)})
	}
	if p := r.pickPeer(now, c); p != nil {
		r.forward(now, c, p)
		return true
	}
	return false
}

func (r *Router) dispatch(now time.Duration, c *call, w *worker) {
	c.holdsUnit = true
	r.team(c.Team).inFlight++
	w.begin()
	c.tries++
	c.sentAt = now
	c.worker = w.id
	r.counters.Dispatched++
	r.emit(Dispatch{ID: c.ID, Worker: w.id, Team: c.Team, Deadline: c.Deadline, Try: c.tries})
}

func (r *Router) forward(now time.Duration, c *call, p *peer) {
	p.sent++
	c.tries++
	c.sentAt = now
	c.peer = p.Host
	r.counters.Forwarded++
	r.emit(Forward{ID: c.ID, Peer: p.Host, Try: c.tries})
}

// startWaiting starts waiting calls while there is room: the team with the least in
// flight for its weight first. A team whose head cannot start is passed over,
// so that one at its limit does not hold up the others.
func (r *Router) startWaiting(now time.Duration) {
	if r.waiting == 0 {
		return
	}
	blocked := map[ident.TeamID]bool{}
	for r.waiting > 0 {
		q := r.nextTeam(blocked)
		if q == nil {
			return
		}
		c := q.head()
		if !r.start(now, c) {
			blocked[q.team] = true
			continue
		}
		q.dequeue(c)
		r.waiting--
	}
}

func (r *Router) nextTeam(blocked map[ident.TeamID]bool) *teamQueue {
	var best *teamQueue
	for _, q := range r.sortedTeams {
		if blocked[q.team] || q.head() == nil {
			continue
		}
		if best == nil || q.usagePerWeight() < best.usagePerWeight() {
			best = q
		}
	}
	return best
}

// expire rejects waiting calls whose deadline passed. They never ran.
func (r *Router) expire(now time.Duration) {
	for _, q := range r.sortedTeams {
		for _, c := range q.calls {
			if c.waiting && now >= c.Deadline {
				r.reject(c, r.waitCause(c), r.retryAfter(q))
			}
		}
	}
}

// waitCause names what a call that ran out of time was waiting for.
func (r *Router) waitCause(c *call) Cause {
	for _, w := range r.workers {
		if !w.leaving && w.serves(c.Service) {
			if w.free() > 0 && !w.quarantined {
				return CauseLimit
			}
			return CauseDeadline
		}
	}
	return CauseNoWorker
}

func (r *Router) cancel(id ident.TaskID) {
	if c, ok := r.calls[id]; ok && c.waiting {
		r.reject(c, CauseGone, 0)
	}
}

// finished decides what follows the end of a dispatch or forward.
func (r *Router) finished(now time.Duration, ev Finished) {
	c, ok := r.calls[ev.ID]
	if !ok || (c.worker == "" && c.peer == "") {
		return
	}
	forwarded := c.peer != ""
	r.endTry(now, c, ev)
	switch ev.Result {
	case ResultAnswered:
		r.complete(c, ev)
	case ResultNotRun:
		r.retry(now, c, ev, CauseOverload, forwarded)
	case ResultFailed, ResultUncertain:
		r.retryIfIdempotent(now, c, ev)
	case ResultDeadline:
		r.reject(c, CauseTimedOut, 0)
	case ResultAbandoned:
		r.reject(c, CauseLost, 0)
	}
}

// endTry returns the slot and the unit of the try that ended.
func (r *Router) endTry(now time.Duration, c *call, ev Finished) {
	took := now - c.sentAt
	if w, ok := r.byID[c.worker]; ok {
		w.finish(now, took, countsAsFailure(ev))
	}
	if ev.Result == ResultAnswered && c.worker != "" {
		r.avgServiceTime += serviceTimeGain * (took.Seconds() - r.avgServiceTime)
	}
	if ev.Result == ResultNotRun && c.peer != "" {
		c.refusedBy = append(c.refusedBy, c.peer)
	}
	c.avoid = c.worker
	c.worker = ""
	c.peer = ""
	r.releaseUnit(c)
}

// countsAsFailure reports whether a try speaks against its worker.
func countsAsFailure(ev Finished) bool {
	switch ev.Result {
	case ResultFailed, ResultUncertain:
		return true
	case ResultNotRun:
		return !ev.Refused
	}
	return ev.ServerFail
}

func (r *Router) complete(c *call, ev Finished) {
	r.counters.Completed++
	if !ev.ServerFail {
		r.budget(c.Service).earn()
	}
	r.remove(c)
	r.emit(Complete{ID: c.ID})
}

// retryIfIdempotent handles a try that may have run. A non-idempotent request is never
// sent again: its first run may still take effect, and a second would double
// it. Its caller learns that the outcome is unknown.
func (r *Router) retryIfIdempotent(now time.Duration, c *call, ev Finished) {
	if c.NonIdempotent || ev.Committed {
		r.reject(c, CauseLost, 0)
		return
	}
	c.mayHaveRun = true
	r.retry(now, c, ev, CauseFailed, false)
}

// retry tries c once more if its tries, its deadline and the budget allow it.
// A peer's refusal is free: it cost no upstream anything.
func (r *Router) retry(now time.Duration, c *call, ev Finished, cause Cause, skipBudget bool) {
	if c.tries >= r.opts.MaxTries || now >= c.Deadline || ev.Committed {
		r.reject(c, cause, max(ev.RetryAfter, minRetryAfter))
		return
	}
	if !skipBudget && !r.budget(c.Service).spend() {
		r.reject(c, cause, max(ev.RetryAfter, minRetryAfter))
		return
	}
	r.counters.Retried++
	if !r.start(now, c) {
		r.enqueue(now, c)
	}
}
