package sched

import (
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// newZone returns a world with n workers of 8 cores, two per rack.
func newZone(t *testing.T, n int, opts Options) *world {
	t.Helper()
	w := newWorld(t, opts)
	for i := range n {
		w.add(worker(i), string(rune('a'+i/2)), cpu(8))
	}
	return w
}

// A non-idempotent task (an approval) ends well, fails, is stopped, ends with an
// unknown result, or loses its worker. It must not run a second time, because
// the second attempt cannot know how far the first one got. If the first one was
// interrupted, the outcome must be unknown, not "not run".
func TestNonIdempotentWorkIsNeverAttemptedTwice(t *testing.T) {
	tests := []struct {
		name    string
		act     func(w *world)
		outcome work.Outcome
		failed  bool
	}{
		{"ends well", func(w *world) { w.end(0, AttemptEnded{}) }, work.OutcomeRan, false},
		{"fails", func(w *world) { w.end(0, AttemptEnded{Failed: true, Reason: "no"}) }, work.OutcomeRan, true},
		{"is stopped", func(w *world) { w.end(0, AttemptEnded{Stopped: true}) }, work.OutcomeUnknown, false},
		{"is unknown", func(w *world) { w.end(0, AttemptEnded{Unknown: true}) }, work.OutcomeUnknown, false},
		{"worker lost", func(w *world) { w.remove(w.running[0].Worker) }, work.OutcomeUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newZone(t, 2, Options{})
			spec := batch("a", 1, 1)
			spec.NonIdempotent = true
			job := w.accept(spec)
			tt.act(w)
			w.pass(time.Hour)
			end, ended := w.ended[job]
			if !ended || end.Outcome != tt.outcome || end.Failed != tt.failed || len(w.ever) != 1 {
				t.Errorf("ended %v: %+v after %d attempts", ended, end, len(w.ever))
			}
		})
	}
}

// A refused start certainly did not run, so even a non-idempotent task is
// started on another worker. The worker that refused gets no task for a while.
func TestRefusedStartIsRetriedOnAnotherWorker(t *testing.T) {
	w := newZone(t, 2, Options{})
	spec := batch("a", 1, 1)
	spec.NonIdempotent = true
	w.accept(spec)
	first := w.take(0)
	w.step(StartRefused{ID: first.ID, Reason: ports.RefusedCapacity})
	if len(w.running) != 1 || w.running[0].Worker == first.Worker {
		t.Errorf("after the refusal by %s: %v", first.Worker, w.running)
	}
}

// A task that always fails is retried with an increasing backoff until
// MaxAttempts is reached. The job then ends as failed, with the reason.
func TestRetriesStopAtMaxAttempts(t *testing.T) {
	w := newZone(t, 2, Options{BackoffMin: time.Second})
	spec := batch("a", 1, 1)
	spec.MaxAttempts = 3
	job := w.accept(spec)
	for _, pause := range []time.Duration{time.Second, 2 * time.Second} {
		w.end(0, AttemptEnded{Failed: true, Reason: "disk full"})
		w.pass(pause - time.Millisecond)
		if len(w.running) != 0 {
			t.Fatalf("retried before the backoff of %s was over", pause)
		}
		w.pass(time.Millisecond)
	}
	w.end(0, AttemptEnded{Failed: true, Reason: "disk full"})
	want := JobEnded{Job: job, Outcome: work.OutcomeRan, Failed: true, Reason: "disk full"}
	if got := w.ended[job]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A job with a deadline waits for capacity in a full zone. Capacity is freed
// exactly at the deadline, which is too late to start. The job ends as not run.
func TestNothingStartsAfterItsDeadline(t *testing.T) {
	w := newZone(t, 1, Options{})
	w.accept(batch("a", 8, 1))
	late := batch("a", 1, 1)
	late.Deadline = 10 * time.Second
	job := w.accept(late)
	w.now += 10 * time.Second
	w.end(0, AttemptEnded{})
	if end := w.ended[job]; end.Outcome != work.OutcomeNotRun || end.Reason != reasonDeadline {
		t.Errorf("got %+v", end)
	}
}

// The scheduler process was paused and receives a job after its deadline. The
// job does not run, although it fits.
func TestJobAcceptedAfterItsDeadlineDoesNotRun(t *testing.T) {
	w := newZone(t, 1, Options{})
	spec := batch("a", 1, 1)
	spec.Deadline = time.Second
	job := ident.JobID{Seq: 7}
	w.step(JobAccepted{Job: job, Spec: spec, Age: 2 * time.Second})
	if end := w.ended[job]; end.Outcome != work.OutcomeNotRun || len(w.running) != 0 {
		t.Errorf("got %+v, %d run", end, len(w.running))
	}
}

// 20,000 waiting jobs are cancelled one by one. Placement would stall if each
// cancellation searched the queue or leaked a timer. The one job that is not
// cancelled must still start.
func TestMassCancellationLeaksNoTimers(t *testing.T) {
	const jobs = 20_000
	w := newZone(t, 1, Options{})
	w.accept(batch("a", 8, 1))
	var ids []ident.JobID
	for range jobs {
		spec := batch("a", 1, 1)
		spec.Deadline = time.Hour
		ids = append(ids, w.accept(spec))
	}
	stays := ids[jobs/2]
	for _, id := range ids {
		if id != stays {
			w.step(JobCancelled{Job: id})
		}
	}
	if w.s.Waiting() != 1 || len(w.s.timers.heap) > 16 {
		t.Errorf("%d jobs wait and %d timers are left, want 1 and at most 16", w.s.Waiting(), len(w.s.timers.heap))
	}
	w.end(0, AttemptEnded{})
	if len(w.runningOf(stays)) != 1 {
		t.Errorf("the job that was not cancelled did not start")
	}
}

// A running job is cancelled. Its tasks are stopped, and its outcome is unknown,
// not "not run".
func TestCancelledRunningJobEndsAsUnknown(t *testing.T) {
	w := newZone(t, 1, Options{})
	job := w.accept(batch("a", 4, 3))
	w.step(JobCancelled{Job: job})
	for len(w.running) > 0 {
		if w.controls[w.running[0].ID] != ports.ControlStop {
			t.Fatalf("%s was not stopped", w.running[0].ID)
		}
		w.end(0, AttemptEnded{Stopped: true})
	}
	if end := w.ended[job]; end.Outcome != work.OutcomeUnknown || end.Reason != reasonCancelled {
		t.Errorf("got %+v", end)
	}
}

// A new scheduler takes over while one task is running, one is done, one was
// lost and one never started. The running and the finished task must not be
// started again, and the other two must be.
func TestTakeoverStartsNoTaskTwice(t *testing.T) {
	w := newZone(t, 2, Options{})
	spec := batch("a", 1, 4)
	job := ident.JobID{Zone: "a", Host: "old", Incarnation: 9, Seq: 1}
	w.jobs[job] = spec
	w.units.used["a"] = 1
	runs := Assign{ID: ident.AttemptID{Job: job, Index: 1, Attempt: 2}, Worker: worker(1), Team: "a", Need: spec.Need}
	w.running = append(w.running, runs)
	w.ever[runs.ID] = true
	w.free[runs.Worker] = w.free[runs.Worker].Sub(runs.Need)
	w.step(JobRestored{Job: job, Spec: spec, Tasks: []RestoredTask{
		{Index: 0, Attempts: 1, Done: true},
		{Index: 1, Attempts: 2, Running: true, Started: true, Worker: worker(1)},
		{Index: 2, Attempts: 1},
	}})
	if got := len(w.runningOf(job)); got != 3 {
		t.Fatalf("%d tasks run, want 3: the running one, the lost one and the one that never started", got)
	}
	for len(w.running) > 0 {
		w.end(0, AttemptEnded{})
	}
	if end := w.ended[job]; end.Outcome != work.OutcomeRan || end.Failed || w.units.used["a"] != 0 {
		t.Errorf("got %+v with %d units in use", end, w.units.used["a"])
	}
}

// A non-idempotent task was assigned by the earlier leader and its result is not
// known. It may have run, so its outcome is unknown and it is not started again.
func TestTakeoverDoesNotRestartNonIdempotentWork(t *testing.T) {
	w := newZone(t, 1, Options{})
	spec := batch("a", 1, 1)
	spec.NonIdempotent = true
	job := ident.JobID{Zone: "a", Host: "old", Incarnation: 9, Seq: 1}
	w.step(JobRestored{Job: job, Spec: spec, Tasks: []RestoredTask{{Index: 0, Attempts: 1}}})
	if end := w.ended[job]; end.Outcome != work.OutcomeUnknown || len(w.ever) != 0 {
		t.Errorf("got %+v after %d attempts", end, len(w.ever))
	}
}

// A job that can never run is refused with the reason. A job that cannot start
// before its deadline is refused with the delay after which to retry.
func TestAdmitNamesTheReasonOfRefusal(t *testing.T) {
	w := newZone(t, 2, Options{})
	w.step(TeamsChanged{Teams: []Team{{ID: "a", Weight: 1}, {ID: "small", Weight: 1, Limit: 4}}})
	for range 40 {
		pressing := batch("a", 8, 1)
		pressing.Deadline = time.Hour
		w.accept(pressing)
	}
	soon := batch("a", 1, 1)
	soon.Deadline = time.Second
	tests := []struct {
		name string
		spec work.Spec
		want string
	}{
		{"too large", batch("b", 9, 1), "needs 9000 milli-cpu and the largest worker has 8000"},
		{"too many at once", gang("b", 8, 3), "3 tasks must start together and the workers hold 2"},
		{"over the limit", batch("small", 5, 1), "needs 5 units to start and the upper limit of the team is 4"},
		{"a request", work.Spec{Kind: work.KindRequest, Tasks: 1}, "is no job"},
		{"no task", work.Spec{Kind: work.KindBatch}, "0 tasks"},
		{"too late", soon, "retry after"},
		{"fine", batch("b", 8, 1), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if err := w.s.Admit(w.now, tt.spec); err != nil {
				got = err.Error()
			}
			if !strings.Contains(got, tt.want) || (tt.want == "") != (got == "") {
				t.Errorf("got %q, want it to contain %q", got, tt.want)
			}
		})
	}
}

// The end of an earlier attempt is reported again after the retry has started.
// If it were applied to the new attempt, capacity still in use would be freed.
func TestLateReportOfEarlierAttemptIsIgnored(t *testing.T) {
	w := newZone(t, 1, Options{BackoffMin: time.Second})
	w.accept(batch("a", 8, 1))
	first := w.end(0, AttemptEnded{Failed: true})
	w.pass(time.Second)
	w.step(AttemptEnded{ID: first.ID})
	if len(w.ended) != 0 || w.s.cell.Worker(0).Tasks != 1 {
		t.Errorf("the late report ended the new attempt")
	}
}

// One task of a gang fails. The others cannot complete without it: they are
// stopped, and all tasks start again together.
func TestFailedGangRestartsAsAWhole(t *testing.T) {
	w := newZone(t, 2, Options{BackoffMin: time.Second})
	job := w.accept(gang("a", 4, 4))
	w.end(0, AttemptEnded{Failed: true})
	for len(w.running) > 0 {
		if w.controls[w.running[0].ID] != ports.ControlStop {
			t.Fatalf("%s was not stopped after another task of its gang failed", w.running[0].ID)
		}
		w.end(0, AttemptEnded{Stopped: true})
	}
	w.pass(time.Second)
	if got := len(w.runningOf(job)); got != 4 {
		t.Errorf("%d tasks started again, want 4", got)
	}
}

// The only worker refuses a start. Retrying without a backoff would loop forever.
func TestRefusedStartIsNotRetriedWithoutBackoff(t *testing.T) {
	for _, reason := range []ports.Refusal{"", ports.RefusedCapacity} {
		w := newZone(t, 1, Options{})
		w.accept(batch("a", 1, 1))
		w.step(StartRefused{ID: w.take(0).ID, Reason: reason})
		if len(w.running) != 0 {
			t.Errorf("refusal %q: started again without a backoff", reason)
		}
		w.pass(time.Second)
		if len(w.running) != 1 {
			t.Errorf("refusal %q: not started again after the backoff", reason)
		}
	}
}
