package entry

import (
	"context"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/problem"
)

// Guards against a caller that waits for a job and is refused because the host
// stops: the look that meets the stop finds that the host schedules no more.
func TestWaitIsAnsweredWhenLookMeetsStop(t *testing.T) {
	leaves := make(chan struct{})
	w := jobWait{leaves: leaves, deadline: time.Hour, now: func() time.Duration { return 0 }}
	looks := 0
	done := make(chan struct{})
	w.done = done
	body, p := w.run(context.Background(), func() ([]byte, *problem.Problem) {
		if looks++; looks == 1 {
			close(done) // the next look comes at once
			return []byte(`{"state":"running"}`), nil
		}
		close(leaves)
		w.done = nil
		return nil, problem.NotRun(problem.TypeNotReady, "this host does not schedule the zone")
	})
	if p != nil || string(body) != `{"state":"running"}` {
		t.Errorf("answered with %s, %v, want how the job stood", body, p)
	}
}

// A caller whose first look meets the stop has no earlier answer: it is refused.
func TestWaitThatBeginsInStopIsRefused(t *testing.T) {
	leaves := make(chan struct{})
	close(leaves)
	w := jobWait{leaves: leaves, deadline: time.Hour, now: func() time.Duration { return 0 }}
	refusal := problem.NotRun(problem.TypeNotReady, "this host does not schedule the zone")
	if _, p := w.run(context.Background(), func() ([]byte, *problem.Problem) { return nil, refusal }); p != refusal {
		t.Errorf("answered with %v, want the refusal", p)
	}
}
