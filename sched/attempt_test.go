package sched

import (
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/work"
)

// zone returns a world with n workers of 8 cores, two to a rack.
func zone(t *testing.T, n int, opts Options) *world {
	t.Helper()
	w := newWorld(t, opts)
	for i := range n {
		w.add(worker(i), string(rune('a'+i/2)), cpu(8))
	}
	return w
}

// An approval runs, and then its worker is lost, or the task is stopped, or
// nobody knows how it ended. The caller must not see the approval done twice,
// nor be told that it did not run: the cause is that a second attempt cannot
// know how far the first one came.
func TestNonIdempotentWorkIsNeverAttemptedTwice(t *testing.T) {
	tests := []struct {
		name    string
		happens func(w *world)
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
			w := zone(t, 2, Options{})
			spec := batch("a", 1, 1)
			spec.NonIdempotent = true
			job := w.accept(spec)
			tt.happens(w)
			w.pass(time.Hour)
			end, ended := w.ended[job]
			if !ended || end.Outcome != tt.outcome || end.Failed != tt.failed || len(w.ever) != 1 {
				t.Errorf("ended %v: %+v after %d attempts", ended, end, len(w.ever))
			}
		})
	}
}

// A refused start truly did not run, so that even an approval is started
// elsewhere, and the worker that refused is left alone for a while.
func TestRefusedStartIsTriedElsewhere(t *testing.T) {
	w := zone(t, 2, Options{})
	spec := batch("a", 1, 1)
	spec.NonIdempotent = true
	w.accept(spec)
	first := w.take(0)
	w.step(StartRefused{ID: first.ID, Reason: ports.RefusedCapacity})
	if len(w.running) != 1 || w.running[0].Worker == first.Worker {
		t.Errorf("after the refusal by %s: %v", first.Worker, w.running)
	}
}

// A task that always fails is tried again after growing pauses, stops at its
// bound, and the caller learns the reason.
func TestRetriesStopAtTheirBound(t *testing.T) {
	w := zone(t, 2, Options{BackoffMin: time.Second})
	spec := batch("a", 1, 1)
	spec.MaxAttempts = 3
	job := w.accept(spec)
	for _, pause := range []time.Duration{time.Second, 2 * time.Second} {
		w.end(0, AttemptEnded{Failed: true, Reason: "disk full"})
		w.pass(pause - time.Millisecond)
		if len(w.running) != 0 {
			t.Fatalf("tried again before %s had passed", pause)
		}
		w.pass(time.Millisecond)
	}
	w.end(0, AttemptEnded{Failed: true, Reason: "disk full"})
	want := JobEnded{Job: job, Outcome: work.OutcomeRan, Failed: true, Reason: "disk full"}
	if got := w.ended[job]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A job with a deadline waits behind a full zone. Room comes free at the very
// moment of the deadline: it is then too late to start, and the caller is told
// that nothing ran.
func TestNothingStartsAfterItsDeadline(t *testing.T) {
	w := zone(t, 1, Options{})
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

// The scheduler learns of a job only after its deadline, because its process
// was paused meanwhile. There is room, but it is too late.
func TestJobThatArrivesAfterItsDeadline(t *testing.T) {
	w := zone(t, 1, Options{})
	spec := batch("a", 1, 1)
	spec.Deadline = time.Second
	job := ident.JobID{Seq: 7}
	w.step(JobAccepted{Job: job, Spec: spec, Age: 2 * time.Second})
	if end := w.ended[job]; end.Outcome != work.OutcomeNotRun || len(w.running) != 0 {
		t.Errorf("got %+v, %d run", end, len(w.running))
	}
}

// Twenty thousand waiting jobs are cancelled one after the other. Operators
// would see placement stall if each cancellation searched the queue or left a
// timer behind; the work that stays must still start.
func TestCancellationWave(t *testing.T) {
	const jobs = 20_000
	w := zone(t, 1, Options{})
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
		t.Errorf("%d jobs wait, %d timers are kept", w.s.Waiting(), len(w.s.timers.heap))
	}
	w.end(0, AttemptEnded{})
	if len(w.runningOf(stays)) != 1 {
		t.Errorf("the job that was not cancelled did not start")
	}
}

// A running job is cancelled: its tasks are stopped, and the caller is not
// told that it did not run.
func TestCancelledWhileRunning(t *testing.T) {
	w := zone(t, 1, Options{})
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

// A new scheduler takes over while one task runs, one was done, one was lost
// and one never started. A caller would see a task run twice if the running
// one were started again, and lose one if the others were forgotten.
func TestTakeover(t *testing.T) {
	w := zone(t, 2, Options{})
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
		t.Fatalf("%d tasks run, want the adopted one, the lost one and the new one", got)
	}
	for len(w.running) > 0 {
		w.end(0, AttemptEnded{})
	}
	if end := w.ended[job]; end.Outcome != work.OutcomeRan || end.Failed || w.units.used["a"] != 0 {
		t.Errorf("got %+v with %d units in use", end, w.units.used["a"])
	}
}

// An approval was assigned by a predecessor and nothing is known of it since:
// it may have run, so it ends as unknown and is not started again.
func TestTakeoverOfAnApproval(t *testing.T) {
	w := zone(t, 1, Options{})
	spec := batch("a", 1, 1)
	spec.NonIdempotent = true
	job := ident.JobID{Zone: "a", Host: "old", Incarnation: 9, Seq: 1}
	w.step(JobRestored{Job: job, Spec: spec, Tasks: []RestoredTask{{Index: 0, Attempts: 1}}})
	if end := w.ended[job]; end.Outcome != work.OutcomeUnknown || len(w.ever) != 0 {
		t.Errorf("got %+v after %d attempts", end, len(w.ever))
	}
}

// Work that can never run is refused with what it lacks; work that cannot start
// in time is refused with the time after which a repeat makes sense.
func TestAdmission(t *testing.T) {
	w := zone(t, 2, Options{})
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

// A report of an earlier attempt comes late, after the task was started again.
// Taking it for the new attempt would free room that is still in use.
func TestLateReportOfAnEarlierAttempt(t *testing.T) {
	w := zone(t, 1, Options{BackoffMin: time.Second})
	w.accept(batch("a", 8, 1))
	first := w.end(0, AttemptEnded{Failed: true})
	w.pass(time.Second)
	w.step(AttemptEnded{ID: first.ID})
	if len(w.ended) != 0 || w.s.cell.Worker(0).Tasks != 1 {
		t.Errorf("the late report ended the new attempt")
	}
}

// One task of an all-at-once job fails. The others are worth nothing alone:
// they are stopped, and all start again together.
func TestGangStartsAgainAsAWhole(t *testing.T) {
	w := zone(t, 2, Options{BackoffMin: time.Second})
	job := w.accept(gang("a", 4, 4))
	w.end(0, AttemptEnded{Failed: true})
	for len(w.running) > 0 {
		if w.controls[w.running[0].ID] != ports.ControlStop {
			t.Fatalf("%s runs on", w.running[0].ID)
		}
		w.end(0, AttemptEnded{Stopped: true})
	}
	w.pass(time.Second)
	if got := len(w.runningOf(job)); got != 4 {
		t.Errorf("%d tasks started again", got)
	}
}

// The only worker refuses a start. Trying again at once would go on for ever.
func TestRefusingWorkerIsLeftAlone(t *testing.T) {
	for _, reason := range []ports.Refusal{"", ports.RefusedCapacity} {
		w := zone(t, 1, Options{})
		w.accept(batch("a", 1, 1))
		w.step(StartRefused{ID: w.take(0).ID, Reason: reason})
		if len(w.running) != 0 {
			t.Errorf("refusal %q: started again at once", reason)
		}
		w.pass(time.Second)
		if len(w.running) != 1 {
			t.Errorf("refusal %q: not started again", reason)
		}
	}
}
