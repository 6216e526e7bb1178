package region

import (
	"flag"
	"fmt"
	"testing"
)

var (
	firstSeed = flag.Uint64("region.first", 1, "first seed of TestSweep")
	seedCount = flag.Uint64("region.seeds", 0, "number of histories that TestSweep runs")
)

// Runs any range of random histories, for a manual search for failing seeds.
func TestSweep(t *testing.T) {
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { randomHistory(t, *firstSeed+i) })
	}
}
