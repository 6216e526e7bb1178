// Package soak plays random faults against real host processes and checks what
// callers and workers see. Its code is in its tests; docs/SOAK.md tells how to run
// it and what it found.
package soak
