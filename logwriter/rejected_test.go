package logwriter

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fireflyfold/fireflyfold/platform"
)

// smallStore rejects calls that contain a record longer than one byte.
type smallStore struct{ scriptedStore }

func (f *smallStore) Append(ctx context.Context, timeout time.Duration, a platform.Append) (platform.Appended, error) {
	for _, r := range a.Records {
		if len(r) > 1 {
			return platform.Appended{}, &platform.StatusError{Status: http.StatusRequestEntityTooLarge}
		}
	}
	return f.scriptedStore.Append(ctx, timeout, a)
}

// Guards against a writer that sends a record which the log rejects again and again, and appends
// nothing after it.
func TestRejectedRecordFailsAlone(t *testing.T) {
	f := &smallStore{}
	runWithFakeClock(t, f, 2, func(t *testing.T, w *Writer) {
		acks := make(chan Ack, 4)
		w.mu.Lock() // so that all are in one batch
		for _, r := range []string{"a", "too long", "b"} {
			w.queue = append(w.queue, &Pending{data: []byte(r), writer: w, onAck: func(a Ack) { acks <- a }})
		}
		w.mu.Unlock()
		writeAll(t, w, "c")
		for i, rejected := range []bool{false, true, false} {
			a := <-acks
			if _, is := a.Err.(*RejectedError); is != rejected {
				t.Errorf("ack %d: %v", i, a.Err)
			}
		}
		if !w.Healthy() {
			t.Error("the writer is not healthy")
		}
	})
	if diff := cmp.Diff([][]string{{"a", "b", "c"}}, f.appended); diff != "" {
		t.Error(diff)
	}
}
