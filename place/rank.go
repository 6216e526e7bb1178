package place

import "github.com/fireflyfold/fireflyfold/resource"

// Ranks are in thousandths of a worker; lower is better.
const (
	whole        = 1000
	avoidPenalty = 100 * whole // more than any other difference
)

// rank scores a worker for a need; lower is better.
type rank func(r *ranking, ref Ref, w *Worker) int64

// ranking is what ranks may look at.
type ranking struct {
	need  resource.Vector
	avoid Ref // the worker on which the last attempt failed
	count *Spread
}

// packed prefers workers that the task fills best, and those whose processors
// and memory run out together. Accelerators that are left idle count against a
// worker, so that other work leaves them for the work that needs them.
func packed(r *ranking, ref Ref, w *Worker) int64 {
	cpu := part(w.Free.MilliCPU-r.need.MilliCPU, w.Size.MilliCPU)
	memory := part(w.Free.MemoryMiB-r.need.MemoryMiB, w.Size.MemoryMiB)
	idle := part(w.Free.Accelerators-r.need.Accelerators, w.Size.Accelerators)
	score := max(cpu, memory) + idle + part(w.Excess, w.Size.MilliCPU)
	if ref == r.avoid {
		score += avoidPenalty
	}
	return score
}

// emptiest prefers workers with the most room in the resource that is scarcer
// there. Idle accelerators count against a worker as they do in packed.
func emptiest(r *ranking, ref Ref, w *Worker) int64 {
	cpu := part(w.Free.MilliCPU, w.Size.MilliCPU)
	memory := part(w.Free.MemoryMiB, w.Size.MemoryMiB)
	idle := part(w.Free.Accelerators-r.need.Accelerators, w.Size.Accelerators)
	score := idle - min(cpu, memory) + part(w.Excess, w.Size.MilliCPU)
	if ref == r.avoid {
		score += avoidPenalty
	}
	return score
}

// spread prefers workers with fewer replicas of the same service, then those
// with more room.
func spread(r *ranking, ref Ref, w *Worker) int64 {
	cpu := part(w.Free.MilliCPU, w.Size.MilliCPU)
	memory := part(w.Free.MemoryMiB, w.Size.MemoryMiB)
	score := int64(r.count.On(ref))*whole - min(cpu, memory) + part(w.Excess, w.Size.MilliCPU)
	if ref == r.avoid {
		score += avoidPenalty
	}
	return score
}

// first takes workers as they come.
func first(*ranking, Ref, *Worker) int64 { return 0 }

func part(amount, of int64) int64 {
	if of <= 0 {
		return 0
	}
	return amount * whole / of
}
