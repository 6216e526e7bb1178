package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// startLimit is how long a task that lasts may be without a run in calm times.
const startLimit = 9 * time.Second

// newRackWorld returns a world of racks of workers with 8 cores each.
func newRackWorld(t *testing.T, seed uint64, racks, perRack int) (*world, *crashers) {
	w := newWorld(t, seed)
	for r := range racks {
		for i := range perRack {
			fw := w.newWorker(fmt.Sprintf("w%d%d", r, i), 8)
			fw.entry.Labels = []string{fmt.Sprintf("r%d-1", r)}
			fw.entry.BornUnix = w.now.Milliseconds()
			w.deliver(WorkerListed{Entry: fw.entry})
		}
	}
	c := w.addCrashers(func(model.TaskID) bool { return false })
	return w, c
}

// runsOn returns the worker that has a run of the first task of a job, or nil.
func (w *world) runsOn(job string) *fakeWorker {
	for _, name := range w.names {
		if fw := w.workers[name]; fw.runs[model.TaskID{Job: job}] != nil && !fw.down {
			return fw
		}
	}
	return nil
}

// failRack crashes all workers of the rack of a worker.
func (c *crashers) failRack(w *world, fw *fakeWorker) {
	for _, name := range w.names {
		if o := w.workers[name]; !o.replaced && o.entry.Rack() == fw.entry.Rack() {
			c.crash(w, o)
		}
	}
}

// mustRunAgain fails the test unless the job's task runs within the limit.
func (w *world) mustRunAgain(job string) *fakeWorker {
	for until := w.now + startLimit; w.now < until; w.run(50 * time.Millisecond) {
		if on := w.runsOn(job); on != nil {
			return on
		}
	}
	w.fatal("the task of %s, which is %v, has not been started for %s: %s", job, w.states[job], startLimit, describeTasks(w.sched.jobs[job]))
	return nil
}

// lastingHistory is a job with a task that lasts whose workers crash, for causes of their own.
type lastingHistory struct {
	name    string
	single  bool          // only its worker crashes, not the rack
	worked  time.Duration // before each crash
	crashes int
	sameID  bool
	leaders bool // a new leader replaces the present one after each crash
	full    bool // every worker has other tasks that last
}

var lastingHistories = []lastingHistory{
	{name: "rack", worked: 15 * time.Second, crashes: 3},
	{name: "rack, same ID", worked: 15 * time.Second, crashes: 5, sameID: true},
	{name: "rack, soon again", worked: 2 * time.Second, crashes: 6},
	{name: "rack, changing leaders", worked: 6 * time.Second, crashes: 5, leaders: true},
	{name: "rack, beside other tasks", worked: 15 * time.Second, crashes: 5, full: true},
	{name: "single workers", single: true, worked: 15 * time.Second, crashes: 10},
	{name: "single workers, same ID, changing leaders", single: true, sameID: true, worked: 15 * time.Second, crashes: 8, leaders: true},
	{name: "single workers, beside other tasks", single: true, worked: 15 * time.Second, crashes: 8, full: true},
	{name: "single workers, long apart", single: true, worked: 20 * time.Minute, crashes: 3},
}

// Guards against a job that is given up, or left without a run, because the workers of its task,
// which lasts, have crashed: callers see it as failed although no run of it has ended as failed.
func TestLastingTaskOutlivesCrashes(t *testing.T) {
	for _, h := range lastingHistories {
		t.Run(h.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				h.run(t, seed)
			}
		})
	}
}

func (h *lastingHistory) run(t *testing.T, seed uint64) {
	w, c := newRackWorld(t, seed, 6, 4)
	c.sameID = h.sameID
	w.longRunning = true
	w.runTime = func(model.TaskID) time.Duration { return 1000 * time.Hour }
	w.startLeader()
	if h.full {
		w.submit(oneStep("others", &record.Step{Count: 24 * 4, AntiAffinity: 4, LongRunning: true}))
		w.run(3 * time.Second)
	}
	w.submit(oneStep("a", &record.Step{Count: 1, LongRunning: true}))
	t.Cleanup(func() { w.logOf("a ") })
	for range h.crashes {
		w.mustRunAgain("a")
		w.run(h.worked)
		on := w.mustRunAgain("a")
		if h.worked > maxAcquittal && w.sched.findTask(model.TaskID{Job: "a"}).suspected() {
			w.fatal("the task is suspected after a run of %s", h.worked)
		}
		if h.single {
			c.crash(w, on)
			if h.full {
				w.after(c.down, func() { w.resize(w.newestWorker(), 500, 0) }) // another kind, too small
			}
		} else {
			c.failRack(w, on)
		}
		if h.leaders {
			w.run(time.Duration(w.rng.Int64N(int64(4 * time.Second))))
			w.startLeader()
		}
	}
	w.mustRunAgain("a")
	w.run(5 * time.Second)
	if s := w.states["a"]; s != StateRunning {
		w.fatal("seed %d: the job is %v, want running", seed, s)
	}
	if n := len(w.sched.findTask(model.TaskID{Job: "a"}).suspicion.crashes); n > maxCrashesKept {
		w.fatal("seed %d: %d crashes are kept", seed, n)
	}
}

// Guards against an ordinary job that is given up because the rack that holds its data fails
// several times.
func TestJobIsNotGivenUpForRackOutages(t *testing.T) {
	for name, leaders := range map[string]bool{"one leader": false, "changing leaders": true} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				w, c := newRackWorld(t, seed, 4, 6)
				w.runTime = func(model.TaskID) time.Duration { return 20 * time.Second }
				w.startLeader()
				w.submit(oneStep("a", &record.Step{Count: 1, Affinity: "r2-1"}))
				t.Cleanup(func() { w.logOf("a ") })
				for range 6 {
					on := w.mustRunAgain("a")
					w.run(time.Second + time.Duration(w.rng.Int64N(int64(8*time.Second))))
					c.failRack(w, on)
					w.run(c.down + time.Second)
					if leaders {
						w.startLeader()
					}
				}
				w.run(40 * time.Second)
				w.mustComplete("a")
			}
		})
	}
}

// Guards against an ordinary job that is given up for outages so soon after each other that none of
// them was decided on before.
func TestJobIsNotGivenUpForOutagesInQuickSuccession(t *testing.T) {
	w, c := newRackWorld(t, 1, 8, 4)
	c.down = time.Second
	w.runTime = func(model.TaskID) time.Duration { return 20 * time.Second }
	w.startLeader()
	w.run(10 * time.Second)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	t.Cleanup(func() { w.logOf("a ") })
	for range 4 {
		on := w.mustRunAgain("a")
		w.run(200 * time.Millisecond)
		c.failRack(w, on)
		w.run(c.down)
	}
	w.run(30 * time.Second)
	w.mustComplete("a")
}

// rackCrashers are jobs that crash the workers of one rack at a time.
type rackCrashers struct {
	name           string
	racks, perRack int
	jobs           int
	count          int32 // tasks of each
}

// Guards against tasks that crash their workers and are taken for victims of an outage of the
// rack, since several of them run there at a time, or the rack has no other workers.
func TestCrashingTasksOfOneRackAreGivenUp(t *testing.T) {
	for _, h := range []rackCrashers{
		{name: "one job", racks: 3, perRack: 6, jobs: 1, count: 6},
		{name: "several jobs", racks: 3, perRack: 6, jobs: 6, count: 1},
		{name: "racks of one worker", racks: 12, perRack: 1, jobs: 1, count: 1},
		{name: "racks of two workers", racks: 6, perRack: 2, jobs: 2, count: 1},
	} {
		t.Run(h.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				h.run(t, seed)
			}
		})
	}
}

func (h *rackCrashers) run(t *testing.T, seed uint64) {
	w, c := newRackWorld(t, seed, h.racks, h.perRack)
	c.is = func(id model.TaskID) bool { return id.Job[0] == 'b' }
	w.runTime = func(model.TaskID) time.Duration { return 20 * time.Second }
	w.startLeader()
	for i := range h.jobs {
		w.submit(oneStep(fmt.Sprintf("b%d", i), &record.Step{
			Count: h.count, AntiAffinity: 1, Affinity: "r1-1", Request: &record.Resources{MilliCpu: 7000, MemoryMib: 100},
		}))
	}
	w.run(60 * time.Second)
	for i := range h.jobs {
		if id := fmt.Sprintf("b%d", i); w.states[id] != StateFailed {
			w.fatal("seed %d: job %s is %v, want failed", seed, id, w.states[id])
		}
	}
}

// Guards against a new leader that gives up a job, or starts a task without its pause, since it has
// inherited other crashes than its predecessor counted.
func TestNewLeaderInheritsCrashes(t *testing.T) {
	for name, retention := range map[string]time.Duration{"records": 0, "snapshots": 16 * time.Second} {
		t.Run(name, func(t *testing.T) {
			w, c := newRackWorld(t, 1, 6, 4)
			w.logRetention, w.longRunning = retention, true
			c.lasting, c.is = true, func(id model.TaskID) bool { return id.Job == "bad" }
			w.runTime = func(model.TaskID) time.Duration { return 60 * time.Second }
			w.startLeader()
			w.submit(oneStep("bad", &record.Step{Count: 1, LongRunning: true}))
			w.submit(oneStep("a", &record.Step{Count: 1, Affinity: "r2-1"}))
			outages := 0
			for range 4 {
				on := w.mustRunAgain("a")
				w.run(6 * time.Second)
				c.failRack(w, on)
				w.run(c.down + judgeDelay + time.Second)
				before := []string{describeSuspicion(w, "a"), describeSuspicion(w, "bad")}
				outages = len(w.sched.findTask(model.TaskID{Job: "a"}).suspicion.crashes)
				w.startLeader()
				for i, after := range []string{describeSuspicion(w, "a"), describeSuspicion(w, "bad")} {
					if after != before[i] {
						w.fatal("inherited %s, want %s", after, before[i])
					}
				}
			}
			if w.sched.findTask(model.TaskID{Job: "a"}).isolated() {
				w.fatal("the task of the rack is isolated for outages")
			}
			bad := w.sched.findTask(model.TaskID{Job: "bad"})
			crashes := bad.suspicion.crashes
			if pause := bad.pausedUntil() - crashes[len(crashes)-1].lostAt; outages != 4 || pause != maxRestartPause {
				w.fatal("%d outages under the task of the rack, and a pause of %s: want four, and %s", outages, pause, maxRestartPause)
			}
		})
	}
}

// Guards against crashes in an outage that count for good, since the leader that had them shown was
// replaced before it was decided what they were.
func TestNewLeaderDecidesOnOutage(t *testing.T) {
	w, c := newRackWorld(t, 1, 6, 4)
	w.runTime = func(model.TaskID) time.Duration { return 60 * time.Second }
	w.startLeader()
	w.run(5 * time.Second)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	c.failRack(w, w.mustRunAgain("a"))
	w.run(c.down + time.Second)
	counted := func() int { return len(w.sched.findTask(model.TaskID{Job: "a"}).suspicion.counted()) }
	if n := counted(); n != 1 {
		w.fatal("%d crashes are counted before it is decided, want 1", n)
	}
	w.startLeader()
	w.run(judgeDelay + time.Second)
	if n := counted(); n != 0 {
		w.fatal("%d crashes are counted, want none", n)
	}
}

// describeSuspicion returns what is decided by the crashes of the first task of a job.
func describeSuspicion(w *world, job string) string {
	t := w.sched.findTask(model.TaskID{Job: job})
	crashes := t.suspicion.crashes
	return fmt.Sprintf("%s: %d crashes, %d counted, weight %d, given up %t, isolated %t, paused until %s", job, len(crashes), len(t.suspicion.counted()),
		weightOf(crashes), t.isGivenUp(), t.isolated(), t.pausedUntil().Round(time.Second))
}
