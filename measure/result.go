package measure

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// Kind groups the jobs of a trace for the waiting times.
type Kind int

// The kinds.
const (
	Plain Kind = iota
	Deadline
	Urgent
	Gang
	numKinds
)

var kindNames = [numKinds]string{"plain", "deadline", "urgent", "all-at-once"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

func kindOf(s work.Spec) Kind {
	switch {
	case s.Kind == work.KindGang:
		return Gang
	case s.Urgent:
		return Urgent
	case s.Deadline > 0:
		return Deadline
	default:
		return Plain
	}
}

// Waits are the waiting times of the tasks of one kind, from arrival to the
// first start. A task that never started counts with the time until its
// deadline; Late counts it, and every task that started after its deadline.
type Waits struct {
	Tasks    int
	P50, P99 time.Duration
	Late     int
}

// Result is what came of a replay. All but Spent is exact and the same in
// every run.
type Result struct {
	Trace, Policy string
	Jobs          int
	Refused       int // at admission
	NotRun        int // accepted, then dropped at the deadline or cancelled before they ran
	Unknown       int
	Failed        int
	Ran           int
	Waits         [numKinds]Waits
	Ends          time.Duration // of the last event

	Busy      time.Duration // more work than room
	Packing   float64       // part of the scarcest resource that is reserved while busy, of the upper bound
	Deviation float64       // mean distance of the furthest team from its share while busy

	Accuracy sched.Accuracy // of predicted starts

	Steps, Assigned, Controls int
	Digest                    uint64        // of all commands with their times
	Spent                     time.Duration // in the scheduler; differs between runs
}

func (r *replay) result() Result {
	res := Result{
		Trace:    r.trace.Name,
		Policy:   r.policy.Name,
		Jobs:     len(r.jobs),
		Ends:     r.now,
		Busy:     r.gauges.busy,
		Steps:    r.tally.steps,
		Assigned: r.tally.assigned,
		Controls: r.tally.displaced,
		Digest:   r.tally.digest.Sum64(),
		Spent:    r.tally.spent,
	}
	if r.gauges.bound > 0 {
		res.Packing = r.gauges.reserved / r.gauges.bound
	}
	if r.gauges.contended > 0 {
		res.Deviation = r.gauges.deviation / r.gauges.contended.Seconds()
	}
	res.Accuracy = r.scheduler.Accuracy()
	for i := range r.jobs {
		res.count(&r.jobs[i])
	}
	r.waits(&res)
	return res
}

func (res *Result) count(j *jobRecord) {
	switch {
	case j.refused:
		res.Refused++
	case j.outcome == work.OutcomeNotRun:
		res.NotRun++
	case j.outcome == work.OutcomeUnknown:
		res.Unknown++
	case j.failed:
		res.Failed++
	case j.outcome == work.OutcomeRan:
		res.Ran++
	}
}

func (r *replay) waits(res *Result) {
	var waits [numKinds][]time.Duration
	for i := range r.jobs {
		j := &r.jobs[i]
		kind := kindOf(j.Spec)
		for _, start := range j.starts {
			wait := start - j.At
			never := start == 0
			if never && j.Spec.Deadline == 0 {
				continue
			}
			if never {
				wait = j.Spec.Deadline
			}
			if j.Spec.Deadline > 0 && (never || wait > j.Spec.Deadline) {
				res.Waits[kind].Late++
			}
			waits[kind] = append(waits[kind], wait)
		}
	}
	for kind, list := range waits {
		slices.Sort(list)
		res.Waits[kind].Tasks = len(list)
		res.Waits[kind].P50 = quantile(list, 50)
		res.Waits[kind].P99 = quantile(list, 99)
	}
}

// quantile returns the smallest value that a part of the sorted list, in
// hundredths, does not exceed.
func quantile(sorted []time.Duration, hundredths int) time.Duration {
	const all = 100
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)*hundredths+all-1)/all-1]
}
