// Package request decides the path of requests: work that is answered while
// its caller waits. It is a deterministic state machine without I/O.
//
// A driver feeds Router.Step with events and carries out the commands it
// returns. For each admitted request the router answers with exactly one
// command at a time - Dispatch, Forward or Reject - and the driver reports how
// a Dispatch or Forward went with Finished; the router then either ends the
// request with Complete or Reject, or dispatches it once more if nothing ran
// or the request is idempotent and the retry budget allows it.
//
// Requests are placed on workers whose slots lease this host holds. A worker
// is chosen as the least loaded of all that are open, weighted by the latency
// it showed. A host without room forwards to a peer, its own zone first.
package request
