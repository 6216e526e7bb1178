package jobs

import (
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
)

// loader finds the newest mark whose start is still retained, and makes the
// fold that reads on from there.
type loader struct {
	probe stream.Probe
	best  *Anchor
}

// Note implements stream.Finder.
func (l *loader) Note(rec ports.Record, first ports.Offset) {
	mark, ok := markIn(rec.Data)
	if !ok || mark.Start.After+1 < first {
		return
	}
	l.best = &mark.Start
}

// Found implements stream.Finder.
func (l *loader) Found() (ports.Offset, bool) {
	if l.best == nil {
		return 0, false
	}
	return l.best.After, true
}

// page takes an answer to a read. It returns the fold to go on with, and whether
// that will be whole, once that is known.
func (l *loader) page(r *stream.Reader, ans stream.Answer) (fold *Fold, whole, ok bool) {
	start, ok := l.probe.Page(r, ans, l)
	switch {
	case !ok:
		return nil, false, false
	case start.Found:
		return newFoldAt(*l.best), true, true
	case start.Whole:
		return NewFold(), true, true
	}
	return newFoldAdrift(start.After), false, true
}
