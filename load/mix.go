package load

import (
	"fmt"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/work"
)

// Kind is a kind of operation.
type Kind string

// The kinds of operations.
const (
	KindRead     Kind = "request"  // idempotent request
	KindApproval Kind = "approval" // non-idempotent request
	KindKeyed    Kind = "keyed"    // non-idempotent request with an idempotency key
	KindBatch    Kind = "batch"    // durable job whose tasks start one by one
	KindGang     Kind = "gang"     // durable job whose tasks start together
)

// Kinds lists the kinds in the order of reports.
var Kinds = []Kind{KindRead, KindApproval, KindKeyed, KindBatch, KindGang}

// durable reports whether operations of the kind are jobs.
func (k Kind) durable() bool { return k == KindBatch || k == KindGang }

// JobShape is what the jobs of one kind look like.
type JobShape struct {
	Kind      work.Kind
	Tasks     int
	MilliCPU  int64
	MemoryMiB int64
	Run       time.Duration
}

// Mix is a mixture of operations.
type Mix struct {
	Name    string
	Service ident.ServiceID
	Weights map[Kind]int // shares of arrivals, in any unit
	Batch   JobShape
	Gang    JobShape
}

// MixNames are the names that MixByName knows.
const MixNames = "rosenau, sabzkhata, rosenau-requests or sabzkhata-requests"

// UnknownMixError reports a name that no mix has.
type UnknownMixError struct {
	Name string
}

// Error implements error.
func (e *UnknownMixError) Error() string {
	return fmt.Sprintf("unknown mix %q: want %s", e.Name, MixNames)
}

// MixByName returns a mix in the shape of a deployment. The error is an
// *UnknownMixError.
func MixByName(name string) (Mix, error) {
	switch name {
	case "rosenau":
		// Mostly checks and quotes, a quarter of them approvals, few jobs.
		return mix(name, "grants", 700, 250, 30, 18, 2), nil
	case "sabzkhata":
		// Invoices and reminders at month's end, many of them in batches.
		return mix(name, "invoicing", 500, 370, 50, 75, 5), nil
	case "rosenau-requests":
		return mix(name, "grants", 3, 1, 0, 0, 0), nil
	case "sabzkhata-requests":
		return mix(name, "invoicing", 3, 2, 0, 0, 0), nil
	}
	return Mix{}, &UnknownMixError{Name: name}
}

func mix(name string, service ident.ServiceID, read, approval, keyed, batch, gang int) Mix {
	return Mix{
		Name:    name,
		Service: service,
		Weights: map[Kind]int{KindRead: read, KindApproval: approval, KindKeyed: keyed, KindBatch: batch, KindGang: gang},
		Batch:   JobShape{Kind: work.KindBatch, Tasks: 2, MilliCPU: 1000, MemoryMiB: 1024, Run: 500 * time.Millisecond},
		Gang:    JobShape{Kind: work.KindGang, Tasks: 6, MilliCPU: 2000, MemoryMiB: 2048, Run: 500 * time.Millisecond},
	}
}

// total is the sum of the weights.
func (m Mix) total() int {
	sum := 0
	for _, kind := range Kinds {
		sum += m.Weights[kind]
	}
	return sum
}

// pick returns the kind at a position below total.
func (m Mix) pick(at int) Kind {
	for _, kind := range Kinds {
		at -= m.Weights[kind]
		if at < 0 {
			return kind
		}
	}
	return KindRead
}

// shape returns what jobs of a durable kind look like.
func (m Mix) shape(kind Kind) JobShape {
	if kind == KindGang {
		return m.Gang
	}
	return m.Batch
}
