package region

// A ticket is valid in one incarnation of its worker: the one that is up when it is issued. Calls
// for advice and their answers name workers by id alone, so that this need not be the incarnation
// that the leader knows, and that the start names. The next one may have begun unnoticed, and
// accepts the start if that reaches it.

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
