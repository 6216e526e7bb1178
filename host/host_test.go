package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/logwriter"
)

// A job submitted to one host completes, and every host reports its state.
func TestJobStateIsServedByEveryHost(t *testing.T) {
	f := newTestRegion(t, 3, 2, 50*time.Millisecond)
	if status, _ := f.call(f.hosts[1], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	for _, m := range f.hosts {
		f.waitUntil("the job is completed", func() bool { return f.completed(m, 1) })
	}
	if status, _ := f.call(f.hosts[2], http.MethodGet, jobPath(99), "k1", ""); status != http.StatusGone {
		t.Errorf("an unknown job answered %d", status)
	}
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(2), "nobody", twoTasks); status != http.StatusUnauthorized {
		t.Errorf("an unknown key answered %d", status)
	}
}

// A caller of another workspace that knows a job's id can neither read nor cancel the
// job with its own key.
func TestJobIsHiddenFromOtherWorkspaces(t *testing.T) {
	f := newTestRegion(t, 2, 1, 300*time.Millisecond)
	for _, m := range f.hosts {
		f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
	}
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("submission not accepted")
	}
	for _, m := range f.hosts {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			f.waitUntil("the other workspace's key finds no job", func() bool {
				status, _ := f.call(m, method, jobPath(1), "o1", "")
				if status == http.StatusOK {
					t.Fatalf("%s answered %d", method, status)
				}
				return status == http.StatusGone
			})
		}
	}
	f.waitUntil("the job is completed", func() bool { return f.completed(f.hosts[1], 1) })
}

// A submission is appended to the log, but the log's answer is lost. The host repeats
// the append with the same sequence number: the caller gets its answer, and the job is
// in the log once and runs once.
func TestAppendWithLostAnswerIsWrittenOnce(t *testing.T) {
	f := newTestRegion(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	before := len(f.store.Records("intake"))
	m.endpoint.DropResponses(1)
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	f.waitUntil("the job is completed", func() bool { return f.completed(m, 1) })
	if n := len(f.store.Records("intake")) - before; n != 1 {
		t.Errorf("%d records of one submission, want 1", n)
	}
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// A key is withdrawn while the log refuses one host. That host must learn of it from
// another host. With its own configuration alone it would run requests with the
// withdrawn key for as long as the log refuses it.
func TestWithdrawnKeyIsRefusedWhileLogRefusesHost(t *testing.T) {
	f := newTestRegion(t, 3, 1, 50*time.Millisecond)
	var refused *testHost
	f.waitUntil("a host that does not lead", func() bool {
		for _, m := range f.hosts {
			if l := f.leader(); l != nil && m != l && m.config.Config() != nil && len(m.election.otherHosts(1)) > 0 {
				refused = m
				return true
			}
		}
		return false
	})
	refused.endpoint.Refuse(true)
	// A read in flight when the log began to refuse may still return the new version.
	f.waitUntil("no read of the log is in flight", func() bool { return refused.config.LogReadAge() > 2*configWait })
	f.configure(2, "k1")
	f.waitUntil("the withdrawn key is refused", func() bool {
		status, _ := f.call(refused, http.MethodGet, jobPath(1), "k2", "")
		return status == http.StatusUnauthorized
	})
	if status, _ := f.call(refused, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Errorf("a submission with a valid key answered %d at a host that the log refuses", status)
	}
}

// A key may be withdrawn while the log refuses every host. A host that cannot confirm
// its configuration anywhere must in the end refuse all keys, with the answer that the
// request was not run.
func TestUnconfirmedConfigurationRefusesKeys(t *testing.T) {
	f := newTestRegion(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
	m.endpoint.Refuse(true)
	f.waitUntil("keys are refused", func() bool {
		status, _ := f.call(m, http.MethodGet, "/p/", "k1", "")
		return status == http.StatusServiceUnavailable && m.config.ConfirmationAge() > m.settings.KeyRevocation-revocationMargin
	})
}

// A replaced leader may keep sending starts and stops to workers. A worker that has
// seen the new leader's fencing token refuses them: the new leader takes over the running
// job, and its tasks run once.
func TestStaleLeaderIsRefused(t *testing.T) {
	f := newTestRegion(t, 2, 1, 300*time.Millisecond)
	first := f.leader()
	f.waitUntil("the worker has seen the first leader", func() bool { return f.workers[0].Fence() > 0 })
	old := f.workers[0].Fence()
	if status, _ := f.call(first, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	f.waitUntil("the job runs", func() bool { return len(f.starts()) == 2 })
	for _, m := range f.hosts {
		if m != first {
			_, fence := m.election.newestClaim()
			m.election.claimLeadership(m.runCtx, fence)
		}
	}
	f.waitUntil("the worker has seen the second leader", func() bool { return f.workers[0].Fence() > old })
	f.waitUntil("the first leader has stepped down", func() bool { return first.election.localLeader() == nil })
	f.waitUntil("the job is completed", func() bool { return f.completed(first, 1) })
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// A worker crashes and returns at once under its old id, as a new incarnation that does
// not know its earlier tasks. They must be started again, with a higher fencing token
// than the earlier incarnation has seen.
func TestTasksRestartAfterWorkerReturnsUnderSameID(t *testing.T) {
	f := newTestRegion(t, 1, 1, 1500*time.Millisecond)
	m, w := f.hosts[0], f.workers[0]
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("submission not accepted")
	}
	f.waitUntil("the job runs", func() bool { return len(f.starts()) == 2 })
	old := w.Fence()
	w.Restart()
	f.waitUntil("the tasks are started again", func() bool {
		restarted := 0
		for _, n := range f.starts() {
			if n == 2 {
				restarted++
			}
		}
		return restarted == 2
	})
	if w.Fence() <= old {
		t.Errorf("fencing token %d in the new incarnation, %d in the old one", w.Fence(), old)
	}
	f.waitUntil("the job is completed", func() bool { return f.completed(m, 1) })
}

// A leader is stopped as planned while jobs run and arrive. Another host leads before
// the process ends, every submission is accepted, and no task runs twice.
func TestPlannedStopHandsOverLeadership(t *testing.T) {
	f := newTestRegion(t, 3, 2, 100*time.Millisecond)
	first := f.leader()
	f.waitUntil("the leader knows the others", func() bool { return len(first.helpers.alive()) == 2 })
	other := f.lastOther(first)
	for n := range 40 {
		if n == 10 {
			first.stop()
		}
		if status, _ := f.call(other, http.MethodPost, jobPath(n), "k1", twoTasks); status != http.StatusOK {
			t.Errorf("submission %d answered %d", n, status)
		}
	}
	<-first.done
	if n := len(f.store.Records("claims")); n < 2 {
		t.Errorf("%d claims after the leader stopped, want at least 2: no host took over", n)
	}
	f.waitUntil("another host leads", func() bool { l := f.leader(); return l != nil && l != first })
	for n := range 40 {
		f.waitUntil("the job is completed", func() bool { return f.completed(other, n) })
	}
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// The log is slow for everyone when the leader is stopped as planned, and the newest
// append of every other host has timed out. If such a host took its time-out for an
// unreachable log, it would refuse to take over, and jobs would wait for seconds until
// a host detected that there is no leader.
func TestPlannedStopHandsOverWhileLogIsSlow(t *testing.T) {
	f := newTestRegion(t, 3, 2, 100*time.Millisecond)
	first := f.leader()
	f.waitUntil("the leader knows the others", func() bool { return len(first.helpers.alive()) == 2 })
	const answerTime = 500 * time.Millisecond // longer than a log that was fast before may take without counting as unhealthy
	for _, m := range f.hosts {
		m.endpoint.Slow(answerTime)
	}
	for _, m := range f.hosts {
		if m == first {
			continue
		}
		m.intake.Write([]byte{}, func(logwriter.Ack) {})
		f.waitUntil("its append times out", func() bool { return !m.intake.Healthy() })
	}
	first.stop()
	<-first.done
	if n := len(f.store.Records("claims")); n < 2 {
		t.Errorf("%d claims after the leader stopped, want at least 2: no host took over", n)
	}
}

// One partition of the log is down while others work. A leader that used only one
// partition could start no tasks, any new leader would have the same problem, and
// submissions would wait too. Both must continue in the next partition, and a later
// leader must read the entries in the order they were written.
func TestAppendsContinueWithPartitionDown(t *testing.T) {
	f := newTestRegion(t, 2, 1, 50*time.Millisecond)
	m := f.leader()
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("submission not accepted")
	}
	f.waitUntil("the job is completed", func() bool { return f.completed(m, 1) })
	f.store.Break("entries", 0, true)
	f.store.Break("intake", 0, true)
	if status, _ := f.call(m, http.MethodPost, jobPath(2), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("submission not accepted with a partition down")
	}
	f.waitUntil("the job is completed with a partition down", func() bool { return f.completed(m, 2) })
	f.store.Break("entries", 0, false)
	f.store.Break("intake", 0, false)
	first := f.leader()
	for _, other := range f.hosts {
		if other != first {
			_, fence := other.election.newestClaim()
			other.election.claimLeadership(other.runCtx, fence)
		}
	}
	f.waitUntil("the other host leads", func() bool { l := f.leader(); return l != nil && l != first })
	f.waitUntil("both jobs are known", func() bool { return f.completed(m, 1) && f.completed(m, 2) })
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// A larger host joins a region that a smaller one leads. The leadership must move to it,
// because the leader's CPU determines how soon tasks start.
func TestLeadershipMovesToLargerHost(t *testing.T) {
	f := newTestRegion(t, 1, 1, 50*time.Millisecond)
	large := f.addWith("strong", "limits.cpuShare=4\n")
	f.waitUntil("the large host leads", func() bool { return f.leader() == large })
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("submission not accepted")
	}
	f.waitUntil("the job is completed", func() bool { return f.completed(large, 1) })
}
