package region

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// testZoneDrain is the bound of the drain tests.
	testZoneDrain = 5 * time.Second
	// testDrainRead is the time between two readings of the drained zones.
	testDrainRead = 800 * time.Millisecond
)

// drainWorld simulates operators who drain zones.
type drainWorld struct {
	since  map[string]time.Duration // when the drain of a zone was acked
	silent bool                     // the operators' topic cannot be read
}

func newDrainWorld(t *testing.T, seed uint64, zones ...string) *world {
	w := newWorld(t, seed)
	w.drains = &drainWorld{since: make(map[string]time.Duration)}
	for i, zone := range zones {
		for n := range 2 {
			w.addWorker(fmt.Sprintf("w%d", 2*i+n), 4).entry.Zone = zone
		}
	}
	return w
}

func (w *world) drain(zone string)    { w.drains.since[zone] = w.now }
func (w *world) takeBack(zone string) { delete(w.drains.since, zone) }

// readDrains lets a scheduler read the drained zones from time to time, as long as it leads.
func (w *world) readDrains(generation int) {
	if w.drains == nil || generation != w.generation || w.sched == nil {
		return
	}
	if !w.drains.silent {
		d := model.ZoneDrains{ConfirmedAt: w.now}
		for zone := range w.drains.since {
			d.Zones = append(d.Zones, zone)
		}
		slices.Sort(d.Zones)
		w.step(ZoneDrainsRead{Drains: d})
	}
	w.after(testDrainRead, func() { w.readDrains(generation) })
}

// checkDrainedStart checks that no task starts in a zone later than the bound after its drain
// was acked.
func (w *world) checkDrainedStart(fw *fakeWorker, o model.StartRequest) {
	if w.drains == nil {
		return
	}
	if since, drained := w.drains.since[fw.entry.Zone]; drained && w.now-since > testZoneDrain {
		w.fatal("started in zone %s, drained for %v: %v run %d", fw.entry.Zone, w.now-since, o.Task, o.Run)
	}
}

// checkDrainKnown checks that a scheduler which knows that a zone is drained sends no start
// there, nor a start anywhere while its knowledge is old.
func (w *world) checkDrainKnown(o model.StartRequest) {
	if w.drains == nil {
		return
	}
	if zone := w.workers[o.Worker.ID].entry.Zone; w.sched.drains.Contains(zone) {
		w.fatal("start sent to zone %s, which is known to be drained: %v run %d", zone, o.Task, o.Run)
	}
	if age := w.now - w.sched.drains.ConfirmedAt; age > testZoneDrain {
		w.fatal("start sent while the drained zones are known as of %v ago: %v run %d", age, o.Task, o.Run)
	}
}

// assignments returns how many runs were assigned so far.
func (w *world) assignments() int {
	n := 0
	for _, e := range w.entries {
		if e.GetAssigned() != nil {
			n++
		}
	}
	return n
}

// runsIn returns the number of runs on the workers of a zone.
func (w *world) runsIn(zone string) int {
	n := 0
	for _, fw := range w.workers {
		if fw.entry.Zone == zone {
			n += len(fw.runs)
		}
	}
	return n
}

// No task starts in a drained zone, what runs there runs on, and the zone is used again once
// it is taken back.
func TestNoStartInDrainedZone(t *testing.T) {
	w := newDrainWorld(t, 1, "a", "b")
	w.runTime = func(model.TaskID) time.Duration { return 10 * time.Second }
	w.startLeader()
	w.submit(oneStep("before", &record.Step{Count: 12, EstimateMs: 10000}))
	w.run(time.Second)
	running := w.runsIn("b")
	if running == 0 {
		t.Fatal("nothing runs in zone b")
	}
	w.drain("b")
	w.run(2 * time.Second)
	w.submit(oneStep("during", &record.Step{Count: 12, EstimateMs: 10000}))
	w.run(time.Second)
	if n := w.runsIn("b"); n != running {
		t.Errorf("%d tasks run in the drained zone, want the %d from before", n, running)
	}
	assigned := w.assignments()
	w.run(5 * time.Second)
	if n := w.assignments(); n != assigned {
		t.Errorf("%d tasks assigned while zone a is full and zone b drained", n-assigned)
	}
	w.run(4 * time.Second)
	if n := w.runsIn("b"); n != 0 {
		t.Errorf("%d tasks run in the drained zone, want none", n)
	}
	w.takeBack("b")
	w.submit(oneStep("after", &record.Step{Count: 12, EstimateMs: 10000}))
	w.run(2 * time.Second)
	if w.runsIn("b") == 0 {
		t.Error("nothing runs in the zone after it was taken back")
	}
	w.run(30 * time.Second)
	w.mustComplete("before", "during", "after")
}

// A leader takes over while a zone is drained: it starts nothing there, and nothing anywhere
// before it knows which zones are drained.
func TestNewLeaderKnowsDrainedZones(t *testing.T) {
	w := newDrainWorld(t, 1, "a", "b")
	w.startLeader()
	w.drain("b")
	w.run(time.Second)
	w.stopLeader()
	w.drains.silent = true
	w.startLeader()
	w.submit(oneStep("job", &record.Step{Count: 20}))
	w.run(2 * time.Second)
	if n := w.assignments(); n != 0 {
		t.Fatalf("%d tasks assigned before the drained zones are known", n)
	}
	w.drains.silent = false
	w.run(10 * time.Second)
	w.mustComplete("job")
	if w.runsIn("b") != 0 || w.workers["w2"].nextEnd+w.workers["w3"].nextEnd > 0 {
		t.Error("a task ran in the drained zone")
	}
}

// A leader that can no longer read the operators' topic does not know of a drain: it stops
// starting tasks before the bound.
func TestNoStartsWhileDrainsAreUnconfirmed(t *testing.T) {
	w := newDrainWorld(t, 1, "a", "b")
	w.startLeader()
	w.run(time.Second)
	w.drains.silent = true
	w.drain("b")
	for i := range 80 {
		w.submit(oneStep(fmt.Sprintf("j%d", i), &record.Step{Count: 4}))
		w.run(100 * time.Millisecond)
	}
	w.drains.silent = false
	w.run(60 * time.Second)
	w.mustComplete("j0", "j79")
}

// The record of an assignment is held up in the log until the drained zones are known as of too
// long ago: its start is not sent.
func TestHeldUpStartNeedsConfirmedDrains(t *testing.T) {
	w := newDrainWorld(t, 1, "a")
	w.startLeader()
	w.run(time.Second)
	w.drains.silent = true
	w.run(2400*time.Millisecond - testDrainRead)
	w.submit(oneStep("job", &record.Step{Count: 2}))
	w.run(time.Millisecond)
	w.logDown = true
	w.run(3500 * time.Millisecond)
	w.logDown = false
	w.run(500 * time.Millisecond)
	if n := w.starts[model.TaskID{Job: "job"}]; n != 0 {
		t.Errorf("started %d times", n)
	}
	w.drains.silent = false
	w.run(20 * time.Second)
	w.mustComplete("job")
}

// With all zones drained nothing starts; the jobs are kept and run when a zone is taken back.
func TestAllZonesDrained(t *testing.T) {
	w := newDrainWorld(t, 1, "a", "b")
	w.startLeader()
	w.drain("a")
	w.drain("b")
	w.run(time.Second)
	w.submit(oneStep("gang", &record.Step{Count: 3, Gang: true}))
	w.submit(oneStep("job", &record.Step{Count: 4}))
	advised := oneStep("advised", &record.Step{Count: 4})
	advised.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000,
		Advice: &record.Advice{DecideMs: 5, EachMs: 1, ValidMs: 2000}}
	w.submit(advised)
	w.run(8 * time.Second)
	if w.adviceCalls != 0 {
		t.Errorf("%d calls for advice about workers of drained zones", w.adviceCalls)
	}
	if why := w.sched.jobs["job"].occs[0].steps[0].heldBy; why != reasonNames[rejectZone] {
		t.Errorf("the job is held by %q, want %q", why, reasonNames[rejectZone])
	}
	if w.states["job"] != StateQueued || w.states["gang"] != StateQueued {
		t.Errorf("jobs are %v and %v, want queued", w.states["job"], w.states["gang"])
	}
	w.takeBack("a")
	w.run(5 * time.Second)
	w.mustComplete("job", "gang", "advised")
}

// Starts without an answer are sent again for seconds: none is sent once the zone is drained.
func TestStartIsNotRepeatedIntoDrainedZone(t *testing.T) {
	for _, advice := range []*record.Advice{nil, {DecideMs: 5, EachMs: 1, ValidMs: 20000}} {
		w := newDrainWorld(t, 1, "a")
		w.startLeader()
		w.run(500 * time.Millisecond)
		for _, fw := range w.workers {
			fw.unreachable = true
		}
		job := oneStep("job", &record.Step{Count: 2})
		job.Policy = &record.Policy{Service: "svc", MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000, Advice: advice}
		w.submit(job)
		w.run(300 * time.Millisecond)
		w.drain("a")
		w.run(testZoneDrain)
		for _, fw := range w.workers {
			fw.unreachable = false
		}
		w.run(10 * time.Second)
		if n := w.starts[model.TaskID{Job: "job"}]; n != 0 {
			t.Errorf("started %d times in the drained zone", n)
		}
		w.takeBack("a")
		w.run(20 * time.Second)
		w.mustComplete("job")
	}
}

// Random histories in which operators drain one or several zones, also while the log is down,
// workers are out of reach or leaders fail. Besides the checks of TestRandomHistories, no task
// starts in a drained zone.
func TestRandomHistoriesWithZoneDrains(t *testing.T) {
	const histories = 60
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { drainHistory(t, seed) })
	}
}

func drainHistory(t *testing.T, seed uint64) {
	t.Parallel()
	zones := []string{"a", "b", "c", "d"}
	w := newDrainWorld(t, seed, zones...)
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
		}
		injectFault(w, 60, crash)
		injectDrain(w, zones)
	}
	faultFree = true
	w.drains.silent = false
	clear(w.drains.since)
	w.mustEnd(jobs)
}

// injectDrain drains a zone, or takes one back, or makes the operators' topic unreadable.
func injectDrain(w *world, zones []string) {
	zone := zones[w.rng.IntN(len(zones))]
	switch w.rng.IntN(80) {
	case 0, 1:
		w.drain(zone)
		w.after(time.Duration(w.rng.Int64N(int64(12*time.Second))), func() { w.takeBack(zone) })
	case 2:
		w.drains.silent = true
		w.after(time.Duration(w.rng.Int64N(int64(6*time.Second))), func() { w.drains.silent = false })
	}
}
