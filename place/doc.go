// Package place chooses a worker for a task.
//
// A Cell holds the workers of one zone and the resources reserved on each.
// A Placer runs a chain of iterators over it:
//
//	source -> feasible -> limit -> select (by score)
//
// The source yields workers from an index of free resources, which skips
// workers that are too full. feasible filters out workers that cannot run the
// task and counts the reasons. limit ends the search after a number of feasible
// workers. select keeps the worker with the best score. No step allocates.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package place
