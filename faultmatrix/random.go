package faultmatrix

import (
	"math/rand/v2"
	"time"
)

// Shape of a random history.
const (
	maxRandomFaults = 4
	randomGap       = 6 * time.Second // longest time between two faults
)

// RandomCell draws a step and a few faults from a seed. The rest of the history
// comes from the same seed.
func RandomCell(seed uint64) Cell {
	rng := rand.New(rand.NewPCG(seed, 2))
	for {
		c := Cell{Step: Steps[rng.IntN(len(Steps))], Seed: seed, Gap: time.Duration(rng.Int64N(int64(randomGap)))}
		for range 1 + rng.IntN(maxRandomFaults) {
			c.Faults = append(c.Faults, Faults[rng.IntN(len(Faults))])
		}
		if Impossible(c.Step, c.Faults[0]) == "" {
			return c
		}
	}
}
