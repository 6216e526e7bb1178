package region

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// endsInLog returns how many EndedJobs records the log has, and how often they name the job.
func (w *world) endsInLog(id string) (records, named int) {
	for _, e := range w.entries {
		k := e.GetEndedJobs()
		if k == nil {
			continue
		}
		records++
		for _, j := range k.Jobs {
			if j.Id == id {
				named++
			}
		}
	}
	return records, named
}

// Guards against bytes in the log for jobs whose own records are kept for as long as their state can
// be queried, also across changes of leader.
func TestEndsAreNotWrittenAgainWhereRecordsSuffice(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires = testOptions().LogRetention, true
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "long" {
			return 140 * time.Second
		}
		return 500 * time.Millisecond
	}
	w.addWorker("w1", 8)
	w.startLeader()
	w.submitTo(oneStep("long", &record.Step{Count: 1, EstimateMs: 140_000}), "long")
	for i := range 32 {
		w.submit(oneStep(fmt.Sprint("a", i), &record.Step{Count: 2}))
		w.run(10 * time.Second)
		if records, _ := w.endsInLog(""); records != 0 {
			t.Fatalf("%d records of ended jobs, want none", records)
		}
		if i%8 == 5 {
			w.changeLeader()
		}
	}
	w.mustComplete("long", "a0", "a31")
}

// Guards against the end of a job that is written again without end, by each of many leaders. Where
// each one's clock differs from the last one's, only the time counts that a leader measures between
// two records.
func TestEndsAreForgotten(t *testing.T) {
	for _, skew := range []time.Duration{0, -time.Hour, 15 * time.Second, time.Hour} {
		t.Run(fmt.Sprint("clocks that differ by ", skew), func(t *testing.T) {
			w := shortLogWorld(t)
			j := oneStep("a", &record.Step{Count: 1})
			w.submit(j)
			w.run(5 * time.Second)
			w.repeat(j)
			for i := range 26 {
				w.clockSkew = skew * time.Duration(i%2)
				w.changeLeader()
				w.run(8500 * time.Millisecond)
				if skew != 0 {
					w.run(3 * time.Second)
				}
			}
			if _, n := w.endsInLog("a"); n != 0 {
				t.Errorf("the log still has %d ends of the job, %v after it ended", n, w.now-w.completedAt["a"])
			}
		})
	}
}

// Guards against a record of many ended jobs that the log rejects.
func TestEndsOfManyJobsFitIntoRecords(t *testing.T) {
	const jobs = 200
	w := shortLogWorld(t)
	w.recordBytes = 2000
	w.changeLeader()
	for i := range jobs {
		w.submit(oneStep(fmt.Sprint("job", i), &record.Step{Count: 1, Request: &record.Resources{MilliCpu: 10, MemoryMib: 1}}))
	}
	for range 12 {
		w.run(4500 * time.Millisecond)
		w.changeLeader()
	}
	for i := range jobs {
		w.mustShow(fmt.Sprint("job", i), StateCompleted)
	}
}

// Guards against the ends of all jobs being written again because the leader receives each submission
// twice: from the host that has appended it, and from the log.
func TestSubmissionThatIsPassedOnIsNoRepeat(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", 8)
	w.startLeader()
	for i, readFirst := range []bool{false, true} {
		id := fmt.Sprint("a", i)
		j := oneStep(id, &record.Step{Count: 1})
		passOn := func() {
			w.deliver(IntakeRead{Records: []*record.Intake{{Kind: &record.Intake_Submitted{Submitted: j}}}, Notified: true})
		}
		if !readFirst {
			j.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000}
			j.Workspace, j.Queue, j.AcceptedUnixMs = "ws", "q", w.now.Milliseconds()
			passOn()
		}
		w.submit(j)
		if readFirst {
			passOn()
		}
		w.run(3 * time.Second)
		w.mustComplete(id)
		if w.sched.jobs[id].outlived {
			t.Errorf("read first %v: one submission counts as two", readFirst)
		}
		w.repeat(j)
		if !w.sched.jobs[id].outlived {
			t.Errorf("read first %v: a repeat does not count", readFirst)
		}
	}
}

// Guards against a repeat that comes so late that the leader does not expect to write anything about
// the job again.
func TestLateRepeatOfEndedJobDoesNotRun(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires = testOptions().LogRetention, true
	w.addWorker("w1", 8)
	w.startLeader()
	j := oneStep("a", &record.Step{Count: 3})
	w.submit(j)
	w.run(w.logRetention * 6 / 10)
	w.mustComplete("a")
	w.repeat(j)
	w.run(w.logRetention*4/10 + time.Second)
	w.changeLeader()
	w.run(3 * time.Second)
	if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
		t.Errorf("a task was started %d times, want 1", n)
	}
}

// Guards against a repeat that arrives when only the record of the job's end is left, and expires
// later than that record.
func TestRepeatAfterAllButTheEndExpired(t *testing.T) {
	w := shortLogWorld(t)
	w.runTime = func(model.TaskID) time.Duration { return time.Minute }
	j := oneStep("a", &record.Step{Count: 1})
	w.submit(j)
	w.run(time.Second)
	w.cancelFor("a", "ws")
	w.run(22 * time.Second)
	w.changeLeader()
	if j := w.sched.jobs["a"]; len(j.rec.Steps) != 0 {
		t.Fatal("another record of the job is left")
	}
	w.run(100 * time.Millisecond)
	w.repeat(j)
	if !w.sched.jobs["a"].outlived {
		t.Error("the repeat does not count")
	}
}

// Guards against a leader that takes a repeat for older than the record of its job's end: it was
// appended after that record, and the next leader reads it when the first submission has expired.
func TestRepeatNewerThanRecordOfEnd(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires, w.statusRetention = 100*time.Second, true, 10*time.Second
	w.runTime = func(model.TaskID) time.Duration { return time.Hour }
	w.addWorker("w1", 8)
	w.startLeader()
	j := oneStep("a", &record.Step{Count: 1})
	w.submit(j)
	w.run(time.Second)
	w.cancelFor("a", "ws")
	w.run(50 * time.Second) // its end has just been written
	if _, n := w.endsInLog("a"); n != 1 {
		t.Fatalf("the end was written %d times, want once", n)
	}
	w.run(5 * time.Second)
	w.repeat(j)
	w.stopLeader()
	w.run(45 * time.Second)
	w.startLeader()
	w.run(51 * time.Second) // the first record of the end has expired, the repeat has not
	w.changeLeader()
	w.run(3 * time.Second)
	if n := w.starts[model.TaskID{Job: "a"}]; n != 1 {
		t.Errorf("the task was started %d times, want 1", n)
	}
}

// Guards against the end of a cancelled job that is written again as long as its leader leads.
func TestEndIsWrittenOnceWhereRecordsSuffice(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires = testOptions().LogRetention, true
	w.addWorker("w1", 8)
	w.startLeader()
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.cancel("a")
	w.run(700 * time.Second)
	if records, n := w.endsInLog("a"); records != 1 || n != 1 {
		t.Errorf("the end was written %d times in %d records, want once", n, records)
	}
}

// Guards against a repeat that runs under the leader that has seen the end of its job, because the
// state can be queried for a few seconds only.
func TestRepeatAfterShortStatusRetentionDoesNotRun(t *testing.T) {
	w := newWorld(t, 1)
	w.statusRetention = 2 * time.Second
	w.addWorker("w1", 8)
	w.startLeader()
	j := oneStep("a", &record.Step{Count: 1})
	w.submit(j)
	w.cancel("b")
	w.run(10 * time.Second)
	w.repeat(j)
	w.submit(oneStep("b", &record.Step{Count: 1}))
	w.run(3 * time.Second)
	if n := len(w.starts); n != 1 {
		t.Errorf("%d tasks were started, want the one of the job that was not cancelled", n)
	}
}

// endedEntry returns an entry with the end of a completed job.
func endedEntry(id string, age time.Duration, written time.Duration) *record.Entry {
	e := &record.EndedJob{Id: id, Queue: "q", Workspace: "ws", End: record.JobEnd_JOB_END_COMPLETED, AgeMs: age.Milliseconds()}
	k := &record.EndedJobs{Jobs: []*record.EndedJob{e}, WrittenUnixMs: written.Milliseconds()}
	return &record.Entry{Kind: &record.Entry_EndedJobs{EndedJobs: k}}
}

func doneEntry(id string) *record.Entry {
	e := &record.Ended{Task: &record.Task{Job: id}, Run: 1, Outcome: record.Outcome_OUTCOME_DONE}
	return &record.Entry{Kind: &record.Entry_Ended{Ended: e}}
}

// Guards against a job that ends twice, and is kept longer for that, because the end of its last task
// is read after the record of its own end.
func TestJobWithRecordedEndEndsOnce(t *testing.T) {
	w := newWorld(t, 1)
	w.startLeader()
	w.stopLeader()
	w.submit(oneStep("a", &record.Step{Count: 1}))
	w.entries = append(w.entries, endedEntry("a", 30*time.Second, w.now), doneEntry("a"))
	w.startLeader()
	if n := len(w.sched.finished); n != 1 {
		t.Errorf("the job has ended %d times, want once", n)
	}
	if age := w.now - w.sched.jobs["a"].endedAt; age != 30*time.Second {
		t.Errorf("the job has ended %v ago, want 30s", age)
	}
}

// Guards against jobs that are kept too long behind others that have ended later but were read first.
func TestEndedJobsAreRetiredByAge(t *testing.T) {
	w := newWorld(t, 1)
	w.startLeader()
	w.stopLeader()
	w.submit(oneStep("young", &record.Step{Count: 1}))
	w.entries = append(w.entries, doneEntry("young"), endedEntry("old", 2*testOptions().StatusRetention-5*time.Second, w.now))
	w.startLeader()
	w.run(6 * time.Second)
	w.mustShow("young", StateCompleted)
	w.mustShow("old", StateUnknown)
}

// Guards against a job that is written again too late, because the later one of its submissions is in
// the partition that is read first.
func TestOlderSubmissionDecidesWhenJobIsRewritten(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention = 20 * time.Second
	young := oneStep("a", &record.Step{Count: 1, LongRunning: true})
	w.submitAt(young, "q", w.now-time.Second)
	old := proto.Clone(young).(*record.Job)
	old.AcceptedUnixMs = (w.now - 11*time.Second).Milliseconds()
	w.appendIntake(&record.Intake{Kind: &record.Intake_Submitted{Submitted: old}})
	w.startLeader()
	w.run(time.Second)
	for _, e := range w.entries {
		if e.GetKept() != nil {
			return
		}
	}
	t.Error("the job was not written again")
}

// BenchmarkWriteEnds reports what the end of a job takes in the log, in bytes, and the time to write and
// to read it.
func BenchmarkWriteEnds(b *testing.B) {
	const jobs = 1000
	var size int
	for range b.N {
		s := New(testOptions())
		s.Handle(time.Hour, Tick{UnixMs: time.Hour.Milliseconds()})
		k := &record.EndedJobs{WrittenUnixMs: time.Hour.Milliseconds()}
		for i := range jobs {
			e := &record.EndedJob{Id: fmt.Sprintf("%016x", i), Queue: "r-zsb5x3w", Workspace: "kaye182", End: record.JobEnd_JOB_END_COMPLETED, AgeMs: 75_000}
			k.Jobs = append(k.Jobs, e)
		}
		entry := &record.Entry{Kind: &record.Entry_EndedJobs{EndedJobs: k}}
		size = proto.Size(entry)
		s.Handle(time.Hour, EntriesRead{Entries: []*record.Entry{entry}})
		s.Handle(time.Hour, Lead{Fence: 1, ProvenAt: time.Hour})
		for _, j := range s.jobs {
			j.outlived = true
		}
		s.Handle(2*time.Hour, Tick{UnixMs: (2 * time.Hour).Milliseconds()})
	}
	b.ReportMetric(float64(size)/jobs, "bytes/job")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/job")
}
