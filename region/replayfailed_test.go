package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// startLeaderAsDriverDoes starts a leader of which, as in package leader, no command is executed
// before Lead.
func (w *world) startLeaderAsDriverDoes() {
	w.generation++
	w.fence++
	w.sched = New(w.options())
	for _, ev := range []Event{Tick{UnixMs: w.now.Milliseconds()}, IntakeRead{Records: w.intake}, EntriesRead{Entries: w.entries}} {
		w.sched.Handle(w.now, ev)
	}
	w.step(Lead{Fence: w.fence, ProvenAt: w.now})
	w.step(ConfigRead{Config: w.config()})
	w.step(AdviceHostsChanged{Hosts: []string{"", "h2", "h3"}})
	for _, id := range w.names {
		w.deliverListing(w.workers[id])
	}
	w.tick(w.generation)
}

// Guards against a run of a failed job that no leader stops: the job fails while the next leader
// replays the log, and the commands of that time are dropped.
func TestNextLeaderStopsRunsOfJobThatFailed(t *testing.T) {
	w := newWorld(t, 1)
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Index == 0 {
			return 500 * time.Millisecond
		}
		return time.Hour
	}
	w.fails = func(id model.TaskID, _ int32) bool { return id.Index == 0 }
	w.addWorker("w1", 8)
	w.callDelay = func(call string) time.Duration { return map[string]time.Duration{"stop": time.Hour}[call] }
	w.startLeader()
	w.run(100 * time.Millisecond)
	j := oneStep("a", &record.Step{Count: 2})
	j.Policy = queueWithAdvice("advised", 20).Policy
	j.Policy.MaxAttempts = 1
	w.submit(j)
	for range 5000 {
		w.run(time.Millisecond)
		for i, e := range w.entries {
			if end := e.GetEnded(); end != nil && end.Outcome == record.Outcome_OUTCOME_FAILED {
				w.stopLeader() // before the stop is recorded
				w.entries, w.entryTimes = w.entries[:i+1], w.entryTimes[:i+1]
				w.callDelay = func(string) time.Duration { return 0 }
				w.startLeaderAsDriverDoes()
				w.run(10 * time.Second)
				if n := len(w.workers["w1"].runs); n != 0 {
					w.fatal("%d runs of a failed job on w1 after 10 s", n)
				}
				return
			}
		}
	}
	t.Fatal("the job did not fail")
}
