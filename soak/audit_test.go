package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

// runID is one run of a task, by the names that workers see.
type runID struct {
	task string
	run  int
}

// stepSent is one step of a job; each step depends on the one before.
type stepSent struct {
	tasks int
	gang  bool
}

// audit checks the promises about tasks from what workers see, while a soak runs.
type audit struct {
	mu        sync.Mutex
	specs     map[string]string // of every job that a caller ever sent, by id
	steps     map[string][]stepSent
	alive     map[string]map[string]int
	ended     map[string]bool    // by task: it has ended as done, which is enough for those that depend on it
	done      map[string][]runID // by task: ends as done that bind unless they are forgotten
	noted     map[string]bool    // by task: its end as done was taken note of
	again     map[runID]bool     // by end as done that was not noted yet: its task was started after it
	forgotten map[runID]bool
	started   map[string]bool // by job
	broken    []string
}

func newAudit() *audit {
	return &audit{
		specs: make(map[string]string), steps: make(map[string][]stepSent), alive: make(map[string]map[string]int),
		ended: make(map[string]bool), done: make(map[string][]runID), noted: make(map[string]bool), again: make(map[runID]bool),
		forgotten: make(map[runID]bool), started: make(map[string]bool),
	}
}

func (a *audit) breach(format string, args ...any) {
	a.broken = append(a.broken, fmt.Sprintf(format, args...))
}

// sent notes a job before its first submission.
func (a *audit) sent(id, spec string, steps []stepSent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.specs[id], a.steps[id] = spec, steps
}

// hasStarted reports whether a task of the job was ever started.
func (a *audit) hasStarted(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.started[id]
}

func (a *audit) breaches() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.broken...)
}

// see takes in what a worker saw.
func (a *audit) see(e fakeplatform.WorkerEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := runID{e.Task, e.Run}
	switch e.What {
	case fakeplatform.RunStarted:
		a.start(e)
	case fakeplatform.RunDone:
		delete(a.alive[e.Task], e.Worker)
		a.ended[e.Task] = true
		a.done[e.Task] = append(a.done[e.Task], id)
	case fakeplatform.RunAborted:
		delete(a.alive[e.Task], e.Worker)
	case fakeplatform.EndDropped:
		a.forgotten[id] = true
		a.done[e.Task] = slices.DeleteFunc(a.done[e.Task], func(done runID) bool { return done == id })
	case fakeplatform.EndAcked:
		a.note(id)
	}
}

func (a *audit) start(e fakeplatform.WorkerEvent) {
	job, step, ok := splitTask(e.Task)
	spec, known := a.specs[job]
	switch {
	case !ok || !known:
		a.breach("a task of no job that was sent: %s", e.Task)
		return
	case spec != e.Spec:
		a.breach("task %s with the spec %q, sent was %q", e.Task, e.Spec, spec)
	}
	a.started[job] = true
	for other, run := range a.alive[e.Task] {
		a.breach("task %s run %d on %s while run %d is alive on %s", e.Task, e.Run, e.Worker, run, other)
	}
	if a.noted[e.Task] {
		a.breach("task %s run %d on %s after it was done", e.Task, e.Run, e.Worker)
	}
	for _, done := range a.done[e.Task] {
		a.again[done] = true
	}
	for before := range step {
		if !a.stepDone(job, before) {
			a.breach("task %s before step %d was done", e.Task, before)
		}
	}
	if a.alive[e.Task] == nil {
		a.alive[e.Task] = make(map[string]int)
	}
	a.alive[e.Task][e.Worker] = e.Run
}

// stepDone reports whether every task of a step has ended as done; of a gang, one
// end stands for all.
func (a *audit) stepDone(job string, step int) bool {
	s := a.steps[job][step]
	n := 0
	for i := range s.tasks {
		if a.ended[fmt.Sprintf("%s.0.%d.%d", job, step, i)] {
			n++
		}
	}
	return n == s.tasks || s.gang && n > 0
}

// note binds an end as done: nobody may have started the task since that end, or may
// later.
func (a *audit) note(id runID) {
	if a.forgotten[id] || !slices.Contains(a.done[id.task], id) {
		return
	}
	a.noted[id.task] = true
	if a.again[id] {
		a.breach("task %s was started again after an end as done of run %d that was then taken note of", id.task, id.run)
	}
}

// splitTask takes job and step from a task's name, which also has occurrence and
// index.
func splitTask(name string) (job string, step int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	if _, err := fmt.Sscan(parts[2], &step); err != nil {
		return "", 0, false
	}
	return parts[0], step, true
}
