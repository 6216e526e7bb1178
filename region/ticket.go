package region

import "time"

// A ticket is valid in one incarnation of its worker: the one that is up when it is issued. Calls
// for advice and their answers name workers by id alone, so that this need not be the incarnation
// that the leader knows, and that the start names. The next one may have begun unnoticed, and
// accepts the start if that reaches it.

// ticketExpiry returns when a ticket that was issued before a time has certainly expired, by the
// slowest clock of a worker.
func (st *step) ticketExpiry(issuedBy time.Duration) time.Duration {
	valid := time.Duration(st.job.rec.Policy.GetAdvice().GetValidMs()) * time.Millisecond
	return issuedBy + time.Duration(float64(valid)/(1-clockDrift))
}

// renewTicket notes that the advice service has issued the ticket of runs on a worker once more.
func (st *step) renewTicket(m adviceMark) {
	for _, r := range m.worker.runs {
		if r.task.step != st || r.ticket != m.ticket {
			continue
		}
		r.calls.expireAt = st.ticketExpiry(m.issuedBy)
		if r.phase == phaseLateStart && r.settledAt > 0 {
			r.settledAt = max(r.settledAt, r.calls.expireAt)
		}
	}
}

// ticketBound reports whether no incarnation but the run's accepts its ticket: the run has been
// listed, or its incarnation has answered a probe that was sent after the ticket was issued.
func (r *run) ticketBound() bool {
	if !r.task.step.needsAdvice() {
		return false
	}
	w := r.worker
	return r.listed || r.ref.BornUnix == w.incarnation.BornUnix && w.probedAt > 0 && w.probedAt >= r.ticketAt
}

// ticketOutlived reports whether an answer of the worker's present incarnation settles a run whose
// own incarnation has ended. The present one refuses its starts by their fencing token, and no later
// one accepts the ticket.
func (r *run) ticketOutlived() bool {
	return r.task.step.needsAdvice() && r.phase == phaseLateStart && r.ref.BornUnix != r.worker.incarnation.BornUnix
}
