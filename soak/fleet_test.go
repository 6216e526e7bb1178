package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

const (
	// lease is the longest lease of a worker: short, so that cuts outlast it.
	lease = 3 * time.Second
	// runTime is how long a task takes.
	runTime = 150 * time.Millisecond
	// grace is how long a host has from SIGTERM to SIGKILL.
	grace = 4 * time.Second
)

const config = `{"version":%d,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/p/","service":"svc","priority":1,
"maxAttempts":3,"stretch":2,"targetLatencyMs":1000}],"services":[{"name":"svc"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"ws","weight":1000,"apiKeys":["k1"]}]}`

// fleet is a store and workers in this process, and hosts in processes of their own.
type fleet struct {
	t     *testing.T
	store *fakeplatform.Store
	audit *audit
	hosts []*host

	mu      sync.Mutex
	workers []*worker
	named   int // workers so far
	version int // of the configuration
}

// host is one entry host: its name stays, its processes come and go.
type host struct {
	name, program, settings, logs string
	front                         *proxy // callers use it
	log                           *proxy // its way to the log
	door                          *fakeplatform.Endpoint

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // of cmd
}

// worker is a worker and the hosts' way to it.
type worker struct {
	*fakeplatform.Worker
	way *proxy
}

func newFleet(t *testing.T, program string) *fleet {
	f := &fleet{t: t, store: fakeplatform.NewStore(), audit: newAudit()}
	f.configure()
	for range *workers {
		f.addWorker()
	}
	for i := range *hosts {
		f.addHost(program, fmt.Sprintf("h%d", i))
	}
	return f
}

// configure writes the next version.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, config, f.version))
}

func (f *fleet) addWorker() {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := fakeplatform.NewUnlistedWorker(f.store, fmt.Sprintf("i-%d", f.named), runTime)
	f.named++
	w.MaxLease, w.Observer = lease, f.audit.see
	way := newProxy(f.t, w.Address())
	w.List(way.address())
	f.workers = append(f.workers, &worker{w, way})
	f.t.Cleanup(w.Close)
}

// replaceWorker crashes a worker for good; another one comes.
func (f *fleet) replaceWorker(i int) {
	f.mu.Lock()
	w := f.workers[i%len(f.workers)]
	f.workers = append(f.workers[:i%len(f.workers)], f.workers[i%len(f.workers)+1:]...)
	f.mu.Unlock()
	w.Crash()
	f.addWorker()
}

// rebirth ends a worker's life and begins the next one at the same address.
func (f *fleet) rebirth(i int) { f.worker(i).Restart() }

// worker returns one of the workers there are.
func (f *fleet) worker(i int) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[i%len(f.workers)]
}

// workerOf returns the worker with that id.
func (f *fleet) workerOf(id string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[slices.IndexFunc(f.workers, func(w *worker) bool { return w.ID == id })]
}

// way returns the hosts' way to a worker.
func (f *fleet) way(i int) *proxy { return f.worker(i).way }

func (f *fleet) addHost(program, name string) {
	t := f.t
	h := &host{name: name, program: program, door: f.store.Endpoint()}
	h.log = newProxy(t, h.door.Address())
	address := func() string {
		a, err := fakeplatform.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	front := address()
	h.front = newProxy(t, front)
	h.settings = filepath.Join(t.TempDir(), "settings")
	h.logs = filepath.Join(filepath.Dir(h.settings), "log")
	text := fmt.Sprintf("node=%s\nip=127.0.0.1\nzone=z1\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nplatform.address=%s\n"+
		"bounds.holdMaxMs=%d\nbounds.strictRevocation=true\nbounds.graceS=%d\nlimits.memoryMb=256\n",
		name, front, address(), address(), h.log.address(), lease.Milliseconds(), int(grace.Seconds()))
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f.hosts = append(f.hosts, h)
	h.start(t)
	t.Cleanup(func() {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.mu.Lock()
		ended := h.ended
		h.mu.Unlock()
		<-ended
		h.door.Close()
	})
}

// start starts a process of the host, unless one runs: of two restarts at once the
// first has started it.
func (h *host) start(t *testing.T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended != nil {
		select {
		case <-h.ended:
		default:
			return
		}
	}
	out, err := os.OpenFile(h.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return
	}
	cmd := exec.Command(h.program, "host", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // most processes end by a signal of the soak's
		_ = out.Close()
		close(ended)
	}()
	h.cmd, h.ended = cmd, ended
}

// signal sends a signal to the host's process, which may have ended.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	select {
	case <-h.ended: // its id may be another process's by now
	default:
		_ = h.cmd.Process.Signal(s) // it may end in this moment
	}
}

// restart ends the host's process with a signal and starts it anew after a pause.
func (h *host) restart(t *testing.T, with syscall.Signal, pause time.Duration) {
	h.signal(with)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(pause)
	h.start(t)
}
