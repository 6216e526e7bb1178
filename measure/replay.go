package measure

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/sched"
	"github.com/fireflyfold/fireflyfold/work"
)

// What the replay answers to commands.
const (
	startDelay = 20 * time.Millisecond  // from an assignment to the start
	stopDelay  = 500 * time.Millisecond // from a control to the stop
	failDelay  = time.Second            // from the start of an attempt that fails to its end
)

// Policy is a way of deciding that traces are replayed with.
type Policy struct {
	Name    string
	Options sched.Options
	Blind   bool // deadlines are neither used to refuse nor to drop work
}

// Policies are the compared ways of deciding: the one in use, the same with
// other ways of holding room, with tasks spread and
// without displacement for shares, and first in, first out on the first worker that
// fits.
func Policies() []Policy {
	return []Policy{
		{Name: "planned", Options: sched.Options{Hold: sched.HoldPlanned}},
		{Name: "drain", Options: sched.Options{Hold: sched.HoldDrain}},
		{Name: "no-hold", Options: sched.Options{Hold: sched.HoldNone}},
		{Name: "spread", Options: sched.Options{Batch: sched.BatchSpread}},
		{Name: "keep-running", Options: sched.Options{KeepRunning: true}},
		{Name: "fifo", Options: sched.Options{FirstFit: true}, Blind: true},
	}
}

// Replay feeds a trace to a new scheduler and returns what came of it.
func Replay(trace Trace, policy Policy) Result {
	r := newReplay(trace, policy)
	r.run()
	return r.result()
}

func (r *replay) run() {
	for len(r.pending) > 0 {
		next := heap.Pop(&r.pending).(occurrence)
		r.tickUntil(next.at)
		r.now = next.at
		next.act(r)
	}
}

// occurrence is something that happens at a time of the replay.
type occurrence struct {
	at  time.Duration
	seq int
	act func(*replay)
}

type occurrences []occurrence

func (o occurrences) Len() int { return len(o) }
func (o occurrences) Less(i, j int) bool {
	if o[i].at != o[j].at {
		return o[i].at < o[j].at
	}
	return o[i].seq < o[j].seq
}
func (o occurrences) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *occurrences) Push(x any)   { *o = append(*o, x.(occurrence)) }
func (o *occurrences) Pop() any {
	last := len(*o) - 1
	x := (*o)[last]
	*o = (*o)[:last]
	return x
}

// replay is one trace on its way through a scheduler.
type replay struct {
	trace     Trace
	policy    Policy
	scheduler *sched.Scheduler
	now       time.Duration
	pending   occurrences
	seq       int
	jobs      []jobRecord
	running   map[ident.AttemptID]*attemptRecord
	gauges    gauges
	tally     tally
}

// jobRecord is what the replay knows of one job of the trace.
type jobRecord struct {
	*Job
	starts  []time.Duration
	left    []time.Duration // run time left of each task, after checkpoints
	fails   int             // attempts of the first task that will still fail
	refused bool
	ended   bool
	outcome work.Outcome
	failed  bool
	waits   int // tasks that wait now
}

// attemptRecord is a running attempt.
type attemptRecord struct {
	job     int
	index   int
	started time.Duration
	over    bool
}

func newReplay(trace Trace, policy Policy) *replay {
	r := &replay{
		trace:     trace,
		policy:    policy,
		scheduler: sched.New(policy.Options),
		running:   map[ident.AttemptID]*attemptRecord{},
		jobs:      make([]jobRecord, len(trace.Jobs)),
	}
	r.tally.digest = fnv.New64a()
	r.addWorkers()
	r.step(sched.TeamsChanged{Teams: trace.Teams})
	for i := range trace.Jobs {
		r.jobs[i].Job = &trace.Jobs[i]
		r.schedule(trace.Jobs[i].At, func(r *replay) { r.arrive(i) })
		if cancel := trace.Jobs[i].Cancel; cancel > 0 {
			r.schedule(cancel, func(r *replay) { r.step(sched.JobCancelled{Job: jobID(i)}) })
		}
	}
	return r
}

func (r *replay) addWorkers() {
	n := 0
	for _, group := range r.trace.Workers {
		for range group.Count {
			r.gauges.total = r.gauges.total.Add(group.Size)
			r.step(sched.WorkerAdded{
				Worker: ident.WorkerID(fmt.Sprintf("w%03d", n)),
				Rack:   fmt.Sprintf("r%02d", n/group.PerRack),
				Size:   group.Size,
			})
			n++
		}
	}
}

func jobID(i int) ident.JobID {
	return ident.JobID{Zone: "z", Host: "h", Incarnation: 1, Seq: uint64(i)}
}

func (r *replay) schedule(at time.Duration, act func(*replay)) {
	r.seq++
	heap.Push(&r.pending, occurrence{at: at, seq: r.seq, act: act})
}

// tickUntil lets the timers of the scheduler fire.
func (r *replay) tickUntil(at time.Duration) {
	for {
		due, ok := r.scheduler.Next()
		if !ok || due >= at || len(r.pending) > 0 && due >= r.pending[0].at {
			return
		}
		r.now = max(r.now, due)
		r.step(sched.Tick{})
	}
}

func (r *replay) arrive(i int) {
	j := &r.jobs[i]
	spec := j.Spec
	j.fails = j.Fails
	j.starts = make([]time.Duration, spec.Tasks)
	j.left = make([]time.Duration, spec.Tasks)
	for n := range j.left {
		j.left[n] = j.Run
	}
	if r.policy.Blind {
		spec.Deadline = 0
	} else if r.scheduler.Admit(r.now, spec) != nil {
		j.refused, j.ended, j.outcome = true, true, work.OutcomeNotRun
		return
	}
	r.gauges.wait(r, i, spec.Tasks)
	r.step(sched.JobAccepted{Job: jobID(i), Spec: spec})
}

// step feeds one event and carries out the commands.
func (r *replay) step(ev sched.Event) {
	r.gauges.advance(r)
	begin := time.Now()
	commands := r.scheduler.Step(r.now, ev)
	r.tally.spent += time.Since(begin)
	r.tally.steps++
	for _, c := range commands {
		switch c := c.(type) {
		case sched.Assign:
			r.tally.note(r.now, c.ID, string(c.Worker))
			r.assign(c)
		case sched.Control:
			r.tally.note(r.now, c.ID, string(c.Control))
			r.control(c)
		case sched.JobEnded:
			r.tally.note(r.now, ident.AttemptID{Job: c.Job}, c.Outcome.String())
			r.jobEnded(c)
		}
	}
}

func (r *replay) assign(c sched.Assign) {
	r.tally.assigned++
	i := int(c.ID.Job.Seq)
	j := &r.jobs[i]
	r.gauges.wait(r, i, -1)
	r.gauges.use(j, c.Need)
	if c.ID.Attempt == 1 {
		j.starts[c.ID.Index] = r.now
	}
	a := &attemptRecord{job: i, index: c.ID.Index, started: r.now + startDelay}
	r.running[c.ID] = a
	r.schedule(a.started, func(r *replay) {
		if !a.over {
			r.step(sched.AttemptStarted{ID: c.ID})
		}
	})
	if a.index == 0 && j.fails > 0 {
		j.fails--
		r.schedule(a.started+failDelay, func(r *replay) { r.end(c.ID, sched.AttemptEnded{Failed: true, Reason: "failed as recorded"}) })
		return
	}
	r.schedule(a.started+j.left[a.index], func(r *replay) { r.end(c.ID, sched.AttemptEnded{}) })
}

func (r *replay) control(c sched.Control) {
	r.tally.displaced++
	r.schedule(r.now+stopDelay, func(r *replay) { r.end(c.ID, sched.AttemptEnded{Stopped: true}) })
}

// end reports the end of an attempt, unless it has ended already. A checkpoint
// keeps the progress of the task.
func (r *replay) end(id ident.AttemptID, how sched.AttemptEnded) {
	a := r.running[id]
	if a == nil {
		return
	}
	delete(r.running, id)
	a.over = true
	j := &r.jobs[a.job]
	how.ID = id
	how.Ran = max(r.now-a.started, 0)
	if how.Stopped {
		j.left[a.index] -= how.Ran
	}
	r.gauges.advance(r)
	r.gauges.use(j, resource.Vector{}.Sub(j.Spec.Need))
	if (how.Stopped || how.Failed) && !j.ended {
		r.gauges.wait(r, a.job, 1)
	}
	r.step(how)
}

func (r *replay) jobEnded(c sched.JobEnded) {
	i := int(c.Job.Seq)
	j := &r.jobs[i]
	j.ended, j.outcome, j.failed = true, c.Outcome, c.Failed
	r.gauges.wait(r, i, -j.waits)
}
