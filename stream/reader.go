package stream

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Reader reads a stream in order, with one read in flight at a time.
type Reader struct {
	Stream ports.Stream
	Retry  time.Duration // delay of the next read after a failure
	Limit  int           // most records of one page

	After ports.Offset // offset of the last record that was processed
	First ports.Offset // oldest retained record, as of the last page
	Last  ports.Offset // newest record, as of the last page

	tag      Tag
	inFlight bool
	sentAt   time.Duration
	nextAt   time.Duration
}

// Next returns the next read. It returns false while a read is in flight or the
// retry delay has not passed. If there are no new records, the log waits up to
// wait for one before it answers.
func (r *Reader) Next(now, wait time.Duration) (Read, bool) {
	if r.inFlight || now < r.nextAt {
		return Read{}, false
	}
	r.tag++
	r.inFlight = true
	r.sentAt = now
	return Read{Stream: r.Stream, Tag: r.tag, After: r.After, Limit: r.Limit, Wait: wait}, true
}

// Seek moves the reader to the offset after. The answer to a read in flight will
// be ignored.
func (r *Reader) Seek(after ports.Offset) {
	r.After = after
	r.inFlight = false
}

// Answer is the content of a page as Reader.Page returns it.
type Answer struct {
	Records []ports.Record // those after Reader.After, in order, without a gap
	SentAt  time.Duration  // when the read was sent
	AtEnd   bool           // the page reached the newest record at the time of the read
	Expired bool           // records expired before they were read
	Stale   bool           // not the answer to the read in flight; the reader is unchanged
}

// Page handles the answer to a read. It does not advance After; Take does, which
// keeps the caller's position and the reader's equal at every record.
//
// A page that arrives twice, or after its read was abandoned, does not match the
// read in flight and is reported as Stale. Accepted as the answer to a later
// read, it would make the stream appear shorter than it is.
func (r *Reader) Page(ev PageRead) Answer {
	if !r.inFlight || ev.Tag != r.tag {
		return Answer{Stale: true}
	}
	r.inFlight = false
	r.First = ev.Page.First
	r.Last = max(r.Last, ev.Page.Last)
	ans := Answer{SentAt: r.sentAt, Expired: ev.Page.First > r.After+1}
	want := r.After + 1
	for _, rec := range ev.Page.Records {
		if rec.Offset == want {
			ans.Records = append(ans.Records, rec)
			want++
		}
	}
	ans.AtEnd = want > ev.Page.Last
	return ans
}

// Pause delays the next read by Retry.
func (r *Reader) Pause(now time.Duration) { r.nextAt = now + r.Retry }

// Take records that the record at the offset has been processed.
func (r *Reader) Take(at ports.Offset) { r.After = at }

// Failed handles the failure of a read: the next one follows after Retry. It
// ignores any read but the one in flight.
func (r *Reader) Failed(now time.Duration, ev ReadFailed) {
	if !r.inFlight || ev.Tag != r.tag {
		return
	}
	r.inFlight = false
	r.nextAt = now + r.Retry
}
