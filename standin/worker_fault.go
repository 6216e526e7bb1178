package standin

import (
	"fmt"
	"time"
)

// NoAnswerError reports that a stand-in is paused or dead. The call took no
// effect, but a caller over the network cannot know that.
type NoAnswerError struct {
	Op   string
	Dead bool
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	if e.Dead {
		return fmt.Sprintf("%s: the worker is dead", e.Op)
	}
	return fmt.Sprintf("%s: the worker is paused", e.Op)
}

// WorkerFaults are the faults of a worker that can be switched on and off.
type WorkerFaults struct {
	Paused  bool    `json:"paused"`          // answers nothing, its clock goes on
	Killed  bool    `json:"killed"`          // lost all tasks and leases, answers nothing
	FailAll bool    `json:"fail_all"`        // fails everything it starts at once
	Slow    float64 `json:"slow,omitempty"`  // everything takes this many times longer; below 1 for none
	Drift   float64 `json:"drift,omitempty"` // its clock gains this share of real time
	Leaving bool    `json:"leaving"`         // takes no new work
}

// SetFaults replaces the faults of the worker. A worker that was killed comes
// back empty when Killed is cleared, and never repeats an epoch.
func (w *WorkerState) SetFaults(now time.Duration, f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	local := w.clock.local(now)
	if f.Killed && !w.faults.Killed {
		w.die(now)
	}
	w.clock.setDrift(now, f.Drift)
	slowChanged := f.rate() != w.faults.rate()
	w.faults = f
	if slowChanged {
		w.respeed(local)
	}
}

// Faults returns the faults that are on.
func (w *WorkerState) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// rate is the speed of tasks as a share of full speed.
func (f WorkerFaults) rate() float64 {
	if f.Slow <= 1 {
		return 1
	}
	return 1 / f.Slow
}

// awake reports a *NoAnswerError if the worker cannot answer.
func (w *WorkerState) awake(op string) error {
	if w.faults.Killed || w.faults.Paused {
		return &NoAnswerError{Op: op, Dead: w.faults.Killed}
	}
	return nil
}

// die loses everything.
func (w *WorkerState) die(now time.Duration) {
	for _, key := range w.keys() {
		w.audit.end(now, w.cfg.Worker, w.tasks[key], EndLost)
		w.tasks[key].stop()
	}
	w.boot()
}

// driftClock turns the time that drives a worker into the worker's own time.
type driftClock struct {
	since time.Duration // driving time at the last change of drift
	base  time.Duration // own time at that moment
	drift float64
}

// newDriftClock returns a clock that agrees with the driving one.
func newDriftClock() driftClock { return driftClock{} }

// local returns the worker's own time.
func (c *driftClock) local(now time.Duration) time.Duration {
	passed := now - c.since
	return c.base + passed + time.Duration(float64(passed)*c.drift)
}

// driving returns the driving time at which the worker's own time is local.
func (c *driftClock) driving(local time.Duration) time.Duration {
	return c.since + time.Duration(float64(local-c.base)/(1+c.drift)) + 1
}

// setDrift changes the drift from now on.
func (c *driftClock) setDrift(now time.Duration, drift float64) {
	c.base = c.local(now)
	c.since = now
	c.drift = drift
}

// memory remembers the latest identifiers up to a bound.
type memory struct {
	known    map[string]struct{}
	order    []string
	capacity int
	next     int
}

// newMemory returns a memory of capacity identifiers.
func newMemory(capacity int) *memory {
	return &memory{known: make(map[string]struct{}), capacity: capacity}
}

// has reports whether id is remembered.
func (m *memory) has(id string) bool {
	_, ok := m.known[id]
	return ok
}

// add remembers id and forgets the oldest when full.
func (m *memory) add(id string) {
	if m.has(id) {
		return
	}
	m.known[id] = struct{}{}
	if len(m.order) < m.capacity {
		m.order = append(m.order, id)
		return
	}
	delete(m.known, m.order[m.next])
	m.order[m.next] = id
	m.next = (m.next + 1) % len(m.order)
}
