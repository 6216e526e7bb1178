package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// BoundedWriter writes log lines from a separate goroutine. A slow reader never blocks the
// caller: when the queue is full or the byte budget is used up, lines are dropped and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when all lines are written

	mu           sync.Mutex
	closed       bool
	budgetSecond int64 // Unix time of the second that budgetUsed is for
	budgetUsed   int   // bytes written in that second
}

const (
	// maxQueuedLines is the maximum number of queued lines.
	maxQueuedLines = 2048
	// maxBytesPerSecond limits the volume under load: some 3,000 lines a second.
	maxBytesPerSecond = 1 << 20
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
	// closeTimeout bounds the wait for an output that blocks.
	closeTimeout = 500 * time.Millisecond
)

// NewBoundedWriter returns a writer to out. Close ends its goroutine.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line or drops it, as after Close. It never blocks and never returns an error.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.queue(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// queue reports whether the line was queued.
func (w *BoundedWriter) queue(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.withinBudget(len(line)) {
		return false
	}
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// withinBudget counts n bytes and reports whether they may be written in this second. w.mu is held.
func (w *BoundedWriter) withinBudget(n int) bool {
	if now := time.Now().Unix(); now != w.budgetSecond {
		w.budgetSecond, w.budgetUsed = now, 0
	}
	w.budgetUsed += n
	return w.budgetUsed <= maxBytesPerSecond
}

// Dropped returns the number of dropped lines.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// ErrLinesUnwritten reports that the output has not taken all lines within the time that Close waits.
var ErrLinesUnwritten = errors.New("the output does not take the last log lines")

// Close writes the queued lines. It waits for closeTimeout at most and then returns ErrLinesUnwritten.
func (w *BoundedWriter) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(closeTimeout):
		return ErrLinesUnwritten
	}
}

// run writes the queued lines, many at a time.
func (w *BoundedWriter) run() {
	defer close(w.done)
	var (
		buf        []byte
		reported   int64
		reportedAt time.Time
		maxBatch   = 64 << 10
	)
	for line := range w.lines {
		buf = append(buf[:0], line...)
		for more := true; more && len(buf) < maxBatch; {
			select {
			case l, ok := <-w.lines:
				buf = append(buf, l...)
				more = ok
			default:
				more = false
			}
		}
		if n := w.dropped.Load(); n != reported && time.Since(reportedAt) > dropReportInterval {
			buf = fmt.Appendf(buf, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
			reported, reportedAt = n, time.Now()
		}
		// If the output fails, there is nowhere left to report the error.
		_, _ = w.out.Write(buf)
	}
}
