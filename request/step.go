package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// serviceTimeGain is the weight of a new sample in the moving average of the
// service time.
const serviceTimeGain = 0.05

// minRetryAfter is the shortest delay after which a caller is advised to retry.
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

// duplicate returns the cause for rejecting a request whose ID was received
// before, or "" if the ID is new.
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

// enqueue adds c to the queue of its team. It rejects c if the queue is full or
// the expected wait exceeds the deadline. MaxWaiting is divided by weight among
// the teams with waiting calls, so a team that floods the host is refused at
// its own share and leaves the others theirs.
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

// waitingShare returns how many calls team q may have waiting: its share of
// MaxWaiting by weight among the teams with waiting calls, or half of
// MaxWaiting if no other team has any.
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

// expectedWait estimates the wait of one more call of q.
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

// start dispatches c to a worker of this host or forwards it to a peer. It
// returns false if c must wait.
func (r *Router) start(now time.Duration, c *call) bool {
	w := r.pickWorker(now, c)
	if w != nil && r.opts.Limits.TryUse(c.Team, UnitsOfRequest) {
		r.dispatch(now, c, w)
		return true
	}
	if w != nil {
		r.emit(NeedUnits{Team: c.Team, Units: UnitsOfRequest + int64(r.team(c.Team).waiting)})
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

// startWaiting starts waiting calls while there is free capacity, the team with
// the fewest calls in flight for its weight first. A team whose first call
// cannot start is skipped, so a team at its limit does not block the others.
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

// expire rejects waiting calls whose deadline has passed. They did not run,
// unless an earlier try did.
func (r *Router) expire(now time.Duration) {
	for _, q := range r.sortedTeams {
		for _, c := range q.calls {
			if c.waiting && now >= c.Deadline {
				r.reject(c, r.waitCause(c), r.retryAfter(q))
			}
		}
	}
}

// waitCause returns the cause for a call whose deadline passed while it waited.
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
		r.reject(c, CauseCallerGone, 0)
	}
}

// finished ends a call after its dispatch or forward ended, or tries it again.
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
	case ResultCallerGone:
		r.reject(c, CauseAnswerLost, 0)
	}
}

// endTry releases the slot and the unit of a try that ended and updates the
// health of its worker.
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
	if ev.PeerSilent {
		delete(r.peers, c.peer)
	}
	c.avoid = c.worker
	c.worker = ""
	c.peer = ""
	r.releaseUnit(c)
}

// countsAsFailure reports whether the result of a try counts as a failure of
// its worker.
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

// retryIfIdempotent handles a try that may have run. A non-idempotent request
// is never sent again: its first run may still take effect, and a second run
// would apply it twice. Its caller gets the outcome "unknown".
func (r *Router) retryIfIdempotent(now time.Duration, c *call, ev Finished) {
	if c.NonIdempotent || ev.Committed {
		r.reject(c, CauseAnswerLost, 0)
		return
	}
	c.mayHaveRun = true
	r.retry(now, c, ev, CauseFailed, false)
}

// retry sends c again if MaxTries, its deadline and the retry budget allow it.
// skipBudget is set for a peer's refusal, which puts no load on an upstream.
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
