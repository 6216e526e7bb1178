package place

// enough is how many feasible workers a search of the index compares.
const enough = 16

// limit ends the search after a number of workers.
type limit struct {
	from *feasible
	left int
}

func (l *limit) next() Ref {
	if l.left == 0 {
		return None
	}
	l.left--
	return l.from.next()
}
