package sched

import "time"

// Scheduler decides for the durable work of one availability zone.
type Scheduler struct {
	opts Options
}

// New returns a scheduler that knows no worker and no job.
func New(opts Options) *Scheduler { return &Scheduler{opts: opts} }

// Step takes one event at time now, on the process's own monotonic clock, and
// returns the commands that follow. The slice is valid until the next call.
func (s *Scheduler) Step(now time.Duration, ev Event) []Command { return nil }

// Next returns the time at which a Tick is due, and false if none is.
func (s *Scheduler) Next() (time.Duration, bool) { return 0, false }
