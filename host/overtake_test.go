package host

import (
	"testing"
	"time"
)

const (
	smallHost = "limits.cpuShare=0.144\nlimits.linkMbps=10\nlimits.memoryMb=144\n"
	largeHost = "limits.cpuShare=0.8\nlimits.linkMbps=200\nlimits.memoryMb=536\n"
)

// Guards against a region without starts while a small host loads: it claimed the leadership as it
// had just started and knew no successors. Its heartbeats show that it is alive, so that no other
// host would count it as failed.
func TestLargeHostOvertakesSmallOneThatLoads(t *testing.T) {
	f := newTestRegion(t, 0, 1, 20*time.Millisecond)
	small := f.addWith("small", smallHost)
	small.endpoint.Stall("log-read intake")
	f.waitUntil("the small host claims", func() bool { return len(f.store.Records(topicClaims)) == 1 })
	large := f.addWith("large", largeHost)
	f.waitUntil("the large host leads", func() bool { return f.leader() == large })
	small.endpoint.Stall("")
	f.waitUntil("the small host follows", func() bool { return small.election.localLeader() == nil })
	f.waitUntil("a job is accepted", func() bool {
		status, _ := f.call(large, "POST", jobPath(1), "k1", twoTasks)
		return status == 200
	})
	f.waitUntil("the job is completed", func() bool { return f.completed(small, 1) })
}

// Guards against leaders that change for nothing: hosts of one size leave a host that loads alone.
func TestEqualHostDoesNotOvertake(t *testing.T) {
	f := newTestRegion(t, 0, 1, 20*time.Millisecond)
	first := f.addWith("first", largeHost)
	first.endpoint.Stall("log-read intake")
	f.waitUntil("a host claims", func() bool { return len(f.store.Records(topicClaims)) == 1 })
	other := f.addWith("other", largeHost)
	f.waitUntil("the other host has read the claim", func() bool { claim, _ := other.election.newestClaim(); return claim != nil })
	for range 3 {
		other.election.checkLeadership(t.Context())
	}
	first.endpoint.Stall("")
	f.waitUntil("the first host leads", func() bool { return f.leader() == first })
	if n := len(f.store.Records(topicClaims)); n != 1 {
		t.Errorf("%d claims, want 1", n)
	}
}
