// Package sched decides for the durable work of one availability zone: which
// task starts on which worker, which waits and in what order, which is
// checkpointed for urgent work, tried again or given up.
//
// The Scheduler is a deterministic state machine without I/O, clock or
// goroutines: Step takes one event and returns the commands that follow from
// it. Equal sequences of events give equal sequences of commands. It is not
// safe for concurrent use; the engine owns it from one goroutine.
//
// An Assign reserves room on the worker and limit units of the team from the
// moment it is returned. The engine records it, starts it, and reports
// AttemptStarted, StartRefused or AttemptEnded. Every Assign is answered by
// exactly one StartRefused or AttemptEnded, or by the WorkerRemoved of its
// worker; events for attempts that the scheduler does not know are ignored.
package sched
