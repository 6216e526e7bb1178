package stream_test

import (
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/stream"
	"github.com/fireflyfold/fireflyfold/stream/fakelog"
)

func grown(n int) *fakelog.Log {
	log := &fakelog.Log{}
	for range n {
		log.Append([][]byte{[]byte("r")})
	}
	return log
}

// A reader is told that it has read everything while it has not, because the
// page of a read that was given up arrives as if it answered the next one.
func TestLatePageIsNoAnswer(t *testing.T) {
	log := grown(3)
	r := stream.Reader{Limit: 10, Retry: time.Second}
	first, _ := r.Next(0, 0)
	late := log.Answer(first, fakelog.Fine).(stream.PageRead)
	r.Failed(0, stream.ReadFailed{Tag: first.Tag})
	if _, ok := r.Next(time.Millisecond, 0); ok {
		t.Fatal("reads again before the retry interval")
	}
	log.Append([][]byte{[]byte("new")})
	second, ok := r.Next(time.Second, 0)
	if !ok {
		t.Fatal("does not read again")
	}
	if ans := r.Page(late); !ans.Stale || ans.AtEnd {
		t.Fatalf("took a late page: %+v", ans)
	}
	ans := r.Page(log.Answer(second, fakelog.Fine).(stream.PageRead))
	if len(ans.Records) != 4 || !ans.AtEnd {
		t.Fatalf("%d records, at end %v", len(ans.Records), ans.AtEnd)
	}
}

// A host that was cut off for long reads on as if nothing were missing.
func TestExpiredRecordsAreNoticed(t *testing.T) {
	log := grown(9)
	log.Expire(5)
	r := stream.Reader{Limit: 10, After: 2}
	cmd, _ := r.Next(0, 0)
	ans := r.Page(log.Answer(cmd, fakelog.Fine).(stream.PageRead))
	if !ans.Expired || len(ans.Records) != 0 {
		t.Fatalf("%+v", ans)
	}
}

// finder is satisfied with one record.
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

// probe runs a probe to its end.
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
	t.Fatal("does not end")
	return stream.Start{}
}

// A successor takes minutes to start because it reads all that the log retains,
// although the newest mark is near the end.
func TestProbeReadsFromTheEnd(t *testing.T) {
	log := grown(1000)
	log.Append([][]byte{[]byte("mark")})
	for range 9 {
		log.Append([][]byte{[]byte("r")})
	}
	f := &finder{want: "mark"}
	if start := probe(t, log, f); !start.Found || !start.Whole || start.After != 1001 {
		t.Fatalf("%+v", start)
	}
	if f.notes > 40 {
		t.Fatalf("read %d records", f.notes)
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

// Two appends are open at once, or one follows a failure without a pause.
func TestAppenderSpacing(t *testing.T) {
	a := stream.Appender{Retry: time.Second}
	if !a.Ready(0, time.Minute) {
		t.Fatal("the first append must not wait")
	}
	first := a.Send(0, nil)
	if a.Ready(time.Hour, 0) || a.Done(first.Tag+1) {
		t.Fatal("ready with an append open")
	}
	if !a.Failed(10*time.Second, first.Tag) || a.Ready(10500*time.Millisecond, 0) || !a.Ready(11*time.Second, 0) {
		t.Fatal("wrong pause after a failure")
	}
	again := a.Send(11*time.Second, nil)
	if !a.Failed(11*time.Second, again.Tag) || a.Ready(12900*time.Millisecond, 0) || !a.Ready(13*time.Second, 0) {
		t.Fatal("the pause does not grow with failures in a row")
	}
	second := a.Send(13*time.Second, nil)
	if !a.Done(second.Tag) || a.Ready(13*time.Second, time.Second) || !a.Ready(14*time.Second, time.Second) {
		t.Fatal("wrong pause after a success")
	}
}
