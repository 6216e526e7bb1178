package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// A worker answers a probe at once while it lists an end that is not acknowledged. Each end must
// not cost a second probe that tells nothing new.
func TestProbesAcknowledgeTheEndsOfTheLastAnswer(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 4 {
		w.addWorker(fmt.Sprintf("w%d", i), 4)
	}
	w.startLeader()
	for i := range 40 {
		w.submit(oneStep(fmt.Sprintf("j%d", i), &record.Step{Count: 5}))
		w.run(250 * time.Millisecond)
	}
	w.run(2 * time.Second)
	w.mustComplete("j0", "j39")
	if w.repeatedListings > 0 {
		t.Errorf("%d answers list only ends that earlier answers listed, of 200 ends", w.repeatedListings)
	}
}

// The log commits nothing for a while. Probes go on, as they renew leases, but at a slow pace:
// no worker can wait for a further end before it answers.
func TestProbesWhileLogCommitsNothing(t *testing.T) {
	const outage = 3 * time.Second
	w := newWorld(t, 1)
	w.addWorker("w", 8)
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "long" {
			return 6 * time.Second
		}
		return 500 * time.Millisecond
	}
	w.startLeader()
	w.submit(oneStep("long", &record.Step{Count: 4}))
	w.submit(oneStep("job", &record.Step{Count: 4}))
	w.run(400 * time.Millisecond)
	w.logDown = true
	w.run(outage)
	w.logDown = false
	if most := int(outage / unackedProbePause); w.repeatedListings > most {
		t.Errorf("%d answers list only known ends during the outage, want at most %d", w.repeatedListings, most)
	}
	w.run(10 * time.Second)
	w.mustComplete("long", "job")
	if n := w.starts[model.TaskID{Job: "long"}]; n != 1 {
		t.Errorf("a task was started %d times, its lease was not renewed", n)
	}
}

// Guards against a task that runs again after it was done: its worker lists the end in the answer to
// the handshake of a new connection, and dies before it answers the probe.
func TestEndListedByHandshakeIsRead(t *testing.T) {
	w := mixedWorld(t, 2)
	w.runTime = func(model.TaskID) time.Duration { return 60 * time.Millisecond }
	w.submitTo(urgentJob("u1"), "urgent")
	var on *fakeWorker
	for on == nil {
		w.run(time.Millisecond)
		for _, fw := range w.workers {
			if fw.nextEnd > 0 {
				on = fw
			}
		}
	}
	on.handshakes = true
	w.run(time.Second)
	on.unreachable = true
	w.run(20 * time.Second)
	w.mustRunOnce("u1")
}
