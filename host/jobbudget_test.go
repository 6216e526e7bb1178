package host

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/hostrpc"
	"github.com/fireflyfold/fireflyfold/record"
	"github.com/fireflyfold/fireflyfold/region"
)

func newTestBudget(allowance int64) *jobBudget {
	return &jobBudget{allowance: allowance, denied: math.MaxInt64}
}

func (b *jobBudget) mustCharge(t *testing.T, bytes int64) *jobCharge {
	t.Helper()
	c, _ := b.charge(bytes)
	if c == nil {
		t.Fatalf("no charge of %d bytes with an allowance of %d of which %d are charged", bytes, b.allowance, b.charged)
	}
	return c
}

func (b *jobBudget) mustNotCharge(t *testing.T, bytes int64) {
	t.Helper()
	if c, _ := b.charge(bytes); c != nil {
		t.Fatalf("%d bytes are charged with an allowance of %d of which %d are charged", bytes, b.allowance, b.charged)
	}
}

// Guards against an allowance that one large job takes away from all small ones.
func TestJobTakesAPartOfTheAllowance(t *testing.T) {
	b := newTestBudget(1000)
	b.mustNotCharge(t, 501)
	b.mustCharge(t, 500)
	b.mustNotCharge(t, 251)
	b.mustCharge(t, 250)
	b.mustCharge(t, 1)
}

// Guards against jobs for which two allowances are used: the leader had not counted them when it gave
// the second one.
func TestAllowanceIncludesJobsThatAreNotCounted(t *testing.T) {
	b := newTestBudget(1000)
	b.mustCharge(t, 300).settle(appended)
	b.renew(&hostrpc.JobAllowance{Bytes: 1000, ReadAgeMs: time.Hour.Milliseconds()}, boottime.Now())
	if b.charged != 300 {
		t.Errorf("%d bytes are charged after a read that is older than the job, want 300", b.charged)
	}
	b.mustCharge(t, 200) // not acked yet
	b.renew(&hostrpc.JobAllowance{Bytes: 1000}, boottime.Now()+time.Second)
	if b.charged != 200 {
		t.Errorf("%d bytes are charged after a read that is newer than one of two jobs, want 200", b.charged)
	}
}

// Guards against jobs that are charged although they are certainly not in the log.
func TestChargeOfAJobThatIsNotAppendedIsDropped(t *testing.T) {
	for outcome, want := range map[appendOutcome]int64{appended: 100, appendUnknown: 100, notAppended: 0, appendRejected: 0} {
		b := newTestBudget(1000)
		b.mustCharge(t, 100).settle(outcome)
		if b.charged != want {
			t.Errorf("outcome %d: %d bytes are charged, want %d", outcome, b.charged, want)
		}
	}
}

// Guards against a call to the leader for each job that it has no memory for.
func TestDeniedReservationIsNotRepeated(t *testing.T) {
	b := newTestBudget(1000)
	b.deny(800)
	for bytes, want := range map[int64]bool{900: true, 800: true, 700: false} {
		if _, denied := b.charge(bytes); denied != want {
			t.Errorf("%d bytes: denied %v after a denial of 800, want %v", bytes, denied, want)
		}
	}
	b.renew(&hostrpc.JobAllowance{Bytes: 1000}, boottime.Now())
	if _, denied := b.charge(900); denied {
		t.Error("a denial outlasts the next answer of the leader")
	}
}

// Guards against refusals in a rolling update whose leader is of a version without allowances.
func TestLeaderWithoutAllowancesSetsNoBound(t *testing.T) {
	b := newTestBudget(1000)
	b.renew(nil, boottime.Now())
	b.mustCharge(t, 1<<40)
	b.renew(&hostrpc.JobAllowance{Bytes: 1000}, boottime.Now())
	b.mustNotCharge(t, 1)
}

func jobOfTasks(n int) string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000000}]}`, n)
}

// smallMemory has room for a few jobs of thousands of tasks.
const smallMemory = "limits.memoryMb=16\n"

// Guards against jobs that hosts other than the leader accept beyond its memory, and against a successor
// that does not count the jobs in the log.
func TestHostsAcceptJobsWithinTheMemoryOfTheLeader(t *testing.T) {
	f := newTestRegion(t, 0, 1, 50*time.Millisecond)
	for i := range 3 {
		f.addWith(fmt.Sprint("h", i), smallMemory)
	}
	f.waitUntil("a host leads", func() bool { return f.leader() != nil })
	const tasks = 4000
	accepted := f.fillWithJobs(tasks)
	old := f.leader()
	old.stop()
	<-old.done
	f.hosts = slices.DeleteFunc(f.hosts, func(m *testHost) bool { return m == old })
	f.waitUntil("another host leads", func() bool { return f.leader() != nil })
	accepted += f.fillWithJobs(tasks)
	if bytes := int64(accepted) * region.JobMemory(&record.Job{Steps: []*record.Step{{Count: tasks}}}); accepted == 0 || bytes > old.jobMemory() {
		t.Errorf("%d jobs of %d tasks are accepted, which take up %d bytes of %d", accepted, tasks, bytes, old.jobMemory())
	}
	m := f.hosts[0]
	f.waitUntil("a small job is accepted", func() bool {
		status, _ := f.call(m, http.MethodPost, jobPath(1), "k1", twoTasks)
		return status == http.StatusOK
	})
}

// fillWithJobs submits jobs of as many tasks to all hosts until each refuses one, and returns how many
// are accepted.
func (f *testRegion) fillWithJobs(tasks int) (accepted int) {
	for _, m := range f.hosts {
		f.waitUntil("the configuration is read", func() bool { return m.config.Config() != nil })
	}
	f.waitUntil("all hosts refuse a job", func() bool {
		refused := 0
		for _, m := range f.hosts {
			f.jobs++
			switch status, _ := f.call(m, http.MethodPost, jobPath(1000+f.jobs), "k1", jobOfTasks(tasks)); status {
			case http.StatusOK:
				accepted++
			case http.StatusServiceUnavailable:
				refused++
			}
		}
		return refused == len(f.hosts)
	})
	return accepted
}

// Guards against hosts that refuse all jobs while there is no leader to ask.
func TestJobsAreAcceptedWithoutALeader(t *testing.T) {
	h := &Host{election: &election{}}
	h.settings.MemoryMB = 256
	b := newJobBudget(h)
	for range 100 {
		if _, err := b.take(t.Context(), "a", 2000); err != nil {
			t.Fatal(err)
		}
	}
	var noMemory *JobMemoryError
	if _, err := b.take(t.Context(), "a", 1<<30); !errors.As(err, &noMemory) || !errors.Is(err, errNoLeader) {
		t.Errorf("a job beyond the first allowance: %v", err)
	}
}
