// Package request routes requests: work that is answered while its caller
// waits. It is a deterministic state machine without I/O.
//
// A driver passes events to Router.Step and executes the commands it returns.
// For each admitted request the router returns one command at a time (Dispatch,
// Forward or Reject), and the driver reports the result of a Dispatch or
// Forward with Finished. The router then ends the request with Complete or
// Reject, or sends it again if nothing ran or the request is idempotent, and
// the retry budget allows it.
//
// Requests are dispatched to workers whose slots lease this host holds. The
// least loaded eligible worker is chosen, weighted by its measured latency. A
// host without free capacity forwards to a peer, peers in its own zone first.
package request
