package place

import "github.com/fireflyfold/fireflyfold/resource"

// Reason is why a worker was turned away.
type Reason int

// The reasons. Those for bars come in the order of the bars.
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

// String names the reason.
func (r Reason) String() string { return reasonNames[r] }

// Rejections counts workers by the reason they were turned away for.
type Rejections [numReasons]int32

// feasible passes on the workers that can take the need now.
type feasible struct {
	cell     *Cell
	from     source
	need     resource.Vector
	ignore   Bars // bars that do not count
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
		f.rejected[why(w, &f.need, f.ignore)]++
	}
}

// why returns the first reason against placing the need on the worker.
func why(w *Worker, need *resource.Vector, ignore Bars) Reason {
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
