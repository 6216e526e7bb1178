package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heapOf returns the bytes of heap that stay in use for what build returns.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory is the heap of the engine of a zone's scheduler. Sizes differ
// in one thing at a time, so that each difference is a slope.
func BenchmarkMemory(b *testing.B) {
	few, noTasks, fewHosts, fewTeams := letter, letter, letter, letter
	few.workers = 100
	noTasks.tasks = 0
	noTasks.startsPerSec = 0
	fewHosts.zones = 4
	fewTeams.teams = 6
	for _, c := range []struct {
		size
		waiting int
	}{{letter, 0}, {letter, 10_000}, {few, 0}, {noTasks, 0}, {fewHosts, 0}, {fewTeams, 0}, {today, 0}} {
		b.Run(fmt.Sprintf("%v/waiting=%d", c.size, c.waiting), func(b *testing.B) {
			for b.Loop() {
				heap := heapOf(func() any {
					z := newZone(b, c.size)
					z.queue(c.waiting)
					z.strip()
					return z.eng
				})
				b.ReportMetric(heap/(1<<20), "MiB")
			}
		})
	}
}

// queue submits jobs that do not fit beside what runs.
func (z *zone) queue(n int) {
	const atOnce = 500
	for ; n > 0; n -= atOnce {
		for range min(n, atOnce) {
			spec := z.spec(1, 0)
			spec.Need.MilliCPU = workerSize.MilliCPU
			z.submit(spec)
		}
		z.run(time.Second)
	}
}

// strip drops everything but the engine.
func (z *zone) strip() { *z = zone{eng: z.eng} }
