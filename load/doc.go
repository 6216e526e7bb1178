// Package load is the command "fireflyfold load": it sends a bounded, open-loop
// stream of mixed work to running entry hosts and measures what callers see.
//
// Arrivals follow a seeded Poisson process and do not wait for answers, and
// every latency counts from the moment an operation was due, so that a slow
// system cannot make itself look fast by slowing the measurement down. Every
// answer is compared with the one that its own request must get.
package load
