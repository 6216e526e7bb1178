package host

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/telemetry"
	"github.com/fireflyfold/fireflyfold/testport"
)

// testRegion is a region of a few hosts in one process, on a fake platform.
type testRegion struct {
	t       testing.TB
	store   *fakeplatform.Store
	workers []*fakeplatform.Worker
	hosts   []*testHost
	jobs    int // submitted by fillWithJobs
}

// testHost is one host with its own access to the log.
type testHost struct {
	*Host
	endpoint *fakeplatform.Endpoint
	stop     context.CancelFunc
	done     chan struct{}
}

const testConfig = `{"version":%d,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/p/","service":"svc","priority":1,
"maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],"services":[{"name":"svc"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ws","weight":1000,"apiKeys":[%s]},{"name":"other","weight":1,"apiKeys":["o1"]}]}`

func newTestRegion(t testing.TB, hosts, workers int, taskDuration time.Duration) *testRegion {
	f := &testRegion{t: t, store: fakeplatform.NewStore()}
	f.configure(1, "k1", "k2")
	for i := range workers {
		w := fakeplatform.NewWorker(f.store, fmt.Sprintf("i-%d", i), taskDuration)
		f.workers = append(f.workers, w)
		t.Cleanup(w.Close)
	}
	for i := range hosts {
		f.add(fmt.Sprintf("h%d", i))
	}
	if hosts > 0 {
		f.waitUntil("a host leads", func() bool { return f.leader() != nil })
	}
	return f
}

// configure publishes a configuration with the given version and keys of the workspace ws.
func (f *testRegion) configure(version int, keys ...string) {
	quoted := make([]string, 0, len(keys))
	for _, k := range keys {
		quoted = append(quoted, `"`+k+`"`)
	}
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, testConfig, version, strings.Join(quoted, ",")))
}

func (f *testRegion) add(name string) *testHost { return f.addWith(name, "") }

// addWith adds a host with additional lines of settings.
func (f *testRegion) addWith(name, extraSettings string) *testHost {
	f.t.Helper()
	m := &testHost{endpoint: f.store.Endpoint(), done: make(chan struct{})}
	settings := filepath.Join(f.t.TempDir(), "settings")
	text := fmt.Sprintf("node=%s\nip=127.0.0.1\nzone=z1\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nplatform.address=%s\n"+
		"bounds.holdMaxMs=3000\nbounds.strictRevocation=true\nbounds.graceS=3\n%s", name, testport.Reserve(f.t), testport.Reserve(f.t), testport.Reserve(f.t), m.endpoint.Address(), extraSettings)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	s, err := platform.LoadSettings(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	m.Host = New(s, telemetry.Discard())
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	go func() {
		defer close(m.done)
		if err := m.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.hosts = append(f.hosts, m)
	f.t.Cleanup(func() {
		m.endpoint.Refuse(false)
		m.stop()
		<-m.done
		m.endpoint.Close()
	})
	return m
}

func (f *testRegion) leader() *testHost {
	for _, m := range f.hosts {
		if l := m.election.localLeader(); l != nil && l.Loaded() && !m.stopping.Load() {
			return m
		}
	}
	return nil
}

// lastOther returns the most recently added host other than m.
func (f *testRegion) lastOther(m *testHost) *testHost {
	var other *testHost
	for _, o := range f.hosts {
		if o != m {
			other = o
		}
	}
	return other
}

// waitUntil waits until cond holds, and fails the test after 30 s.
func (f *testRegion) waitUntil(what string, cond func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// call sends a request to a host as a caller does. It returns the status and body; 0 and
// "" if there was no complete response.
func (f *testRegion) call(m *testHost, method, path, key, body string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+m.settings.Front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "jobs.example"
	req.Header.Set("Credential", key)
	req.Header.Set("Deadline-Ms", "8000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

const twoTasks = `{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":100}]}`

func jobPath(n int) string { return fmt.Sprintf("/p/%016x", n) }

func (f *testRegion) completed(m *testHost, n int) bool {
	status, body := f.call(m, http.MethodGet, jobPath(n), "k1", "")
	return status == http.StatusOK && strings.Contains(body, platform.StateCompleted)
}

// starts returns the number of starts of each task, summed over all workers.
func (f *testRegion) starts() map[string]int {
	all := make(map[string]int)
	for _, w := range f.workers {
		for task, n := range w.Starts() {
			all[task] += n
		}
	}
	return all
}
