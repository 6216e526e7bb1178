package soak

import (
	"strings"
	"testing"

	"github.com/fireflyfold/fireflyfold/platform/fakeplatform"
)

// Guards against a false violation (TestSoakWithWorkerRestarts, seed 220). A task completed
// on a partitioned worker, its lease expired, the task ran elsewhere, and that second
// completion was acknowledged:
//
//	28:59 i-0  run 1 starts, and completes behind the partition
//	29:03 run lost  run 1  its lease is over
//	29:03 assigned  i-2, where run 2 completes and is acknowledged
//	      "started again after the completion of run 2, which was acknowledged later"
//
// The worker reported its expired lease only on the next call, and the audit recorded that a
// task had been started after some completion, not after which. It also replaced the first
// completion by the second and so missed the opposite case.
func TestAuditAttributesCompletionsToRuns(t *testing.T) {
	const task = "00000000000000aa.0.0.0"
	event := func(what fakeplatform.EventKind, worker string, run int) fakeplatform.WorkerEvent {
		return fakeplatform.WorkerEvent{Worker: worker, What: what, Task: task, Run: run, Spec: "spec"}
	}
	ranTwice := []fakeplatform.WorkerEvent{
		event(fakeplatform.RunStarted, "i-0", 1), event(fakeplatform.RunDone, "i-0", 1),
		event(fakeplatform.RunStarted, "i-2", 2), event(fakeplatform.RunDone, "i-2", 2),
	}
	for name, c := range map[string]struct {
		then []fakeplatform.WorkerEvent
		want string // in the only violation; empty for none
	}{
		"second completion acknowledged, first dropped": {
			then: []fakeplatform.WorkerEvent{event(fakeplatform.EndAcked, "i-2", 2), event(fakeplatform.EndDropped, "i-0", 1)},
		},
		"first completion acknowledged": {
			then: []fakeplatform.WorkerEvent{event(fakeplatform.EndAcked, "i-0", 1)},
			want: "after the completion of run 1",
		},
		"both completions acknowledged": {
			then: []fakeplatform.WorkerEvent{event(fakeplatform.EndAcked, "i-2", 2), event(fakeplatform.EndAcked, "i-0", 1)},
			want: "after the completion of run 1",
		},
		"run starts after an acknowledged completion": {
			then: []fakeplatform.WorkerEvent{event(fakeplatform.EndAcked, "i-2", 2), event(fakeplatform.RunStarted, "i-1", 3)},
			want: "run 3 started on i-1 after an acknowledged completion",
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAudit()
			a.recordJob("00000000000000aa", "spec", []stepSpec{{tasks: 1}})
			for _, e := range append(ranTwice[:len(ranTwice):len(ranTwice)], c.then...) {
				a.observe(e)
			}
			got := strings.Join(a.violations(), "; ")
			if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}
