package region

import "time"

const (
	// shortLease is the lease of pressing work. A look waits for a leaseLooks-th of it
	// at the worker, a lost one is noticed 300 ms later, and the next ones have to be
	// answered before a lease is granted anew.
	shortLease = 1200 * time.Millisecond
	// leaseLooks is how many looks at a worker fit into its lease: one may get lost.
	leaseLooks = 3
	// restartTime is what lies between the end of a lease and the next run of its
	// task, beside the run itself: the margin for the worker, advice, and an append.
	restartTime = lapseMargin + 200*time.Millisecond
	// apartShare of the time that a patient step may wait is spent looking for room
	// that it does not share with pressing work. The rest is left for the case that
	// there is none: all kinds of work then share all workers.
	apartShare = 0.5
)

// pressing reports whether the step's work is worth nothing any more once it has
// been held for the longest lease and run again.
//
// A worker that is cut off holds its work until its lease is over, as only then
// may a task start elsewhere. Pressing work therefore has short leases; patient
// work has long ones, as most cuts are over before they end and it would lose all
// that it has done. All that runs on a worker has one lease, so the two are kept
// apart as long as there is room.
//
// In a cut of a zone for 6 s the urgent tasks there, of 0.64 s, were held for all
// of the cut with leases of 6 s, beyond three times their objective.
//
// Declared run times are up to 90% off, so that a fifth of the urgent tasks counted
// as patient by their own: what the queue's tasks usually take counts if it is less.
func (s *Scheduler) pressing(st *step) bool {
	if st.rec.LongRunning {
		return false
	}
	run := st.job.runTime(st.rec)
	if usual := st.job.queue.usual; usual > 0 {
		run = min(run, usual)
	}
	policy := st.job.rec.Policy
	objective := time.Duration(policy.GetStretch()*float64(run)) + time.Duration(policy.GetTargetLatencyMs())*time.Millisecond
	return partialCredit*objective-2*run-restartTime < s.opts.Lease
}

// runCounts counts the runs on a worker by kind.
type runCounts struct{ pressing, patient int }

func (n *runCounts) add(pressing bool, by int) {
	if pressing {
		n.pressing += by
		return
	}
	n.patient += by
}

// leaseFor returns the lease that a worker gets. An idle one gets a short one: it
// never shortens, and would be borne by the pressing work that comes next. With the link
// full, looks come too late for short ones, and what lapses has to be sent again.
func (s *Scheduler) leaseFor(w *worker) time.Duration {
	if w.counts.patient > 0 || s.linkLoad > fullLink {
		return s.opts.Lease
	}
	return min(shortLease, s.opts.Lease)
}

// leaseEnd returns the end of a lease that is granted now, on the worker's
// clock, or 0 if it is not certain that no other host leads.
func (s *Scheduler) leaseEnd(w *worker) int64 {
	if !s.leadershipConfirmed() {
		return 0
	}
	until := w.clock(s.now) + s.leaseFor(w).Milliseconds()
	w.leaseMs = max(w.leaseMs, until)
	return until
}

const (
	// mixPenalty ranks a worker on which patient and pressing work would meet behind
	// any other that fits, in thousandths of a core: it is more than any worker has,
	// so that best fit decides among workers of one kind.
	mixPenalty = 1e5
	// gatherBonus ranks workers that both kinds share already before those that
	// have patient work alone: the patient work there ends and no more comes, so
	// that some workers are left with pressing work only.
	gatherBonus = mixPenalty / 2
)

// apartScore is what the other work of a worker, and the lease that it left behind,
// add to the worker's rank for a step.
func (s *Scheduler) apartScore(st *step, w *worker) float64 {
	switch {
	case !st.pressing && w.counts.pressing > 0:
		return -mixPenalty
	case !st.pressing || w.counts.patient == 0 && !s.longLeased(w):
		return 0
	case w.counts.pressing > 0:
		return gatherBonus - mixPenalty
	}
	return -mixPenalty
}

// longLeased reports whether what starts on the worker now would have to bear a
// longer lease than a short one: leases that were granted last.
func (s *Scheduler) longLeased(w *worker) bool {
	left := time.Duration(w.leaseMs-w.clock(s.now)) * time.Millisecond
	return left > 2*shortLease
}

// keptApart reports whether patient work stays off a worker for the sake of the
// pressing work there. A preference alone does not do it: patient work, of which
// there is the most, takes whatever hole is left, so that before long all workers
// have long leases.
func (s *Scheduler) keptApart(st *step, w *worker) bool {
	if w.counts.pressing == 0 || st.rec.LongRunning || st.pressing {
		return false
	}
	patience := time.Duration(apartShare * float64(st.latestStart-st.readyAt))
	return s.now < st.readyAt+patience
}
