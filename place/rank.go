package place

import "github.com/fireflyfold/fireflyfold/resource"

// Scores are in thousandths of a worker's size.
const (
	scoreScale   = 1000
	avoidPenalty = 100 * scoreScale // exceeds any other difference in score
)

// scoreFunc scores a worker for a need; lower is better.
type scoreFunc func(s *scoring, ref Ref, w *Worker) int64

// scoring is the input of the score functions.
type scoring struct {
	need   resource.Vector
	avoid  Ref // worker on which the last attempt failed
	counts *ReplicaCounts
}

// scorePacked prefers workers with the least CPU and memory left after the task
// is placed; the larger of the two fractions counts, so both are used up
// together. Accelerators left idle are a penalty, which keeps them free for
// tasks that need them.
func scorePacked(s *scoring, ref Ref, w *Worker) int64 {
	cpu := permille(w.Free.MilliCPU-s.need.MilliCPU, w.Size.MilliCPU)
	memory := permille(w.Free.MemoryMiB-s.need.MemoryMiB, w.Size.MemoryMiB)
	idle := permille(w.Free.Accelerators-s.need.Accelerators, w.Size.Accelerators)
	score := max(cpu, memory) + idle + permille(w.Excess, w.Size.MilliCPU)
	if ref == s.avoid {
		score += avoidPenalty
	}
	return score
}

// scoreEmptiest prefers workers with the largest free fraction of the scarcer
// of CPU and memory. Idle accelerators are a penalty, as in scorePacked.
func scoreEmptiest(s *scoring, ref Ref, w *Worker) int64 {
	cpu := permille(w.Free.MilliCPU, w.Size.MilliCPU)
	memory := permille(w.Free.MemoryMiB, w.Size.MemoryMiB)
	idle := permille(w.Free.Accelerators-s.need.Accelerators, w.Size.Accelerators)
	score := idle - min(cpu, memory) + permille(w.Excess, w.Size.MilliCPU)
	if ref == s.avoid {
		score += avoidPenalty
	}
	return score
}

// scoreSpread prefers workers with fewer replicas of the same service, then
// those with more free CPU and memory.
func scoreSpread(s *scoring, ref Ref, w *Worker) int64 {
	cpu := permille(w.Free.MilliCPU, w.Size.MilliCPU)
	memory := permille(w.Free.MemoryMiB, w.Size.MemoryMiB)
	score := int64(s.counts.On(ref))*scoreScale - min(cpu, memory) + permille(w.Excess, w.Size.MilliCPU)
	if ref == s.avoid {
		score += avoidPenalty
	}
	return score
}

// scoreEqual gives all workers the same score, which selects the first one.
func scoreEqual(*scoring, Ref, *Worker) int64 { return 0 }

// permille returns amount/of in thousandths, or 0 if of is not positive.
func permille(amount, of int64) int64 {
	if of <= 0 {
		return 0
	}
	return amount * scoreScale / of
}
