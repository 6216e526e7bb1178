package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// termRecordInterval is the pause between two records of how long this leader has led. At most
// this much of a term is not counted by its successors.
const termRecordInterval = 250 * time.Millisecond

// terms are the lengths of earlier leaders' terms, as far as these have recorded them.
//
// Each leader measures its own term on a clock that does not jump, so their sum is a lower bound
// of the time since the first of them began. Without it, a leader could count only from its own
// claim, and with leaders that change every few seconds no wait for calls of an earlier leader
// would end.
type terms struct {
	list       []term // in the order of fencing tokens
	recordedAt time.Duration
}

type term struct {
	fence    int64
	length   time.Duration
	recorded bool // the leader records the length of its term, and the workers that it reaches
}

// add applies an entry of the leader with the fencing token. Entries arrive in the order of
// these tokens. length is 0 if the entry records none.
func (t *terms) add(fence int64, length time.Duration) {
	if n := len(t.list); n == 0 || t.list[n-1].fence != fence {
		t.list = append(t.list, term{fence: fence})
	}
	last := &t.list[len(t.list)-1]
	last.length = max(last.length, length)
	last.recorded = last.recorded || length > 0
}

// after returns the least time for which the leaders with a higher fencing token than the given
// one have led. Terms up to the newest one without records do not count: an earlier version of
// the program may have led.
func (t *terms) after(fence int64) time.Duration {
	var sum time.Duration
	for i := len(t.list) - 1; i >= 0 && t.list[i].fence > fence && t.list[i].recorded; i-- {
		sum += t.list[i].length
	}
	return sum
}

// inheritedSince returns from when on the worker has had no further start call of an earlier
// leader for the run, nor a lease: since then no leader has sent one or reached the worker. It
// may lie before this leader's term.
func (s *Scheduler) inheritedSince(r *run) time.Duration {
	return s.leadSince - s.terms.after(max(r.calls.inheritedFence, s.reachedBy[r.ref.ID]))
}

// noteInheritedCalls collects the runs of which start calls of earlier leaders may be executed.
func (s *Scheduler) noteInheritedCalls() {
	for _, w := range s.workerList {
		for _, r := range w.runs {
			if r.awaitsInherited() {
				s.inheritedCalls = append(s.inheritedCalls, r)
			}
		}
	}
}

// awaitsInherited reports whether a start call of an earlier leader for the run is not known to
// have been executed or refused.
func (r *run) awaitsInherited() bool { return r.calls.inherited > 0 && r.unsettled() }

// recordTerm records how long this leader has led, while a run waits for calls of an earlier one.
func (s *Scheduler) recordTerm() {
	if len(s.inheritedCalls) == 0 || s.terms.recordedAt > 0 && s.now-s.terms.recordedAt < termRecordInterval {
		return
	}
	s.inheritedCalls = slices.DeleteFunc(s.inheritedCalls, func(r *run) bool { return r.task.run != r || !r.awaitsInherited() })
	if len(s.inheritedCalls) == 0 {
		return
	}
	s.terms.recordedAt = s.now
	led := max(s.now-s.leadSince, time.Millisecond)
	s.append(&record.Entry{Kind: &record.Entry_TermMs{TermMs: led.Milliseconds()}})
}

// mayGrant reports whether the worker, which has answered this leader, may be granted leases. On
// one with calls of an earlier leader that may be executed, a record has to be in the log first:
// a lease that this leader grants would hold for the run of such a call too, and its successors
// would count from an earlier leader on.
func (s *Scheduler) mayGrant(w *worker) bool {
	if w.reachLogged || !slices.ContainsFunc(w.runs, (*run).awaitsInherited) {
		return true
	}
	if !w.reachLogging {
		w.reachLogging = true
		reached := &record.Reached{Worker: w.entry.ID}
		s.afterCommit(s.append(&record.Entry{Kind: &record.Entry_Reached{Reached: reached}}), func() { w.reachLogged = true })
	}
	return false
}
