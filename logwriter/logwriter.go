// Package logwriter appends records to a topic of the platform's log, many to a
// call and one call at a time. Calls carry a producer, an epoch and a sequence
// number, so that one whose answer was lost is repeated without writing its
// records twice; the repeat goes out while the first may still be answered.
//
// A topic has a few partitions, of which one is used as long as it answers. When
// it does not, the same records go to the next one: some partitions may be down
// while others work. A record can then stand in two partitions; readers count
// it once.
package logwriter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/fireflyfold/fireflyfold/boottime"
	"github.com/fireflyfold/fireflyfold/platform"
)

const (
	// leastTimeout bounds a try, with all its repeats, from below: the store
	// answers in some 10 ms, and within 0.6 s when it is slow for everyone. A try
	// that is given up before its answer comes only makes such a store slower.
	leastTimeout = time.Second
	// quietAfter is how long a try goes without any answer before the store counts
	// as out of reach; slowAnswers times the newest answer's time if that is longer.
	quietAfter  = 400 * time.Millisecond
	slowAnswers = 2
	// timeoutFactor times the usual time of an answer is how long a try may take.
	timeoutFactor = 8
	// usualMemory is over how many answers the usual time is a mean.
	usualMemory = 8
	// longestTimeout bounds a try from above.
	longestTimeout = 3 * time.Second
	// firstPause and longestPause bound the pause between tries.
	firstPause   = 20 * time.Millisecond
	longestPause = 250 * time.Millisecond
	// recordOverhead is what framing adds to a record.
	recordOverhead = 4
)

// Store is the part of the platform's client that is used.
type Store interface {
	Append(ctx context.Context, timeout time.Duration, a platform.Append) (platform.Appended, error)
}

// Target names where records go and as whom.
type Target struct {
	Topic     string
	Parts     int // partitions that may be used
	Producer  string
	Epoch     int64
	FirstSeq  int64
	CallBytes int // most bytes of one call
}

// ReplacedError reports that a writer with a higher epoch has taken over.
type ReplacedError struct{ Cause error }

// Error implements error.
func (e *ReplacedError) Error() string { return "another writer took over: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReplacedError) Unwrap() error { return e.Cause }

// Kept tells that a record is in the log.
type Kept struct {
	SentAt time.Duration // when the call that succeeded was sent (package boottime)
}

// Pending is a record that was handed in.
type Pending struct {
	data   []byte
	kept   func(Kept)
	writer *Writer
	taken  bool // part of a call that was sent: it may be in the log
	gone   bool // withdrawn
}

// Withdraw takes a record back. It reports whether that succeeded: if not, the
// record may be in the log or may come there later.
func (p *Pending) Withdraw() bool {
	p.writer.mu.Lock()
	defer p.writer.mu.Unlock()
	if p.taken {
		return false
	}
	p.gone = true
	return true
}

// Writer writes to one Target.
type Writer struct {
	store  Store
	target Target
	lanes  []lane
	part   int           // partition in use
	batch  int64         // number of the batch that is being written
	usual  time.Duration // usual time of an answer
	last   atomic.Int64  // time of the newest answer
	calls  conc.WaitGroup
	now    func() time.Duration // package boottime, but in tests

	mu      sync.Mutex
	queue   []*Pending
	wake    chan struct{}
	healthy bool          // the last try succeeded
	refused time.Duration // since when every answer was a refusal; 0 if the last one was not
}

// lane is one partition.
type lane struct {
	seq int64
	// open is a call without an answer. It is settled before the next one goes
	// there: its sequence number may or may not be taken.
	open  *platform.Append
	batch int64 // which batch the open call holds
}

// New returns a writer; Run does the work.
func New(store Store, target Target) *Writer {
	w := &Writer{store: store, target: target, wake: make(chan struct{}, 1), healthy: true, now: boottime.Now}
	w.lanes = make([]lane, max(target.Parts, 1))
	for i := range w.lanes {
		w.lanes[i].seq = target.FirstSeq
	}
	return w
}

// Write hands in a record. kept is called once it is in the log, from the
// writer's goroutine.
func (w *Writer) Write(data []byte, kept func(Kept)) *Pending {
	p := &Pending{data: data, kept: kept, writer: w}
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return p
}

// AnswerTime is how long the newest answer took.
func (w *Writer) AnswerTime() time.Duration { return time.Duration(w.last.Load()) }

// Healthy reports whether the last try of a call succeeded, and the present one is
// not without an answer for too long.
func (w *Writer) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healthy
}

// Run writes until ctx ends or another writer takes over.
func (w *Writer) Run(ctx context.Context) error {
	defer w.calls.Wait()
	for {
		batch := w.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wake:
			}
			continue
		}
		kept, err := w.send(ctx, batch)
		if err != nil {
			return err
		}
		for _, p := range batch {
			p.kept(kept)
		}
	}
}

// take removes the records of the next call from the queue.
func (w *Writer) take() []*Pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*Pending
	size, n := 0, 0
	for _, p := range w.queue {
		if !p.gone {
			size += len(p.data) + recordOverhead
			if size > w.target.CallBytes && len(batch) > 0 {
				break
			}
			p.taken = true
			batch = append(batch, p)
		}
		n++
	}
	w.queue = append(w.queue[:0:0], w.queue[n:]...)
	return batch
}

// send writes a batch to one partition after the other until one answers.
func (w *Writer) send(ctx context.Context, batch []*Pending) (Kept, error) {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.data)
	}
	w.batch++
	timeout, pause := w.firstTimeout(), firstPause
	for {
		sentAt := w.now()
		err := w.try(ctx, timeout, records)
		w.note(err, sentAt)
		switch {
		case err == nil:
			return Kept{SentAt: sentAt}, nil
		case platform.Fenced(err), platform.OutOfSequence(err):
			return Kept{}, &ReplacedError{Cause: err}
		case !platform.IsRefused(err):
			timeout = min(2*timeout, longestTimeout)
		}
		w.part = (w.part + 1) % len(w.lanes)
		if !boottime.Sleep(ctx, pause) {
			return Kept{}, ctx.Err()
		}
		pause = min(2*pause, longestPause)
	}
}

func (w *Writer) firstTimeout() time.Duration {
	return min(max(timeoutFactor*w.usual, leastTimeout), longestTimeout)
}

// try writes records to the partition in use, after settling an open call.
func (w *Writer) try(ctx context.Context, timeout time.Duration, records [][]byte) error {
	l := &w.lanes[w.part]
	if l.open != nil {
		same := l.batch == w.batch
		if err := w.call(ctx, timeout, l, *l.open); err != nil || same {
			return err
		}
	}
	return w.call(ctx, timeout, l, platform.Append{
		Topic: w.target.Topic, Part: w.part, Producer: w.target.Producer,
		Epoch: w.target.Epoch, Seq: l.seq, ExpectedEnd: -1, Records: records,
	})
}

func (w *Writer) call(ctx context.Context, timeout time.Duration, l *lane, a platform.Append) error {
	err := w.hedged(ctx, timeout, a)
	switch {
	case err == nil:
		l.seq = a.Seq + 1
		l.open = nil
	case !platform.IsRefused(err):
		if l.open == nil {
			l.batch = w.batch
		}
		l.open = &a
	}
	return err
}

func (w *Writer) note(err error, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healthy = err == nil
	switch {
	case !platform.IsRefused(err):
		w.refused = 0
	case w.refused == 0:
		w.refused = at
	}
}

// quiet notes that the present try goes without an answer.
func (w *Writer) quiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healthy = false
}

// RefusedFor returns for how long the log has answered with refusals alone.
func (w *Writer) RefusedFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused == 0 {
		return 0
	}
	return w.now() - w.refused
}
