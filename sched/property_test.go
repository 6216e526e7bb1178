package sched

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// For random sequences of events: no worker is assigned more than its size, no
// team more than its limit, all tasks of a gang start together, no attempt is
// assigned twice, and no waiting work fits into idle room. At the end every job
// has ended and no resources or units are reserved.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := Options{
			Hold:      rapid.SampledFrom([]Hold{HoldPlanned, HoldDrain, HoldNone}).Draw(t, "hold"),
			HoldAfter: time.Second, HoldFor: 30 * time.Second,
		}
		w := newWorld(t, opts)
		w.units.limit["b"] = 12
		w.step(TeamsChanged{Teams: []Team{{"a", 3, 0}, {"b", 1, 12}, {"c", 2, 0}}})
		for i := range 4 {
			w.add(worker(i), "r", sizes[i])
		}
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			w.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			w.randomEvent(t)
			w.checkWorkConserving()
		}
		w.endAll()
	})
}

var sizes = []resource.Vector{
	{MilliCPU: 8000, MemoryMiB: 8192},
	{MilliCPU: 4000, MemoryMiB: 16384},
	{MilliCPU: 16000, MemoryMiB: 16384, Accelerators: 2},
	{MilliCPU: 2000, MemoryMiB: 2048},
	{MilliCPU: 1000, MemoryMiB: 30000, Accelerators: 1},
	{MilliCPU: 8000, MemoryMiB: 8192},
}

// randomEvent applies one random event.
func (w *world) randomEvent(t *rapid.T) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	id := worker(pick(len(sizes)))
	switch kind := pick(16); {
	case kind < 4:
		w.accept(randomSpec(t))
	case kind < 9 && len(w.running) > 0:
		w.endRandom(t, pick(len(w.running)))
	case kind == 9:
		w.add(id, "r", w.sizeOf(id, sizes[pick(len(sizes))]))
	case kind == 10 && pick(3) == 0:
		w.remove(id)
	case kind == 11 && w.known(id):
		w.shut[id] = true
		w.step(WorkerLeaving{Worker: id})
	case kind == 12 && w.known(id):
		w.shut[id] = true
		w.step(WorkerCordoned{Worker: id, Cordoned: true})
	case kind == 13 && len(w.jobs) > 0:
		w.step(JobCancelled{Job: ident.JobID{Zone: "a", Host: "h", Incarnation: 1, Seq: uint64(1 + pick(len(w.jobs)))}})
	case kind == 14:
		w.declare(t)
	default:
		w.step(Tick{})
	}
}

func (w *world) known(id ident.WorkerID) bool { _, ok := w.sizes[id]; return ok }

// sizeOf returns the size of a known worker, and fresh for others.
func (w *world) sizeOf(id ident.WorkerID, fresh resource.Vector) resource.Vector {
	if size, ok := w.sizes[id]; ok {
		return size
	}
	return fresh
}

func (w *world) declare(t *rapid.T) {
	w.step(ServiceDeclared{
		Service:  "s",
		Job:      ident.JobID{Zone: "a", Host: "h", Incarnation: 2, Seq: w.seq + 1000},
		Team:     "c",
		Replicas: rapid.IntRange(0, 4).Draw(t, "replicas"),
		Need:     cpu(1),
	})
}

func (w *world) endRandom(t *rapid.T, i int) {
	id := w.running[i].ID
	control := w.controls[id]
	switch kind := rapid.IntRange(0, 7).Draw(t, "end"); {
	case control != "" && kind < 6:
		w.end(i, AttemptEnded{Stopped: true, Ran: time.Second})
	case kind < 3:
		w.step(AttemptStarted{ID: id})
	case kind < 5:
		w.end(i, AttemptEnded{Ran: time.Second})
	case kind == 5:
		w.end(i, AttemptEnded{Failed: true, Reason: "no", Ran: time.Second})
	case kind == 6:
		a := w.take(i)
		reason := rapid.SampledFrom([]ports.Refusal{"", ports.RefusedCapacity}).Draw(t, "refusal")
		w.step(StartRefused{ID: a.ID, Reason: reason})
	default:
		w.end(i, AttemptEnded{Unknown: true})
	}
}

func randomSpec(t *rapid.T) work.Spec {
	return work.Spec{
		Kind:          rapid.SampledFrom([]work.Kind{work.KindBatch, work.KindBatch, work.KindGang}).Draw(t, "kind"),
		Team:          rapid.SampledFrom([]ident.TeamID{"a", "b", "c"}).Draw(t, "team"),
		Name:          rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"),
		Tasks:         rapid.IntRange(1, 6).Draw(t, "tasks"),
		Need:          randomNeed(t),
		Run:           time.Duration(rapid.IntRange(0, 20).Draw(t, "run")) * time.Second,
		Deadline:      time.Duration(rapid.IntRange(0, 1).Draw(t, "deadline")) * 10 * time.Second,
		Urgent:        rapid.IntRange(0, 4).Draw(t, "urgent") == 0,
		Displaceable:  rapid.Bool().Draw(t, "displaceable"),
		NonIdempotent: rapid.IntRange(0, 3).Draw(t, "once") == 0,
		MaxAttempts:   rapid.IntRange(0, 3).Draw(t, "attempts"),
	}
}

func randomNeed(t *rapid.T) resource.Vector {
	return resource.Vector{
		MilliCPU:     int64(rapid.IntRange(0, 12).Draw(t, "cpu")) * 500,
		MemoryMiB:    int64(rapid.IntRange(0, 12).Draw(t, "memory")) * 512,
		Accelerators: int64(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "accelerators")),
	}
}

// checkWorkConserving checks that no waiting work could start now.
func (w *world) checkWorkConserving() {
	for _, t := range w.s.queue.Ordered() {
		for class := range w.s.classes(t) {
			j := class.Head().Owner
			tasks := int64(1)
			if j.gang() {
				tasks = int64(j.spec.Tasks)
			}
			limit, limited := w.units.limit[j.spec.Team]
			if limited && w.units.used[j.spec.Team]+tasks*j.units > limit || j.team.refusedUnits <= j.units && w.now < j.team.refusedUntil {
				continue
			}
			if w.openSlots(j.need, tasks) >= tasks {
				w.t.Fatalf("job %s waits although %d tasks of %s fit", j.id, tasks, j.need)
			}
		}
	}
}

// openSlots returns how many tasks fit on workers that accept new work, with at
// most `most` counted per worker.
func (w *world) openSlots(need resource.Vector, most int64) int64 {
	slots := int64(0)
	for id, free := range w.free {
		ref, ok := w.s.cell.Lookup(id)
		if ok && w.s.cell.Worker(ref).Bars == 0 {
			slots += place.Count(need, free, most)
		}
	}
	return slots
}

// endAll ends all attempts until every job has ended, and checks that nothing
// stays reserved.
func (w *world) endAll() {
	w.t.Helper()
	w.step(ServiceRemoved{Service: "s"})
	for _, id := range slices.Sorted(maps.Keys(w.sizes)) {
		w.add(id, "r", w.sizes[id])
	}
	for i := range 3 {
		w.add(worker(50+i), "r", sizes[2])
	}
	for round := 0; len(w.ended) < len(w.jobs) || len(w.running) > 0; round++ {
		if round == 3000 {
			w.t.Fatalf("%d of %d jobs ended, %d attempts still run\n%s",
				len(w.ended), len(w.jobs), len(w.running), w.explainUnended())
		}
		for len(w.running) > 0 {
			stopped := w.controls[w.running[0].ID] != ""
			w.end(0, AttemptEnded{Stopped: stopped, Ran: time.Second})
		}
		w.cancelUnplaceable(round)
		w.pass(time.Second)
	}
	for team, used := range w.units.used {
		if used != 0 {
			w.t.Fatalf("team %s still uses %d units", team, used)
		}
	}
	w.checkIdle()
}

// cancelUnplaceable cancels, in round 2000, the jobs that can never fit the
// workers or the limit.
func (w *world) cancelUnplaceable(round int) {
	if round != 2000 {
		return
	}
	for seq := uint64(1); seq <= w.seq; seq++ {
		id := ident.JobID{Zone: "a", Host: "h", Incarnation: 1, Seq: seq}
		spec := w.jobs[id]
		if w.s.CheckFit(spec) != nil {
			w.step(JobCancelled{Job: id})
		}
	}
}

func (w *world) checkIdle() {
	w.t.Helper()
	for id, size := range w.sizes {
		ref, _ := w.s.cell.Lookup(id)
		if worker := w.s.cell.Worker(ref); worker.Free != size || worker.Tasks != 0 {
			w.t.Fatalf("worker %s: %s free of %s with %d tasks", id, worker.Free, size, worker.Tasks)
		}
	}
	if w.s.Jobs() != 0 || w.s.Waiting() != 0 || len(w.s.holds) != 0 || len(w.s.displacements) != 0 {
		w.t.Fatalf("after drain: %d jobs, %d waiting, %d holds, %d workers being emptied",
			w.s.Jobs(), w.s.Waiting(), len(w.s.holds), len(w.s.displacements))
	}
	for id, t := range w.s.teams {
		if !t.Used.IsZero() || t.unitsInUse != 0 {
			w.t.Fatalf("after drain: team %s still uses %s and %d units", id, t.Used, t.unitsInUse)
		}
	}
}

// explainUnended returns the explanations of the jobs that have not ended.
func (w *world) explainUnended() string {
	var words strings.Builder
	for seq := uint64(1); seq <= w.seq; seq++ {
		id := ident.JobID{Zone: "a", Host: "h", Incarnation: 1, Seq: seq}
		if _, ended := w.ended[id]; !ended {
			words.WriteString(w.s.Explain(w.now, id).Words())
		}
	}
	return words.String()
}
