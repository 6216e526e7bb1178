package region

import (
	"flag"
	"fmt"
	"testing"
)

var (
	firstSeed = flag.Uint64("region.first", 1, "the first seed of TestSweep")
	seedCount = flag.Uint64("region.seeds", 0, "how many histories TestSweep plays")
)

// Any range of histories, for a search by hand.
func TestSweep(t *testing.T) {
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { randomHistory(t, *firstSeed+i) })
	}
}
