package place

import "github.com/fireflyfold/fireflyfold/resource"

// maxFreed is the maximum number of entries in the log of freed capacity. For
// positions before the first kept entry MayFitSince returns true.
const maxFreed = 512

// freedLog lists the workers on which capacity was freed, in order. A task
// that fitted no worker at one position of the log can only fit a worker that
// was logged after it.
type freedLog struct {
	refs []Ref
	base uint64 // position of refs[0]
}

func (l *freedLog) add(ref Ref) {
	if len(l.refs) == maxFreed {
		half := copy(l.refs, l.refs[maxFreed/2:])
		l.refs = l.refs[:half]
		l.base += maxFreed / 2
	}
	l.refs = append(l.refs, ref)
}

// FreedPosition returns the current position in the log of freed capacity.
// Positions start at 1; 0 is before all of them.
func (c *Cell) FreedPosition() uint64 { return c.freed.base + uint64(len(c.freed.refs)) + 1 }

// MayFitSince reports whether a need that fitted no worker at position in the
// log may fit one now. It returns true if the log no longer covers position.
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
