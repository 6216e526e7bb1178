package place

// maxCandidates is the number of feasible workers that a search of the index
// scores.
const maxCandidates = 16

// limit ends the search after a number of feasible workers.
type limit struct {
	from      *feasible
	remaining int
}

func (l *limit) next() Ref {
	if l.remaining == 0 {
		return None
	}
	l.remaining--
	return l.from.next()
}
