package host

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/record"
)

// unreadJobRegion has a job in the log that the leader has not read: its host has acknowledged it and
// ended before it could notify the leader, whose reads of the intake stall.
func unreadJobRegion(t *testing.T) (f *testRegion, leader, other *testHost) {
	f = newTestRegion(t, 2, 1, 50*time.Millisecond)
	for _, m := range f.hosts {
		f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
	}
	leader = f.leader()
	other = f.lastOther(leader)
	leader.endpoint.Stall("log-read intake")
	f.waitUntil("no read of the intake is in flight", func() bool { return leader.endpoint.Serving("log-read intake") == 0 })
	job, err := platform.DecodeJob([]byte(twoTasks), 10)
	if err != nil {
		t.Fatal(err)
	}
	queue, _ := other.config.Config().Queue("jobs.example", jobPath(1))
	job.Id, job.Queue, job.Workspace, job.Policy = strings.TrimPrefix(jobPath(1), queue.PathPrefix), queue.Name, "ws", queue.Policy
	job.AcceptedUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(&record.Intake{Kind: &record.Intake_Submitted{Submitted: job}})
	if err != nil {
		t.Fatal(err)
	}
	f.store.Append("intake", data)
	return f, leader, other
}

// Guards against a job that the key of another workspace cancels while the leader does not know whose
// job it is.
func TestUnreadJobIsNotCancelledByAnotherWorkspace(t *testing.T) {
	f, leader, other := unreadJobRegion(t)
	f.waitUntil("the cancellation is written", func() bool {
		status, _ := f.call(other, http.MethodDelete, jobPath(1), "o1", "")
		return status == http.StatusOK
	})
	leader.endpoint.Stall("")
	f.waitUntil("the job is completed", func() bool { return f.completed(other, 1) })
}

// Guards against a cancellation that is answered as if the job did not exist, and lost, because the
// leader has not read the submission yet.
func TestUnreadJobIsCancelled(t *testing.T) {
	f, leader, other := unreadJobRegion(t)
	if status, _ := f.call(other, http.MethodDelete, jobPath(1), "k1", ""); status != http.StatusOK {
		t.Errorf("the cancellation was answered with %d", status)
	}
	leader.endpoint.Stall("")
	f.waitUntil("the job is cancelled", func() bool {
		status, body := f.call(other, http.MethodGet, jobPath(1), "k1", "")
		return status == http.StatusOK && strings.Contains(body, platform.StateCancelled)
	})
	if n := len(f.starts()); n > 0 {
		t.Errorf("%d tasks of the cancelled job were started", n)
	}
}

// Guards against a cancellation of a job that does not exist being written to the log while the
// leader reads the intake.
func TestCancellationOfUnknownJobIsAnsweredGone(t *testing.T) {
	f := newTestRegion(t, 2, 1, 50*time.Millisecond)
	for _, m := range f.hosts {
		f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
		f.waitUntil("an unknown job is gone", func() bool {
			status, _ := f.call(m, http.MethodDelete, jobPath(99), "k1", "")
			return status == http.StatusGone
		})
	}
}
