package region

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// periodicJob returns a job of two tasks that runs each 300 ms from a second after the start of the world.
func periodicJob(times int32) *record.Job {
	j := oneStep("p", &record.Step{Count: 2, EstimateMs: 100, Request: &record.Resources{MilliCpu: 100, MemoryMib: 10}})
	j.RepeatCount, j.FirstRunUnixMs, j.IntervalMs = times, (time.Hour + time.Second).Milliseconds(), 300
	return j
}

// keptOf returns how many tasks of the job the leader keeps, and the size of its snapshot in bytes.
func (w *world) keptOf(id string) (tasks, bytes int) {
	j := w.sched.jobs[id]
	for _, occ := range j.occs {
		for _, st := range occ.steps {
			tasks += len(st.tasks)
		}
	}
	for _, k := range w.sched.snapshotJob(j, 1<<20) {
		bytes += proto.Size(k)
	}
	return tasks, bytes
}

// periodicWorld runs a periodic job, of which a task of occurrence 3 lasts.
func periodicWorld(t *testing.T, times int32, lasts time.Duration) *world {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires = 20*time.Second, true
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Occurrence == 3 && id.Index == 0 {
			return lasts
		}
		return 100 * time.Millisecond
	}
	w.addWorker("w1", 8)
	w.startLeader()
	w.submit(periodicJob(times))
	return w
}

// Guards against memory and records that grow with the occurrences of a job that are over, up to the bound of
// its tasks.
func TestOccurrencesThatAreOverAreNotKept(t *testing.T) {
	const mayWait = 20 // tasks of occurrences of 3 s
	w := periodicWorld(t, 1000, time.Hour)
	w.run(8 * time.Second)
	for _, after := range []time.Duration{0, 30 * time.Second, 60 * time.Second} {
		w.run(after)
		tasks, bytes := w.keptOf("p")
		t.Logf("after %d occurrences: %d tasks are kept, and the snapshot has %d bytes", w.sched.jobs["p"].nextOcc, tasks, bytes)
		if tasks > mayWait || bytes > 700 {
			t.Errorf("after %d occurrences %d tasks are kept, and the snapshot has %d bytes", w.sched.jobs["p"].nextOcc, tasks, bytes)
		}
	}
}

// Guards against an occurrence that runs again, or is forgotten, because the records of its tasks have expired
// and its job is known from a snapshot only.
func TestOccurrenceThatIsOverDoesNotRunAgainUnderNextLeader(t *testing.T) {
	const times = 150
	for _, pause := range []time.Duration{900 * time.Millisecond, 3 * time.Second, 8 * time.Second, 11 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			w := periodicWorld(t, times, 35*time.Second)
			for w.now < time.Hour+50*time.Second {
				w.run(pause)
				w.changeLeader()
			}
			w.run(40 * time.Second) // the task that lasts was moved off a worker that seemed slow
			w.mustShow("p", StateCompleted)
			for k := range int32(times) {
				for i := range int32(2) {
					if id := (model.TaskID{Job: "p", Occurrence: k, Index: i}); w.starts[id] == 0 {
						t.Errorf("task %v was not started", id)
					}
				}
			}
		})
	}
}

// Guards against snapshots of a periodic job that no record has room for, where occurrences that last stand
// between those that are over.
func TestSnapshotOfOccurrencesThatAreOverFitsIntoRecords(t *testing.T) {
	w := newWorld(t, 1)
	w.logRetention, w.intakeExpires, w.recordBytes = 20*time.Second, true, 600
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Occurrence%2 == 1 {
			return 40 * time.Second
		}
		return 100 * time.Millisecond
	}
	w.addWorker("w1", 64)
	w.startLeader()
	w.submit(periodicJob(100))
	for range 5 {
		w.run(11 * time.Second)
		w.changeLeader()
	}
	w.run(60 * time.Second)
	w.mustShow("p", StateCompleted)
	if len(w.starts) != 200 {
		t.Errorf("%d tasks were started, want 200", len(w.starts))
	}
	for id, n := range w.starts { // those that last are moved off a worker that seems slow
		if id.Occurrence%2 == 0 && n != 1 {
			t.Errorf("task %v was started %d times", id, n)
		}
	}
}

// pastScheduler returns a leader that has read the entries of a periodic job with five occurrences, all due,
// and one worker.
func pastScheduler(t *testing.T, entries ...*record.Entry) (handle func(Event) []Command, s *Scheduler) {
	t.Helper()
	s = New(testOptions())
	now := 2 * time.Hour
	handle = func(ev Event) []Command {
		now += 5 * time.Millisecond
		return append([]Command(nil), s.Handle(now, ev)...)
	}
	handle(Tick{UnixMs: now.Milliseconds()})
	j := periodicJob(5)
	j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000}
	j.Workspace, j.Queue = "ws", "q"
	for i, e := range entries {
		e.Fence, e.Seq = 1, int64(i)+1
		if k := e.GetKeptRepeating(); k != nil && !k.Continued {
			k.Job = j
		}
		if k := e.GetKept(); k != nil {
			k.Job = j
		}
	}
	handle(EntriesRead{Entries: entries})
	return handle, s
}

func pastAssigned(k, i, run int32) *record.Entry {
	return &record.Entry{Kind: &record.Entry_Assigned{Assigned: &record.Assigned{
		Task: model.TaskID{Job: "p", Occurrence: k, Index: i}.Record(), Run: run, Worker: "w1", BornUnixMs: 7, Address: "10.0.0.1:1",
	}}}
}

func pastEnded(k, i, run int32, outcome record.Outcome) *record.Entry {
	return &record.Entry{Kind: &record.Entry_Ended{Ended: &record.Ended{
		Task: model.TaskID{Job: "p", Occurrence: k, Index: i}.Record(), Run: run, Outcome: outcome,
	}}}
}

func pastOver(from, to int32) *record.Entry {
	return &record.Entry{Kind: &record.Entry_KeptRepeating{KeptRepeating: &record.Kept{Over: []*record.OccurrenceRange{{From: from, To: to}}}}}
}

// Records of an occurrence that is over, in whatever form, leave nothing of it that could run.
func TestRecordsOfOccurrencesThatAreOver(t *testing.T) {
	done := record.Outcome_OUTCOME_DONE
	for name, c := range map[string]struct {
		entries []*record.Entry
		live    []int32 // occurrences that are kept
		over    int     // occurrences that are over
	}{
		"ends":                     {[]*record.Entry{{Kind: &record.Entry_Kept{Kept: &record.Kept{}}}, pastAssigned(0, 0, 1), pastEnded(0, 0, 1, done), pastEnded(0, 1, 1, done), pastAssigned(1, 0, 1)}, []int32{1}, 1},
		"a snapshot of before":     {[]*record.Entry{{Kind: &record.Entry_Kept{Kept: &record.Kept{Tasks: []*record.TaskState{{Task: model.TaskID{Job: "p"}.Record(), Run: 1, Done: true}, {Task: model.TaskID{Job: "p", Index: 1}.Record(), Run: 2, Done: true}}}}}}, nil, 1},
		"a snapshot":               {[]*record.Entry{pastOver(0, 2), pastAssigned(2, 0, 1)}, []int32{2}, 2},
		"with one left out":        {[]*record.Entry{pastOver(1, 4)}, []int32{0}, 3},
		"an assignment after it":   {[]*record.Entry{pastOver(0, 2), pastAssigned(1, 0, 2), pastEnded(1, 1, 2, record.Outcome_OUTCOME_FAILED)}, nil, 2},
		"an assignment before it":  {[]*record.Entry{{Kind: &record.Entry_Kept{Kept: &record.Kept{}}}, pastAssigned(1, 0, 2), pastOver(0, 2)}, nil, 2},
		"a run beside the end":     {[]*record.Entry{{Kind: &record.Entry_Kept{Kept: &record.Kept{}}}, pastEnded(0, 1, 1, done), pastAssigned(0, 0, 2), pastEnded(0, 0, 1, done)}, []int32{0}, 0},
		"more than the job has":    {[]*record.Entry{pastOver(0, 2), pastOver(1, 1000), pastOver(-1, 3)}, nil, 5},
		"all that the job has":     {[]*record.Entry{pastOver(0, 5)}, nil, 5},
		"a continuation by itself": {[]*record.Entry{{Kind: &record.Entry_KeptRepeating{KeptRepeating: &record.Kept{Job: &record.Job{Id: "p"}, Continued: true, Over: []*record.OccurrenceRange{{To: 3}}}}}}, nil, -1},
	} {
		t.Run(name, func(t *testing.T) {
			_, s := pastScheduler(t, c.entries...)
			j := s.jobs["p"]
			if c.over < 0 {
				if j != nil {
					t.Error("a job is known of which the first part has expired")
				}
				return
			}
			var live []int32
			for _, occ := range j.occs {
				live = append(live, occ.k)
			}
			over := 0
			for _, r := range j.over {
				over += int(r.to - r.from)
			}
			if fmt.Sprint(live) != fmt.Sprint(c.live) || over != c.over || j.remainingOccs+over+countDoneLive(j) != int(j.nextOcc) {
				t.Errorf("occurrences %v are kept and %d are over, want %v and %d; %d remain of %d", live, over, c.live, c.over, j.remainingOccs, j.nextOcc)
			}
			if want := c.over == 5; j.complete() != want || j.closed != want {
				t.Errorf("complete %v, closed %v, want %v", j.complete(), j.closed, want)
			}
		})
	}
}

// countDoneLive returns how many occurrences are kept although all of their tasks are done.
func countDoneLive(j *job) (n int) {
	for _, occ := range j.occs {
		if occ.open == 0 {
			n++
		}
	}
	return n
}

// Guards against an occurrence that runs again, or is completed again, by what a worker still lists of it. A
// run is stopped, and an end is acknowledged without a record.
func TestWorkerListsOccurrenceThatIsOver(t *testing.T) {
	handle, s := pastScheduler(t, pastOver(0, 4), pastAssigned(4, 0, 1))
	commands := handle(Lead{Fence: 2, ProvenAt: 2 * time.Hour})
	past := model.TaskID{Job: "p", Occurrence: 2}
	stopped, lines := 0, 0
	for range 3 {
		for _, c := range commands {
			c, ok := c.(Probe)
			if !ok {
				continue
			}
			commands = handle(ProbeAnswered{Request: c.Request, SentAt: s.now, Response: model.ProbeResponse{
				ClockMs: 1000, BornUnix: 7,
				Running: []model.Running{{RunID: model.RunID{Task: past, Run: 7}}, {RunID: model.RunID{Task: model.TaskID{Job: "p", Occurrence: 4}, Run: 1}}},
				Ended:   []model.End{{Number: 1, RunID: model.RunID{Task: model.TaskID{Job: "p", Occurrence: 1, Index: 1}, Run: 9}, Outcome: record.Outcome_OUTCOME_DONE}},
			}})
			for _, c := range commands {
				switch c := c.(type) {
				case Stop:
					if c.Request.Task == past {
						stopped++
					}
				case Explain:
					if c.Message == "end of a past occurrence" {
						lines++
					}
				case Start:
					if c.Request.Task.Occurrence < 4 {
						t.Errorf("started %v", c.Request.Task)
					}
				case Append:
					for _, e := range c.Entries {
						if e.GetEnded() != nil || e.GetAssigned().GetTask().GetOccurrence() < 4 && e.GetAssigned() != nil {
							t.Errorf("recorded %v", e)
						}
					}
				}
			}
			break
		}
	}
	if stopped == 0 || lines != 1 {
		t.Errorf("stopped %d times, %d lines on the end, want at least one and one", stopped, lines)
	}
	if j := s.jobs["p"]; len(j.occs) != 1 || j.remainingOccs != 1 {
		t.Errorf("%d occurrences are kept, %d remain, want 1", len(j.occs), j.remainingOccs)
	}
}

// An occurrenceSet has what was added to it, in ranges that do not touch.
func TestOccurrenceSet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		var set occurrenceSet
		want := make(map[int32]bool)
		for range 12 {
			from := rng.Int32N(30)
			r := occurrenceRange{from, from + 1 + rng.Int32N(4)}
			set = set.add(r)
			for k := r.from; k < r.to; k++ {
				want[k] = true
			}
			for k := range int32(40) {
				if set.has(k) != want[k] {
					t.Fatalf("%v has %d: %v, want %v", set, k, set.has(k), want[k])
				}
			}
			for i := 1; i < len(set); i++ {
				if set[i-1].to >= set[i].from {
					t.Fatalf("%v has ranges that touch", set)
				}
			}
		}
	}
}
