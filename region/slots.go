package region

// slots numbers the workers, so that what steps know of them can lie in slices.
// The number of a worker that left is given to a later one.
type slots struct {
	next int
	free []int
}

func (s *slots) take() int {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	s.next++
	return s.next - 1
}

func (s *slots) giveBack(slot int) { s.free = append(s.free, slot) }
