package host

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

// Guards against a submission that the log rejects for its size and that the host sends again for
// ever: no other submission is accepted any more.
func TestTooLargeSubmissionHoldsUpNoOther(t *testing.T) {
	const recordBytes = 4000
	for _, known := range []int{recordBytes, 100 * recordBytes} {
		t.Run(fmt.Sprint("limit known as ", known), func(t *testing.T) {
			f := newTestRegion(t, 0, 1, 50*time.Millisecond)
			f.store.LimitRecords(recordBytes)
			m := f.addWith("h0", fmt.Sprintf("platform.recordBytes=%d\n", known))
			f.waitUntil("the host leads", func() bool { return f.leader() != nil && m.config.Config() != nil })
			steps := strings.Repeat(`{"count":1,"cpu":100,"memMb":100,"image":"`+strings.Repeat("x", 100)+`"},`, 100)
			large := fmt.Sprintf(`{"spec":"[]","steps":[%s]}`, strings.TrimSuffix(steps, ","))
			if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", large); status != http.StatusRequestEntityTooLarge {
				t.Errorf("a submission that is too large was answered with %d", status)
			}
			if status, _ := f.call(m, http.MethodPost, jobPath(2), "k1", twoTasks); status != http.StatusOK {
				t.Errorf("the next submission was answered with %d", status)
			}
			f.waitUntil("the next job is completed", func() bool { return f.completed(m, 2) })
		})
	}
}

// Guards against a leader that goes on after the log has rejected one of its entries: a later ack would
// cover that entry, and its run would be started although no successor can know of it.
func TestLeaderWithRejectedEntryStepsDown(t *testing.T) {
	f := newTestRegion(t, 1, 0, 50*time.Millisecond)
	m := f.hosts[0]
	f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	first := m.election.localLeader()
	const heartbeatBytes = 40 // less than an assignment
	f.store.LimitRecords(heartbeatBytes)
	w := fakeplatform.NewWorker(f.store, "i-0", 50*time.Millisecond)
	t.Cleanup(w.Close)
	f.workers = append(f.workers, w)
	f.waitUntil("the leader has stepped down", func() bool { return m.election.localLeader() != first })
	if n := len(f.starts()); n > 0 {
		t.Errorf("%d tasks were started without a record", n)
	}
	f.store.LimitRecords(0)
	f.waitUntil("the job is completed", func() bool { return f.completed(m, 1) })
}
