// Package demo is the command that shows the system at work: both deployments,
// one after the other, each with its platform's stand-in and all its entry
// hosts in this one process, over loopback TCP.
//
// A mixed load runs for a few seconds. Meanwhile the host that schedules the
// first zone crashes and a zone is cut off. The table at the end says what
// became of the work, and whether any promise was broken.
package demo
