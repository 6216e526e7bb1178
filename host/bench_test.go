package host

import (
	"net/http"
	"testing"
	"time"
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
