package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/resource"
)

// End says how a task ended, in words that reports carry as the reason.
type End string

// The ends of a task.
const (
	EndDone         End = "done"
	EndFailed       End = "failed by the worker"
	EndStopped      End = "stopped"
	EndCheckpointed End = "checkpointed"
	EndLimit        End = "run limit reached"
	EndExpired      End = "lease not renewed within the task TTL"
	EndLost         End = "worker died"
	EndDeadline     End = "deadline passed"
	EndAborted      End = "caller gone"
)

// stopped reports whether the task was ended from outside.
func (e End) stopped() bool { return e != EndDone && e != EndFailed }

// RunEvent is one start or end of a task in an audit's history.
type RunEvent struct {
	At     time.Duration    `json:"at"`
	Worker ident.WorkerID   `json:"worker"`
	ID     string           `json:"id"`
	Key    string           `json:"key"` // tells two runs of one identifier on one worker apart
	Class  ports.LeaseClass `json:"class"`
	Team   ident.TeamID     `json:"team"`
	Need   resource.Vector  `json:"need"`
	Holder ident.Holder     `json:"holder"`
	Epoch  ports.Epoch      `json:"epoch"`
	Once   bool             `json:"once"`          // must not run twice
	End    End              `json:"end,omitempty"` // empty for a start
}

// Counts are the counters of an audit.
type Counts struct {
	Starts            int `json:"starts"`
	Ends              int `json:"ends"`
	Calls             int `json:"calls"`              // starts that were calls
	Repeated          int `json:"repeated"`           // idempotent calls that ran again
	Doubled           int `json:"doubled"`            // an identifier that must run once ran again
	Overlapped        int `json:"overlapped"`         // a task of a job ran in two places at once
	OverCapacity      int `json:"over_capacity"`      // starts that passed a worker's size
	RefusedCapacity   int `json:"refused_capacity"`   // starts refused for want of room
	RefusedDuplicates int `json:"refused_duplicates"` // starts refused as repeated
	Forgotten         int `json:"forgotten"`          // events dropped from the history
}

// Bounds of an audit.
const (
	maxHistory = 1 << 18 // events
	maxRuns    = 1 << 21 // identifiers with their count of runs
)

// Audit watches what really runs on all workers of a fleet. It decides
// nothing: it adds up starts and ends by itself, so that a fault in a worker's
// own checks shows as a broken promise.
type Audit struct {
	mu      sync.Mutex
	counts  Counts
	sizes   map[ident.WorkerID]resource.Vector
	used    map[ident.WorkerID]resource.Vector
	runs    map[string]int // starts by identifier
	running map[string]int // running attempts by task of a job
	units   map[ident.TeamID]int64
	peaks   map[ident.TeamID]int64
	history []RunEvent
}

// NewAudit returns an audit that has seen nothing.
func NewAudit() *Audit {
	return &Audit{
		sizes:   make(map[ident.WorkerID]resource.Vector),
		used:    make(map[ident.WorkerID]resource.Vector),
		runs:    make(map[string]int),
		running: make(map[string]int),
		units:   make(map[ident.TeamID]int64),
		peaks:   make(map[ident.TeamID]int64),
	}
}

func (a *Audit) addWorker(worker ident.WorkerID, size resource.Vector) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sizes[worker] = size
}

// JobTask strips the attempt from a rendered ident.AttemptID: "job/index".
// Other identifiers are returned as they are.
func JobTask(id string) string {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 || strings.IndexByte(id, '/') == cut {
		return id
	}
	return id[:cut]
}

func (a *Audit) start(now time.Duration, worker ident.WorkerID, t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Starts++
	if t.call {
		a.counts.Calls++
	}
	a.countRun(t)
	a.used[worker] = a.used[worker].Add(t.need)
	if !a.used[worker].Fits(a.sizes[worker]) {
		a.counts.OverCapacity++
	}
	if !t.call {
		a.running[JobTask(t.id)]++
		if a.running[JobTask(t.id)] > 1 {
			a.counts.Overlapped++
		}
	}
	a.units[t.team] += resource.LimitUnits(t.need)
	a.peaks[t.team] = max(a.peaks[t.team], a.units[t.team])
	a.record(now, worker, t, "")
}

// countRun counts how often an identifier was started.
func (a *Audit) countRun(t *task) {
	n, known := a.runs[t.id]
	if known || len(a.runs) < maxRuns {
		a.runs[t.id] = n + 1
	}
	switch {
	case n == 0:
	case t.once:
		a.counts.Doubled++
	default:
		a.counts.Repeated++
	}
}

func (a *Audit) end(now time.Duration, worker ident.WorkerID, t *task, end End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Ends++
	a.used[worker] = a.used[worker].Sub(t.need)
	a.units[t.team] -= resource.LimitUnits(t.need)
	if !t.call {
		a.running[JobTask(t.id)]--
		if a.running[JobTask(t.id)] == 0 {
			delete(a.running, JobTask(t.id))
		}
	}
	a.record(now, worker, t, end)
}

func (a *Audit) record(now time.Duration, worker ident.WorkerID, t *task, end End) {
	if len(a.history) >= maxHistory {
		a.counts.Forgotten++
		return
	}
	a.history = append(a.history, RunEvent{
		At: now, Worker: worker, ID: t.id, Key: t.key, Class: t.class, Team: t.team, Need: t.need,
		Holder: t.holder, Epoch: t.epoch, Once: t.once, End: end,
	})
}

func (a *Audit) refusedCapacity() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.RefusedCapacity++
}

func (a *Audit) refusedDuplicate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.RefusedDuplicates++
}

// Counts returns the counters.
func (a *Audit) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

// Runs returns how often an identifier was started.
func (a *Audit) Runs(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// Units returns the limit units that a team's running tasks use now, and the
// most that they ever used at once.
func (a *Audit) Units(team ident.TeamID) (now, peak int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.units[team], a.peaks[team]
}

// Used returns what runs on a worker, added up by the audit itself.
func (a *Audit) Used(worker ident.WorkerID) resource.Vector {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[worker]
}

// History returns a copy of the recorded starts and ends.
func (a *Audit) History() []RunEvent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]RunEvent(nil), a.history...)
}
