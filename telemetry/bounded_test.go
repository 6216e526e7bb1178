package telemetry

import (
	"bytes"
	"testing"
)

// stuckWriter takes one write and then blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.got.Write(p)
}

// Whoever reads the log stops reading. Requests must not wait for it: lines are
// dropped and counted, and what was queued comes out when it reads again.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	const lines = 2 * boundedLines
	for range lines {
		if _, err := w.Write([]byte("x\n")); err != nil {
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Error("nothing was dropped")
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(out.got.Bytes(), []byte("x\n")); int64(n)+dropped != lines {
		t.Errorf("%d lines came out and %d were dropped, of %d", n, dropped, lines)
	}
}
