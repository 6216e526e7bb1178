package jobs

import (
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/stream"
)

// loader finds where a reader must start. It reads backwards from the end of
// the stream, in spans that double, until it meets a mark whose start is still
// retained.
type loader struct {
	span  platform.Offset // records back from the end
	asked bool            // the end of the stream is known
	end   platform.Offset // where the span ends
	best  *Anchor         // start of the newest usable mark so far
}

// found tells a fold to start with and whether it will be whole.
type found struct {
	fold  *Fold
	whole bool
}

// page takes an answer to the loader's read and moves the reader to the next
// one. It returns the start once that is known.
func (l *loader) page(r *stream.Reader, ans stream.Answer, probe int) (found, bool) {
	if !l.asked {
		return l.open(r, probe)
	}
	if ans.Expired {
		l.restart(r)
		return found{}, false
	}
	for _, rec := range ans.Records {
		l.note(rec, r.First)
		r.Take(rec.Offset)
	}
	if r.After < l.end && len(ans.Records) > 0 {
		return found{}, false
	}
	return l.close(r)
}

// open chooses the first span after the first page has told where the stream
// begins and ends.
func (l *loader) open(r *stream.Reader, probe int) (found, bool) {
	l.asked = true
	l.end = r.Last
	l.span = platform.Offset(max(1, probe))
	l.seek(r)
	return found{}, false
}

// seek moves the reader to the start of the span.
func (l *loader) seek(r *stream.Reader) {
	oldest := max(r.First, 1) - 1
	after := oldest
	if l.end > oldest+l.span {
		after = l.end - l.span
	}
	r.Seek(after)
}

func (l *loader) note(rec platform.Record, first platform.Offset) {
	mark, ok := markIn(rec.Data)
	if !ok || mark.Start.After+1 < first {
		return
	}
	l.best = &mark.Start
}

// close ends a span: with a mark, or with the oldest record, or with a longer
// span.
func (l *loader) close(r *stream.Reader) (found, bool) {
	if l.best != nil {
		r.Seek(l.best.After)
		return found{fold: newFoldAt(*l.best), whole: true}, true
	}
	oldest := max(r.First, 1) - 1
	if l.end <= oldest+l.span {
		return l.withoutMark(r, oldest)
	}
	l.span *= 2
	l.seek(r)
	return found{}, false
}

// withoutMark starts at the oldest record. Nothing is missing if that is the
// stream's first.
func (l *loader) withoutMark(r *stream.Reader, oldest platform.Offset) (found, bool) {
	r.Seek(oldest)
	if oldest == 0 {
		return found{fold: NewFold(), whole: true}, true
	}
	return found{fold: newFoldAdrift(oldest)}, true
}

// restart begins again: records expired under the loader.
func (l *loader) restart(r *stream.Reader) {
	*l = loader{}
	r.Seek(0)
}
