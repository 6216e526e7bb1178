package place

import (
	"math/bits"

	"github.com/fireflyfold/fireflyfold/resource"
)

// The index sorts workers into buckets by the levels of their free CPU, memory
// and accelerators. Levels grow by half octaves, so a bucket spans at most a
// factor of 1.5 in each resource.
const (
	levels      = 32 // of CPU and of memory
	layers      = 5  // of accelerators: none, 1, 2-3, 4-7, 8 or more
	levelUnit   = 64 // milli-CPU or MiB below which the level is 0
	buckets     = layers * levels * levels
	noBucket    = int32(-1)
	layerStride = levels * levels
)

// index holds the workers without bars. A row contains the buckets of one
// layer and one CPU level; rows has a bit for each bucket that is not empty.
type index struct {
	buckets [][]Ref
	rows    [layers * levels]uint32
}

func newIndex() index { return index{buckets: make([][]Ref, buckets)} }

// level returns the half octave of an amount of CPU or memory.
func level(amount int64) int {
	if amount < levelUnit {
		return 0
	}
	scaled := uint64(amount / levelUnit)
	octave := bits.Len64(scaled)
	half := 0
	if octave > 1 {
		half = int(scaled>>(octave-2)) & 1
	}
	return min(2*octave-1+half, levels-1)
}

// layer returns the layer of a number of accelerators.
func layer(accelerators int64) int {
	return min(bits.Len64(uint64(max(accelerators, 0))), layers-1)
}

func bucketOf(free *resource.Vector) int32 {
	row := layer(free.Accelerators)*levels + level(free.MilliCPU)
	return int32(row*levels + level(free.MemoryMiB))
}

func (x *index) insert(workers []Worker, ref Ref) {
	w := &workers[ref]
	w.bucket = bucketOf(&w.Free)
	w.bucketPos = int32(len(x.buckets[w.bucket]))
	x.buckets[w.bucket] = append(x.buckets[w.bucket], ref)
	x.rows[w.bucket/levels] |= 1 << (w.bucket % levels)
}

func (x *index) remove(workers []Worker, ref Ref) {
	w := &workers[ref]
	list := x.buckets[w.bucket]
	last := list[len(list)-1]
	list[w.bucketPos] = last
	workers[last].bucketPos = w.bucketPos
	x.buckets[w.bucket] = list[:len(list)-1]
	if len(list) == 1 {
		x.rows[w.bucket/levels] &^= 1 << (w.bucket % levels)
	}
	w.bucket = noBucket
}

// move moves the worker to the bucket that matches its free resources.
func (x *index) move(workers []Worker, ref Ref) {
	w := &workers[ref]
	if bucketOf(&w.Free) == w.bucket {
		return
	}
	x.remove(workers, ref)
	x.insert(workers, ref)
}
