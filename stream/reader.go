package stream

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
)

// Reader follows a stream with one open read at a time.
type Reader struct {
	Stream ports.Stream
	Retry  time.Duration // before the next read after a failure
	Limit  int           // records of one page

	After ports.Offset // everything up to here has been read
	First ports.Offset // oldest retained record, as of the last page
	Last  ports.Offset // newest record, as of the last page

	tag    Tag
	open   bool
	sentAt time.Duration
	nextAt time.Duration
}

// Next returns the next read, if none is open and the time has come.
func (r *Reader) Next(now, wait time.Duration) (Read, bool) {
	if r.open || now < r.nextAt {
		return Read{}, false
	}
	r.tag++
	r.open = true
	r.sentAt = now
	return Read{Stream: r.Stream, Tag: r.tag, After: r.After, Limit: r.Limit, Wait: wait}, true
}

// Seek moves the reader to after. The answer to an open read will be ignored.
func (r *Reader) Seek(after ports.Offset) {
	r.After = after
	r.open = false
}

// Answer is what a page means to the reader.
type Answer struct {
	Records []ports.Record // new ones, in order, without a gap
	SentAt  time.Duration  // when the read was sent
	AtEnd   bool           // the page reached the newest record of its time
	Expired bool           // records expired before they were read
	Stale   bool           // not the answer to the open read; nothing changed
}

// Page takes the answer to a read. After moves only with Take, so that the
// caller's position and the reader's are the same at every record.
//
// A page that comes twice, or late after its read was given up, is recognised
// by its tag and changes nothing: taken as the answer to a later read it would
// make the stream look shorter than it is.
func (r *Reader) Page(ev PageRead) Answer {
	if !r.open || ev.Tag != r.tag {
		return Answer{Stale: true}
	}
	r.open = false
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

// Pause keeps the reader from reading before the retry interval has passed.
func (r *Reader) Pause(now time.Duration) { r.nextAt = now + r.Retry }

// Take notes that the record at the offset has been dealt with.
func (r *Reader) Take(at ports.Offset) { r.After = at }

// Failed takes the failure of a read.
func (r *Reader) Failed(now time.Duration, ev ReadFailed) {
	if !r.open || ev.Tag != r.tag {
		return
	}
	r.open = false
	r.nextAt = now + r.Retry
}
