// Package engine joins the state machines of one entry host: membership,
// control leases, configuration, limit units, the request path, and, on the
// host that schedules for its zone, the job stream and the scheduler.
//
// The engine is deterministic and does no I/O. A driver calls Step with one
// Event at a time and carries out the Commands it returns; answers come back
// as further events. Time is the driver's monotonic clock as a duration since
// the process started. Package entry drives it in the daemon, package
// faultmatrix drives several of them under faults.
//
// A command may be lost or carried out late: every command that matters is
// covered by a lease epoch, a record in the log, or a timeout of the state
// machine that gave it.
package engine
