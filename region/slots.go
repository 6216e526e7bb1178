package region

// slotAllocator allocates a small index for each worker, which lets steps keep what
// they know of workers in slices. The index of a removed worker is allocated again.
type slotAllocator struct {
	next int
	free []int
}

func (s *slotAllocator) alloc() int {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	s.next++
	return s.next - 1
}

func (s *slotAllocator) release(slot int) { s.free = append(s.free, slot) }
