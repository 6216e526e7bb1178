// Package capacity measures the slopes that docs/CAPACITY.md is worked out
// from: bytes, processor time and memory for each worker, task, host, team and
// record, at the size of today and at the size to design for.
//
// It has benchmarks and no code that a process runs. They drive the real state
// machines in virtual time with the platform's answers made up on the spot, so
// that a figure holds nothing but the machine's own work. Figures are meant to
// be compared within one run.
//
//	go test ./capacity -run xxx -bench . -benchtime 1x
package capacity
