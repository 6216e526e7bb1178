package region

import "time"

// endLog tracks which ends of one incarnation of a worker were applied and which may be
// acknowledged. The worker forgets all ends up to the acknowledged number, so an end that is
// deferred keeps those after it.
type endLog struct {
	highest   int64                  // highest number read
	read      map[int64]bool         // numbers read that are not acknowledged
	committed int64                  // highest number whose record is in the log
	pending   map[int64]*deferredEnd // lower numbers that were deferred, until their record is in the log
	acked     int64                  // highest number in an acknowledgement that was answered
}

// deferredEnd is an end that was listed and could not be applied at once.
type deferredEnd struct {
	since   time.Duration // when it was deferred
	applied bool          // it was applied since
}

// isNew reports whether an end has yet to be applied. A list may have any order, but has the lowest
// of the ends that are not acknowledged.
func (l *endLog) isNew(number int64) bool {
	d := l.pending[number]
	return number > l.acked && !l.read[number] || d != nil && !d.applied
}

func (l *endLog) markRead(number int64) {
	if l.read == nil {
		l.read = make(map[int64]bool)
	}
	l.read[number] = true
	l.highest = max(l.highest, number)
}

// acknowledged records that an acknowledgement up to the number was answered, and returns how many
// ends that were read it covers for the first time.
func (l *endLog) acknowledged(number int64) (ends int64) {
	l.acked = max(l.acked, number)
	for n := range l.read {
		if n <= l.acked {
			delete(l.read, n)
			ends++
		}
	}
	return ends
}

// deferred records that an end has to wait, and reports whether it is deferred for the first time.
func (l *endLog) deferred(number int64, now time.Duration) (first bool) {
	l.markRead(number)
	if l.pending[number] != nil {
		return false
	}
	if l.pending == nil {
		l.pending = make(map[int64]*deferredEnd)
	}
	l.pending[number] = &deferredEnd{since: now}
	return true
}

// applied records that an end is applied, and returns what is known of its deferral; nil if it was not
// deferred.
func (l *endLog) applied(number int64) *deferredEnd {
	l.markRead(number)
	d := l.pending[number]
	if d != nil {
		d.applied = true
	}
	return d
}

// inLog records that the record of an end is in the log.
func (l *endLog) inLog(number int64) {
	l.committed = max(l.committed, number)
	delete(l.pending, number)
}

// uncommitted reports whether the log lacks the record of an end that was applied. Ends that are
// deferred have none yet.
func (l *endLog) uncommitted() bool { return len(l.pending) == 0 && l.highest > l.committed }

// unacked returns the highest number that may be acknowledged and was not, or 0.
func (l *endLog) unacked() int64 {
	number := l.committed
	for p := range l.pending {
		number = min(number, p-1)
	}
	if number <= l.acked {
		return 0
	}
	return number
}
