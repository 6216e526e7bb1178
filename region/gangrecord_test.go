package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// twoWorkerGang runs a gang of one member on each of two workers.
func twoWorkerGang(t *testing.T) *world {
	w := newWorld(t, 1)
	w.addWorker("w1", 1)
	w.addWorker("w2", 1)
	w.startLeader()
	w.run(100 * time.Millisecond)
	j := oneStep("gang", &record.Step{Count: 2, Gang: true})
	j.Policy = queueWithAdvice("advised", 20).Policy
	w.submit(j)
	w.run(100 * time.Millisecond)
	return w
}

// Guards against a gang that hangs: one member of it lists the end for all, and of the records that the
// leader produces, one for each member, only the first is in the log when the leader is lost. The
// writer puts them into one call or several.
func TestNextLeaderCompletesGangWhoseEndIsRecordedInPart(t *testing.T) {
	w := twoWorkerGang(t)
	for range 5000 {
		w.run(time.Millisecond)
		for i, e := range w.entries {
			if end := e.GetEnded(); end != nil && end.Outcome == record.Outcome_OUTCOME_DONE {
				w.stopLeader()
				w.entries, w.entryTimes = w.entries[:i+1], w.entryTimes[:i+1]
				w.run(100 * time.Millisecond)
				w.startLeader()
				w.run(30 * time.Second)
				w.mustComplete("gang")
				return
			}
		}
	}
	t.Fatal("the gang did not end")
}
