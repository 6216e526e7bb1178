// Package jobs keeps the durable jobs of one availability zone in one stream of
// the platform's log.
//
// Fold is the pure fold of the stream: the same records give the same state on
// every host. Owner is the state machine of the one host that writes the
// stream: it takes ownership with a fence, commits proposals in groups, and
// calls a proposal effective only after reading it back. Recovery decides what
// became of the attempts that an earlier owner left open.
//
// All of them are deterministic and do no I/O: events in, commands out. Times
// are readings of the process's own monotonic clock.
package jobs
