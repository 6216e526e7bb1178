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

// worker is a stand-in of a worker machine at one address. It may crash and start again; each
// life has a birth, a clock and lists of its own.
type worker struct {
	id, address, zone string
	labels            []string
	fleet             *fleet

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	life     *life // nil while the worker is down
	births   int
}

// life is one life of a worker.
type life struct {
	born      int64     // Unix milliseconds
	startedAt time.Time // the worker's clock counts from here
	seq       int64
	fence     int64
	leaseMs   int64 // end of the lease on the worker's clock
	running   map[string]*run
	highest   map[string]int // highest run that was stopped or has ended, by task
	ended     []runEnd
	lastEnd   int64
	changed   chan struct{} // closed and replaced when a run ends
	stop      chan struct{} // closed when this life ends
}

type run struct {
	number    int
	startedAt time.Time
	length    time.Duration // 0 if the task lasts
	stopping  bool
}

type runEnd struct {
	n    int64
	task string
	run  int
	how  string
}

const (
	workerCPU     = 32000
	workerMemMB   = 65536
	heartbeat     = 1500 * time.Millisecond
	entryExpiry   = 3 * heartbeat
	maxEnds       = 500
	stopTime      = 100 * time.Millisecond // at most stopMs
	maxHoldWait   = 2 * time.Second
	leaseInterval = 20 * time.Millisecond
)

// clock returns the life's clock in milliseconds.
func (l *life) clock() int64 { return time.Since(l.startedAt).Milliseconds() + 1000 }

// start begins a life.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	now := time.Now()
	w.mu.Lock()
	w.births++
	w.address = l.Addr().String()
	w.listener = l
	w.life = &life{
		born: now.UnixMilli(), startedAt: now, running: make(map[string]*run), highest: make(map[string]int),
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w.handler(w.life)}
	server, current := w.server, w.life
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go w.live(current)
	return nil
}

// live writes the worker's entry with each heartbeat and ends runs whose lease is over.
func (w *worker) live(l *life) {
	beat, lease := time.NewTicker(heartbeat), time.NewTicker(leaseInterval)
	defer beat.Stop()
	defer lease.Stop()
	w.writeEntry(l)
	for {
		select {
		case <-l.stop:
			return
		case <-beat.C:
			w.writeEntry(l)
		case <-lease.C:
			w.mu.Lock()
			w.endLapsed(l)
			w.mu.Unlock()
		}
	}
}

func (w *worker) writeEntry(l *life) {
	w.mu.Lock()
	l.seq++
	entry, err := json.Marshal(map[string]any{
		"service": "svc", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"seq": l.seq, "born": l.born, "clockMs": l.clock(), "labels": w.labels,
		"capacity": map[string]int64{"cpu": workerCPU, "memMb": workerMemMB, "gpu": 0},
	})
	w.mu.Unlock()
	if err == nil {
		w.fleet.store.put("keyed.servers", w.id, entry)
	}
}

// crash ends the present life without a word, and everything that runs with it. The entry
// expires after three heartbeats without one.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	for task, r := range l.running {
		w.fleet.observeCrash(w, task, r.number)
	}
	close(l.stop)
	births := w.births
	w.mu.Unlock()
	_ = w.server.Close()
	time.AfterFunc(entryExpiry, func() {
		w.mu.Lock()
		same := w.births == births
		w.mu.Unlock()
		if same {
			w.fleet.store.put("keyed.servers", w.id, nil)
		}
	})
}

// rack returns the label of the worker's rack.
func (w *worker) rack() string { return w.labels[len(w.labels)-1] }

// runs returns the run of a task that is at work here, or 0.
func (w *worker) runs(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return 0
	}
	if r := w.life.running[task]; r != nil {
		return r.number
	}
	return 0
}

type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Fence      int64  `json:"fence"`
	AckedUpTo  int64  `json:"ackedUpto"`
	WaitMs     int64  `json:"waitMs"`
	Checkpoint string `json:"checkpoint"`
}

// handler serves the calls to one life.
func (w *worker) handler(l *life) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c callBody
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Expected-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != l {
			panic(http.ErrAbortHandler)
		}
		if c.Fence < l.fence {
			refuse(rw, l, "fence")
			return
		}
		l.fence = c.Fence
		w.endLapsed(l)
		switch r.URL.Path {
		case "/fireflyfold/run-start":
			w.runStart(rw, l, c)
		case "/fireflyfold/run-stop":
			w.runStop(rw, l, c)
		case "/fireflyfold/hold":
			w.hold(rw, r, l, c)
		default:
			rw.WriteHeader(http.StatusNotFound)
		}
	}
}

func reply(rw http.ResponseWriter, status int, body map[string]any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func refuse(rw http.ResponseWriter, l *life, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason})
}

// renew extends the lease, to the longest lease at most. The caller holds the lock.
func (w *worker) renew(l *life, untilMs int64) {
	l.leaseMs = max(l.leaseMs, min(untilMs, l.clock()+w.fleet.holdMax.Milliseconds()))
}

// endLapsed ends all runs once the lease is over. The caller holds the lock.
func (w *worker) endLapsed(l *life) {
	if l.clock() <= l.leaseMs {
		return
	}
	for task, r := range l.running {
		w.end(l, task, r, "lapsed")
	}
}

// end lists the end of a run. The caller holds the lock.
func (w *worker) end(l *life, task string, r *run, how string) {
	if l.running[task] != r {
		return
	}
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, runEnd{n: l.lastEnd, task: task, run: r.number, how: how})
	close(l.changed)
	l.changed = make(chan struct{})
	w.fleet.observeEnd(w, task, r.number, how)
}

func (w *worker) runStart(rw http.ResponseWriter, l *life, c callBody) {
	if c.UntilMs < l.clock() {
		refuse(rw, l, "late")
		return
	}
	w.renew(l, c.UntilMs)
	if c.Run <= l.highest[c.Task] {
		refuse(rw, l, "old")
		return
	}
	if r := l.running[c.Task]; r == nil {
		r = &run{number: c.Run, startedAt: time.Now(), length: taskLength(c.Spec, c.Task)}
		l.running[c.Task] = r
		w.fleet.observeStart(w, c.Task, c.Run, c.Spec)
		if r.length > 0 {
			time.AfterFunc(r.length, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.endLapsed(l)
				if w.life == l && !r.stopping {
					w.end(l, c.Task, r, "done")
				}
			})
		}
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": l.clock()})
}

func (w *worker) runStop(rw http.ResponseWriter, l *life, c callBody) {
	if r := l.running[c.Task]; r != nil && r.number == c.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == l {
				w.end(l, c.Task, r, "stopped")
			}
		})
	} else if r == nil {
		l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": l.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, l *life, c callBody) {
	if c.UntilMs > 0 {
		w.renew(l, c.UntilMs)
	}
	for len(l.ended) > 0 && l.ended[0].n <= c.AckedUpTo {
		l.ended = l.ended[1:]
	}
	deadline := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxHoldWait))
	for waits := c.WaitMs > 0; waits && len(l.ended) == 0; {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waits = false
		case <-l.stop:
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.life != l || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range l.running {
		percent, load := 100, 1000
		if r.length > 0 {
			percent = min(99, int(100*time.Since(r.startedAt)/r.length))
		}
		running = append(running, []any{task, r.number, "", percent, load})
	}
	for _, e := range l.ended[:min(len(l.ended), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born, "running": running, "ended": ended})
}

// taskLength returns how long a task runs, as the spec says, or 0 if it lasts. The spec is a list
// of step lengths in milliseconds.
func taskLength(spec, task string) time.Duration {
	var lengths []int64
	if err := json.Unmarshal([]byte(spec), &lengths); err != nil {
		return time.Second
	}
	var job string
	var occurrence, step, index int
	if n, _ := fmt.Sscanf(dotsToSpaces(task), "%s %d %d %d", &job, &occurrence, &step, &index); n != 4 || step >= len(lengths) {
		return time.Second
	}
	return time.Duration(lengths[step]) * time.Millisecond
}
