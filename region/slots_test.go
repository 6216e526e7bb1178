package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// A worker leaves and another one gets its number. What the advice service said of
// the first must not count for the second: its ticket is of another worker, and
// a start with it would be refused, again and again.
func TestMarksDoNotPassToALaterWorker(t *testing.T) {
	s, now := newBacklogScheduler(1, 1, 0)
	st := s.jobs[fmt.Sprintf("%016x", 0)].occs[0].steps[0]
	left := s.order[0]
	st.advice.note(adviceMark{worker: left, eligible: true, ticket: "t", until: now + time.Second})
	if !st.ticketHolds(left, now) {
		t.Fatal("the ticket does not hold on the worker that it is of")
	}
	s.forget(left)
	came := s.workerNamed("later")
	if came.slot != left.slot {
		t.Fatalf("slot %d is not given out again", left.slot)
	}
	if st.advice.mark(came) != nil || st.ticketHolds(came, now) {
		t.Error("a ticket of the worker that left holds on the one that came")
	}
}

// A task lasts longer than the log keeps records. Its job is written anew before
// its records expire, the oldest first also if another partition was read before;
// otherwise the next leader would not know of it, and its users would lose it.
func TestOldJobsAreWrittenAnew(t *testing.T) {
	s := New(testOptions())
	now := time.Hour
	s.Step(now, Tick{UnixMs: now.Milliseconds()})
	submit := func(id string, age time.Duration) {
		j := oneStep(id, &record.Step{Count: 1, LongRunning: true})
		j.Policy = &record.Policy{Service: "svc"}
		j.AcceptedUnixMs = (now - age).Milliseconds()
		s.Step(now, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
	}
	submit("young", time.Second)
	submit("old", testOptions().LogRetention/2+time.Second)
	s.Step(now, Lead{Fence: 1})
	written := make(map[string]int)
	for _, c := range s.Step(now, Tick{UnixMs: now.Milliseconds()}) {
		if a, ok := c.(Append); ok {
			for _, e := range a.Entries {
				if k := e.GetKept(); k != nil {
					written[k.Job.Id]++
				}
			}
		}
	}
	if written["old"] != 1 || written["young"] != 0 {
		t.Errorf("written anew: %v, want the old job once", written)
	}
}
