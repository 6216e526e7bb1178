package place

import "github.com/fireflyfold/fireflyfold/resource"

// Reason is why a worker failed the feasibility check.
type Reason int

// The reasons. Those for bars come first, in the order of the bars:
// rejectReason uses a Reason as the bit number of its bar.
const (
	Cordoned Reason = iota
	Leaving
	Quarantined
	Probing
	Backoff
	Held
	TooSmall // its size is below the need
	NoCPU
	NoMemory
	NoAccelerator
	numReasons
)

var reasonNames = [numReasons]string{
	Cordoned:      "lease not held or cordoned",
	Leaving:       "leaving",
	Quarantined:   "quarantined after failures",
	Probing:       "trial task after a quarantine",
	Backoff:       "refused a start moments ago",
	Held:          "held for another job",
	TooSmall:      "smaller than the need",
	NoCPU:         "not enough free processors",
	NoMemory:      "not enough free memory",
	NoAccelerator: "not enough free accelerators",
}

// String returns the reason as it is reported to operators.
func (r Reason) String() string { return reasonNames[r] }

// Rejections counts the rejected workers by Reason.
type Rejections [numReasons]int32

// feasible yields the workers of its source that can run a task with the need
// now, and counts the others.
type feasible struct {
	cell     *Cell
	from     source
	need     resource.Vector
	ignore   Bars // bars that do not make a worker infeasible
	rejected Rejections
}

func (f *feasible) next() Ref {
	for {
		ref := f.from.next()
		if ref == None {
			return None
		}
		w := &f.cell.workers[ref]
		if w.Bars&^f.ignore == 0 && f.need.Fits(w.Free) {
			return ref
		}
		f.rejected[rejectReason(w, &f.need, f.ignore)]++
	}
}

// rejectReason returns the first reason why the need cannot be placed on the
// worker.
func rejectReason(w *Worker, need *resource.Vector, ignore Bars) Reason {
	if bars := w.Bars &^ ignore; bars != 0 {
		for reason := Cordoned; ; reason++ {
			if bars&(1<<reason) != 0 {
				return reason
			}
		}
	}
	switch {
	case !need.Fits(w.Size):
		return TooSmall
	case need.Accelerators > w.Free.Accelerators:
		return NoAccelerator
	case need.MilliCPU > w.Free.MilliCPU:
		return NoCPU
	default:
		return NoMemory
	}
}
