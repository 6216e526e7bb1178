package region

import (
	"fmt"
	"testing"
	"time"
)

// A leader takes over with a backlog and room for all of it. Sent at once, the starts
// would fill a narrow link for seconds: leases are not renewed in time, tickets expire
// in transit, and everything is sent again. Reproduced by a burst of small jobs on an
// idle region.
func TestBacklogStartsAtLinkRate(t *testing.T) {
	const perS = 100
	w := newWorld(t, 1)
	for i := range 20 {
		w.addWorker(fmt.Sprintf("w%d", i), 16)
	}
	w.startLeader()
	w.sched.opts.StartsPerS = perS
	w.run(time.Second)
	for i := range 40 {
		w.submitTo(deferrableJob(fmt.Sprintf("s%d", i), 5), "slow")
	}
	w.run(500 * time.Millisecond)
	if n := len(w.starts); n > perS*6/10+5 {
		t.Errorf("%d starts in half a second at %d a second", n, perS)
	}
	w.run(2 * time.Second)
	if n := len(w.starts); n != 200 {
		t.Errorf("%d starts in 2.5 s, want all 200", n)
	}
}
