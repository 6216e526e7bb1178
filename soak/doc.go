// Package soak injects random faults into real host processes and checks what callers
// and workers observe. All its code is in tests; docs/SOAK.md describes how to run it and
// what it has found.
package soak
