package leader

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
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
	door := store.Endpoint()
	defer door.Close()
	client := platform.NewClient(platform.Addresses{Log: door.Address()}, 2, nil)
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
			Topic: TopicEntries, Part: part, Records: records, ExpectedEnd: -1,
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

// A leader takes seconds to read what its predecessors kept, over a narrow link or from a
// slow log. The others saw its entries stand still, took it for gone and claimed the lead,
// one after the other, and each had to load anew: for half a minute nobody led. It appends
// heartbeats until the scheduler does.
func TestLeaderThatLoadsShowsLife(t *testing.T) {
	store := fakeplatform.NewStore()
	door, watching := store.Endpoint(), store.Endpoint()
	defer door.Close()
	defer watching.Close()
	door.Stall("log-read")
	defer door.Stall("")
	l := New(Config{
		Client: platform.NewClient(platform.Addresses{Log: door.Address()}, 16, nil), Fence: 1, CallBytes: 1 << 20,
		Log: logrus.NewEntry(logrus.New()), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var run conc.WaitGroup
	defer run.Wait()
	defer cancel()
	run.Go(func() { _ = l.Run(ctx) }) // ends with ctx
	w := NewWatcher(platform.NewClient(platform.Addresses{Log: watching.Address()}, 4, nil))
	signs := 0
	for range 100 { // on a busy machine signs may come late
		if grown, _ := w.grown(ctx, heartbeatEvery); grown {
			signs++
		}
		if signs == 3 {
			break
		}
	}
	if signs < 3 {
		t.Fatal("the entries stand still while the leader loads")
	}
	if l.Loaded() {
		t.Error("the leader has loaded without a read")
	}
}

// A new leader took the log for lost, as it had not answered since the beginning of time:
// its first act was to look for a successor.
func TestNewLeaderHasNotLostTheLog(t *testing.T) {
	if age := New(Config{}).LogContactAge(); age > time.Minute {
		t.Errorf("the log counts as silent for %v", age)
	}
}

// What is read while loading does not come in time over a narrow link: the read was made
// again as it was, and failed again, for ever. Less is asked for, and given more time.
func TestReadsThatComeTooLateShrink(t *testing.T) {
	late := &platform.NoAnswerError{Cause: context.DeadlineExceeded}
	if s := newReadSize(250e3); s.kb != leastReadKB {
		t.Errorf("%d KiB are asked for first over 2 Mbit/s", s.kb)
	}
	s := newReadSize(0)
	for range 10 {
		s.ended(late)
	}
	if s.kb != leastReadKB || s.timeout != mostReadTimeout {
		t.Errorf("%d KiB in %v after ten failures", s.kb, s.timeout)
	}
	s.ended(&platform.StatusError{Status: 503})
	if s.kb != leastReadKB {
		t.Errorf("%d KiB after a refusal", s.kb)
	}
	for range 10 {
		s.ended(nil)
	}
	if s.kb != mostReadKB {
		t.Errorf("%d KiB after ten answers", s.kb)
	}
}

// The link is full, so that every answer takes a second. Calls were given up after 0.2 s and
// made again, which kept it full for ever. Answers are waited for as long as they take; a
// few workers that are gone do not make the wait for the others longer.
func TestWaitsFollowAnswers(t *testing.T) {
	var times answerTimes
	wait := func() time.Duration { return times.timeout(orderTimeout, mostTimeout) }
	for range 100 {
		times.answered(5 * time.Millisecond)
	}
	if got := wait(); got != orderTimeout {
		t.Errorf("%v where answers take 5 ms, want %v", got, orderTimeout)
	}
	for range missesPerDoubling - 1 {
		times.missed()
	}
	if got := wait(); got != orderTimeout {
		t.Errorf("%v with a few workers gone, want %v", got, orderTimeout)
	}
	times.missed()
	if got := wait(); got != 2*orderTimeout {
		t.Errorf("%v with all answers late, want %v", got, 2*orderTimeout)
	}
	for range 200 {
		times.answered(time.Second)
	}
	if got := wait(); got < time.Second || got > mostTimeout {
		t.Errorf("%v where answers take a second", got)
	}
	for range 1000 {
		times.answered(5 * time.Millisecond)
	}
	if got := wait(); got > 2*orderTimeout {
		t.Errorf("%v long after the link was full", got)
	}
}
