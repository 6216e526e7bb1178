// Package lease decides when one entry host asks for, renews, hands over and
// gives up the control leases of workers.
//
// Manager is a deterministic state machine: events in, commands out, the time
// and the seed of its jitter as arguments. It never talks to a worker itself.
// Its caller sends each Acquire, Renew and Release, and returns what came of
// it as Granted, Refused, Failed or ReleaseDone, with the SentAt of the
// command.
//
// Two processes never compare clocks, only lengths of time. The holder counts
// a lease from the moment it decided to send the request, the worker from the
// moment it received it. The holder stops starting tasks at TTL*(1-Drift), the
// worker grants the lease to another at TTL. So the holder always believes in
// a lease for less time than the worker does, as long as one clock runs at
// most Drift faster than the other.
package lease
