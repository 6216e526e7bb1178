package place

import (
	"math/bits"

	"github.com/fireflyfold/fireflyfold/resource"
)

// source yields workers one by one, then None.
type source interface{ next() Ref }

// listSource yields the workers of a list in list order.
type listSource struct {
	refs []Ref
	at   int
}

func (s *listSource) reset(refs []Ref) { s.refs, s.at = refs, 0 }

func (s *listSource) next() Ref {
	if s.at == len(s.refs) {
		return None
	}
	ref := s.refs[s.at]
	s.at++
	return ref
}

// allSource yields all workers of the cell in order of position.
type allSource struct {
	cell *Cell
	at   Ref
}

func (s *allSource) next() Ref {
	for int(s.at) < len(s.cell.workers) {
		ref := s.at
		s.at++
		if s.cell.Known(ref) {
			return ref
		}
	}
	return None
}

// bucketSample is the maximum number of workers of one bucket that the first
// pass of a search checks. Buckets near the need contain many workers that are
// slightly too full; checking all of them would make the cost of a placement
// grow with the size of the cell.
const bucketSample = 32

// indexSource yields the workers of the index that may fit the need, those with
// the fewest free resources first, or the most if descending is set. Either
// way, workers with fewer free accelerators come first. It yields at most
// maxPerBucket workers of each bucket; sampleOffset advances with each sample
// and sets the worker at which the next one starts.
type indexSource struct {
	index        *index
	descending   bool
	maxPerBucket int
	sampleOffset int

	minCPU, minMemory int // levels of the need
	row               int // of the index
	mask              uint32
	bucket            []Ref
	at, left          int
	truncated         bool // at least one bucket was only sampled
}

func (s *indexSource) reset(need *resource.Vector, maxPerBucket int) {
	s.maxPerBucket = maxPerBucket
	s.minCPU, s.minMemory = level(need.MilliCPU), level(need.MemoryMiB)
	s.row = layer(need.Accelerators)*levels + s.minCPU
	if s.descending {
		s.row += levels - 1 - s.minCPU
	}
	s.mask = s.rowMask()
	s.left = 0
	s.truncated = false
}

func (s *indexSource) rowMask() uint32 { return s.index.rows[s.row] &^ (1<<s.minMemory - 1) }

func (s *indexSource) next() Ref {
	for s.left == 0 {
		if !s.nextBucket() {
			return None
		}
	}
	ref := s.bucket[s.at]
	s.left--
	s.at++
	if s.at == len(s.bucket) {
		s.at = 0
	}
	return ref
}

func (s *indexSource) nextBucket() bool {
	for s.mask == 0 {
		s.nextRow()
		if s.row >= len(s.index.rows) {
			return false
		}
		s.mask = s.rowMask()
	}
	memory := bits.TrailingZeros32(s.mask)
	if s.descending {
		memory = bits.Len32(s.mask) - 1
	}
	s.mask &^= 1 << memory
	s.bucket = s.index.buckets[s.row*levels+memory]
	s.left = min(len(s.bucket), s.maxPerBucket)
	s.at = 0
	if s.left < len(s.bucket) {
		s.truncated = true
		s.sampleOffset += s.left
		s.at = s.sampleOffset % len(s.bucket)
	}
	return true
}

// nextRow advances to the next CPU level, and after the last one to the first
// of the next layer.
func (s *indexSource) nextRow() {
	switch {
	case !s.descending:
		s.row++
		if s.row%levels == 0 {
			s.row += s.minCPU
		}
	case s.row%levels == s.minCPU:
		s.row += 2*levels - 1 - s.minCPU
	default:
		s.row--
	}
}
