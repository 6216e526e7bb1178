package stream

import "github.com/fireflyfold/fireflyfold/ports"

// Finder recognises, in records read back from the end of a stream, a position
// from which a reader finds the whole state.
type Finder interface {
	// Note takes a record; first is the oldest offset that is retained. Records
	// come in rising order within a span, and a span may repeat earlier ones.
	Note(rec ports.Record, first ports.Offset)
	// Found returns the position after which to read, if there is one yet.
	Found() (ports.Offset, bool)
}

// Probe finds where a reader must start. It reads backwards from the end of the
// stream, in spans that double, until its finder is satisfied or the oldest
// record was read.
type Probe struct {
	Records int // length of the first span

	span   ports.Offset
	opened bool         // the end of the stream is known
	end    ports.Offset // where every span ends
}

// Start is where a reader starts, and with what.
type Start struct {
	After ports.Offset
	Found bool // as the finder said; otherwise After is before the oldest record
	Whole bool // nothing before After is missing
}

// Page takes the answer to a read of r and moves r to the next one. It returns
// the start, with r moved there, once that is known.
func (p *Probe) Page(r *Reader, ans Answer, finder Finder) (Start, bool) {
	if !p.opened {
		p.open(r)
		return Start{}, false
	}
	if ans.Expired {
		*p = Probe{Records: p.Records}
		r.Seek(0)
		return Start{}, false
	}
	for _, rec := range ans.Records {
		finder.Note(rec, r.First)
		r.Take(rec.Offset)
	}
	if r.After < p.end && len(ans.Records) > 0 {
		return Start{}, false
	}
	return p.close(r, finder)
}

// open takes the first page, which told where the stream begins and ends.
func (p *Probe) open(r *Reader) {
	p.opened = true
	p.end = r.Last
	p.span = ports.Offset(max(1, p.Records))
	p.seek(r)
}

// oldest returns the offset before the oldest record.
func oldest(r *Reader) ports.Offset { return max(r.First, 1) - 1 }

func (p *Probe) reachesOldest(r *Reader) bool { return p.end <= oldest(r)+p.span }

// seek moves the reader to the start of the span.
func (p *Probe) seek(r *Reader) {
	if p.reachesOldest(r) {
		r.Seek(oldest(r))
		return
	}
	r.Seek(p.end - p.span)
}

// close ends a span: with what the finder found, with the oldest record, or
// with a longer span.
func (p *Probe) close(r *Reader, finder Finder) (Start, bool) {
	if after, ok := finder.Found(); ok {
		r.Seek(after)
		return Start{After: after, Found: true, Whole: true}, true
	}
	if p.reachesOldest(r) {
		after := oldest(r)
		r.Seek(after)
		return Start{After: after, Whole: after == 0}, true
	}
	p.span *= 2
	p.seek(r)
	return Start{}, false
}
