package region

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// shortLogWorld has a log that keeps records for 20 s, and one worker.
func shortLogWorld(t *testing.T) *world {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires = 20*time.Second, true
	w.addWorker("w1", 8)
	w.startLeader()
	return w
}

// repeat appends another submission of a job, as a host does that is sent the request again.
func (w *world) repeat(j *record.Job) {
	again := proto.Clone(j).(*record.Job)
	again.AcceptedUnixMs = w.now.Milliseconds()
	w.appendIntake(&record.Intake{Kind: &record.Intake_Submitted{Submitted: again}})
}

// changeLeader replaces the leader after half a second without one.
func (w *world) changeLeader() {
	w.stopLeader()
	w.run(500 * time.Millisecond)
	w.startLeader()
}

// mustShow fails the test unless the present leader shows the job in the state.
func (w *world) mustShow(id string, want State) {
	w.t.Helper()
	got := StateUnknown
	if j := w.sched.jobs[id]; j != nil {
		got = j.currentState()
	}
	if got != want {
		w.fatal("job %s is shown as %v, want %v", id, got, want)
	}
}

// Guards against a completed job that runs again because a repeat of its submission expires later
// than the ends of its tasks.
func TestRepeatedSubmissionOfCompletedJobDoesNotRun(t *testing.T) {
	for _, runTime := range []time.Duration{500 * time.Millisecond, 7800 * time.Millisecond, 8500 * time.Millisecond} {
		for _, before := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("second step %v, %d leaders before", runTime, before), func(t *testing.T) {
				w := shortLogWorld(t)
				w.runTime = func(id model.TaskID) time.Duration {
					if id.Step == 1 {
						return runTime
					}
					return 500 * time.Millisecond
				}
				j := oneStep("a", &record.Step{Count: 3})
				j.Steps = append(j.Steps, oneStep("", &record.Step{Count: 2, DependsOn: []int32{0}}).Steps[0])
				w.submit(j)
				w.run(8 * time.Second)
				w.repeat(j)
				w.run(4 * time.Second)
				w.mustComplete("a")
				for range before {
					w.changeLeader()
					w.run(time.Second)
				}
				w.run(21*time.Second - (w.now - w.acceptedAt["a"]))
				for range 4 { // the first submission has expired, then the repeat
					w.changeLeader()
					w.run(5 * time.Second)
					w.mustShow("a", StateCompleted)
				}
			})
		}
	}
}

// Guards against the same where nobody leads when the repeat arrives, so that the next leader reads
// both submissions at once.
func TestRepeatedSubmissionBetweenLeadersDoesNotRun(t *testing.T) {
	w := shortLogWorld(t)
	j := oneStep("a", &record.Step{Count: 3})
	w.submit(j)
	w.run(8 * time.Second)
	w.mustComplete("a")
	w.stopLeader()
	w.repeat(j)
	w.run(500 * time.Millisecond)
	w.startLeader()
	w.run(21*time.Second - (w.now - w.acceptedAt["a"]))
	w.changeLeader()
	w.run(3 * time.Second)
	w.mustShow("a", StateCompleted)
}

// Guards against the same with the usual settings, with which no other record of a job that has ended
// is written again.
func TestRepeatedSubmissionDoesNotRunWithUsualRetention(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires = testOptions().LogRetention, true
	w.addWorker("w1", 8)
	w.startLeader()
	j := oneStep("a", &record.Step{Count: 3})
	w.submit(j)
	w.run(8 * time.Second)
	w.mustComplete("a")
	w.repeat(j)
	w.run(w.logRetention - 6*time.Second)
	w.changeLeader()
	w.run(3 * time.Second)
	if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
		t.Errorf("a task was started %d times, want 1", n)
	}
}

// Guards against a failed job that runs again because a repeat of its submission expires later than
// its attempts.
func TestRepeatedSubmissionOfFailedJobDoesNotRun(t *testing.T) {
	w := shortLogWorld(t)
	w.fails = func(model.TaskID, int32) bool { return true }
	j := oneStep("a", &record.Step{Count: 1})
	w.submit(j)
	w.run(8 * time.Second)
	w.mustShow("a", StateFailed)
	w.repeat(j)
	w.run(13 * time.Second)
	for range 4 {
		w.changeLeader()
		w.run(5 * time.Second)
		w.mustShow("a", StateFailed)
	}
}

// Guards against a cancelled job that runs because its cancellation expires before a submission of it:
// a repeat, or the only one, which was read later than the cancellation. Also if the leader that read
// them is gone before it has written anything of that.
func TestCancellationOutlivesSubmissions(t *testing.T) {
	for _, early := range []bool{false, true} {
		for _, replayed := range []bool{false, true} {
			for _, retention := range []time.Duration{20 * time.Second, testOptions().LogRetention} {
				name := fmt.Sprintf("cancelled early %v, leader changes %v, retention %v", early, replayed, retention)
				t.Run(name, func(t *testing.T) { cancellationOutlives(t, early, replayed, retention) })
			}
		}
	}
}

func cancellationOutlives(t *testing.T, early, replayed bool, retention time.Duration) {
	w := shortLogWorld(t)
	w.logRetention = retention
	w.changeLeader()
	w.runTime = func(model.TaskID) time.Duration { return time.Hour }
	j := oneStep("a", &record.Step{Count: 2})
	if early {
		w.cancelFor("a", "ws")
		w.run(5 * time.Second)
		w.submit(j)
	} else {
		w.submit(j)
		w.run(time.Second)
		w.cancelFor("a", "ws")
		w.run(5 * time.Second)
		w.repeat(j)
	}
	w.run(100 * time.Millisecond)
	if replayed {
		w.changeLeader()
	}
	w.run(retention - 4500*time.Millisecond)
	started := w.totalStarts()
	for range 4 {
		w.changeLeader()
		w.run(time.Second)
		if retention < time.Minute {
			w.mustShow("a", StateCancelled)
		}
	}
	if w.totalStarts() != started {
		t.Error("the job was started after it was cancelled")
	}
}

// totalStarts returns how many starts workers have executed.
func (w *world) totalStarts() int {
	n := 0
	for _, starts := range w.starts {
		n += starts
	}
	return n
}

// Guards against a job that has ended and is answered as unknown, while its state may still be asked
// for, because the log has forgotten its records.
func TestStateOutlivesShortRetention(t *testing.T) {
	for _, skew := range []time.Duration{0, -time.Hour, -30 * time.Second, 15 * time.Second, time.Hour} {
		t.Run(fmt.Sprint("clocks that differ by ", skew), func(t *testing.T) {
			w := shortLogWorld(t)
			w.runTime = func(id model.TaskID) time.Duration {
				if id.Job == "cancelled" {
					return time.Hour
				}
				return 500 * time.Millisecond
			}
			w.fails = func(id model.TaskID, _ int32) bool { return id.Job == "failed" }
			want := map[string]State{"completed": StateCompleted, "failed": StateFailed, "cancelled": StateCancelled}
			for id := range want {
				w.submit(oneStep(id, &record.Step{Count: 1}))
			}
			w.run(5 * time.Second)
			w.cancel("cancelled")
			w.run(time.Second)
			why := w.sched.jobs["failed"].whyFailed()
			for i := range 12 {
				w.clockSkew = skew * time.Duration(i%2) // of the next leader
				w.changeLeader()
				for id, state := range want {
					w.mustShow(id, state)
				}
				if got := w.sched.jobs["failed"].whyFailed(); got != why {
					w.fatal("the job failed for %q, want %q", got, why)
				}
				w.run(8500 * time.Millisecond)
			}
		})
	}
}

// Random histories in which submissions are repeated up to 8 s later and leaders change, with a log
// that keeps records for 20 s: no job runs again, and each is shown in its state.
func TestRepeatsInRandomHistories(t *testing.T) {
	playRepeatsHistories(t, 20*time.Second, testOptions().StatusRetention)
}

// The same where states can be queried for 5 s only, so that only the ends of repeated and cancelled
// jobs are written again.
func TestRepeatsInRandomHistoriesWithShortStatusRetention(t *testing.T) {
	playRepeatsHistories(t, 70*time.Second, 5*time.Second)
}

func playRepeatsHistories(t *testing.T, logRetention, statusRetention time.Duration) {
	const histories = 8
	play := func(seed uint64) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { repeatsHistory(t, seed, logRetention, statusRetention) })
	}
	for seed := uint64(1); seed <= histories; seed++ {
		play(seed)
	}
	for i := range *seedCount {
		play(*firstSeed + i)
	}
}

func repeatsHistory(t *testing.T, seed uint64, logRetention, statusRetention time.Duration) {
	t.Parallel()
	w := newWorld(t, seed)
	w.logRetention, w.statusRetention, w.intakeExpires = logRetention, statusRetention, true
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 8)
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.startLeader()
	var jobs []string
	for i := range 400 {
		w.run(50 * time.Millisecond)
		if i%3 == 0 {
			j := randomJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
			w.repeatRandomly(j)
		}
		injectFault(w, 60, crash)
	}
	faultFree = true
	w.logDown = false
	for _, fw := range w.workers {
		fw.unreachable = false
	}
	ended := make(map[string]State)
	for quiet := time.Duration(0); quiet < max(logRetention+30*time.Second, time.Minute); quiet += 5 * time.Second {
		w.changeLeader()
		w.run(4500 * time.Millisecond)
		w.noteEnded(jobs, ended)
	}
	for _, id := range jobs {
		if ended[id] == StateUnknown {
			w.fatal("job %s is still %v, want it ended", id, w.states[id])
		}
		if statusRetention > w.now-w.acceptedAt[id] {
			w.mustShow(id, ended[id])
		}
	}
}

// noteEnded notes the states in which jobs have ended, and fails the test if one has left its state.
func (w *world) noteEnded(jobs []string, ended map[string]State) {
	for _, id := range jobs {
		s := w.states[id]
		if was := ended[id]; was != StateUnknown && s != was && s != StateUnknown {
			w.fatal("job %s was shown as %v, and is now shown as %v", id, was, s)
		}
		if s == StateCompleted || s == StateFailed || s == StateCancelled {
			ended[id] = s
		}
	}
}

// repeatRandomly repeats and cancels a job at random times, or does not.
func (w *world) repeatRandomly(j *record.Job) {
	for range w.rng.IntN(3) {
		w.after(time.Duration(w.rng.Int64N(int64(8*time.Second))), func() { w.repeat(j) })
	}
	if w.rng.IntN(6) == 0 {
		w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() { w.cancel(j.Id) })
	}
}
