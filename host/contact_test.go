package host

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/leader"
)

// The log takes appends, but its waiting reads return no new records for a while. Jobs
// accepted meanwhile would wait for the leader's next read, and urgent ones would miss
// their deadlines. The host that accepts a job notifies the leader of it.
func TestLeaderIsNotifiedOfAppendedJobs(t *testing.T) {
	f := newTestRegion(t, 2, 2, 50*time.Millisecond)
	f.store.SuppressReads(leader.TopicIntake, true)
	for n, m := range f.hosts {
		if status, _ := f.call(m, http.MethodPost, jobPath(n), "k1", twoTasks); status != http.StatusOK {
			t.Fatalf("submission answered %d", status)
		}
		f.waitUntil("the job is completed", func() bool { return f.completed(m, n) })
	}
	f.store.SuppressReads(leader.TopicIntake, false)
	f.waitUntil("the records have been read", func() bool { return f.completed(f.hosts[0], 1) })
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// A host in a zone behind a network partition reaches neither the log nor any other host. A caller
// that stays connected would be refused until the partition heals, and a submission
// would wait until its deadline. The host must become unready, close its callers'
// connections, and answer a submission at once with an unknown outcome or a refusal.
func TestIsolatedHostClosesCallerConnections(t *testing.T) {
	f := newTestRegion(t, 2, 1, 50*time.Millisecond)
	first := f.leader()
	isolated := f.lastOther(first)
	if status, _ := f.call(isolated, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("submission not accepted before the partition")
	}
	isolated.endpoint.Blackhole(true)
	first.stop()
	<-first.done
	req, err := http.NewRequest(http.MethodPost, "http://"+isolated.settings.Front+jobPath(2), bytes.NewReader([]byte(twoTasks)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "jobs.example"
	req.Header.Set("Credential", "k1")
	req.Header.Set("Deadline-Ms", "3600000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusGatewayTimeout && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("submission answered %d", resp.StatusCode)
	}
	if !resp.Close {
		t.Error("the caller's connection was not closed")
	}
	if isolated.Ready() {
		t.Error("the isolated host is ready")
	}
	isolated.endpoint.Blackhole(false)
	f.waitUntil("the host leads after the partition", func() bool { return f.leader() == isolated })
	f.waitUntil("the job is completed", func() bool { return f.completed(isolated, 1) })
}
