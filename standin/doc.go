// Package standin holds small stand-ins for what the system does not own: the
// append-only log, the host list and the workers with a demo upstream.
//
// Each has a core without I/O or clock (WorkerState, LogState, HostListState)
// that is driven with the time passed in, and a thin HTTP server around it
// that speaks the wire of package platform. Faults are switched on by calls on
// the cores. All workers report to one Audit, which sees doubled runs and
// capacity passed independently of what the workers themselves refuse.
//
// Times are lengths since the start of the process that drives the stand-in.
package standin
