// Package sched schedules the durable jobs and services of one availability
// zone. It assigns tasks to workers, orders the backlog, preempts running tasks
// by checkpoint (in the names here: displaces them), and retries failed tasks.
//
// The Scheduler is a deterministic state machine without I/O, clock or
// goroutines: Step takes one event and returns the resulting commands. Equal
// sequences of events give equal sequences of commands. It is not safe for
// concurrent use; the engine calls it from one goroutine.
//
// An Assign reserves capacity on the worker and limit units of the team from
// the moment it is returned. The engine records it, starts it, and reports
// AttemptStarted, StartRefused or AttemptEnded. Every Assign is answered by
// exactly one StartRefused or AttemptEnded, or by the WorkerRemoved of its
// worker. Events for unknown attempts are ignored.
package sched
