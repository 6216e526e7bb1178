package region

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// retentionWorld has a log that keeps records for 20 s, and runs a job until it is cancelled. The host
// that accepts it has a clock that is ahead by the skew.
func retentionWorld(t *testing.T, skew time.Duration) *world {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires, w.longRunning = 20*time.Second, true, true
	w.runTime = func(model.TaskID) time.Duration { return time.Hour }
	w.addWorker("w1", 4)
	w.startLeader()
	w.submitAt(oneStep("service", &record.Step{Count: 1, LongRunning: true}), "q", w.now+skew)
	return w
}

// mustStillRun fails the test unless the task of the job of retentionWorld runs and has been started
// once.
func (w *world) mustStillRun() {
	w.t.Helper()
	if n := w.starts[model.TaskID{Job: "service"}]; len(w.workers["w1"].runs) != 1 || n != 1 {
		w.fatal("%d tasks run, started %d times", len(w.workers["w1"].runs), n)
	}
}

// Guards against a job that is forgotten, and its run stopped, because each new leader puts off
// writing it again: its last record expires.
func TestJobOutlivesRetentionAcrossLeaderChanges(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 8 * time.Second, 9500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			w := retentionWorld(t, 0)
			for range 12 {
				w.run(pause)
				w.stopLeader()
				w.run(500 * time.Millisecond)
				w.startLeader()
			}
			w.run(time.Second)
			w.mustStillRun()
		})
	}
}

// Guards against the same where the time of day of the accepting host or of leaders is wrong.
func TestJobOutlivesRetentionAcrossLeaderChangesWithWrongClocks(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, -30 * time.Second, 30 * time.Second, time.Hour} {
		t.Run(skew.String(), func(t *testing.T) {
			w := retentionWorld(t, skew)
			for i := range 12 {
				w.run(8 * time.Second)
				w.stopLeader()
				w.run(500 * time.Millisecond)
				w.clockSkew = skew * time.Duration(i%2) // of the next leader
				w.startLeader()
			}
			w.run(time.Second)
			w.mustStillRun()
		})
	}
}
