package host

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/hostrpc"
)

// BenchmarkJobs measures the cost of a job of two tasks, including its caller and
// the fake platform in the same process.
func BenchmarkJobs(b *testing.B) {
	f := newTestRegion(b, 2, 24, 20*time.Millisecond)
	m := f.leader()
	n := 0
	for b.Loop() {
		if status, _ := f.call(m, http.MethodPost, jobPath(n), "k1", twoTasks); status != http.StatusOK {
			b.Fatalf("submission answered %d", status)
		}
		n++
	}
	for i := range n {
		f.waitUntil("the job is completed", func() bool { return f.completed(m, i) })
	}
}

// BenchmarkHelperNames measures the list of hosts that a leader's scheduler gets at each tick, and
// BenchmarkPingResponse the response to one host's ping.
func BenchmarkHelperNames(b *testing.B) {
	for _, hosts := range []int{30, 600} {
		h := manyHelpers(hosts)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				h.names()
			}
		})
	}
}

func BenchmarkPingResponse(b *testing.B) {
	for _, hosts := range []int{30, 600} {
		h := manyHelpers(hosts)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				h.fillPingResponse(&hostrpc.PingResponse{})
			}
		})
	}
}
