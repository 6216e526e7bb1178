// Package lease decides when an entry host acquires, renews, hands over and
// releases the control leases of workers.
//
// Manager is a deterministic state machine: it takes events and returns
// commands, and gets the time and the seed of its jitter as arguments. It does
// no I/O. Its caller sends each Acquire, Renew and Release, and returns the
// result as Granted, Refused, Failed or ReleaseDone, with the SentAt of the
// command.
//
// Processes never compare clock readings, only durations. The holder counts a
// lease from when it decided to send the request, the worker from when it
// received the request. The holder stops starting tasks after TTL*(1-Drift),
// the worker grants the lease to another host after TTL. As long as one clock
// runs at most Drift faster than the other, the lease therefore ends at the
// holder before it ends at the worker.
package lease
