package host

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/testport"
)

// adviceOfAll is an advice service that admits every worker, and notes those that calls name.
type adviceOfAll struct {
	mu    sync.Mutex
	named map[string]bool
}

func (a *adviceOfAll) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call struct {
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	good := make([][]string, 0, len(call.Workers))
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range call.Workers {
		a.named[id] = true
		good = append(good, []string{id, "ticket"})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good}) // fails only if the caller has disconnected
}

func (a *adviceOfAll) names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for id := range a.named {
		names = append(names, id)
	}
	slices.Sort(names)
	return names
}

// countDials counts the connections to an address at which no worker listens.
func countDials(t *testing.T, address string) *atomic.Int64 {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // ends the loop
	var dials atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			_ = c.Close()
		}
	}()
	return &dials
}

// oddRegion is a region of two hosts and two workers whose queue needs advice. All entries of other
// writers name an address at which connections are counted.
type oddRegion struct {
	*testRegion
	advice  *adviceOfAll
	address string
	dials   *atomic.Int64
	jobs    int
}

func newOddRegion(t *testing.T) *oddRegion {
	advice := &adviceOfAll{named: make(map[string]bool)}
	server := httptest.NewServer(advice)
	t.Cleanup(server.Close)
	address := testport.Reserve(t)
	r := &oddRegion{testRegion: newTestRegion(t, 0, 2, 20*time.Millisecond), advice: advice, address: address, dials: countDials(t, address)}
	config := strings.Replace(fmt.Sprintf(testConfig, 2, `"k1"`), `"priority":1`, `"priority":1,"advice":{"decideMs":1,"eachMs":1,"validMs":60000}`, 1)
	r.store.Put("keyed.op", "config", []byte(config))
	for _, name := range []string{"h0", "h1"} {
		r.addWith(name, "advice="+server.Listener.Addr().String()+"\nheartbeatMs=60000\n") // the workers write only when told to
	}
	r.waitUntil("a host leads", func() bool { return r.leader() != nil })
	return r
}

// runJob runs a job of two tasks to its end.
func (r *oddRegion) runJob(why string) {
	r.t.Helper()
	r.jobs++
	n := r.jobs
	r.waitUntil("the job is accepted "+why, func() bool {
		m := r.leader()
		if m == nil {
			return false
		}
		status, _ := r.call(m, http.MethodPost, jobPath(n), "k1", twoTasks)
		return status == http.StatusOK
	})
	r.waitUntil("the job is completed "+why, func() bool {
		m := r.leader()
		return m != nil && r.completed(m, n)
	})
}

// check fails the test unless the region has served as without the odd entries: each task was
// started once, only workers were named to the advice service, nothing was dialed beside them, and
// the host list is still followed.
func (r *oddRegion) check() {
	r.t.Helper()
	w := fakeplatform.NewWorker(r.store, "i-late", r.workers[0].RunTime)
	r.t.Cleanup(w.Close)
	for _, old := range r.workers {
		old.Resize(100) // too small for a task
	}
	r.workers = append(r.workers, w)
	before := len(w.Starts())
	r.waitUntil("a worker that was listed later runs tasks", func() bool {
		r.runJob("on a worker that was listed later")
		return len(w.Starts()) > before
	})
	for task, n := range r.starts() {
		if n != 1 {
			r.t.Errorf("task %s was started %d times", task, n)
		}
	}
	if n := len(r.starts()); n != 2*r.jobs {
		r.t.Errorf("%d tasks were started, want %d", n, 2*r.jobs)
	}
	for _, id := range r.advice.names() {
		if id != "i-0" && id != "i-1" && id != "i-late" {
			r.t.Errorf("the advice service was asked about %q", id)
		}
	}
	if n := r.dials.Load(); n > 0 {
		r.t.Errorf("%d connections to the address of an odd entry", n)
	}
}

// Guards against hosts that end, stop following the host list or work with workers that do not exist,
// as another writer has put an odd entry into the list: under an id of its own, or under that of a
// worker that is up, which goes on working.
func TestOddEntriesBesideWorkers(t *testing.T) {
	for _, id := range []string{"agent", "i-0"} {
		t.Run("under "+id, func(t *testing.T) {
			r := newOddRegion(t)
			r.runJob("before")
			for _, odd := range fakeplatform.OddEntries(r.address, 1) {
				key := id
				if odd.OddID {
					key = odd.ID
				}
				r.store.Put("keyed.servers", key, odd.Value)
				r.runJob("beside " + odd.Name)
			}
			r.check()
		})
	}
}

// Guards against a worker that is up and gets no work, as an odd entry took the place of its own: the
// entry names no worker, and the others hold. Its tasks have room on no other worker.
func TestOddEntryUnderIDOfOnlyWorker(t *testing.T) {
	r := newOddRegion(t)
	r.runJob("before")
	r.workers[1].Resize(100) // too small for a task
	for _, odd := range fakeplatform.OddEntries(r.address, 1_000_000) {
		if odd.OddID {
			continue
		}
		r.workers[0].Relist() // its heartbeat
		r.store.Put("keyed.servers", "i-0", odd.Value)
		r.runJob("beside " + odd.Name)
	}
	if n := len(r.workers[0].Starts()); n < 2*(r.jobs-1) {
		t.Errorf("%d tasks were started on the worker, want %d at least", n, 2*(r.jobs-1))
	}
	r.check()
}

// Guards against a leader that takes over, or is read the whole list again, and does not get past the
// odd entries in it, and against memory that grows with them.
func TestThousandsOfOddEntriesInTheList(t *testing.T) {
	r := newOddRegion(t)
	odd := fakeplatform.OddEntries(r.address, 1)
	odd = slices.DeleteFunc(odd, func(o fakeplatform.OddEntry) bool { return o.OddID || len(o.Value) > 1000 })
	const entries = 4000
	for i := range entries {
		r.store.Put("keyed.servers", fmt.Sprintf("agent-%d", i), odd[i%len(odd)].Value)
	}
	r.runJob("beside thousands of odd entries")
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	for round := range 3 { // entries that change with each read
		for i := range entries {
			r.store.Put("keyed.servers", fmt.Sprintf("agent-%d", i), odd[(i+round)%len(odd)].Value)
		}
		r.runJob("beside odd entries that change")
	}
	// The stand-in of the log keeps some 5 MB of records.
	if grown := int64(heap()) - int64(before); grown > 32<<20 {
		t.Errorf("the heap has grown by %d bytes", grown)
	}
	first := r.leader()
	first.stop()
	<-first.done
	r.waitUntil("the other host leads", func() bool { m := r.leader(); return m != nil && m != first })
	r.check()
}
