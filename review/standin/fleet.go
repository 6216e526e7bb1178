//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: the store and the workers in this process, and the entry hosts
// as processes of their own, started with the command of the deploy file.
type fleet struct {
	dir     string // temporary; removed by close
	record  *recorder
	store   *store
	server  *http.Server
	address string // of the store
	holdMax time.Duration
	keep    time.Duration
	hosts   []*host
	workers []*worker

	mu      sync.Mutex
	spans   map[string]span         // the newest run, by task
	failed  map[string]int          // ends "failed", by task
	active  map[string][]*activeRun // runs that are at work, by task
	doubled int                     // how often a task had two runs at a time, on workers that are up
}

// activeRun is a run at work on a worker that is up.
type activeRun struct {
	worker *worker
	number int
}

// span is when a run began and ended, and how.
type span struct {
	started, ended time.Time
	how            string
}

type options struct {
	hosts, workers int
	keep           time.Duration
	holdMax        time.Duration
	config         string
}

var zones = []string{"obb-nord", "obb-sued", "obb-ost", "obb-west"}

// smallConfig is the configuration of the operator: two queues of one service, and two tenants.
const smallConfig = `{"version":7,"routes":[
{"name":"r-batch","host":"jobs.example","pathPrefix":"/batch/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":3000,"priority":2,"service":"svc","maxAttempts":3,"stretch":4.0,"public":false},
{"name":"r-serve","host":"jobs.example","pathPrefix":"/serve/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"svc","maxAttempts":2,"stretch":2.2,"public":false}],
` + smallServices

// smallServices is the rest of a configuration, after its routes: one service and two tenants.
const smallServices = `"services":[{"name":"svc","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"spare":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team-a","apiKeys":["key-of-team-a-0000001"],"priority":1,"weight":38,"cap":{"cpu":851726,"memMb":902794,"gpu":0}},
{"name":"team-b","apiKeys":["key-of-team-b-0000001"],"priority":1,"weight":38,"cap":{"cpu":851726,"memMb":902794,"gpu":0}}]}`

func newFleet(rec *recorder, o options) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fireflyfold-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, record: rec, store: newStore(o.keep), holdMax: o.holdMax, keep: o.keep,
		spans: make(map[string]span), failed: make(map[string]int), active: make(map[string][]*activeRun),
	}
	current = f // so that closeAll ends what was started when an error follows
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = l.Addr().String()
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(l) }()
	f.store.put("keyed.op", "config", []byte(o.config))
	for i := range o.workers {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x5a1e0000+i), address: address, zone: zones[i%len(zones)], fleet: f,
			labels: []string{string(rune('a' + i%2)), fmt.Sprintf("r%d-%d", i%len(zones)+1, i/24)},
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	for i := range o.hosts {
		h, err := f.newHost(i)
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// close ends everything that the fleet has started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, w := range f.workers {
		if w.server != nil {
			_ = w.server.Close()
		}
	}
	_ = f.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// observeStart notes that a worker has begun a task.
func (f *fleet) observeStart(w *worker, task string, number int, spec string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans[task] = span{started: time.Now()}
	f.record.event("worker %s starts run %d of %s", w.id, number, task)
	for _, o := range f.active[task] {
		f.doubled++
		f.record.event("rule TWICE is broken: run %d of %s is still at work on worker %s, which is up", o.number, task, o.worker.id)
	}
	f.active[task] = append(f.active[task], &activeRun{worker: w, number: number})
}

// dropActive notes that a run is not at work any more. The caller holds the lock.
func (f *fleet) dropActive(w *worker, task string, number int) {
	f.active[task] = slices.DeleteFunc(f.active[task], func(o *activeRun) bool { return o.worker == w && o.number == number })
}

// observeCrash notes that a run has ended with its worker.
func (f *fleet) observeCrash(w *worker, task string, number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropActive(w, task, number)
	f.record.event("worker %s crashes: run %d of %s ends with it", w.id, number, task)
}

// observeEnd notes that a worker lists the end of a run.
func (f *fleet) observeEnd(w *worker, task string, number int, how string) {
	f.mu.Lock()
	f.dropActive(w, task, number)
	s := f.spans[task]
	s.ended, s.how = time.Now(), how
	f.spans[task] = s
	if how == "failed" {
		f.failed[task]++
	}
	f.mu.Unlock()
	f.record.event("worker %s lists run %d of %s as ended: %s", w.id, number, task, how)
}

// runsOn returns the worker on which a task is at work, or nil.
func (f *fleet) runsOn(task string) *worker {
	for _, w := range f.workers {
		if w.runs(task) > 0 {
			return w
		}
	}
	return nil
}

// rackOf returns the workers on the rack of a worker.
func (f *fleet) rackOf(w *worker) []*worker {
	var out []*worker
	for _, o := range f.workers {
		if o.rack() == w.rack() {
			out = append(out, o)
		}
	}
	return out
}

// host is one entry host. It keeps its name, settings and ports when its process is restarted.
type host struct {
	name, front, ready, control string
	settings, logFile           string
	fleet                       *fleet

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

const (
	// firstPort and lastPort are below the range from which the kernel takes ports of outgoing
	// connections, so that a port stays free while its process is down.
	firstPort = 15000
	lastPort  = 32000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns a loopback address with a port that is free.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

func (f *fleet) newHost(i int) (*host, error) {
	zone := zones[i%len(zones)]
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), fleet: f}
	for _, a := range []*string{&h.front, &h.ready, &h.control} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h.settings, h.logFile = filepath.Join(f.dir, h.name+".conf"), filepath.Join(f.dir, h.name+".log")
	lines := []string{
		"node=" + h.name, "role=host", "machineClass=edge", "serves=edge,control_plane", "ip=127.0.0.1", "zone=" + zone, "region=oberbayern",
		"listen.front=" + h.front, "listen.ready=" + h.ready, "listen.control=" + h.control, "seeds=" + h.control,
		"bootstrap=true", "countsAsLoss=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1500",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossWindowMs=200",
		"bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000", "bounds.strictRevocation=true",
		"bounds.revokeMs=5000", fmt.Sprintf("bounds.holdMaxMs=%d", f.holdMax.Milliseconds()), "bounds.stopMs=400", "bounds.gangMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.noticeMs=4500", "orders=request",
		"platform.address=" + f.address, "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000", "platform.parts=24",
		"platform.appendMs=1.0", "platform.partMbS=20.0", "platform.readMbS=80.0", "platform.recordBytes=262144", "platform.callBytes=2097152",
		fmt.Sprintf("platform.keep_s=%g", f.keep.Seconds()), "platform.partMb=200", "platform.ttlMinMs=1000",
	}
	return h, os.WriteFile(h.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts a process of the host with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/fireflyfold", "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FIREFLYFOLD_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	h.cmd, h.ended = cmd, ended
	return nil
}

// signal sends a signal to the host's process, unless it has ended.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	if h.ended != nil {
		<-h.ended
	}
}

// terminate sends SIGTERM and, after graceS, SIGKILL, and waits for the end.
func (h *host) terminate() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(6 * time.Second):
		h.kill()
	}
}

// isReady asks the host's readiness port, as the platform does.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.ready + "/fireflyfold/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range f.hosts {
			all = all && h.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

// leader returns the host that leads, by its own metrics of the newest claim, or nil.
func (f *fleet) leader() *host {
	f.store.mu.Lock()
	p := f.store.part("claims/0")
	var newest string
	if len(p.records) > 0 {
		newest = string(p.records[len(p.records)-1].data)
	}
	f.store.mu.Unlock()
	for _, h := range f.hosts {
		if strings.Contains(newest, h.control) {
			return h
		}
	}
	return nil
}

func dotsToSpaces(s string) string { return strings.ReplaceAll(s, ".", " ") }
