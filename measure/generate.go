package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// Names of the recorded traces.
const (
	MonthEnd       = "month-end"       // Sabzkhata: statement runs of all teams at once, invoices between them
	Approvals      = "approvals"       // Rosenau: approvals with deadlines beside batch work that fills the zone
	AllAtOnce      = "all-at-once"     // Rosenau: jobs whose tasks start together, in a full zone
	WrongEstimates = "wrong-estimates" // Sabzkhata: declared run times off by up to a factor of ten, and failures
	Overload       = "overload"        // Rosenau: approvals at three times what the zone can run
)

// Names lists the recorded traces in the order in which they are shown.
func Names() []string {
	return []string{MonthEnd, Approvals, AllAtOnce, WrongEstimates, Overload}
}

// Deployment returns whose shape a trace has.
func Deployment(name string) string {
	if name == MonthEnd || name == WrongEstimates {
		return "Sabzkhata"
	}
	return "Rosenau"
}

// Generate makes the trace with the name. Equal seeds give equal traces; the
// committed ones are made with seed 1.
func Generate(name string, seed uint64) Trace {
	g := &generator{random: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	g.trace.Name = name
	switch name {
	case MonthEnd:
		g.monthEnd()
	case Approvals:
		g.approvals()
	case AllAtOnce:
		g.allAtOnce()
	case WrongEstimates:
		g.wrongEstimates()
	case Overload:
		g.overload(overloadFactor)
	}
	return g.sorted()
}

// GenerateLoad makes a trace like Overload in which the arriving work is the
// given multiple of what the zone can run.
func GenerateLoad(factor float64, seed uint64) Trace {
	g := &generator{random: rand.New(rand.NewPCG(seed, uint64(len(Overload))))}
	g.trace.Name = Overload
	g.overload(factor)
	return g.sorted()
}

func (g *generator) sorted() Trace {
	slices.SortStableFunc(g.trace.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return g.trace
}

// overloadFactor is the arriving work of the trace Overload, in capacities of
// the zone.
const overloadFactor = 3

// generator draws the jobs of one trace.
type generator struct {
	random *rand.Rand
	trace  Trace
}

// zone sets the workers of a deployment and six teams, two of them large.
func (g *generator) zone(milliCPU int64) {
	const workers, perRack, memory = 48, 6, 65_536
	g.trace.Workers = []WorkerGroup{{
		Count: workers, PerRack: perRack,
		Size: resource.Vector{MilliCPU: milliCPU, MemoryMiB: memory},
	}}
	for i, weight := range []int64{4, 3, 1, 1, 1, 1} {
		g.trace.Teams = append(g.trace.Teams, sched.Team{ID: ident.TeamID(fmt.Sprintf("team-%d", i)), Weight: weight})
	}
}

func (g *generator) team(i int) ident.TeamID { return g.trace.Teams[i].ID }

// anyTeam returns a team, by weight.
func (g *generator) anyTeam() int {
	at := g.random.Int64N(11)
	for i, team := range g.trace.Teams {
		at -= team.Weight
		if at < 0 {
			return i
		}
	}
	return 0
}

// between draws from a range, both ends included.
func (g *generator) between(low, high int64) int64 { return low + g.random.Int64N(high-low+1) }

func (g *generator) span(low, high time.Duration) time.Duration {
	return time.Duration(g.between(low.Milliseconds(), high.Milliseconds())) * time.Millisecond
}

func (g *generator) add(j Job) { g.trace.Jobs = append(g.trace.Jobs, j) }

// need draws processors in half cores, with memory that does not follow them.
func (g *generator) need(lowHalves, highHalves int64) resource.Vector {
	const half, memoryStep = 500, 512
	return resource.Vector{
		MilliCPU:  half * g.between(lowHalves, highHalves),
		MemoryMiB: memoryStep * g.between(lowHalves, 4*highHalves),
	}
}

// run makes a batch job of equal tasks.
func (g *generator) run(at time.Duration, team int, name string, tasks int64, need resource.Vector, runs time.Duration) Job {
	return Job{
		At:  at,
		Run: runs,
		Spec: work.Spec{
			Kind: work.KindBatch, Team: g.team(team), Name: name,
			Need: need, Tasks: int(tasks), Run: runs, Displaceable: true,
		},
	}
}

// short makes a job of one small task with a deadline.
func (g *generator) short(at time.Duration, team int, name string, deadline time.Duration) Job {
	j := g.run(at, team, name, 1, resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}, g.span(2*time.Second, 8*time.Second))
	j.Spec.Displaceable = false
	j.Spec.NonIdempotent = true
	j.Spec.Deadline = deadline
	return j
}

func (g *generator) monthEnd() {
	g.zone(16_000)
	const jobs, wave, invoices = 500, 10 * time.Minute, 400
	for i := range jobs {
		at := g.span(0, wave)
		if i%5 == 0 {
			at = g.span(wave, 4*wave)
		}
		g.add(g.run(at, i%6, "statements", g.between(20, 80), g.need(1, 4), g.span(30*time.Second, 2*time.Minute)))
	}
	for range invoices {
		g.add(g.short(g.span(0, 4*wave), g.anyTeam(), "invoice", time.Minute))
	}
}

func (g *generator) approvals() {
	g.zone(32_000)
	const jobs, lasts, approvals = 320, 30 * time.Minute, 900
	for range jobs {
		g.add(g.run(g.span(0, lasts/2), g.anyTeam(), "assessment", g.between(20, 60), g.need(2, 8), g.span(time.Minute, 4*time.Minute)))
	}
	for i := range approvals {
		j := g.short(g.span(0, lasts), g.anyTeam(), "approval", 30*time.Second)
		j.Spec.Urgent = i%10 == 0
		g.add(j)
	}
}

func (g *generator) allAtOnce() {
	g.zone(32_000)
	const jobs, lasts, gangs = 420, 30 * time.Minute, 12
	for range jobs {
		g.add(g.run(g.span(0, 2*lasts/3), g.anyTeam(), "checks", g.between(20, 60), g.need(2, 6), g.span(30*time.Second, 3*time.Minute)))
	}
	for i := range gangs {
		need := resource.Vector{MilliCPU: 1000 * g.between(8, 16), MemoryMiB: 1024 * g.between(8, 24)}
		j := g.run(g.span(time.Minute, lasts/2), i%6, "model", g.between(12, 40), need, g.span(time.Minute, 3*time.Minute))
		j.Spec.Kind = work.KindGang
		j.Spec.Displaceable = false
		g.add(j)
	}
}

func (g *generator) wrongEstimates() {
	g.zone(16_000)
	const jobs, lasts, gangs = 300, 20 * time.Minute, 6
	for i := range jobs {
		j := g.run(g.span(0, lasts), g.anyTeam(), fmt.Sprintf("run-%d", i%12), g.between(10, 60), g.need(1, 8), g.span(20*time.Second, 3*time.Minute))
		j.Spec.Run = g.misjudge(j.Run)
		if i%10 == 0 {
			j.Fails = int(g.between(1, 6))
		}
		if i%25 == 0 {
			j.Cancel = j.At + g.span(time.Minute, 5*time.Minute)
		}
		g.add(j)
	}
	for i := range gangs {
		need := resource.Vector{MilliCPU: 1000 * g.between(6, 12), MemoryMiB: 1024 * g.between(8, 24)}
		j := g.run(g.span(time.Minute, lasts), i, "ledger", g.between(8, 24), need, g.span(time.Minute, 3*time.Minute))
		j.Spec.Kind = work.KindGang
		j.Spec.Run = g.misjudge(j.Run)
		g.add(j)
	}
	for range gangs * 60 {
		g.add(g.short(g.span(0, lasts), g.anyTeam(), "invoice", time.Minute))
	}
}

// misjudge returns a declared time that is up to ten times off, either way.
func (g *generator) misjudge(real time.Duration) time.Duration {
	factor := math.Pow(10, 2*g.random.Float64()-1)
	return time.Duration(float64(real) * factor).Round(time.Second)
}

// overload lets approvals arrive at a multiple of what the zone can run. Half
// of the work is of one team, whose share is the smallest.
func (g *generator) overload(factor float64) {
	g.zone(32_000)
	const workers, lasts, flood = 2, time.Minute, 5
	g.trace.Workers[0].Count = workers
	for at := time.Duration(0); at < lasts; {
		team := flood
		if g.random.IntN(2) == 0 {
			team = g.random.IntN(flood)
		}
		j := g.short(at, team, "approval", 20*time.Second)
		g.add(j)
		const cores, mean = 32 * workers, 5 * time.Second
		at += time.Duration(float64(mean) / cores / factor).Round(time.Millisecond)
	}
}
