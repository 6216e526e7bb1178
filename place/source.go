package place

import (
	"math/bits"

	"github.com/fireflyfold/fireflyfold/resource"
)

// source yields workers until it returns None.
type source interface{ next() Ref }

// listSource yields the workers of a list in order.
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

// allSource yields every worker of the cell in order of position.
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

// sampleOf is how many workers of one bucket are looked at in a first pass.
// Buckets near the need hold workers that are just too full; looking at all
// of them would let the cost of a placement grow with the cell.
const sampleOf = 32

// indexSource yields the workers of the index that may have room, those with
// the least room first, or with the most if down is set. Workers without free
// accelerators come first either way if the need has none. At most `most`
// workers of each bucket are yielded, starting at a place that turn moves on.
type indexSource struct {
	index *index
	down  bool
	most  int
	turn  int

	cpu, memory int // lowest levels
	row         int // of the index
	mask        uint32
	bucket      []Ref
	at, left    int
	cut         bool // some bucket was not yielded whole
}

func (s *indexSource) reset(need *resource.Vector, most int) {
	s.most = most
	s.cpu, s.memory = level(need.MilliCPU), level(need.MemoryMiB)
	s.row = layer(need.Accelerators)*levels + s.cpu
	if s.down {
		s.row += levels - 1 - s.cpu
	}
	s.mask = s.rowMask()
	s.left = 0
	s.cut = false
}

func (s *indexSource) rowMask() uint32 { return s.index.rows[s.row] &^ (1<<s.memory - 1) }

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
	if s.down {
		memory = bits.Len32(s.mask) - 1
	}
	s.mask &^= 1 << memory
	s.bucket = s.index.buckets[s.row*levels+memory]
	s.left = min(len(s.bucket), s.most)
	s.at = 0
	if s.left < len(s.bucket) {
		s.cut = true
		s.turn += s.left
		s.at = s.turn % len(s.bucket)
	}
	return true
}

// nextRow moves on to the next level of processors, and behind the last one to
// the first of the next layer.
func (s *indexSource) nextRow() {
	switch {
	case !s.down:
		s.row++
		if s.row%levels == 0 {
			s.row += s.cpu
		}
	case s.row%levels == s.cpu:
		s.row += 2*levels - 1 - s.cpu
	default:
		s.row--
	}
}
