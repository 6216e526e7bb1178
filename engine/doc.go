// Package engine combines the state machines of one entry host: membership,
// control leases, configuration, limit units, the request path, and, on the
// host that schedules for its zone, the job stream and the scheduler.
//
// The engine is deterministic and does no I/O. A driver calls Step with one
// Event at a time and executes the Commands that it returns; their results are
// passed in as further events. Time is the driver's monotonic clock, as a
// duration since the process started. Package entry drives the engine in the
// daemon; package faultmatrix drives several engines and injects faults.
//
// A command may be lost or executed late. Every command whose loss or delay
// could do harm is protected by a lease epoch, a record in the log, or a
// timeout of the state machine that issued it.
package engine
