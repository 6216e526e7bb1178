package soak

import (
	"strings"
	"testing"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

// The soak was red (TestSoakOfLives, seed 220) over what is allowed. A task was done on
// a worker that had been cut off, its lease ended, the task ran elsewhere, and that
// second end was taken note of:
//
//	28:59 i-0  run 1 begins, and is done behind the cut
//	29:03 run lost  run 1  its lease is over
//	29:03 assigned  i-2, where run 2 is done and taken note of
//	      "started again after an end as done of run 2 that was then taken note of"
//
// The worker told of its lapse only when it was called again, and the audit remembered
// that a task had been started after an end, not after which. It also forgot the first
// end over the second, so that it missed the opposite case.
func TestAuditTellsEndsApart(t *testing.T) {
	const task = "00000000000000aa.0.0.0"
	saw := func(what fakeplatform.EventKind, worker string, run int) fakeplatform.WorkerEvent {
		return fakeplatform.WorkerEvent{Worker: worker, What: what, Task: task, Run: run, Spec: "spec"}
	}
	twice := []fakeplatform.WorkerEvent{
		saw(fakeplatform.RunStarted, "i-0", 1), saw(fakeplatform.RunDone, "i-0", 1),
		saw(fakeplatform.RunStarted, "i-2", 2), saw(fakeplatform.RunDone, "i-2", 2),
	}
	for name, c := range map[string]struct {
		then []fakeplatform.WorkerEvent
		want string // in the only breach; empty for none
	}{
		"the second end is noted, the first forgotten": {
			then: []fakeplatform.WorkerEvent{saw(fakeplatform.EndAcked, "i-2", 2), saw(fakeplatform.EndDropped, "i-0", 1)},
		},
		"the first end is noted": {
			then: []fakeplatform.WorkerEvent{saw(fakeplatform.EndAcked, "i-0", 1)},
			want: "after an end as done of run 1",
		},
		"both ends are noted": {
			then: []fakeplatform.WorkerEvent{saw(fakeplatform.EndAcked, "i-2", 2), saw(fakeplatform.EndAcked, "i-0", 1)},
			want: "after an end as done of run 1",
		},
		"a run begins after a noted end": {
			then: []fakeplatform.WorkerEvent{saw(fakeplatform.EndAcked, "i-2", 2), saw(fakeplatform.RunStarted, "i-1", 3)},
			want: "run 3 on i-1 after it was done",
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAudit()
			a.sent("00000000000000aa", "spec", []stepSent{{tasks: 1}})
			for _, e := range append(twice[:len(twice):len(twice)], c.then...) {
				a.see(e)
			}
			got := strings.Join(a.breaches(), "; ")
			if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
				t.Errorf("breaches %q, want %q", got, c.want)
			}
		})
	}
}
