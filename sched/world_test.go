package sched

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
	"github.com/fireflyfold/fireflyfold/work"
)

// fataler is the common part of *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// units implements Limits and enforces the limit of each team.
type units struct {
	limit map[ident.TeamID]int64
	used  map[ident.TeamID]int64
}

func (u *units) TryUse(team ident.TeamID, n int64) bool {
	limit, limited := u.limit[team]
	if limited && u.used[team]+n > limit {
		return false
	}
	u.used[team] += n
	return true
}

func (u *units) Done(team ident.TeamID, n int64) { u.used[team] -= n }

// world simulates the engine and the workers. It keeps its own account of what
// runs, and fails the test when a command violates an invariant.
type world struct {
	t        fataler
	s        *Scheduler
	now      time.Duration
	units    *units
	sizes    map[ident.WorkerID]resource.Vector
	free     map[ident.WorkerID]resource.Vector
	shut     map[ident.WorkerID]bool  // cordoned or leaving: accepts no new work
	running  []Assign                 // in order of assignment
	ever     map[ident.AttemptID]bool // attempts assigned so far
	jobs     map[ident.JobID]work.Spec
	ended    map[ident.JobID]JobEnded
	controls map[ident.AttemptID]ports.Control
	commands []Command // of the last step
	seq      uint64
}

func newWorld(t fataler, opts Options) *world {
	u := &units{limit: map[ident.TeamID]int64{}, used: map[ident.TeamID]int64{}}
	opts.Limits = u
	return &world{
		t: t, s: New(opts), units: u,
		sizes:    map[ident.WorkerID]resource.Vector{},
		free:     map[ident.WorkerID]resource.Vector{},
		shut:     map[ident.WorkerID]bool{},
		ever:     map[ident.AttemptID]bool{},
		jobs:     map[ident.JobID]work.Spec{},
		ended:    map[ident.JobID]JobEnded{},
		controls: map[ident.AttemptID]ports.Control{},
	}
}

func (w *world) step(ev Event) []Command {
	w.t.Helper()
	w.commands = append([]Command(nil), w.s.Step(w.now, ev)...)
	gangs := map[ident.JobID]int{}
	for _, c := range w.commands {
		switch c := c.(type) {
		case Assign:
			w.assigned(c)
			gangs[c.ID.Job]++
		case Control:
			w.controls[c.ID] = c.Control
		case JobEnded:
			w.jobEnded(c)
		}
	}
	for job, n := range gangs {
		if spec := w.jobs[job]; spec.Kind == work.KindGang && n != spec.Tasks {
			w.t.Fatalf("gang %s: %d of %d tasks assigned in one step", job, n, spec.Tasks)
		}
	}
	return w.commands
}

func (w *world) assigned(c Assign) {
	w.t.Helper()
	if w.ever[c.ID] {
		w.t.Fatalf("attempt %s assigned twice", c.ID)
	}
	w.ever[c.ID] = true
	if _, over := w.ended[c.ID.Job]; over {
		w.t.Fatalf("attempt %s assigned after its job ended", c.ID)
	}
	if w.shut[c.Worker] {
		w.t.Fatalf("attempt %s assigned to %s, which accepts no new work", c.ID, c.Worker)
	}
	for _, r := range w.running {
		if r.ID.Job == c.ID.Job && r.ID.Index == c.ID.Index && r.Service == "" {
			w.t.Fatalf("attempt %s assigned while another attempt of its task runs", c.ID)
		}
	}
	free, ok := w.free[c.Worker]
	if !ok || !c.Need.Fits(free) {
		w.t.Fatalf("attempt %s needs %s, worker %s has %s free", c.ID, c.Need, c.Worker, free)
	}
	w.free[c.Worker] = free.Sub(c.Need)
	w.running = append(w.running, c)
}

func (w *world) jobEnded(c JobEnded) {
	w.t.Helper()
	if _, twice := w.ended[c.Job]; twice {
		w.t.Fatalf("job %s ended twice", c.Job)
	}
	if !c.Outcome.Valid() {
		w.t.Fatalf("job %s ended with invalid outcome %s", c.Job, c.Outcome)
	}
	w.ended[c.Job] = c
}

func (w *world) add(id ident.WorkerID, rack string, size resource.Vector) {
	w.t.Helper()
	if _, known := w.sizes[id]; !known {
		w.sizes[id], w.free[id] = size, size
	}
	delete(w.shut, id)
	w.step(WorkerAdded{Worker: id, Rack: rack, Size: size})
}

func (w *world) accept(spec work.Spec) ident.JobID {
	w.t.Helper()
	w.seq++
	id := ident.JobID{Zone: "a", Host: "h", Incarnation: 1, Seq: w.seq}
	w.jobs[id] = spec
	w.step(JobAccepted{Job: id, Spec: spec})
	return id
}

// end reports the end of the i-th running attempt.
func (w *world) end(i int, how AttemptEnded) Assign {
	w.t.Helper()
	a := w.take(i)
	how.ID = a.ID
	w.step(how)
	return a
}

func (w *world) take(i int) Assign {
	a := w.running[i]
	w.running = append(w.running[:i:i], w.running[i+1:]...)
	w.free[a.Worker] = w.free[a.Worker].Add(a.Need)
	return a
}

func (w *world) remove(id ident.WorkerID) {
	w.t.Helper()
	var rest []Assign
	for _, a := range w.running {
		if a.Worker != id {
			rest = append(rest, a)
		}
	}
	w.running = rest
	delete(w.sizes, id)
	delete(w.free, id)
	w.step(WorkerRemoved{Worker: id})
}

// pass advances time by d, with a Tick whenever one is due.
func (w *world) pass(d time.Duration) {
	w.t.Helper()
	until := w.now + d
	for {
		at, ok := w.s.Next()
		if !ok || at > until {
			break
		}
		w.now = max(w.now, at)
		w.step(Tick{})
	}
	w.now = until
	w.step(Tick{})
}

// runningOf returns the indexes in w.running of the attempts of a job.
func (w *world) runningOf(job ident.JobID) []int {
	var at []int
	for i, a := range w.running {
		if a.ID.Job == job {
			at = append(at, i)
		}
	}
	return at
}

func worker(n int) ident.WorkerID { return ident.WorkerID(fmt.Sprintf("w%02d", n)) }

func cpu(cores int64) resource.Vector {
	return resource.Vector{MilliCPU: 1000 * cores, MemoryMiB: 1024 * cores}
}

func batch(team ident.TeamID, cores int64, tasks int) work.Spec {
	return work.Spec{Kind: work.KindBatch, Team: team, Name: "n", Need: cpu(cores), Tasks: tasks, Run: time.Minute}
}

func gang(team ident.TeamID, cores int64, tasks int) work.Spec {
	spec := batch(team, cores, tasks)
	spec.Kind = work.KindGang
	return spec
}
