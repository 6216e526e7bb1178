package host

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/leader"
)

// The log's watches hear nothing of new records for a while, though it takes
// appends. Jobs that are accepted meanwhile would wait for the leader's next read to
// bring them, and the urgent ones among them come too late. The host that accepted
// a job tells the leader of it.
func TestLeaderIsToldOfKeptJobs(t *testing.T) {
	f := newFleet(t, 2, 2, 50*time.Millisecond)
	f.store.SuppressReads(leader.TopicIntake, true)
	for n, m := range f.hosts {
		if status, _ := f.call(m, http.MethodPost, jobPath(n), "k1", twoTasks); status != http.StatusOK {
			t.Fatalf("submission answered %d", status)
		}
		f.until("the job is completed", func() bool { return f.completed(m, n) })
	}
	f.store.SuppressReads(leader.TopicIntake, false)
	f.until("the records have been read", func() bool { return f.completed(f.hosts[0], 1) })
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// A host reaches neither the log nor any other host: its zone is cut off. A caller
// who stays with it would be refused for as long as the cut lasts, and a submission
// would be held to its deadline. The host is not ready, ends its callers'
// connections, and says at once that it does not know what became of a submission.
func TestIsolatedHostSendsCallersAway(t *testing.T) {
	f := newFleet(t, 2, 1, 50*time.Millisecond)
	first := f.leader()
	cut := f.otherThan(first)
	if status, _ := f.call(cut, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("not accepted before the cut")
	}
	cut.door.Blackhole(true)
	first.stop()
	<-first.done
	req, err := http.NewRequest(http.MethodPost, "http://"+cut.settings.Front+jobPath(2), bytes.NewReader([]byte(twoTasks)))
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
		t.Error("the caller's connection is kept")
	}
	if cut.Ready() {
		t.Error("the host is ready")
	}
	cut.door.Blackhole(false)
	f.until("it leads after the cut", func() bool { return f.leader() == cut })
	f.until("the job is completed", func() bool { return f.completed(cut, 1) })
}
