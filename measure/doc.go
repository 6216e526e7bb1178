// Package measure measures the decisions of package sched.
//
// Traces in the shape of each deployment are recorded in testdata, made by a
// seeded generator (Generate). Replay feeds one to the decision core itself:
// it is a queue of events that answers each assignment with a start and an end
// after the recorded run time, and is no simulator of a cluster. Cost drives
// the core in a steady state and times each step.
//
// The command `measure` prints the table of all measures, as text or as CSV.
package measure
