// Package ports is the one place where the system meets what it does not
// own: the append-only log, the host list and the workers. Each is a small
// interface. A platform whose calls look different costs one more
// implementation of these and no change of logic.
package ports

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/resource"
)

// Stream names one stream of the log.
type Stream string

// Offset is a position in a stream. The first record of a stream has offset 1;
// a reader that has read nothing is at offset 0. Offsets within a stream have
// no gaps, except where old records have expired.
type Offset uint64

// Record is one record of a stream as read back.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read: records in order of offset, and the offset of
// the newest record of the stream at the time of the read. First is the
// offset of the oldest record that has not expired.
type Page struct {
	Records []Record `json:"records"`
	First   Offset   `json:"first"`
	Last    Offset   `json:"last"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds the records of one group in order, all or none, and returns
	// the offset of the last. An *UncertainError means that the group may have
	// been appended all the same; every other error means that it was not.
	Append(ctx context.Context, stream Stream, group [][]byte) (Offset, error)
	// Read returns at most limit records after the given offset. It waits up
	// to wait for a first record when there is none.
	Read(ctx context.Context, stream Stream, after Offset, limit int, wait time.Duration) (Page, error)
}

// State is what the host list says of a host or worker.
type State string

// The states of the host list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// HostEntry is one entry host in the host list.
type HostEntry struct {
	Host  ident.HostID `json:"host"`
	Zone  ident.Zone   `json:"zone"`
	Addr  string       `json:"addr"` // IP and port of the peer endpoint
	State State        `json:"state"`
}

// WorkerEntry is one worker in the host list.
type WorkerEntry struct {
	Worker  ident.WorkerID    `json:"worker"`
	Zone    ident.Zone        `json:"zone"`
	Rack    string            `json:"rack"`
	Addr    string            `json:"addr"` // IP and port
	Size    resource.Vector   `json:"size"`
	Service []ident.ServiceID `json:"services,omitempty"` // upstreams that answer on it
	State   State             `json:"state"`
}

// Listing is one answer of the host list. It lags behind reality and is only
// a hint: it decides who asks for a lease, never who has it.
type Listing struct {
	Hosts   []HostEntry   `json:"hosts"`
	Workers []WorkerEntry `json:"workers"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	List(ctx context.Context) (Listing, error)
}

// LeaseClass splits a worker between two independent control leases. The slots
// class governs slots and connections and belongs to one of the zone's entry
// hosts by hash; the compute class governs processors, memory and accelerators
// and belongs to the zone's scheduler.
type LeaseClass string

// The lease classes.
const (
	ClassSlots   LeaseClass = "slots"
	ClassCompute LeaseClass = "compute"
)

// Epoch orders the control leases of one class of one worker. A worker refuses
// every call that carries an epoch other than its current one.
type Epoch uint64

// LeaseRequest asks a worker for a control lease, or renews the one held.
type LeaseRequest struct {
	Class  LeaseClass    `json:"class"`
	Holder ident.Holder  `json:"holder"`
	Epoch  Epoch         `json:"epoch,omitempty"` // zero to acquire; the held epoch to renew
	TTL    time.Duration `json:"ttl"`             // control lease
	// TaskTTL is how long tasks outlive the last renewal. When it has passed
	// the worker stops every task of the class.
	TaskTTL time.Duration `json:"task_ttl"`
	// AckedEnds lets the worker forget ended tasks that the holder has dealt with.
	AckedEnds []string `json:"acked_ends,omitempty"`
}

// TaskReport is what a worker says of one task.
type TaskReport struct {
	ID       string          `json:"id"` // ident.AttemptID or ident.TaskID, rendered
	Team     ident.TeamID    `json:"team"`
	Need     resource.Vector `json:"need"`
	Holder   ident.Holder    `json:"holder"` // who started it
	Ended    bool            `json:"ended"`
	Failed   bool            `json:"failed,omitempty"` // ended without success
	Stopped  bool            `json:"stopped,omitempty"`
	Reason   string          `json:"reason,omitempty"` // for a failure, in words
	Ran      time.Duration   `json:"ran"`              // run time so far
	Usage    resource.Vector `json:"usage"`            // measured, lagging
	Progress float64         `json:"progress,omitempty"`
}

// LeaseGrant is a worker's answer to a granted or renewed control lease.
// Tasks lists everything of the class that runs, and everything that ended and
// was not yet acknowledged.
type LeaseGrant struct {
	Epoch Epoch `json:"epoch"`
	// Boot changes whenever the worker has lost what it knew of its tasks. Under
	// another boot, what a report does not list may have run all the same.
	Boot  uint64          `json:"boot"`
	Size  resource.Vector `json:"size"`
	Tasks []TaskReport    `json:"tasks"`
}

// StartRequest starts a task under the control lease that the epoch names.
type StartRequest struct {
	Class   LeaseClass      `json:"class"`
	Epoch   Epoch           `json:"epoch"`
	Holder  ident.Holder    `json:"holder"`
	ID      string          `json:"id"`
	Team    ident.TeamID    `json:"team"`
	Need    resource.Vector `json:"need"`
	Run     time.Duration   `json:"run,omitempty"`   // the stand-in's real run time; zero runs until stopped
	Limit   time.Duration   `json:"limit,omitempty"` // stopped after this; zero for none
	Payload string          `json:"payload,omitempty"`
}

// Control says what to do with a running task.
type Control string

// The controls of a running task.
const (
	ControlStop       Control = "stop"
	ControlCheckpoint Control = "checkpoint" // saves its progress, then stops
	ControlThrottle   Control = "throttle"
	ControlUnthrottle Control = "unthrottle"
)

// ControlRequest applies a control to a task under the current control lease.
// It is idempotent; a control of an ended or unknown task does nothing.
type ControlRequest struct {
	Class   LeaseClass `json:"class"`
	Epoch   Epoch      `json:"epoch"`
	ID      string     `json:"id"`
	Control Control    `json:"control"`
}

// Call is a request to a service on a worker. It is a task of the slots class
// that lasts until its answer is whole.
type Call struct {
	Epoch         Epoch
	Holder        ident.Holder
	ID            ident.TaskID
	Team          ident.TeamID
	Service       ident.ServiceID
	Deadline      time.Duration // left; the worker stops the call after it
	Method        string
	Path          string
	Header        http.Header
	Body          []byte
	NonIdempotent bool
}

// Answer is a worker's answer to a Call. Length is the declared length of the
// body, or -1; the caller checks what it read against it before it calls the
// answer whole.
type Answer struct {
	Status int
	Header http.Header
	Length int64
	Body   io.ReadCloser
}

// Workers are the calls that a worker answers, keyed by its listed address.
//
// Errors: *RefusedError means that the worker decided against it and nothing
// ran. *NotSentError means that the call never reached the worker. Every other
// error leaves it open whether the call took effect.
type Workers interface {
	Lease(ctx context.Context, addr string, req LeaseRequest) (LeaseGrant, error)
	Release(ctx context.Context, addr string, class LeaseClass, epoch Epoch) error
	Start(ctx context.Context, addr string, req StartRequest) error
	Control(ctx context.Context, addr string, req ControlRequest) error
	Call(ctx context.Context, addr string, call Call) (Answer, error)
}
