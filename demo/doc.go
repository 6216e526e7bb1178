// Package demo implements the demo command, which runs both deployments one
// after the other. The stand-in of the platform and all entry hosts run in one
// process and communicate over loopback TCP.
//
// A mixed load runs for a few seconds. Meanwhile the host that schedules the
// first zone crashes, and a network partition isolates another zone. The table
// at the end reports the outcomes of the work, and whether a guarantee was
// violated ("a promise was broken" in the output).
package demo
