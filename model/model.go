// Package model defines the types that the packages of an entry host share:
// the operators' configuration, the workers, and the requests and responses of
// calls to a worker. It holds no scheduling logic and does no I/O.
package model

import (
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// MilliPerCore is the number of milli-CPU of one core.
const MilliPerCore = 1000

// Resources is an amount of each resource, in exact integers.
type Resources struct {
	MilliCPU     int64
	MemoryMiB    int64
	Accelerators int64
}

// ResourcesOf converts resources from their record form.
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

// DividedBy returns r / n, rounded down.
func (r Resources) DividedBy(n int64) Resources {
	return Resources{r.MilliCPU / n, r.MemoryMiB / n, r.Accelerators / n}
}

// Fits reports whether no component of r exceeds that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMiB <= capacity.MemoryMiB && r.Accelerators <= capacity.Accelerators
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    int64
	Queues     []Queue
	Services   map[string]Service
	Workspaces map[string]Workspace
	KeyOwner   map[string]string // from API key to workspace name
	Limits     Limits
}

// Queue accepts the jobs submitted under a host name and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Public     bool // accepts requests without an API key
	Policy     *record.Policy
}

// Service is a pool of workers.
type Service struct {
	Name             string
	EnforcesCapacity bool // its workers refuse a run that exceeds their capacity
	Spare            bool // its machines are switched off until needed
}

// Workspace is a customer with a fair-share weight and an upper limit.
type Workspace struct {
	Name   string
	Weight int64
	Cap    Resources // limit over all workers; a zero component is unlimited
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Queue returns the queue of a request: among the queues with that host name
// (case-insensitive), the one with the longest path prefix that matches. It
// reports false if none matches.
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

// WorkerEntry is the entry that a worker publishes in the host list.
type WorkerEntry struct {
	ID       string
	Service  string
	Address  string // IP:port
	Zone     string
	Draining bool
	// Remaining is the least time for which a draining worker serves on, from when its clock shows ClockMs;
	// 0 if it is not known.
	Remaining time.Duration
	ClockMs   int64 // the worker's clock when it wrote the entry, in milliseconds; 0 if it is not known
	Capacity  Resources
	Labels    []string
	BornUnix  int64 // start time in milliseconds; identifies the worker's incarnation
}

// rackPrefix and a hyphen mark a rack label; every other label is a kind of worker.
const rackPrefix = "r"

// Rack returns the worker's first rack label, or "" if it has none.
func (w *WorkerEntry) Rack() string {
	for _, l := range w.Labels {
		if strings.HasPrefix(l, rackPrefix) && strings.ContainsRune(l, '-') {
			return l
		}
	}
	return ""
}

// HasLabel reports whether the worker has the label.
func (w *WorkerEntry) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// TaskID identifies a task; it is comparable.
type TaskID struct {
	Job        string
	Occurrence int32
	Step       int32
	Index      int32
}

// TaskIDOf converts a task ID from its record form.
func TaskIDOf(t *record.Task) TaskID {
	return TaskID{t.GetJob(), t.GetOccurrence(), t.GetStep(), t.GetIndex()}
}

// Record converts the task ID to its record form.
func (t TaskID) Record() *record.Task {
	return &record.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// RunID identifies one run of a task.
type RunID struct {
	Task TaskID
	Run  int32
}

// StartRequest is the request to start a run on a worker.
type StartRequest struct {
	RunID
	Worker     WorkerRef
	Spec       string
	Checkpoint string
	Ticket     string
	UntilMs    int64 // end of the lease on the worker's clock, in milliseconds
	Fence      int64
}

// StopRequest is the request to stop a run on a worker.
type StopRequest struct {
	RunID
	Worker WorkerRef
	Fence  int64
}

// ProbeRequest renews the leases of all runs of a worker, acks the ends up to AckedUpTo,
// and asks for the remaining runs and ends.
type ProbeRequest struct {
	Worker    WorkerRef
	UntilMs   int64 // new end of the leases on the worker's clock, in milliseconds; 0 renews none
	AckedUpTo int64
	Wait      time.Duration // how long the worker may delay its answer until a run ends
	Fence     int64
}

// WorkerRef identifies one incarnation of a worker.
type WorkerRef struct {
	ID       string
	Address  string
	BornUnix int64
}

// Running is a run that a worker reports as running.
type Running struct {
	RunID
	Checkpoint string
	Percent    int
	// Load is the tail latency in milliseconds of a serving task, and the milli-CPU
	// in use of any other task.
	Load int64
}

// End is a run that a worker reports as ended.
type End struct {
	Number int64 // position in the worker's list of ends
	RunID
	Outcome      record.Outcome
	GangTimedOut bool // a gang member that timed out waiting for the other members
	Checkpoint   string
}

// ProbeResponse is a worker's response to a ProbeRequest.
type ProbeResponse struct {
	ClockMs  int64
	BornUnix int64
	Running  []Running
	Ended    []End
}

// Ticket permits the tasks of a step to start on one worker until it expires.
type Ticket struct {
	Worker string
	Ticket string
}
