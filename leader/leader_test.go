package leader

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/logwriter"
	"github.com/fireflyfold/fireflyfold/platform"
	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
	"github.com/fireflyfold/fireflyfold/record"
)

// A partition of the log was down for a while, so that a leader's entries went
// to the next one and back again; one stands in both, as its answer was lost. A
// successor that read one partition after the other would see an end before the
// assignment it belongs to, and take a task for running that is done.
func TestEntriesAreReadInOrder(t *testing.T) {
	store := fakeplatform.NewStore()
	door := store.Door()
	defer door.Close()
	client := platform.NewClient(platform.Names{Store: door.Address()}, 2, nil)
	parts := [entryParts][][2]int64{{{1, 1}, {1, 4}, {2, 1}}, {{1, 2}, {1, 3}, {1, 4}}, {{2, 2}}}
	var ends []int64
	for part, entries := range parts {
		var records [][]byte
		for _, e := range entries {
			data, err := proto.Marshal(&record.Entry{Fence: e[0], Seq: e[1]})
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, data)
		}
		got, err := client.Append(context.Background(), 5*time.Second, platform.Append{
			Topic: TopicEntries, Part: part, Records: records, At: -1,
		})
		if err != nil {
			t.Fatal(err)
		}
		ends = append(ends, got.End)
	}
	entries, err := New(Config{Client: client}).readEntries(context.Background(), ends)
	if err != nil {
		t.Fatal(err)
	}
	var order [][2]int64
	for _, e := range entries {
		order = append(order, [2]int64{e.Fence, e.Seq})
	}
	if diff := cmp.Diff([][2]int64{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {2, 1}, {2, 2}}, order); diff != "" {
		t.Error(diff)
	}
}

// slowStore answers appends after a while.
type slowStore struct{ by time.Duration }

func (s slowStore) Append(context.Context, time.Duration, platform.Append) (platform.Appended, error) {
	time.Sleep(s.by)
	return platform.Appended{}, nil
}

// The log is slow for everyone, 0.5 s and more for an append. The leader's answers come
// as far apart, and it counted as cut off from the log: it handed over to a host for
// which the log is as slow, and callers were without a leader while that one loaded. The
// time that an append takes is no silence; what goes beyond twice of it is.
func TestSlowLogIsNoLostLog(t *testing.T) {
	l := New(Config{})
	l.writer = logwriter.New(slowStore{by: 20 * time.Millisecond}, logwriter.Target{Topic: TopicEntries, Parts: 1, FirstSeq: 1, CallBytes: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	run.Go(func() { _ = l.writer.Run(ctx) }) // ends with ctx
	kept := make(chan struct{})
	l.writer.Write([]byte("x"), func(logwriter.Kept) { close(kept) })
	<-kept
	cancel()
	run.Wait()
	l.loaded.Store(true)
	took := l.writer.AnswerTime()
	l.loggedAt.Store(int64(time.Hour))
	for _, c := range []struct{ since, want time.Duration }{
		{took, 0},
		{slowLogFactor * took, 0},
		{slowLogFactor*took + time.Second, time.Second},
	} {
		if got := l.contactAge(time.Hour + c.since); got != c.want {
			t.Errorf("%v after an answer that took %v the log counts as silent for %v, want %v", c.since, took, got, c.want)
		}
	}
}
