package place

import "github.com/fireflyfold/fireflyfold/resource"

// freedMost bounds the log of freed workers; whoever asks about longer ago is
// told that anything may have changed.
const freedMost = 512

// freedLog lists the workers on which room became free, in order. Work that
// did not fit anywhere at one position of the log can only fit on a worker
// that was listed since.
type freedLog struct {
	refs []Ref
	base uint64 // position of refs[0]
}

func (l *freedLog) add(ref Ref) {
	if len(l.refs) == freedMost {
		half := copy(l.refs, l.refs[freedMost/2:])
		l.refs = l.refs[:half]
		l.base += freedMost / 2
	}
	l.refs = append(l.refs, ref)
}

// Freed returns the current position in the log of freed room. Positions
// start at 1, so that 0 is before every one.
func (c *Cell) Freed() uint64 { return c.freed.base + uint64(len(c.freed.refs)) + 1 }

// MayFitSince reports whether a need that fitted no worker at a position of
// the log may fit one now.
func (c *Cell) MayFitSince(position uint64, need *resource.Vector) bool {
	if position < c.freed.base+1 {
		return true
	}
	for _, ref := range c.freed.refs[position-c.freed.base-1:] {
		w := &c.workers[ref]
		if w.Bars&^BarHeld == 0 && need.Fits(w.Free) {
			return true
		}
	}
	return false
}
