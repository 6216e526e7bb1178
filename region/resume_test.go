package region

import (
	"math"
	"strconv"
	"testing"
	"time"
)

const testRestore = 600 * time.Millisecond

// progress returns the percentage of a run: that of its checkpoint while it restores.
func (r *fakeRun) progress(now time.Duration) int {
	return r.from + int(100*max(0, now-r.startedAt-r.restores)/r.runTime)
}

// saveProgress returns a checkpoint, which is the progress of a run that has made some.
func (r *fakeRun) saveProgress(now time.Duration) string {
	if r.runTime > 0 && r.progress(now) > 0 {
		return strconv.Itoa(r.progress(now))
	}
	return r.checkpoint
}

// resume makes a run restore its checkpoint and go on from there.
func (w *world) resume(r *fakeRun) {
	percent, err := strconv.Atoi(r.checkpoint)
	if w.restoreTime == 0 || err != nil {
		return
	}
	r.from, r.restores = percent, w.restoreTime
	w.resumedRuns++
}

// timeLeft returns how long a run takes from its start.
func (r *fakeRun) timeLeft() time.Duration {
	return r.restores + r.runTime*time.Duration(100-r.from)/100
}

// resumedWorld returns a world at the moment when the first tasks of an unreachable worker resume
// elsewhere. The tasks of the queue take as long as they declare, times slowdown for those that resume.
func resumedWorld(t *testing.T, restore, slowdown time.Duration) *world {
	w := mixedWorld(t, 4)
	w.restoreTime = restore
	w.sched.opts.RestoreTime = restore
	submit := func(id string, tasks int32) {
		j := deferrableJob(id, tasks)
		j.Steps[0].Checkpointing = true
		w.submit(j)
	}
	submit("known", 24)
	w.run(8 * time.Second)
	w.mustComplete("known")
	submit("resumed", 40)
	w.run(time.Second)
	lost := ""
	for _, name := range w.names {
		if fw := w.workers[name]; lost == "" && len(fw.runs) > 0 {
			lost, fw.unreachable = name, true
		}
		w.workers[name].slowdown = slowdown
	}
	for range 2000 {
		if w.resumedRuns > 0 {
			return w
		}
		w.run(10 * time.Millisecond)
	}
	t.Fatal("no run has resumed within 20 s")
	return nil
}

// Guards against a sound worker that is taken for slow, and a run that is stopped for it, because the
// run restores its checkpoint.
func TestResumedRunIsNoStraggler(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			w := resumedWorld(t, testRestore, 1)
			if takeover {
				w.stopLeader()
				w.run(100 * time.Millisecond)
				w.startLeader()
				w.submit(deferrableJob("more", 16))
			}
			for range 400 {
				w.run(10 * time.Millisecond)
				for id, x := range w.sched.workers {
					if !x.health.healthy(w.now) {
						t.Fatalf("worker %s is in quarantine", id)
					}
				}
			}
			if n := w.stragglerStops(); n != 0 {
				t.Errorf("%d healthy runs stopped", n)
			}
			w.mustComplete("resumed")
		})
	}
}

// Guards against estimates of run times that contain the time to restore checkpoints.
func TestRestoringDoesNotCountAsRunTime(t *testing.T) {
	w := resumedWorld(t, testRestore, 1)
	w.run(4 * time.Second)
	w.mustComplete("resumed")
	for _, q := range w.sched.estimates.list {
		for _, x := range q.recent[:min(q.next, estimateWindow)] {
			if q.samples > 0 && math.Abs(x.ratio-1) > 0.15 {
				t.Errorf("queue %s has a run time of %.2f times the declared one, want about 1", q.name, x.ratio)
			}
		}
	}
}

// Guards against a slow worker that is not found because the runs on it have resumed.
func TestResumedRunOnSlowWorkerIsMoved(t *testing.T) {
	w := resumedWorld(t, testRestore, 8)
	for _, name := range w.names {
		w.workers[name].slowdown = 1 // for the runs that start from now on
	}
	moved := w.resumedRuns
	w.run(8 * time.Second)
	if n := w.stragglerStops(); n == 0 {
		t.Errorf("none of %d runs that resumed on slow workers was moved", moved)
	}
	w.mustComplete("resumed")
}

// Guards against a job that never ends because its tasks restore their checkpoints for longer than a run
// may show no progress: each is stopped before it works, and restores anew.
func TestLongRestoreIsNoStall(t *testing.T) {
	w := resumedWorld(t, 2*stallTimeout, 1)
	w.run(8 * time.Second)
	w.mustComplete("resumed")
	if n := w.stopsFor("no progress"); n != 0 {
		t.Errorf("%d runs stopped that restored their checkpoints", n)
	}
}

// Guards against a task that hangs for good: it has resumed on a worker on which tasks hang.
func TestResumedRunThatHangsIsMoved(t *testing.T) {
	w := resumedWorld(t, testRestore, 1)
	for _, fw := range w.workers {
		fw.hangs = len(fw.runs) > 0
	}
	w.run(stallTimeout + testRestore + time.Second)
	if n := w.stopsFor("no progress"); n == 0 {
		t.Error("no run that hangs was stopped")
	}
	for _, fw := range w.workers {
		fw.hangs = false
	}
	w.run(12 * time.Second)
	w.mustComplete("resumed")
}
