package leader

import (
	"sync"

	"github.com/fireflyfold/fireflyfold/region"
)

// StatusView holds the job states and pending counts that callers may read. It is safe for
// concurrent use.
type StatusView struct {
	mu      sync.RWMutex
	jobs    map[string]jobStatus
	pending map[string]int64
}

type jobStatus struct {
	state     region.State
	queue     string
	workspace string
	timed     bool // runs at set times: not counted as pending
}

// NewStatusView returns an empty view.
func NewStatusView() *StatusView {
	return &StatusView{jobs: make(map[string]jobStatus), pending: make(map[string]int64)}
}

// Apply records a published job state. region.StateUnknown removes the job.
func (b *StatusView) Apply(published region.Publish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, known := b.jobs[published.Job]; known && old.state == region.StateQueued && !old.timed {
		b.pending[old.queue]--
	}
	if published.State == region.StateUnknown {
		delete(b.jobs, published.Job)
		return
	}
	b.jobs[published.Job] = jobStatus{state: published.State, queue: published.Queue, workspace: published.Workspace, timed: published.Timed}
	if published.State == region.StateQueued && !published.Timed {
		b.pending[published.Queue]++
	}
}

// State returns the state of a job and the workspace that submitted it. The state of a job
// that is not known is region.StateUnknown.
func (b *StatusView) State(job string) (region.State, string) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.jobs[job]
	return e.state, e.workspace
}

// Pending returns how many queued jobs of a queue have no started task. Jobs that run at
// set times are not counted.
func (b *StatusView) Pending(queue string) int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pending[queue]
}
