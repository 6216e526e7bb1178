// Package logwriter appends records to a topic of the platform's log, in batches and one call
// at a time. Calls carry a producer, an epoch and a sequence number, so that a call whose
// response was lost can be repeated without writing its records twice. Calls are hedged: the
// repeat is sent while the first one may still be answered.
//
// A topic has a few partitions. The writer uses one for as long as it answers, and appends the
// same records to the next one when it does not, as some partitions may be down while others
// work. A record can then be in two partitions; readers count it once.
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
	// minTimeout is the minimum timeout of a try, hedged requests included: the store answers in
	// some 10 ms, and within 0.6 s when it is slow for all hosts. Giving up a try before its
	// response only adds load to such a store.
	minTimeout = time.Second
	// unresponsiveAfter is how long a try goes without any response before the store counts as
	// unreachable, or unresponsiveFactor times the newest latency if that is longer.
	unresponsiveAfter  = 400 * time.Millisecond
	unresponsiveFactor = 2
	// timeoutFactor times the mean latency is the timeout of the first try of a batch.
	timeoutFactor = 8
	// latencyWindow is over how many responses the mean latency is smoothed.
	latencyWindow = 8
	// maxTimeout is the maximum timeout of a try.
	maxTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the pause between tries, which doubles each time.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// maxRepeatAge is how long a call without a response is repeated before others to its partition.
	// Readers know records for longer than that.
	maxRepeatAge = 10 * time.Second
	// recordOverhead is the framing overhead of a record in bytes.
	recordOverhead = 4
)

// Store is the part of the platform's client that a Writer uses.
type Store interface {
	Append(ctx context.Context, timeout time.Duration, a platform.Append) (platform.Appended, error)
}

// Target is where records are appended, and the identity under which they are.
type Target struct {
	Topic     string
	Parts     int // partitions that may be used
	Producer  string
	Epoch     int64
	FirstSeq  int64
	CallBytes int // maximum size of a call
	// OwnEpochs lets the writer raise the epoch: nobody else writes as this producer.
	OwnEpochs bool
}

// ReplacedError reports that a writer with a higher epoch has taken over. Its cause is the
// refusal by the log.
type ReplacedError struct{ Cause error }

// Error implements error.
func (e *ReplacedError) Error() string { return "another writer took over: " + e.Cause.Error() }

// Unwrap returns the refusal by the log.
func (e *ReplacedError) Unwrap() error { return e.Cause }

// RejectedError reports that the log rejects a record for what it contains. It is not in the log.
type RejectedError struct{ Cause error }

// Error implements error.
func (e *RejectedError) Error() string { return "the log rejects the record: " + e.Cause.Error() }

// Unwrap returns the response of the log.
func (e *RejectedError) Unwrap() error { return e.Cause }

// Ack reports that a record is in the log or, with an error, that the log rejects it.
type Ack struct {
	SentAt time.Duration // when the acked try began (package boottime)
	Err    error         // nil or a *RejectedError
}

// Pending is a record that was passed to Write.
type Pending struct {
	data      []byte
	onAck     func(Ack)
	writer    *Writer
	sent      bool // part of a call that was sent: the record may be in the log
	withdrawn bool // skipped by nextBatch
}

// Withdraw removes a record from the queue and reports whether that succeeded: if not, the
// record may be in the log or may be appended later.
func (p *Pending) Withdraw() bool {
	p.writer.mu.Lock()
	defer p.writer.mu.Unlock()
	if p.sent {
		return false
	}
	p.withdrawn = true
	return true
}

// Writer appends records to one Target. Its methods are safe for concurrent use; Run is called
// once.
type Writer struct {
	store       Store
	target      Target
	partitions  []partition
	active      int           // partition in use
	batch       int64         // number of the batch that is being appended
	meanLatency time.Duration // smoothed time from a sending to its response
	lastLatency atomic.Int64  // the newest of these times
	calls       conc.WaitGroup
	now         func() time.Duration // package boottime, except in tests

	mu           sync.Mutex
	queue        []*Pending
	wake         chan struct{}
	healthy      bool          // the last try succeeded, and the present one is not unanswered for too long
	refusedSince time.Duration // when the present series of refusals began; 0 if the last try was not refused
}

// partition is the writer's state of one partition.
type partition struct {
	epoch int64
	seq   int64 // sequence number of the next call
	// unresolved is a call without a conclusive response, or nil. It is repeated before the
	// next call to the partition, as the log may or may not have executed it and so used up
	// its sequence number.
	unresolved *platform.Append
	batch      int64         // number of the batch that the unresolved call holds
	sentAt     time.Duration // when the unresolved call first got no response
}

// New returns a writer; Run appends the records.
func New(store Store, target Target) *Writer {
	w := &Writer{store: store, target: target, wake: make(chan struct{}, 1), healthy: true, now: boottime.Now}
	w.partitions = make([]partition, max(target.Parts, 1))
	for i := range w.partitions {
		w.partitions[i].epoch, w.partitions[i].seq = target.Epoch, target.FirstSeq
	}
	return w
}

// Write queues a record. onAck is called from the goroutine of Run once the record is in the
// log.
func (w *Writer) Write(data []byte, onAck func(Ack)) *Pending {
	p := &Pending{data: data, onAck: onAck, writer: w}
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return p
}

// LastLatency returns the latency of the newest response.
func (w *Writer) LastLatency() time.Duration { return time.Duration(w.lastLatency.Load()) }

// Healthy reports whether the last try of a call succeeded and the present one has not been
// without a response for too long.
func (w *Writer) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healthy
}

// Run appends queued records until ctx ends or another writer takes over, which it reports as
// a *ReplacedError.
func (w *Writer) Run(ctx context.Context) error {
	defer w.calls.Wait()
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.wake:
			}
			continue
		}
		if err := w.appendBatch(ctx, batch); err != nil {
			return err
		}
	}
}

// appendBatch appends the records of a batch and acks them. If the log rejects the batch, they are
// appended one by one, so that a record which the log rejects fails alone and holds up no other.
func (w *Writer) appendBatch(ctx context.Context, batch []*Pending) error {
	ack, err := w.sendBatch(ctx, batch)
	switch {
	case platform.IsInvalid(err) && len(batch) > 1:
		for i := range batch {
			if err := w.appendBatch(ctx, batch[i:i+1]); err != nil {
				return err
			}
		}
		return nil
	case platform.IsInvalid(err):
		ack.Err = &RejectedError{Cause: err}
	case err != nil:
		return err
	}
	for _, p := range batch {
		p.onAck(ack)
	}
	return nil
}

// nextBatch removes the records of the next call from the queue.
func (w *Writer) nextBatch() []*Pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*Pending
	size, n := 0, 0
	for _, p := range w.queue {
		if !p.withdrawn {
			size += len(p.data) + recordOverhead
			if size > w.target.CallBytes && len(batch) > 0 {
				break
			}
			p.sent = true
			batch = append(batch, p)
		}
		n++
	}
	w.queue = append(w.queue[:0:0], w.queue[n:]...)
	return batch
}

// sendBatch tries one partition after the other until one acks the batch.
func (w *Writer) sendBatch(ctx context.Context, batch []*Pending) (Ack, error) {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.data)
	}
	w.batch++
	timeout, backoff := w.firstTimeout(), minBackoff
	for {
		sentAt := w.now()
		err := w.tryActive(ctx, timeout, records)
		w.recordResult(err, sentAt)
		switch {
		case err == nil:
			return Ack{SentAt: sentAt}, nil
		case platform.IsInvalid(err):
			return Ack{SentAt: sentAt}, err
		case platform.Fenced(err), platform.OutOfSequence(err):
			return Ack{}, &ReplacedError{Cause: err}
		case !platform.IsRefused(err):
			timeout = min(2*timeout, maxTimeout)
		}
		w.active = (w.active + 1) % len(w.partitions)
		if !boottime.Sleep(ctx, backoff) {
			return Ack{}, ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Writer) firstTimeout() time.Duration {
	return min(max(timeoutFactor*w.meanLatency, minTimeout), maxTimeout)
}

// tryActive appends records to the partition in use, after repeating its unresolved call if
// there is one. If that call holds the same batch, repeating it is enough.
func (w *Writer) tryActive(ctx context.Context, timeout time.Duration, records [][]byte) error {
	p := &w.partitions[w.active]
	if p.unresolved != nil && p.batch != w.batch && w.target.OwnEpochs && w.now()-p.sentAt > maxRepeatAge {
		p.abandonUnresolved()
	}
	if p.unresolved != nil {
		same := p.batch == w.batch
		err := w.call(ctx, timeout, p, *p.unresolved)
		if same || err != nil && !platform.IsInvalid(err) {
			return err
		}
	}
	return w.call(ctx, timeout, p, platform.Append{
		Topic: w.target.Topic, Part: w.active, Producer: w.target.Producer,
		Epoch: p.epoch, Seq: p.seq, ExpectedEnd: -1, Records: records,
	})
}

// abandonUnresolved gives up the unresolved call, whose records are in another partition. The log
// rejects it from the next call on, as that has a higher epoch.
//
// The guard is against records that are executed long after readers have forgotten them, and so a second
// time: a job that has run would be taken for a new one.
func (p *partition) abandonUnresolved() {
	p.unresolved = nil
	p.epoch++
	p.seq = 1
}

func (w *Writer) call(ctx context.Context, timeout time.Duration, p *partition, a platform.Append) error {
	err := w.appendHedged(ctx, timeout, a)
	switch {
	case err == nil:
		p.seq = a.Seq + 1
		p.unresolved = nil
	case platform.IsInvalid(err):
		p.unresolved = nil
	case !platform.IsRefused(err):
		if p.unresolved == nil {
			p.batch, p.sentAt = w.batch, w.now()
		}
		p.unresolved = &a
	}
	return err
}

func (w *Writer) recordResult(err error, sentAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healthy = err == nil || platform.IsInvalid(err)
	switch {
	case !platform.IsRefused(err):
		w.refusedSince = 0
	case w.refusedSince == 0:
		w.refusedSince = sentAt
	}
}

// markUnhealthy records that the present try has been without a response for too long.
func (w *Writer) markUnhealthy() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healthy = false
}

// RefusedFor returns for how long the log has answered with refusals only.
func (w *Writer) RefusedFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusedSince == 0 {
		return 0
	}
	return w.now() - w.refusedSince
}
