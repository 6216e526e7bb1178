package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// When a worker leaves, another one gets its slot. Advice about the first must not
// apply to the second: the ticket names another worker, and every start with it would
// be refused.
func TestAdviceIsNotReusedForNextWorkerInSlot(t *testing.T) {
	s, now := newBacklogScheduler(1, 1, 0)
	st := s.jobs[fmt.Sprintf("%016x", 0)].occs[0].steps[0]
	left := s.workerList[0]
	st.advice.store(adviceMark{worker: left, eligible: true, ticket: "t", until: now + time.Second})
	if !st.ticketHolds(left, now) {
		t.Fatal("the ticket is not valid on its own worker")
	}
	s.forget(left)
	came := s.workerNamed("later")
	if came.slot != left.slot {
		t.Fatalf("slot %d was not reused", left.slot)
	}
	if st.advice.mark(came) != nil || st.ticketHolds(came, now) {
		t.Error("a ticket of the removed worker is valid on the new one")
	}
}

// A task may run longer than the log retains records. Its job is written again before
// its records expire, the oldest first even if another partition was read before.
// Otherwise the next leader would not know of the job, and its users would lose it.
func TestOldJobsAreRewrittenBeforeExpiry(t *testing.T) {
	s := New(testOptions())
	now := time.Hour
	s.Handle(now, Tick{UnixMs: now.Milliseconds()})
	submit := func(id string, age time.Duration) {
		j := oneStep(id, &record.Step{Count: 1, LongRunning: true})
		j.Policy = &record.Policy{Service: "svc"}
		j.AcceptedUnixMs = (now - age).Milliseconds()
		s.Handle(now, IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}})
	}
	submit("young", time.Second)
	submit("old", testOptions().LogRetention/2+time.Second)
	s.Handle(now, Lead{Fence: 1, ProvenAt: now})
	written := make(map[string]int)
	for _, c := range s.Handle(now, Tick{UnixMs: now.Milliseconds()}) {
		if a, ok := c.(Append); ok {
			for _, e := range a.Entries {
				if k := e.GetKept(); k != nil {
					written[k.Job.Id]++
				}
			}
		}
	}
	if written["old"] != 1 || written["young"] != 0 {
		t.Errorf("rewritten jobs: %v, want the old job once", written)
	}
}
