package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/logwriter"
)

// A job handed in at one host is done and every host tells so.
func TestJobIsDoneAndKnownEverywhere(t *testing.T) {
	f := newFleet(t, 3, 2, 50*time.Millisecond)
	if status, _ := f.call(f.hosts[1], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	for _, m := range f.hosts {
		f.until("the job is completed", func() bool { return f.completed(m, 1) })
	}
	if status, _ := f.call(f.hosts[2], http.MethodGet, jobPath(99), "k1", ""); status != http.StatusGone {
		t.Errorf("an unknown job answered %d", status)
	}
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(2), "nobody", twoTasks); status != http.StatusUnauthorized {
		t.Errorf("an unknown key answered %d", status)
	}
}

// A caller of another workspace knows a job's id. It can neither read nor cancel
// the job with its own key.
func TestJobsOfOtherWorkspaces(t *testing.T) {
	f := newFleet(t, 2, 1, 300*time.Millisecond)
	for _, m := range f.hosts {
		f.until("the configuration is there", func() bool { return m.config.Config() != nil })
	}
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("not accepted")
	}
	for _, m := range f.hosts {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			f.until("the other's key finds nothing", func() bool {
				status, _ := f.call(m, method, jobPath(1), "o1", "")
				if status == http.StatusOK {
					t.Fatalf("%s answered %d", method, status)
				}
				return status == http.StatusGone
			})
		}
	}
	f.until("the job is completed", func() bool { return f.completed(f.hosts[1], 1) })
}

// A caller's submission is written to the log, but the log's answer is lost.
// The host asks again under the same sequence number: the caller gets its
// answer, the job is in the log once, and it runs once.
func TestLostAnswerOfAppend(t *testing.T) {
	f := newFleet(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	before := len(f.store.Records("intake"))
	m.door.LoseAnswers(1)
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	f.until("the job is completed", func() bool { return f.completed(m, 1) })
	if n := len(f.store.Records("intake")) - before; n != 1 {
		t.Errorf("%d records of one submission", n)
	}
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// The log turns one host away. A key is withdrawn meanwhile. The host learns of
// it from another one; were it to trust its own configuration, a request with
// the withdrawn key would run for as long as the log refuses it.
func TestKeyWithdrawnWhileLogRefusesHost(t *testing.T) {
	f := newFleet(t, 3, 1, 50*time.Millisecond)
	var cut *member
	f.until("a host that does not lead", func() bool {
		for _, m := range f.hosts {
			if l := f.leader(); l != nil && m != l && m.config.Config() != nil && len(m.election.others(1)) > 0 {
				cut = m
				return true
			}
		}
		return false
	})
	cut.door.Refuse(true)
	// A read that was under way when the log began to refuse still tells news.
	f.until("no read of the log is under way", func() bool { return cut.config.LogAge() > 2*configWait })
	f.configure(2, "k1")
	f.until("the withdrawn key is refused", func() bool {
		status, _ := f.call(cut, http.MethodGet, jobPath(1), "k2", "")
		return status == http.StatusUnauthorized
	})
	if status, _ := f.call(cut, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Errorf("a submission with a good key answered %d at a host that the log refuses", status)
	}
}

// The log turns away every host but one key was withdrawn. A host that can
// confirm its configuration nowhere refuses all keys in the end, and says that
// nothing was run.
func TestUnconfirmedConfigurationRefusesKeys(t *testing.T) {
	f := newFleet(t, 1, 1, 50*time.Millisecond)
	m := f.hosts[0]
	f.until("the configuration is there", func() bool { return m.config.Config() != nil })
	m.door.Refuse(true)
	f.until("keys are refused", func() bool {
		status, _ := f.call(m, http.MethodGet, "/p/", "k1", "")
		return status == http.StatusServiceUnavailable && m.config.Age() > m.settings.KeyRevocation-revocationMargin
	})
}

// A leader that another host has replaced goes on sending orders. The worker
// has seen the successor's fencing token and refuses them: the job that was
// under way is taken over and runs once.
func TestStaleLeaderIsRefused(t *testing.T) {
	f := newFleet(t, 2, 1, 300*time.Millisecond)
	first := f.leader()
	f.until("the worker has seen the first leader", func() bool { return f.workers[0].Fence() > 0 })
	old := f.workers[0].Fence()
	if status, _ := f.call(first, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatalf("submission answered %d", status)
	}
	f.until("the job runs", func() bool { return len(f.starts()) == 2 })
	for _, m := range f.hosts {
		if m != first {
			_, fence := m.election.current()
			m.election.try(m.work, fence)
		}
	}
	f.until("the worker has seen the second leader", func() bool { return f.workers[0].Fence() > old })
	f.until("the first leader has stepped down", func() bool { return first.election.leading() == nil })
	f.until("the job is completed", func() bool { return f.completed(first, 1) })
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// A worker crashes and is back at once under its old id, with another life. It
// knows nothing of the tasks that it ran: they start again, and orders carry a
// higher fencing token than those to the earlier life.
func TestNewLifeUnderOldID(t *testing.T) {
	f := newFleet(t, 1, 1, 1500*time.Millisecond)
	m, w := f.hosts[0], f.workers[0]
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("not accepted")
	}
	f.until("the job runs", func() bool { return len(f.starts()) == 2 })
	old := w.Fence()
	w.Restart()
	f.until("the tasks are started again", func() bool {
		again := 0
		for _, n := range f.starts() {
			if n == 2 {
				again++
			}
		}
		return again == 2
	})
	if w.Fence() <= old {
		t.Errorf("fencing token %d in the new life, %d in the old one", w.Fence(), old)
	}
	f.until("the job is completed", func() bool { return f.completed(m, 1) })
}

// A leader is stopped as planned while jobs run and come. Another host leads
// before it is gone, no caller sees a broken answer, and nothing runs twice.
func TestPlannedStopOfLeader(t *testing.T) {
	f := newFleet(t, 3, 2, 100*time.Millisecond)
	first := f.leader()
	f.until("the leader knows the others", func() bool { return len(first.helpers.alive()) == 2 })
	other := f.otherThan(first)
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
		t.Errorf("%d claims when the leader is gone: it handed over to nobody", n)
	}
	f.until("another host leads", func() bool { l := f.leader(); return l != nil && l != first })
	for n := range 40 {
		f.until("the job is completed", func() bool { return f.completed(other, n) })
	}
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// The log is slow for everyone when the leader is stopped as planned, so that the
// last append of every other host ran out of time. A host that took its own
// lost append for a lost log would refuse to take over, and callers' work would
// wait for seconds until somebody noticed that nobody leads.
func TestPlannedStopWhileTheLogIsSlow(t *testing.T) {
	f := newFleet(t, 3, 2, 100*time.Millisecond)
	first := f.leader()
	f.until("the leader knows the others", func() bool { return len(first.helpers.alive()) == 2 })
	const answerTime = 500 * time.Millisecond // longer than a log that was quick so far may be quiet
	for _, m := range f.hosts {
		m.door.Slow(answerTime)
	}
	for _, m := range f.hosts {
		if m == first {
			continue
		}
		m.intake.Write([]byte{}, func(logwriter.Ack) {})
		f.until("its append runs out of time", func() bool { return !m.intake.Healthy() })
	}
	first.stop()
	<-first.done
	if n := len(f.store.Records("claims")); n < 2 {
		t.Errorf("%d claims when the leader is gone: it handed over to nobody", n)
	}
}

// Some partitions of the log are down while others work. A leader that stuck to
// the partition of its entries could start nothing, and each host that took over
// would be stuck alike; submissions would wait as well. Both go on in the next
// partition, and a later leader reads the entries in the order they were written.
func TestPartitionDown(t *testing.T) {
	f := newFleet(t, 2, 1, 50*time.Millisecond)
	m := f.leader()
	if status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("not accepted")
	}
	f.until("the job is completed", func() bool { return f.completed(m, 1) })
	f.store.Break("entries", 0, true)
	f.store.Break("intake", 0, true)
	if status, _ := f.call(m, http.MethodPost, jobPath(2), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("not accepted with a partition down")
	}
	f.until("the job is completed with a partition down", func() bool { return f.completed(m, 2) })
	f.store.Break("entries", 0, false)
	f.store.Break("intake", 0, false)
	first := f.leader()
	for _, other := range f.hosts {
		if other != first {
			_, fence := other.election.current()
			other.election.try(other.work, fence)
		}
	}
	f.until("the other host leads", func() bool { l := f.leader(); return l != nil && l != first })
	f.until("both jobs are known", func() bool { return f.completed(m, 1) && f.completed(m, 2) })
	for task, n := range f.starts() {
		if n != 1 {
			t.Errorf("task %s started %d times", task, n)
		}
	}
}

// Hosts have unequal processors and a weak one came first. A strong one joins:
// it leads before long, as the leader's processor decides how soon work starts.
func TestStrongestHostLeads(t *testing.T) {
	f := newFleet(t, 1, 1, 50*time.Millisecond)
	strong := f.addWith("strong", "limits.cpuShare=4\n")
	f.until("the strong host leads", func() bool { return f.leader() == strong })
	if status, _ := f.call(f.hosts[0], http.MethodPost, jobPath(1), "k1", twoTasks); status != http.StatusOK {
		t.Fatal("not accepted")
	}
	f.until("the job is completed", func() bool { return f.completed(strong, 1) })
}
