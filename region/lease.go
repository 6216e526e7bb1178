package region

import "time"

const (
	// shortLease is the lease of a worker with latency-sensitive work. A probe waits at the
	// worker for up to shortLease/probesPerLease, a lost probe is detected 300 ms later,
	// and further ones must be answered before a lease is granted again.
	shortLease = 1200 * time.Millisecond
	// probesPerLease is how many probes of a worker fit into its lease: one may be lost.
	probesPerLease = 3
	// restartTime is the time between the end of a lease and the restart of its task: the
	// worker's margin, advice and an append to the log.
	restartTime = lapseMargin + 200*time.Millisecond
	// separationShare is the part of a deferrable step's slack during which it avoids
	// workers with latency-sensitive work. Afterwards it may use any worker, as there may
	// be no other room.
	separationShare = 0.5
)

// latencySensitive reports whether the step's result is worthless if the step must be run
// again after the longest lease. Other steps are deferrable.
//
// A task on a worker behind a network partition can start elsewhere only when the
// worker's lease has expired. Latency-sensitive work therefore has short leases.
// Deferrable work has long ones: most partitions end before the lease does, and a restart
// would lose its progress. A worker has one lease for all its runs, so the two kinds are
// placed on separate workers while there is room.
//
// With leases of 6 s, a partition of a zone for 6 s delayed the urgent tasks there, of
// 0.64 s, for its whole length, beyond three times their objective.
//
// Declared run times are up to 90% off, and a fifth of the urgent tasks would count as
// deferrable by them. The usual run time of the queue counts if it is shorter.
func (s *Scheduler) latencySensitive(st *step) bool {
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
type runCounts struct{ latencySensitive, deferrable int }

func (n *runCounts) add(latencySensitive bool, by int) {
	if latencySensitive {
		n.latencySensitive += by
		return
	}
	n.deferrable += by
}

// leaseFor returns the length of the lease that a worker gets. An idle worker gets a short
// one: a granted lease cannot be shortened and would apply to latency-sensitive work
// placed there next. With the leader's link full, probes are too late to renew short
// leases, and runs whose leases lapse must be started again.
func (s *Scheduler) leaseFor(w *worker) time.Duration {
	if w.counts.deferrable > 0 || s.linkLoad > fullLink {
		return s.opts.Lease
	}
	return min(shortLease, s.opts.Lease)
}

// grantLease grants the worker a lease and returns its end in milliseconds of the worker's
// clock, or 0 if another host may be the leader.
func (s *Scheduler) grantLease(w *worker) int64 {
	if !s.leadershipConfirmed() {
		return 0
	}
	until := w.clock(s.now) + s.leaseFor(w).Milliseconds()
	w.leaseMs = max(w.leaseMs, until)
	return until
}

const (
	// mixPenalty, in thousandths of a core, ranks a worker where deferrable and
	// latency-sensitive work would share a lease behind all other candidates. It is more
	// than any worker has, so that best fit decides only among workers of one kind.
	mixPenalty = 1e5
	// alreadyMixedBonus ranks workers that both kinds share already before those with
	// deferrable work alone. The deferrable work there ends and none is added, which
	// leaves some workers with latency-sensitive work only.
	alreadyMixedBonus = mixPenalty / 2
)

// apartScore returns what the worker's other runs, and a long lease left by earlier ones,
// add to its score for a step.
func (s *Scheduler) apartScore(st *step, w *worker) float64 {
	switch {
	case !st.latencySensitive && w.counts.latencySensitive > 0:
		return -mixPenalty
	case !st.latencySensitive || w.counts.deferrable == 0 && !s.longLeased(w):
		return 0
	case w.counts.latencySensitive > 0:
		return alreadyMixedBonus - mixPenalty
	}
	return -mixPenalty
}

// longLeased reports whether a lease granted earlier on the worker still lasts for more
// than two short ones. It would apply to a run that starts there now.
func (s *Scheduler) longLeased(w *worker) bool {
	left := time.Duration(w.leaseMs-w.clock(s.now)) * time.Millisecond
	return left > 2*shortLease
}

// keptApart reports whether a deferrable step must avoid a worker because of the
// latency-sensitive work there. A lower score is not enough: most work is deferrable and
// would fill all remaining room, and soon all workers would have long leases.
func (s *Scheduler) keptApart(st *step, w *worker) bool {
	if w.counts.latencySensitive == 0 || st.rec.LongRunning || st.latencySensitive {
		return false
	}
	separationTime := time.Duration(separationShare * float64(st.latestStart-st.readyAt))
	return s.now < st.readyAt+separationTime
}
