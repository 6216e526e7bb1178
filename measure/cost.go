package measure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// Cost is what decisions cost in a full zone.
type Cost struct {
	Workers   int
	Waiting   int
	PerSecond float64       // placements a second on one core
	P50, P99  time.Duration // of one step that ends an attempt and places the next
	Cancel    time.Duration // of one step that cancels a waiting job, in a wave that cancels all
	Allocated float64       // bytes for each placement, commands included

	// Live memory in bytes.
	PerWorker, PerRunning, PerWaiting, PerTeam float64
}

// Steady is a zone that is kept full and with a number of jobs waiting.
type Steady struct {
	Scheduler *sched.Scheduler

	now     time.Duration
	seq     uint64
	shapes  int
	running []ident.AttemptID
	next    int // of running, to end next
	placed  int
}

const (
	steadyTeams    = 6
	steadyShapes   = 40 // different needs in all
	steadyTasks    = 10 // about so many run on a worker
	steadyRack     = 6  // workers
	steadyMilliCPU = 32_000
	steadyMemory   = 65_536 // MiB
)

// NewSteady returns a full zone. Shapes is how many different needs the
// waiting work has; zero means a usual number.
func NewSteady(workers, waiting, shapes int) *Steady {
	z := newEmptyZone(workers, shapes)
	z.fill(workers, waiting)
	return z
}

func newEmptyZone(workers, shapes int) *Steady {
	if shapes == 0 {
		shapes = steadyShapes
	}
	z := &Steady{Scheduler: sched.New(sched.Options{}), shapes: shapes}
	for i := range workers {
		z.step(sched.WorkerAdded{
			Worker: ident.WorkerID(fmt.Sprintf("w%05d", i)),
			Rack:   fmt.Sprintf("r%04d", i/steadyRack),
			Size:   resource.Vector{MilliCPU: steadyMilliCPU, MemoryMiB: steadyMemory},
		})
	}
	return z
}

// fill accepts jobs until the given number waits.
func (z *Steady) fill(workers, waiting int) {
	for z.Scheduler.Waiting() < waiting || len(z.running) < workers {
		z.accept()
	}
}

func (z *Steady) accept() {
	z.seq++
	shape := int64(z.seq*7919) % int64(z.shapes)
	z.step(sched.JobAccepted{
		Job: steadyJob(z.seq),
		Spec: work.Spec{
			Kind:     work.KindBatch,
			Team:     ident.TeamID(fmt.Sprintf("team-%d", z.seq%steadyTeams)),
			Name:     "steady",
			Tasks:    1,
			Run:      time.Minute,
			Need:     steadyNeed(shape, int64(z.shapes)),
			Deadline: time.Hour,
		},
	})
}

func steadyJob(seq uint64) ident.JobID {
	return ident.JobID{Zone: "z", Host: "h", Incarnation: 1, Seq: seq}
}

// steadyNeed spreads the needs between a half and one and a half times what
// lets steadyTasks run on a worker.
func steadyNeed(shape, shapes int64) resource.Vector {
	other := shape * 13 % shapes
	return resource.Vector{
		MilliCPU:  steadyMilliCPU/steadyTasks/2 + steadyMilliCPU/steadyTasks*shape/shapes,
		MemoryMiB: steadyMemory/steadyTasks/2 + steadyMemory/steadyTasks*other/shapes,
	}
}

// Turn ends one running task, which lets others start, and accepts as many
// jobs as started. It returns the time of the step that placed and the number
// of tasks it placed.
func (z *Steady) Turn() (time.Duration, int) {
	z.now += time.Millisecond
	ended := z.running[z.next]
	last := len(z.running) - 1
	z.running[z.next] = z.running[last]
	z.running = z.running[:last]
	z.next = (z.next + steadyStride) % max(last, 1)
	before := z.placed
	start := time.Now()
	z.step(sched.AttemptEnded{ID: ended, Ran: time.Minute})
	took := time.Since(start)
	placed := z.placed - before
	for range placed {
		z.accept()
	}
	return took, placed
}

// steadyStride spreads the ends over the running tasks.
const steadyStride = 7919

func (z *Steady) step(ev sched.Event) {
	for _, c := range z.Scheduler.Step(z.now, ev) {
		if c, ok := c.(sched.Assign); ok {
			z.running = append(z.running, c.ID)
			z.placed++
		}
	}
}

// fullPart is the part of the waiting jobs whose waiting shows that the zone is
// full.
const fullPart = 10

// MeasureCost drives a full zone for a number of placements.
func MeasureCost(workers, waiting, placements int) Cost {
	empty := liveBytes()
	z := newEmptyZone(workers, 0)
	added := liveBytes()
	z.fill(workers, max(waiting/fullPart, 1))
	filled := liveBytes()
	ran, before := len(z.running), z.Scheduler.Waiting()
	z.fill(workers, waiting)
	waited := liveBytes()
	more := z.Scheduler.Waiting() - before
	cost := Cost{
		Workers:    workers,
		Waiting:    z.Scheduler.Waiting(),
		PerWorker:  float64(added-empty) / float64(workers),
		PerRunning: float64(filled-added) / float64(max(ran, 1)),
		PerWaiting: float64(waited-filled) / float64(max(more, 1)),
	}
	z.time(&cost, placements)
	cost.Cancel = z.cancelWave(waiting)
	runtime.KeepAlive(z)
	cost.PerTeam = teamBytes()
	return cost
}

func (z *Steady) time(cost *Cost, placements int) {
	const longest = int64(time.Minute)
	steps := hdrhistogram.New(1, longest, 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var spent time.Duration
	for placed := 0; placed < placements; {
		took, n := z.Turn()
		spent += took
		placed += n
		if n > 0 {
			_ = steps.RecordValue(min(int64(took), longest))
		}
	}
	runtime.ReadMemStats(&after)
	cost.PerSecond = float64(placements) / spent.Seconds()
	cost.P50 = time.Duration(steps.ValueAtQuantile(50))
	cost.P99 = time.Duration(steps.ValueAtQuantile(99))
	cost.Allocated = float64(after.TotalAlloc-before.TotalAlloc) / float64(placements)
}

// cancelWave cancels the newest jobs, nearly all of which wait, and returns the
// mean time of a step.
func (z *Steady) cancelWave(jobs int) time.Duration {
	start := time.Now()
	for i := range jobs {
		z.step(sched.JobCancelled{Job: steadyJob(z.seq - uint64(i))})
	}
	return time.Since(start) / time.Duration(max(jobs, 1))
}

// teamBytes returns the live memory of one team without work.
func teamBytes() float64 {
	const teams = 1000
	before := liveBytes()
	s := sched.New(sched.Options{})
	list := make([]sched.Team, 0, teams)
	for i := range teams {
		list = append(list, sched.Team{ID: ident.TeamID(fmt.Sprintf("t%d", i)), Weight: 1})
	}
	s.Step(0, sched.TeamsChanged{Teams: list})
	list = nil
	after := liveBytes()
	runtime.KeepAlive(s)
	return float64(after-before) / teams
}

// liveBytes returns the bytes of the heap that are in use, after a collection.
func liveBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
