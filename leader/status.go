package leader

import (
	"slices"
	"sync"

	"github.com/fireflyfold/fireflyfold/region"
)

// StatusView holds the job states and pending counts that callers may read. It is safe for
// concurrent use.
type StatusView struct {
	mu      sync.RWMutex
	jobs    map[string]jobStatus
	pending map[string]int64
	crashes map[string][]region.CrashCounted // by job
}

type jobStatus struct {
	state     region.State
	queue     string
	workspace string
	pending   bool
	why       string
}

// maxCrashesShown is how many crashes are kept for a job. A task is given up after a few.
const maxCrashesShown = 50

// Explanation is what is known of a job for operators and its owner.
type Explanation struct {
	State     region.State
	Workspace string
	Queue     string
	Why       string                // why the job failed
	Crashes   []region.CrashCounted // crashes of workers that count against its tasks
}

// NewStatusView returns an empty view.
func NewStatusView() *StatusView {
	return &StatusView{jobs: make(map[string]jobStatus), pending: make(map[string]int64), crashes: make(map[string][]region.CrashCounted)}
}

// Apply records a published job state. region.StateUnknown removes the job.
func (b *StatusView) Apply(published region.Publish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, known := b.jobs[published.Job]; known && old.pending {
		b.pending[old.queue]--
	}
	if published.State == region.StateUnknown {
		delete(b.jobs, published.Job)
		delete(b.crashes, published.Job)
		return
	}
	b.jobs[published.Job] = jobStatus{state: published.State, queue: published.Queue, workspace: published.Workspace, pending: published.Pending, why: published.Why}
	if published.Pending {
		b.pending[published.Queue]++
	}
}

// ApplyCrash records a crash under a run, or what is known of one now.
func (b *StatusView) ApplyCrash(c region.CrashCounted) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shown := b.crashes[c.RunID.Task.Job]
	known := slices.IndexFunc(shown, func(o region.CrashCounted) bool { return o.RunID == c.RunID && o.Worker == c.Worker })
	switch {
	case known >= 0:
		shown[known] = c
	case len(shown) < maxCrashesShown:
		b.crashes[c.RunID.Task.Job] = append(shown, c)
	}
}

// Explain returns what is known of a job. The state of one that is not known is
// region.StateUnknown.
func (b *StatusView) Explain(job string) Explanation {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.jobs[job]
	return Explanation{State: e.state, Workspace: e.workspace, Queue: e.queue, Why: e.why, Crashes: slices.Clone(b.crashes[job])}
}

// State returns the state of a job and the workspace that submitted it. The state of a job
// that is not known is region.StateUnknown.
func (b *StatusView) State(job string) (region.State, string) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.jobs[job]
	return e.state, e.workspace
}

// Pending returns how many jobs of a queue have no task that is known to have begun. Jobs that run at
// set times are not counted.
func (b *StatusView) Pending(queue string) int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pending[queue]
}
