// Package place chooses a worker for a task.
//
// A Cell holds the workers of one zone with the room that is reserved on each.
// A Placer runs a chain of small iterators over it:
//
//	source -> feasible -> limit -> select (by rank)
//
// The source yields workers from an index of free room, so that workers that
// are too full are never looked at. feasible drops workers that cannot take
// the task and counts why. limit ends the search after enough workers were
// found. select keeps the best by rank. No step allocates.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package place
