//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	holdMaxMs  = 10000
	startupMs  = 300 // until a task that lasts is at work
	lapseCheck = 10 * time.Millisecond
)

// machine is a stand-in of one worker machine. Its lives follow one another at one address; each is
// a worker with an id of its own.
type machine struct {
	index   int
	store   *store
	rec     *recorder
	address string
	kind    string // of its present life
	lives   int

	mu   sync.Mutex
	life *life // nil while it is down
}

// life is one life of a machine, a worker. It speaks what PROTOCOL.md says under "Running tasks".
type life struct {
	machine  *machine
	id       string
	kind     string
	born     int64
	began    time.Time
	server   *http.Server
	listener net.Listener
	over     chan struct{}

	mu         sync.Mutex
	ended      bool // no more calls are answered
	dark       bool // it is lost without a sound: calls hang
	seq        int
	state      string
	fence      int64
	leaseUntil int64
	running    map[runKey]*running
	highest    map[string]int // by task: the highest run that was stopped or has ended here
	ends       []end
	lastEnd    int
	wake       chan struct{}
}

type runKey struct {
	task string
	run  int
}

type running struct {
	since time.Time
	does  behaviour
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

// behaviour is what the spec of a job says of its tasks.
type behaviour struct {
	Ms   int    `json:"ms"`   // run time; 0 for a task that lasts
	Fail bool   `json:"fail"` // it ends as failed
	Name string `json:"name"`
}

func newMachine(index int, kind string, s *store, rec *recorder) (*machine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machine{index: index, kind: kind, store: s, rec: rec, address: l.Addr().String()}
	m.begin(l)
	return m, nil
}

// begin begins the next life.
func (m *machine) begin(l net.Listener) {
	m.lives++
	now := time.Now()
	w := &life{
		machine: m, id: fmt.Sprintf("i-%02d%02d", m.index, m.lives), kind: m.kind, born: now.UnixMilli(), began: now, listener: l, over: make(chan struct{}), state: "ready",
		running: make(map[runKey]*running), highest: make(map[string]int), wake: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w}
	m.mu.Lock()
	m.life = w
	m.mu.Unlock()
	m.rec.line("worker %s begins, machine %d, kind %s", w.id, m.index, m.kind)
	go func() { _ = w.server.Serve(l) }() // ends with its life
	go w.beat()
	go w.watchLease()
}

// worker returns the present life, or nil while the machine is down.
func (m *machine) worker() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life
}

// crash ends the present life: its connections are reset, what it runs is lost, and it sends nothing
// more. The platform removes its entry after three heartbeat intervals of silence.
func (m *machine) crash() {
	m.mu.Lock()
	w := m.life
	m.life = nil
	m.mu.Unlock()
	if w == nil {
		return
	}
	w.mu.Lock()
	w.ended = true
	m.rec.line("worker %s crashes", w.id)
	for k := range w.running {
		m.rec.line("worker %s loses %s run %d", w.id, k.task, k.run)
	}
	w.running = make(map[runKey]*running)
	close(w.over)
	w.mu.Unlock()
	_ = w.server.Close()
	time.AfterFunc(3*heartbeat, func() { m.store.put("keyed.servers", w.id, nil) })
}

// restart begins a new life at the same address. It may be of another kind.
func (m *machine) restart(kind string) error {
	m.kind = kind
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", m.address)
		if err == nil {
			m.begin(l)
			return nil
		}
		if try == 20 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *life) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

// beat writes the worker's entry every heartbeat.
func (w *life) beat() {
	for {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		w.writeEntry()
		w.mu.Unlock()
		select {
		case <-w.over:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *life) writeEntry() {
	w.seq++
	entry := map[string]any{
		"service": "svc", "address": w.machine.address, "zone": "z1", "version": "v1", "slots": 8, "state": w.state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": machineCPU, "memMb": 65536, "gpu": 0}, "labels": []string{w.kind, fmt.Sprintf("r1-%d", w.machine.index/2+1)},
		"clockMs": w.clock(), "seq": w.seq, "born": w.born,
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err) // plain values always encode
	}
	w.machine.store.put("keyed.servers", w.id, text)
}

// machineCPU is the room of a machine in thousandths of a core.
const machineCPU = 16000

// watchLease ends everything that runs when the lease is over.
func (w *life) watchLease() {
	for {
		select {
		case <-w.over:
			return
		case <-time.After(lapseCheck):
		}
		w.mu.Lock()
		if !w.ended && w.clock() > w.leaseUntil {
			for k := range w.running {
				w.endRun(k, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// endRun lists an end. The caller holds the lock.
func (w *life) endRun(k runKey, how string) {
	delete(w.running, k)
	w.highest[k.task] = max(w.highest[k.task], k.run)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, k.task, k.run, how})
	w.machine.rec.line("worker %s ends %s run %d: %s", w.id, k.task, k.run, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// order is the body of a call to a worker.
type order struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMs   int64  `json:"untilMs"`
	Fence     int64  `json:"fence"`
	AckedUpto int    `json:"ackedUpto"`
	WaitMs    int    `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortIfOver()
	if o.Fence < w.fence {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/fireflyfold/run-start":
		w.start(rw, o)
	case "/fireflyfold/run-stop":
		w.stop(rw, o)
	case "/fireflyfold/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// goDark ends the present life for good, without a sound: its connections stay open, calls hang, and it
// sends nothing more.
func (m *machine) goDark() {
	m.mu.Lock()
	w := m.life
	m.life = nil
	m.mu.Unlock()
	w.mu.Lock()
	w.ended, w.dark = true, true
	m.rec.line("worker %s is lost for good, without a sound", w.id)
	w.running = make(map[runKey]*running)
	close(w.over)
	w.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { m.store.put("keyed.servers", w.id, nil) })
}

// abortIfOver ends a call without an answer once the life is over. The caller holds the lock.
func (w *life) abortIfOver() {
	if w.dark {
		w.mu.Unlock()
		select {} // until the caller gives up, and the process ends
	}
	if w.ended {
		panic(http.ErrAbortHandler)
	}
}

func (w *life) reply(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clockMs"], fields["born"] = w.clock(), w.born
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(fields) // fails only if the caller has gone
}

func (w *life) extend(untilMs int64) {
	w.leaseUntil = max(w.leaseUntil, min(untilMs, w.clock()+holdMaxMs))
}

func (w *life) start(rw http.ResponseWriter, o order) {
	if o.UntilMs < w.clock() {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.UntilMs)
	k := runKey{o.Task, o.Run}
	switch {
	case w.running[k] != nil:
	case o.Run <= w.highest[o.Task]:
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	default:
		var does behaviour
		if err := json.Unmarshal([]byte(o.Spec), &does); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.running[k] = &running{since: time.Now(), does: does}
		w.machine.rec.line("worker %s starts %s run %d (%s), fence %d", w.id, o.Task, o.Run, does.Name, o.Fence)
		if does.Ms > 0 {
			time.AfterFunc(time.Duration(does.Ms)*time.Millisecond, func() { w.finish(k, does.Fail) })
		}
	}
	w.reply(rw, http.StatusOK, map[string]any{})
}

func (w *life) finish(k runKey, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.running[k] == nil || w.clock() > w.leaseUntil {
		return
	}
	how := "done"
	if failed {
		how = "failed"
	}
	w.endRun(k, how)
}

func (w *life) stop(rw http.ResponseWriter, o order) {
	k := runKey{o.Task, o.Run}
	if w.running[k] != nil {
		w.endRun(k, "stopped")
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.reply(rw, http.StatusOK, map[string]any{})
}

// hold renews the lease, takes acknowledgements and lists what runs and has ended. It waits for an end
// if there is none. The caller holds the lock.
func (w *life) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.AckedUpto {
		w.ends = w.ends[1:]
	}
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-deadline:
			waiting = false
		case <-w.over:
		case <-r.Context().Done():
		}
		w.mu.Lock()
		w.abortIfOver()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	runs, ends := [][]any{}, [][]any{}
	for k, run := range w.running {
		runs = append(runs, []any{k.task, k.run, "", run.percent(), 1000})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	w.reply(rw, http.StatusOK, map[string]any{"running": runs, "ended": ends})
}

// percent returns the progress of a run. A task that lasts is at work after a short startup.
func (r *running) percent() int {
	took := int(time.Since(r.since).Milliseconds())
	if r.does.Ms == 0 {
		return min(100*took/startupMs, 100)
	}
	return min(100*took/r.does.Ms, 99)
}

// runs returns what of a job runs on the worker, and since when.
func (w *life) runs(job string) (since time.Time, found bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, run := range w.running {
		if len(k.task) > len(job) && k.task[:len(job)] == job {
			return run.since, true
		}
	}
	return time.Time{}, false
}
