package stream_test

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
)

func logOfLength(n int) *fakelog.Log {
	log := &fakelog.Log{}
	for range n {
		log.Append([][]byte{[]byte("r")})
	}
	return log
}

// Guards against a reader that reports the end of the stream too early: the page
// of an abandoned read arrives while the next read is in flight.
func TestPageOfAbandonedReadIsStale(t *testing.T) {
	log := logOfLength(3)
	r := stream.Reader{Limit: 10, Retry: time.Second}
	first, _ := r.Next(0, 0)
	late := log.Answer(first, fakelog.Fine).(stream.PageRead)
	r.Failed(0, stream.ReadFailed{Tag: first.Tag})
	if _, ok := r.Next(time.Millisecond, 0); ok {
		t.Fatal("second read before the retry delay has passed")
	}
	log.Append([][]byte{[]byte("new")})
	second, ok := r.Next(time.Second, 0)
	if !ok {
		t.Fatal("no second read after the retry delay")
	}
	if ans := r.Page(late); !ans.Stale || ans.AtEnd {
		t.Fatalf("accepted the page of an abandoned read: %+v", ans)
	}
	ans := r.Page(log.Answer(second, fakelog.Fine).(stream.PageRead))
	if len(ans.Records) != 4 || !ans.AtEnd {
		t.Fatalf("got %d records, at end %v; want 4, at end true", len(ans.Records), ans.AtEnd)
	}
}

// Guards against a host that misses records: after a long network partition, the
// records after its offset have expired, and it reads on from the oldest one.
func TestReaderReportsExpiredRecords(t *testing.T) {
	log := logOfLength(9)
	log.Expire(5)
	r := stream.Reader{Limit: 10, After: 2}
	cmd, _ := r.Next(0, 0)
	ans := r.Page(log.Answer(cmd, fakelog.Fine).(stream.PageRead))
	if !ans.Expired || len(ans.Records) != 0 {
		t.Fatalf("%+v", ans)
	}
}

// finder looks for a record with the data want.
type finder struct {
	want  string
	after ports.Offset
	notes int
}

func (f *finder) Note(rec ports.Record, _ ports.Offset) {
	f.notes++
	if string(rec.Data) == f.want {
		f.after = rec.Offset
	}
}

func (f *finder) Found() (ports.Offset, bool) { return f.after, f.after > 0 }

// probe runs a probe until it returns a start.
func probe(t *testing.T, log *fakelog.Log, f *finder) stream.Start {
	t.Helper()
	r := stream.Reader{Limit: 3}
	p := stream.Probe{Records: 4}
	for range 1000 {
		cmd, ok := r.Next(0, 0)
		if !ok {
			t.Fatal("no read")
		}
		ans := r.Page(log.Answer(cmd, fakelog.Fine).(stream.PageRead))
		if start, ok := p.Page(&r, ans, f); ok {
			return start
		}
	}
	t.Fatal("probe has no start after 1000 reads")
	return stream.Start{}
}

// Guards against a new owner that takes minutes to start: it reads all retained
// records, although the newest mark is near the end.
func TestProbeReadsFromTheEnd(t *testing.T) {
	log := logOfLength(1000)
	log.Append([][]byte{[]byte("mark")})
	for range 9 {
		log.Append([][]byte{[]byte("r")})
	}
	f := &finder{want: "mark"}
	if start := probe(t, log, f); !start.Found || !start.Whole || start.After != 1001 {
		t.Fatalf("%+v", start)
	}
	if f.notes > 40 {
		t.Fatalf("read %d records; want at most 40", f.notes)
	}
	none := &finder{want: "absent"}
	if start := probe(t, log, none); start.Found || !start.Whole || start.After != 0 {
		t.Fatalf("without a mark: %+v", start)
	}
	log.Expire(500)
	if start := probe(t, log, none); start.Found || start.Whole || start.After != 499 {
		t.Fatalf("without a mark, expired: %+v", start)
	}
}

// Guards against two appends in flight at once, and against an append that
// follows a failure without a backoff.
func TestAppenderSpacing(t *testing.T) {
	a := stream.Appender{Retry: time.Second}
	if !a.Ready(0, time.Minute) {
		t.Fatal("the first append must not wait")
	}
	first := a.Send(0, nil)
	if a.Ready(time.Hour, 0) || a.Done(first.Tag+1) {
		t.Fatal("ready with an append in flight, or accepted an unknown tag")
	}
	if !a.Failed(10*time.Second, first.Tag) || a.Ready(10500*time.Millisecond, 0) || !a.Ready(11*time.Second, 0) {
		t.Fatal("wrong backoff after a failure")
	}
	again := a.Send(11*time.Second, nil)
	if !a.Failed(11*time.Second, again.Tag) || a.Ready(12900*time.Millisecond, 0) || !a.Ready(13*time.Second, 0) {
		t.Fatal("the backoff does not double with the second failure in a row")
	}
	second := a.Send(13*time.Second, nil)
	if !a.Done(second.Tag) || a.Ready(13*time.Second, time.Second) || !a.Ready(14*time.Second, time.Second) {
		t.Fatal("wrong interval after a success")
	}
}
