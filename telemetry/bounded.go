package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriter passes lines on from a goroutine of its own. A reader that is
// slow costs lines, never time: a full queue drops the line and counts it.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup

	mu     sync.Mutex
	second int64 // of the budget below
	spent  int   // bytes in that second
}

const (
	// boundedLines is how many lines wait at most.
	boundedLines = 2048
	// boundedBytesPerS bounds the volume under load: some 3,000 lines a second.
	boundedBytesPerS = 1 << 20
	// reportDropped is how often dropped lines are told.
	reportDropped = time.Second
)

// NewBoundedWriter returns a writer to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, boundedLines)}
	w.done.Add(1)
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	if !w.withinBudget(len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *BoundedWriter) withinBudget(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.spent = now, 0
	}
	w.spent += n
	return w.spent <= boundedBytesPerS
}

// Dropped returns how many lines were dropped.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued. Nothing may be written afterwards.
func (w *BoundedWriter) Close() error {
	close(w.lines)
	w.done.Wait()
	return nil
}

// run writes lines, many at a time.
func (w *BoundedWriter) run() {
	defer w.done.Done()
	var (
		buf      []byte
		told     int64
		toldAt   time.Time
		maxBatch = 64 << 10
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
		if n := w.dropped.Load(); n != told && time.Since(toldAt) > reportDropped {
			buf = fmt.Appendf(buf, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n)
			told, toldAt = n, time.Now()
		}
		// Standard output that is gone leaves nobody to tell.
		_, _ = w.out.Write(buf)
	}
}
