package logwriter

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/platform"
)

// scriptedStore answers appends by a script and stores what it executes. Calls may be hedged when
// their responses are late by the clock, so a test of what the script says has a fake clock.
type scriptedStore struct {
	script   []error // results of the calls in turn; nil for success, and after the end
	executed []bool  // whether a call that fails is executed all the same
	calls    []platform.Append
	appended [][]string // records by partition
}

func (f *scriptedStore) Append(_ context.Context, _ time.Duration, a platform.Append) (platform.Appended, error) {
	i := len(f.calls)
	f.calls = append(f.calls, a)
	var err error
	if i < len(f.script) {
		err = f.script[i]
	}
	repeat := slices.ContainsFunc(f.calls[:i], func(b platform.Append) bool { return b.Part == a.Part && b.Seq == a.Seq })
	if (err == nil || f.executed[i]) && !repeat {
		for len(f.appended) <= a.Part {
			f.appended = append(f.appended, nil)
		}
		for _, r := range a.Records {
			f.appended[a.Part] = append(f.appended[a.Part], string(r))
		}
	}
	return platform.Appended{}, err
}

var (
	errNoAnswer = &platform.NoAnswerError{Cause: context.DeadlineExceeded}
	errBusy     = &platform.StatusError{Status: http.StatusServiceUnavailable}
	errFenced   = &platform.StatusError{Status: http.StatusConflict, Reason: "fenced"}
)

// writeAll writes records one after the other and waits for the ack of each.
func writeAll(t *testing.T, w *Writer, records ...string) {
	t.Helper()
	for _, r := range records {
		done := make(chan struct{})
		w.Write([]byte(r), func(Ack) { close(done) })
		<-done
	}
}

// A call is executed but its response is lost. It is repeated under the same sequence number,
// so that the record is in the log once.
func TestCallWithLostAnswerIsRepeatedUnderSameSequenceNumber(t *testing.T) {
	f := &scriptedStore{script: []error{nil, errNoAnswer}, executed: []bool{true, true}}
	runWithFakeClock(t, f, 1, func(t *testing.T, w *Writer) { writeAll(t, w, "a", "b", "c") })
	if diff := cmp.Diff([][]string{{"a", "b", "c"}}, f.appended); diff != "" {
		t.Error(diff)
	}
	if f.calls[1].Seq != f.calls[2].Seq {
		t.Errorf("repeated under sequence number %d, want %d", f.calls[2].Seq, f.calls[1].Seq)
	}
}

// pausedStore is a scriptedStore of a process that pauses: the first call's response is late, and
// so is the hedge that is sent for it.
type pausedStore struct {
	mu sync.Mutex
	scriptedStore
	sent int
}

func (f *pausedStore) Append(ctx context.Context, timeout time.Duration, a platform.Append) (platform.Appended, error) {
	f.mu.Lock()
	f.sent++
	n := f.sent
	f.mu.Unlock()
	const pause = 10 * time.Millisecond
	if n == 2 {
		time.Sleep(2 * pause)
	}
	f.mu.Lock()
	got, err := f.scriptedStore.Append(ctx, timeout, a)
	f.mu.Unlock()
	if n == 1 {
		time.Sleep(minHedgeDelay + pause)
	}
	return got, err
}

// The process pauses, and a hedge of the first call reaches the store after the second call. Each
// record is in the log once, and each call has one sequence number.
func TestLateHedgeReachesStoreAfterNextCall(t *testing.T) {
	f := &pausedStore{scriptedStore: scriptedStore{script: []error{nil, errNoAnswer}, executed: []bool{true, true}}}
	runWithFakeClock(t, f, 1, func(t *testing.T, w *Writer) { writeAll(t, w, "a", "b", "c") })
	if diff := cmp.Diff([][]string{{"a", "b", "c"}}, f.appended); diff != "" {
		t.Error(diff)
	}
	var sent []string
	for _, c := range f.calls {
		sent = append(sent, fmt.Sprint(c.Seq, string(c.Records[0])))
	}
	if diff := cmp.Diff([]string{"1a", "2b", "1a", "2b", "3c"}, sent); diff != "" {
		t.Error(diff)
	}
}

// One partition stops answering. Its unresolved call is repeated before any other call to it:
// otherwise the partition would refuse the next call for its sequence number, and the writer
// would take that for the takeover by another one.
func TestUnresolvedCallIsRepeatedBeforeNextCall(t *testing.T) {
	f := &scriptedStore{script: []error{nil, errNoAnswer, nil, errNoAnswer, nil, nil}, executed: []bool{true, false, true, false, true, true}}
	runWithFakeClock(t, f, 2, func(t *testing.T, w *Writer) { writeAll(t, w, "a", "b", "c", "d") })
	last := f.calls[len(f.calls)-1]
	var numbers [][2]int64
	for _, c := range f.calls {
		numbers = append(numbers, [2]int64{int64(c.Part), c.Seq})
	}
	want := [][2]int64{{0, 1}, {0, 2}, {1, 1}, {1, 2}, {0, 2}, {0, 3}, {0, 4}}
	if diff := cmp.Diff(want, numbers); diff != "" {
		t.Error(diff)
	}
	if string(last.Records[0]) != "d" {
		t.Errorf("the last call wrote %q", last.Records[0])
	}
}

// A record that was never part of a call can be withdrawn, and the caller may then answer that
// it is not in the log; one that was sent cannot.
func TestOnlyUnsentRecordCanBeWithdrawn(t *testing.T) {
	w := New(&scriptedStore{}, Target{CallBytes: 100})
	first := w.Write([]byte("a"), func(Ack) {})
	second := w.Write([]byte("b"), func(Ack) {})
	if !second.Withdraw() {
		t.Error("a record that was not sent could not be withdrawn")
	}
	if batch := w.nextBatch(); len(batch) != 1 {
		t.Errorf("batch of %d records, want 1", len(batch))
	}
	if first.Withdraw() {
		t.Error("a record that was sent was withdrawn")
	}
}

// A writer goes on after a refusal, and stops when another writer has taken over.
func TestFencedWriterStops(t *testing.T) {
	f := &scriptedStore{script: []error{errBusy, errFenced}, executed: []bool{false, false}}
	w := New(f, Target{Parts: 1, Producer: "p", Epoch: 1, FirstSeq: 1, CallBytes: 100})
	w.Write([]byte("a"), func(Ack) { t.Error("acked") })
	err := w.Run(context.Background())
	if _, replaced := err.(*ReplacedError); !replaced {
		t.Errorf("ended with %v", err)
	}
}

// lossyStore executes calls and loses the responses to the first sendings of each.
type lossyStore struct {
	lostAnswers int           // how many responses to each call are lost
	latency     time.Duration // of the responses that are not lost
	mu          sync.Mutex
	sent        map[int64]int // number of sendings by sequence number
}

func (f *lossyStore) Append(ctx context.Context, _ time.Duration, a platform.Append) (platform.Appended, error) {
	f.mu.Lock()
	f.sent[a.Seq]++
	n := f.sent[a.Seq]
	f.mu.Unlock()
	if n <= f.lostAnswers {
		<-ctx.Done()
		return platform.Appended{}, errNoAnswer
	}
	boottime.Sleep(ctx, f.latency)
	return platform.Appended{}, nil
}

// runWithFakeClock runs a writer on a store in a synctest bubble.
func runWithFakeClock(t *testing.T, f Store, parts int, do func(*testing.T, *Writer)) {
	synctestWriter(t, f, Target{Topic: "t", Parts: parts, Producer: "p", Epoch: 1, FirstSeq: 1, CallBytes: 1 << 20}, do)
}

// synctestWriter runs a writer with a target in a synctest bubble.
func synctestWriter(t *testing.T, f Store, target Target, do func(*testing.T, *Writer)) {
	synctest.Test(t, func(t *testing.T) {
		w := New(f, target)
		began := time.Now()
		w.now = func() time.Duration { return time.Since(began) }
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = w.Run(ctx) }()
		do(t, w)
		cancel()
		<-ended
	})
}

// A store executes calls and loses the responses to the first two sendings of each. Without
// hedging, every submission would wait for a whole timeout. If the time spent on a lost
// response counted as latency of the store, repeats would come later with each loss.
func TestLostAnswersAreHedged(t *testing.T) {
	f := &lossyStore{lostAnswers: 2, latency: 10 * time.Millisecond, sent: make(map[int64]int)}
	runWithFakeClock(t, f, 1, func(t *testing.T, w *Writer) {
		for _, r := range []string{"a", "b", "c", "d", "e", "f"} {
			began := time.Now()
			writeAll(t, w, r)
			if took := time.Since(began); took > minTimeout/2 {
				t.Errorf("record %s was acked after %v", r, took)
			}
		}
	})
	for seq, n := range f.sent {
		if n != f.lostAnswers+1 {
			t.Errorf("call %d was sent %d times, want %d", seq, n, f.lostAnswers+1)
		}
	}
}

// A store answers every call, but slowly. The first sending of a call is not cancelled by its
// repeats: its response counts, and the next calls wait longer before they are repeated.
func TestSlowStoreIsNotSentRepeats(t *testing.T) {
	f := &lossyStore{latency: minTimeout / 2, sent: make(map[int64]int)}
	runWithFakeClock(t, f, 1, func(t *testing.T, w *Writer) {
		began := time.Now()
		writeAll(t, w, "a")
		if took := time.Since(began); took != f.latency {
			t.Errorf("acked after %v by a store with a latency of %v", took, f.latency)
		}
		writeAll(t, w, "b", "c")
	})
	for _, seq := range []int64{2, 3} {
		if f.sent[seq] != 1 {
			t.Errorf("call %d to a slow store was sent %d times", seq, f.sent[seq])
		}
	}
}

// A store stops answering. The writer's host must notice long before the try times out:
// otherwise it goes on taking submissions that it cannot append, and its callers stay with it.
func TestUnresponsiveStoreIsUnhealthyBeforeTimeout(t *testing.T) {
	f := &lossyStore{lostAnswers: 100, sent: make(map[int64]int)}
	runWithFakeClock(t, f, 1, func(t *testing.T, w *Writer) {
		w.Write([]byte("a"), func(Ack) { t.Error("acked") })
		time.Sleep(unresponsiveAfter - time.Millisecond)
		synctest.Wait()
		if !w.Healthy() {
			t.Error("unhealthy before the store was without a response for long")
		}
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		if w.Healthy() {
			t.Error("healthy although the store does not answer")
		}
	})
}
