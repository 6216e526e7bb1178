package faultmatrix

import "testing"

// fixedSeeds is how many random histories every run of the tests plays.
const fixedSeeds = 40

// FuzzHistories plays random histories: several faults at once, at a random
// step. The tests play a fixed set of seeds; `go test -fuzz FuzzHistories` goes
// on for as long as it is left, and keeps a seed that fails.
func FuzzHistories(f *testing.F) {
	for seed := range uint64(fixedSeeds) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runCell(t, RandomCell(seed)) })
}
