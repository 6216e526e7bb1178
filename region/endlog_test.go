package region

import "testing"

// Guards against an acknowledgement that drops an end whose record is not in the log, at its
// worker: the end was deferred, and later ones are in the log already.
func TestDeferredEndIsNotAcknowledged(t *testing.T) {
	l := &endLog{}
	read := func(number int64) {
		t.Helper()
		if !l.isNew(number) {
			t.Errorf("end %d counts as applied", number)
		}
	}
	want := func(number int64, when string) {
		t.Helper()
		if got := l.unacked(); got != number {
			t.Errorf("%s: ends up to %d are acknowledged, want %d", when, got, number)
		}
	}
	read(1)
	l.applied(1)
	l.inLog(1)
	read(3) // numbers may have gaps
	l.deferred(3, 0)
	read(4)
	l.applied(4)
	l.inLog(4)
	want(2, "3 is deferred")
	l.acked = 2
	want(0, "nothing new")
	read(3)
	l.applied(3)
	if l.isNew(3) || l.isNew(4) {
		t.Error("an applied end counts as new")
	}
	want(0, "the record of 3 is not in the log")
	l.inLog(3)
	want(4, "all are in the log")
}
