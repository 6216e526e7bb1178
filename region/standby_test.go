package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// newStandbyWorld returns a world of racks of four workers with 8 cores each, in three zones, of
// which at least minActive workers are active.
func newStandbyWorld(t *testing.T, racks, minActive int) *world {
	w := newWorld(t, 1)
	w.minActive = minActive
	for r := range racks {
		for i := range 4 {
			fw := w.newWorker(fmt.Sprintf("w%02d%d", r, i), 8)
			fw.entry.Zone = fmt.Sprintf("z%d", r%3)
			fw.entry.Labels = []string{fmt.Sprintf("r%d-1", r)}
		}
	}
	w.startLeader()
	w.run(2 * time.Second)
	return w
}

// activeNames returns the active workers.
func (w *world) activeNames() map[string]bool {
	names := make(map[string]bool)
	for _, o := range w.sched.active {
		names[o.entry.ID] = true
	}
	return names
}

// checkStandby fails the test if a worker on standby has runs, or one with something to follow up is
// not probed.
func (w *world) checkStandby() {
	for _, o := range w.sched.workerList {
		if !o.isActive() && len(o.runs) > 0 {
			w.fatal("worker %s is on standby with %d runs", o.entry.ID, len(o.runs))
		}
		if !o.settled() && !o.probing && o.probeHeldAt == 0 && o.incarnation.Address != "" {
			w.fatal("worker %s, active %v, is not probed although it has something to follow up", o.entry.ID, o.isActive())
		}
		if o.isActive() != o.inActive {
			w.fatal("worker %s: active %v, among the active workers %v", o.entry.ID, o.isActive(), o.inActive)
		}
	}
}

// Guards against probes of workers that have nothing to do, which would grow with the region.
func TestWorkersOnStandbyAreNotProbed(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	clear(w.probes)
	w.run(10 * time.Second)
	if len(w.probes) != 8 {
		t.Errorf("%d of 120 idle workers were probed, want 8", len(w.probes))
	}
}

// The active workers follow the demand: a burst is served by all it needs, and they go to standby
// when it is over.
func TestActiveWorkersFollowDemand(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	for i := range 40 {
		w.submit(oneStep(fmt.Sprintf("j%02d", i), &record.Step{Count: 8, Request: &record.Resources{MilliCpu: 2000, MemoryMib: 100}}))
	}
	w.run(3 * time.Second)
	peak := len(w.sched.active)
	if peak < 80 {
		t.Errorf("%d active workers at the peak, want 80 at least, which hold the burst", peak)
	}
	w.checkStandby()
	w.run(30 * time.Second)
	for i := range 40 {
		w.mustComplete(fmt.Sprintf("j%02d", i))
	}
	if n := len(w.sched.active); n > 12 {
		t.Errorf("%d active workers half a minute after the burst, want 12 at most", n)
	}
	w.checkStandby()
}

// The active workers are spread over the zones.
func TestActiveWorkersAreSpreadOverZones(t *testing.T) {
	w := newStandbyWorld(t, 30, 4)
	w.submit(oneStep("a", &record.Step{Count: 40, EstimateMs: 3000, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}}))
	w.run(time.Second)
	inZone := make(map[string]int)
	for _, o := range w.sched.active {
		inZone[o.entry.Zone]++
	}
	for _, zone := range []string{"z0", "z1", "z2"} {
		if inZone[zone] < len(w.sched.active)/3-4 {
			t.Errorf("%v active workers by zone, want them spread", inZone)
		}
	}
}

// Guards against a step that waits forever although workers on standby could run it.
func TestStepReachesWorkersOnStandby(t *testing.T) {
	cases := map[string]*record.Step{
		"that have a label":             {Count: 1, Requires: "r29-1"},
		"that are on one rack":          {Count: 16, Gang: true, SameRack: true, Request: &record.Resources{MilliCpu: 2000, MemoryMib: 100}},
		"as a wide gang":                {Count: 120, Gang: true, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}},
		"with a task on each":           {Count: 60, AntiAffinity: 1},
		"with tasks that fill a worker": {Count: 60, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 64 << 10}},
	}
	for name, step := range cases {
		t.Run(name, func(t *testing.T) {
			w := newStandbyWorld(t, 30, 4)
			w.submit(oneStep("a", step))
			w.run(4 * time.Second)
			w.mustComplete("a")
			w.checkStandby()
		})
	}
}

// Guards against an isolated task that waits forever: other jobs run on all active workers, and
// none is kept free for it among those on standby.
func TestIsolatedTaskReachesWorkersOnStandby(t *testing.T) {
	w := newStandbyWorld(t, 30, 4)
	w.runTime = func(id model.TaskID) time.Duration {
		if id.Job == "a" {
			return 500 * time.Millisecond
		}
		return time.Minute
	}
	w.submit(oneStep("filler", &record.Step{Count: 4, AntiAffinity: 1, EstimateMs: 60000}))
	w.run(100 * time.Millisecond)
	w.submit(oneStep("a", &record.Step{Count: 1}))
	st := w.sched.jobs["a"].occs[0].steps[0]
	now := w.sched.now
	st.tasks[0].suspicion.crashes = []*loss{{at: now}, {at: now}, {at: now}}
	w.sched.noteSuspect(st.tasks[0])
	w.run(5 * time.Second)
	w.mustComplete("a")
}

// A step that advice allows on few workers reaches them on standby.
func TestStepReachesEligibleWorkersOnStandby(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	w.issuesTicket = func(_, worker string) bool { return worker == "w170" }
	j := oneStep("a", &record.Step{Count: 1})
	j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000, Advice: &record.Advice{DecideMs: 5, EachMs: 0.2, ValidMs: 2000}}
	w.submit(j)
	w.run(8 * time.Second)
	w.mustComplete("a")
}

// The rack that holds the data of a step is activated for it.
func TestRackOfDataIsActivated(t *testing.T) {
	w := newStandbyWorld(t, 30, 4)
	w.submit(oneStep("a", &record.Step{Count: 4, Affinity: "r29-1"}))
	w.run(300 * time.Millisecond)
	for id := range w.starts {
		if ran := w.sched.findTask(id).run; ran == nil || ran.worker.entry.Rack() != "r29-1" {
			t.Errorf("task %v runs on %v, want rack r29-1", id, ran)
		}
	}
	if len(w.starts) != 4 {
		t.Errorf("%d tasks started, want 4", len(w.starts))
	}
}

// Guards against a new leader that probes all workers of the region before it starts anything: it
// begins with those that the log names.
func TestNewLeaderBeginsWithWorkersInUse(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	w.runTime = func(model.TaskID) time.Duration { return 5 * time.Second }
	w.submit(oneStep("a", &record.Step{Count: 12, EstimateMs: 5000, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}}))
	w.run(2 * time.Second)
	used := make(map[string]bool)
	for id := range w.starts {
		used[w.sched.findTask(id).run.ref.ID] = true
	}
	w.stopLeader()
	w.run(time.Second)
	clear(w.probes)
	w.startLeader()
	w.run(50 * time.Millisecond)
	active := w.activeNames()
	for name := range used {
		if !active[name] {
			t.Errorf("worker %s with a run is on standby", name)
		}
	}
	if len(w.probes) > 60 {
		t.Errorf("the new leader probed %d of 120 workers, want those in use and their racks", len(w.probes))
	}
	w.run(10 * time.Second)
	w.mustComplete("a")
}

// Guards against room that is lost with active workers: as many others take their place.
func TestUnreachableActiveWorkersAreReplaced(t *testing.T) {
	w := newStandbyWorld(t, 30, 24)
	for _, fw := range w.workers {
		fw.unreachable = fw.entry.Zone == "z0"
	}
	w.run(3 * time.Second)
	reachable := 0
	for name := range w.activeNames() {
		if !w.workers[name].unreachable {
			reachable++
		}
	}
	if reachable < 24 {
		t.Errorf("%d reachable workers are active, want 24", reachable)
	}
}

// Guards against workers that have left the host list and are kept for ever: no probe of one on
// standby shows that it is gone.
func TestWorkerOnStandbyThatLeavesIsForgotten(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	active := w.activeNames()
	for name, fw := range w.workers {
		if !active[name] {
			w.expireEntry(fw)
		}
	}
	if n := len(w.sched.workerList); n != 8 {
		t.Errorf("%d workers are known, want the 8 that are listed", n)
	}
}

// Guards against a start on a worker that has just gone to standby, for which a step has a valid
// ticket: no probe would read the end of the run.
func TestWorkerOnStandbyGetsNoStart(t *testing.T) {
	w := newStandbyWorld(t, 4, 16)
	o := w.sched.active[0]
	w.sched.now = w.now
	if !w.sched.usable(o) {
		t.Fatal("an active worker is not usable")
	}
	w.sched.sendToStandby(o.rack)
	if w.sched.usable(o) {
		t.Error("a worker on standby is usable")
	}
}

// Guards against workers that go to standby while something of a run there is to be followed up.
func TestWorkerWithUnfinishedWorkStaysActive(t *testing.T) {
	cases := map[string]func(*worker){
		"a run":                      func(o *worker) { o.runs = append(o.runs, &run{}) },
		"a call without an answer":   func(o *worker) { o.pendingCalls.sent(model.RunID{}, time.Second) },
		"a run that is not wanted":   func(o *worker) { o.strays = 1 },
		"an end to acknowledge":      func(o *worker) { o.ends.highest, o.ends.acked = 3, 2 },
		"room reserved for a gang":   func(o *worker) { o.reserved = &step{} },
		"room promised to a gang":    func(o *worker) { o.promised.MilliCPU = 1 },
		"room kept for an isolation": func(o *worker) { o.keptFreeFor = &step{} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(testOptions())
			o := &worker{pendingCalls: make(pendingCalls), ends: &endLog{}}
			r := &rack{workers: []*worker{o}, active: true}
			s.now = time.Hour
			s.quietFor(r)
			s.now += time.Minute
			if s.quietFor(r) != time.Minute {
				t.Fatal("a rack without work is not quiet")
			}
			change(o)
			if quiet := s.quietFor(r); quiet != 0 {
				t.Errorf("quiet for %v, want 0", quiet)
			}
		})
	}
}

// Guards against leases computed from an old reading of a worker's clock, which may have drifted
// while the worker was on standby.
func TestReactivatedWorkerIsProbedBeforeItsLease(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	var parked *worker
	w.submit(oneStep("a", &record.Step{Count: 40, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}}))
	w.run(time.Second)
	before := w.activeNames()
	w.run(40 * time.Second)
	for name := range before {
		if o := w.sched.workers[name]; !o.isActive() && o.fenced {
			parked = o
		}
	}
	if parked == nil {
		t.Fatal("no worker went to standby")
	}
	w.sched.now = w.now
	w.sched.out = nil
	w.sched.activate(parked.rack)
	for _, c := range w.sched.out {
		if p, ok := c.(Probe); ok && p.Request.UntilMs != 0 {
			t.Errorf("the first probe of worker %s grants a lease", p.Request.Worker.ID)
		}
	}
}

// Random histories of bursts and quiet periods, with the faults of TestStrictHistories, in which
// workers are activated and go to standby, with checkStandby after each tick.
func TestHistoriesWithStandbyWorkers(t *testing.T) {
	const histories = 8
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { standbyHistory(t, seed) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { standbyHistory(t, *firstSeed+i) })
	}
}

func standbyHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	w.strict, w.minActive = newStrict(), 4
	for i := range 24 {
		fw := w.addWorker(fmt.Sprintf("w%d", i), 8)
		fw.entry.Zone, fw.entry.Labels = fmt.Sprintf("z%d", i%3), []string{fmt.Sprintf("r%d-1", i/3)}
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.callDelay = func(string) time.Duration {
		if faultFree || w.rng.IntN(30) != 0 {
			return 0
		}
		return 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	w.startLeader()
	var jobs []string
	for burst := range 6 {
		for i := range 40 {
			w.run(25 * time.Millisecond)
			j := strictJob(w, fmt.Sprintf("j%d.%02d", burst, i))
			w.submit(j)
			jobs = append(jobs, j.Id)
			if w.rng.IntN(20) == 0 {
				w.cancelStrict(jobs[len(jobs)-1-w.rng.IntN(min(10, len(jobs)))])
			}
			injectFault(w, 80, crashWithDowntime)
		}
		for range 60 + w.rng.IntN(200) {
			w.run(100 * time.Millisecond)
			injectFault(w, 200, crashWithDowntime)
		}
	}
	faultFree = true
	w.mustEnd(jobs)
	checkAddresses(t, w.sched)
}

// The reservations of a gang do not depend on how they are searched for: the workers that it
// reserved before come first, then those with most places, then the first of the region.
func TestGangReservesItsWorkersInOrder(t *testing.T) {
	s, _ := heldSteps(12)
	var st *step
	for _, o := range s.ready.steps {
		if o.rec.Gang {
			st = o
		}
	}
	for i, w := range s.active {
		w.used.MilliCPU = []int64{0, 12000, 22000, 5000}[i%4] // 6, 4, 2 and 5 places
		w.wasReserved, w.reserved, w.softReserved = nil, nil, nil
	}
	s.active[9].wasReserved, s.active[2].wasReserved = st, st // 4 and 2 places
	s.reserve(st, true)
	want := map[int]bool{9: true, 2: true, 0: true, 4: true, 8: true, 3: true, 7: true, 11: true} // 6+18+15 = 39 of 40, and one more
	want[1] = true
	for i, w := range s.active {
		if got := w.reserved == st; got != want[i] {
			t.Errorf("worker %d: reserved %v, want %v", i, got, want[i])
		}
	}
}

// Guards against passes that take most of a core: each looks at all active workers.
func TestPassesAreFartherApartWithMoreWorkers(t *testing.T) {
	for workers, want := range map[int]time.Duration{0: 4 * time.Millisecond, 1000: 4 * time.Millisecond, 3000: 12 * time.Millisecond} {
		s := New(testOptions())
		s.active = make([]*worker, workers)
		if got := s.passInterval(); got != want {
			t.Errorf("%d active workers: passes %v apart, want %v", workers, got, want)
		}
	}
}

// Guards against a new leader that writes a log line for each worker of the region: it writes one
// for all that it finds, and one for each that is listed later.
func TestNewLeaderLogsItsWorkersOnce(t *testing.T) {
	w := newStandbyWorld(t, 30, 8)
	if w.explained("worker listed") {
		t.Error("a line about a single worker that the leader has found")
	}
	if !w.explained("workers known", "listed 120", "active 8") {
		t.Error("no line about all workers that the leader has found")
	}
	w.addWorker("w999", 8)
	if !w.explained("worker listed", "worker w999") {
		t.Error("no line about a worker that was listed later")
	}
}

// Guards against ends that are never acknowledged: a new leader sends the worker to standby, as the
// log shows the end of its last run, before the worker has listed it to this leader.
func TestEndsOfEarlierLeaderAreAcknowledgedOnStandby(t *testing.T) {
	w := newStandbyWorld(t, 30, 4)
	w.submit(oneStep("a", &record.Step{Count: 12, Request: &record.Resources{MilliCpu: 8000, MemoryMib: 100}}))
	unacked := func() (n int) {
		for _, fw := range w.workers {
			n += len(fw.ends)
		}
		return n
	}
	ended := func() (n int) {
		for _, e := range w.entries {
			if e.GetEnded() != nil {
				n++
			}
		}
		return n
	}
	for ended() < 12 {
		w.run(time.Millisecond)
	}
	w.stopLeader()
	w.run(100 * time.Millisecond)
	if unacked() == 0 {
		t.Fatal("all ends were acknowledged before the leader was stopped")
	}
	w.startLeader()
	w.run(2 * time.Second)
	if n := unacked(); n > 0 {
		t.Errorf("%d ends are not acknowledged", n)
	}
	if n := len(w.sched.active); n > 8 {
		t.Errorf("%d workers are active without work, want 8 at most", n)
	}
}
