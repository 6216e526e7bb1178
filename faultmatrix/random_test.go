package faultmatrix

import (
	"flag"
	"fmt"
	"testing"
)

// fixedSeeds is how many random histories every run of the tests plays.
const fixedSeeds = 60

var (
	firstSeed = flag.Uint64("first-seed", 0, "seed of the first random history")
	histories = flag.Uint64("histories", fixedSeeds, "random histories to play")
)

// keptSeeds once failed; each found a fault that has been mended.
var keptSeeds = []uint64{
	69, 72, 81, 87, 142, 152, 154, 163, 174, 195, 223, 288, 310, 318, 327, 367, 368, 377,
	1159, 1168, 1184, 1218, 1283, 1371, 1645, 11932,
}

// Seeds that once failed are played in every run.
func TestKeptHistories(t *testing.T) {
	for _, seed := range keptSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCell(t, RandomCell(seed))
		})
	}
}

// Several faults strike at random, at a random step. The seeds are fixed;
// -first-seed and -histories play others.
func TestRandomHistories(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runCell(t, RandomCell(seed))
		})
	}
}

// FuzzHistories goes on for as long as it is left, and keeps a seed that fails.
func FuzzHistories(f *testing.F) {
	f.Add(uint64(0))
	f.Fuzz(func(t *testing.T, seed uint64) { runCell(t, RandomCell(seed)) })
}
