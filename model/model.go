// Package model holds the types that the parts of an entry host pass to one
// another: what operators configured, which workers there are, and what is
// said to and by a worker. It decides nothing and does no I/O.
package model

import (
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// MilliPerCore is how many thousandths a core has.
const MilliPerCore = 1000

// Resources is an amount of each resource, in exact integers.
type Resources struct {
	MilliCPU     int64
	MemoryMiB    int64
	Accelerators int64
}

// ResourcesOf converts the form that records use.
func ResourcesOf(r *record.Resources) Resources {
	return Resources{MilliCPU: r.GetMilliCpu(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators()}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Times returns r * n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMiB * n, r.Accelerators * n}
}

// Fits reports whether r is at most room in every component.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMiB <= room.MemoryMiB && r.Accelerators <= room.Accelerators
}

// Config is one version of what operators configured.
type Config struct {
	Version    int64
	Queues     []Queue
	Services   map[string]Service
	Workspaces map[string]Workspace
	KeyOwner   map[string]string // API key to the name of its workspace
	Limits     Limits
}

// Queue takes jobs under a host name and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Public     bool // no key is asked for
	Policy     *record.Policy
}

// Service names a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers refuse what does not fit
	Spare            bool // a pool of switched-off machines
}

// Workspace is a customer with a share and an upper limit.
type Workspace struct {
	Name   string
	Weight int64
	Cap    Resources // over all workers; a zero component is no limit
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Queue returns the queue of a request: the one of that host name with the
// longest prefix that the path begins with.
func (c *Config) Queue(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best, best != nil
}

// WorkerEntry is what a worker says of itself in the host list.
type WorkerEntry struct {
	ID       string
	Service  string
	Address  string // IP:port
	Zone     string
	Draining bool
	Capacity Resources
	Labels   []string
	BornUnix int64 // milliseconds; names the worker's life
}

// Labels of racks have this form; every other label is a kind of worker.
const rackPrefix = "r"

// Rack returns the worker's rack, or "" if no label looks like one.
func (w *WorkerEntry) Rack() string {
	for _, l := range w.Labels {
		if strings.HasPrefix(l, rackPrefix) && strings.ContainsRune(l, '-') {
			return l
		}
	}
	return ""
}

// HasLabel reports whether the worker carries the label.
func (w *WorkerEntry) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// TaskID names a task; it is comparable.
type TaskID struct {
	Job        string
	Occurrence int32
	Step       int32
	Index      int32
}

// TaskIDOf converts the form that records use.
func TaskIDOf(t *record.Task) TaskID {
	return TaskID{t.GetJob(), t.GetOccurrence(), t.GetStep(), t.GetIndex()}
}

// Record converts to the form that records use.
func (t TaskID) Record() *record.Task {
	return &record.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// RunID names one run of a task.
type RunID struct {
	Task TaskID
	Run  int32
}

// StartOrder asks a worker to start a run.
type StartOrder struct {
	RunID
	Worker     WorkerRef
	Spec       string
	Checkpoint string
	Ticket     string
	UntilMs    int64 // end of the lease on the worker's clock
	Fence      int64
}

// StopOrder asks a worker to stop a run.
type StopOrder struct {
	RunID
	Worker WorkerRef
	Fence  int64
}

// HoldOrder renews the leases of all that runs on a worker, forgets ends that
// are known, and looks at the rest.
type HoldOrder struct {
	Worker    WorkerRef
	UntilMs   int64 // 0 renews nothing
	AckedUpTo int64
	Wait      time.Duration // how long the worker may wait for an end
	Fence     int64
}

// WorkerRef is one life of a worker.
type WorkerRef struct {
	ID       string
	Address  string
	BornUnix int64
}

// Running is one run that a worker says is running.
type Running struct {
	RunID
	Checkpoint string
	Percent    int
	// Load is the tail latency in milliseconds of a task that serves, and the
	// thousandths of a core in use of any other.
	Load int64
}

// End is one run that a worker says has ended.
type End struct {
	Number int64 // position in the worker's list of ends
	RunID
	Outcome    record.Outcome
	Alone      bool // a gang member that waited in vain for the others
	Checkpoint string
}

// Hold is a worker's answer to a HoldOrder.
type Hold struct {
	ClockMs  int64
	BornUnix int64
	Running  []Running
	Ended    []End
}

// Ticket lets the tasks of a step start on one worker for a while.
type Ticket struct {
	Worker string
	Ticket string
}
