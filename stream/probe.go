package stream

import "github.com/fireflyfold/fireflyfold/ports"

// Finder finds, among records at the end of a stream, a position from which
// replay restores the whole state.
type Finder interface {
	// Note examines a record; first is the oldest retained offset. Records come
	// in ascending order within a span, and a span may repeat records of an
	// earlier one.
	Note(rec ports.Record, first ports.Offset)
	// Found returns the offset after which to read, and false if none has been
	// found yet.
	Found() (ports.Offset, bool)
}

// Probe finds the offset from which a reader must replay a stream. It reads
// spans that end at the end of the stream, each twice as long as the one before,
// until the finder has found a position or the oldest record has been read.
type Probe struct {
	Records int // length of the first span; less than 1 counts as 1

	span     ports.Offset
	endKnown bool         // the end of the stream is known
	end      ports.Offset // newest record when the probe began; every span ends there
}

// Start is the result of a probe: where to start reading, and whether the
// records from there on are complete.
type Start struct {
	After ports.Offset
	Found bool // the finder found After; otherwise After precedes the oldest record
	Whole bool // no expired record is needed
}

// Page handles the answer to a read of r and moves r to where the probe reads
// next. Once the start is known, it moves r there and returns it with true. If
// records of the span expired before they were read, the probe begins again.
func (p *Probe) Page(r *Reader, ans Answer, finder Finder) (Start, bool) {
	if !p.endKnown {
		p.begin(r)
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
	return p.endSpan(r, finder)
}

// begin starts the first span, after the first page has set the first and last
// offsets of r.
func (p *Probe) begin(r *Reader) {
	p.endKnown = true
	p.end = r.Last
	p.span = ports.Offset(max(1, p.Records))
	p.seek(r)
}

// beforeOldest returns the offset just before the oldest record.
func beforeOldest(r *Reader) ports.Offset { return max(r.First, 1) - 1 }

func (p *Probe) reachesOldest(r *Reader) bool { return p.end <= beforeOldest(r)+p.span }

// seek moves the reader to the start of the span, at the earliest to the oldest
// record.
func (p *Probe) seek(r *Reader) {
	if p.reachesOldest(r) {
		r.Seek(beforeOldest(r))
		return
	}
	r.Seek(p.end - p.span)
}

// endSpan ends a span. It returns the position that the finder found, or the
// oldest one if the span reached it; otherwise it begins a span twice as long.
func (p *Probe) endSpan(r *Reader, finder Finder) (Start, bool) {
	if after, ok := finder.Found(); ok {
		r.Seek(after)
		return Start{After: after, Found: true, Whole: true}, true
	}
	if p.reachesOldest(r) {
		after := beforeOldest(r)
		r.Seek(after)
		return Start{After: after, Whole: after == 0}, true
	}
	p.span *= 2
	p.seek(r)
	return Start{}, false
}
