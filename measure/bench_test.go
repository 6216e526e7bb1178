package measure

import (
	"fmt"
	"testing"
)

// BenchmarkDecision is one step in a full zone: an attempt ends, what fits in
// its place starts, and as many jobs arrive.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{12, 48, 800, 26_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkTurns(b, NewSteady(workers, 10_000, 0)) })
	}
}

// BenchmarkManyShapes is the same with every waiting job of another size,
// which is the worst case for the order of waiting.
func BenchmarkManyShapes(b *testing.B) {
	b.Run("shapes=10000", func(b *testing.B) { benchmarkTurns(b, NewSteady(800, 10_000, 10_000)) })
}

func benchmarkTurns(b *testing.B, z *Steady) {
	b.ReportAllocs()
	placed := 0
	for b.Loop() {
		_, n := z.Turn()
		placed += n
	}
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
}

// BenchmarkCancellation cancels one waiting job among many.
func BenchmarkCancellation(b *testing.B) {
	z := NewSteady(800, 50_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		z.cancelWave(1)
		z.accept()
	}
}
