package leader

import (
	"sync"

	"github.com/fireflyfold/fireflyfold/region"
)

// Board holds what callers may read: the states of jobs and how many wait in
// each queue. It is safe for concurrent use.
type Board struct {
	mu      sync.RWMutex
	jobs    map[string]boardEntry
	pending map[string]int64
}

type boardEntry struct {
	state     region.State
	queue     string
	workspace string
	timed     bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{jobs: make(map[string]boardEntry), pending: make(map[string]int64)}
}

// Set takes over a published state.
func (b *Board) Set(p region.Publish) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, known := b.jobs[p.Job]; known && old.state == region.StateQueued && !old.timed {
		b.pending[old.queue]--
	}
	if p.State == region.StateUnknown {
		delete(b.jobs, p.Job)
		return
	}
	b.jobs[p.Job] = boardEntry{state: p.State, queue: p.Queue, workspace: p.Workspace, timed: p.Timed}
	if p.State == region.StateQueued && !p.Timed {
		b.pending[p.Queue]++
	}
}

// State returns the state of a job and the workspace that handed it in, or
// region.StateUnknown.
func (b *Board) State(job string) (region.State, string) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e := b.jobs[job]
	return e.state, e.workspace
}

// Pending counts the jobs of a queue of which no task has started.
func (b *Board) Pending(queue string) int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pending[queue]
}
