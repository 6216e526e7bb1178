package faultmatrix

import (
	"time"

	"github.com/fireflyfold/fireflyfold/engine"
	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/standin"
)

// Times of a cell.
const (
	loadFrom   = 8 * time.Second
	armAt      = 14 * time.Second
	strikeBy   = 40 * time.Second // after armAt
	loadAfter  = 3 * time.Second  // with the newest configuration in force
	settleFor  = 60 * time.Second // without load, after the fault
	probeFor   = 10 * time.Second
	secondGap  = 2 * time.Second // between the faults of a pair
	probesEach = 3               // probe requests to each host
)

// Cell is one experiment: faults that strike at a step.
type Cell struct {
	Step   Step
	Faults []Fault       // the first strikes at the step, the others after it
	Gap    time.Duration // between two of them; zero for 2 s
	Seed   uint64
}

// Result is what came of a cell.
type Result struct {
	Struck bool // the step happened, so the fault did
	At     time.Duration
	Broken []Violation
	World  *World
}

// Run plays a cell from the start of the fleet to its end.
func (c Cell) Run() Result {
	w := NewWorld(c.Seed)
	r := Result{World: w}
	w.After(loadFrom, w.load.start)
	w.After(armAt, func() { c.arm(w, &r) })
	w.RunUntil(armAt, nil)
	for w.Now() < armAt+strikeBy && !r.Struck {
		w.RunUntil(w.Now()+time.Second, nil)
	}
	w.onStep = nil
	healAt := w.Now() + faultFor + time.Duration(len(c.Faults)-1)*c.gap()
	w.RunUntil(healAt, nil)
	w.heal()
	w.RunUntil(healAt+loadAfter, nil)
	// What waits must end before the cell does, also if the operators lowered
	// the limit below what the callers handed in.
	w.load.jobsRunning = false
	w.ops.setLimit(teams[1], billingRaised)
	w.RunUntil(healAt+configWithin+loadAfter, nil)
	w.load.stop()
	w.RunUntil(healAt+settleFor, nil)
	w.load.probe()
	w.RunUntil(w.Now()+probeFor, nil)
	w.load.query()
	w.RunUntil(w.Now()+time.Second, nil)
	check := checker{w: w, struck: r.At, healed: r.At, cutsAnswers: c.cutsAnswers()}
	if c.hindersNews() {
		check.healed = healAt
	}
	r.Broken = check.check()
	return r
}

func (c Cell) gap() time.Duration {
	if c.Gap == 0 {
		return secondGap
	}
	return c.Gap
}

// arm makes the step happen, and the fault with it.
func (c Cell) arm(w *World, r *Result) {
	w.onStep = func(step Step, h *host, worker ident.WorkerID) {
		if step != c.Step || h.zone != zoneA || r.Struck {
			return
		}
		r.Struck = true
		r.At = w.Now()
		w.strike(c.Faults[0], c.Step, h, worker)
		for i, fault := range c.Faults[1:] {
			w.After(time.Duration(i+1)*c.gap(), func() { w.strikeAnew(fault, c.Step, worker) })
		}
	}
	c.prepare(w)
}

// strikeAnew lets a second fault hit whoever schedules by then.
func (w *World) strikeAnew(fault Fault, step Step, worker ident.WorkerID) {
	h := w.scheduler(zoneA)
	if h == nil {
		alive := w.liveIn(zoneA)
		if len(alive) == 0 {
			return
		}
		h = alive[0]
	}
	w.strike(fault, step, h, worker)
}

// prepare brings about the steps that do not come by themselves.
func (c Cell) prepare(w *World) {
	switch c.Step {
	case StepRelease:
		w.boot("a3", zoneA) // the workers that it gains are released by the others
	case StepTakeOver:
		if h := w.scheduler(zoneA); h != nil {
			w.kill(h)
		}
	case StepApply:
		w.ops.setLimit(teams[1], billingLimit+1)
		w.ops.drainUpstream(w.ids[1])
	case StepDrain:
		c.drain(w)
	}
}

// drain begins the planned stop of the zone's scheduler.
func (c Cell) drain(w *World) {
	h := w.scheduler(zoneA)
	if h == nil {
		return
	}
	w.hist.draining(w.Now(), h)
	w.reached(StepDrain, h, "")
	h.wake(func() { h.step(engine.DrainRequested{}) })
	w.After(restartIn, func() { w.boot("a4", zoneA) })
}

// cutsAnswers tells whether a fault takes answers away by itself, so that a
// caller of a host that stops may be told "unknown".
func (c Cell) cutsAnswers() bool {
	for _, f := range c.Faults {
		switch f {
		case FaultNone, FaultLogDown, FaultLogSlow, FaultLogLost, FaultListStale, FaultDrift, FaultRace, FaultKey, FaultDoubled:
		default:
			return true
		}
	}
	return false
}

// hindersNews tells whether a fault may keep a host from news until it is over.
func (c Cell) hindersNews() bool {
	for _, f := range c.Faults {
		switch f {
		case FaultNone, FaultDies, FaultWorkerDies, FaultWorkerGone, FaultWorkerFail, FaultDrift, FaultCancels, FaultRace, FaultKey:
		default:
			return true
		}
	}
	return false
}

// limitUnits is what a run uses of its team's limit.
func limitUnits(run standin.RunEvent) int64 { return resource.LimitUnits(run.Need) }
