package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// adviceParts hands in a step in a region of 100 workers, of which the first ones are nearly full,
// and returns the workers that its calls for advice name. hosts can be asked, and the given number
// of them have calls to wait for.
func adviceParts(t *testing.T, hosts, busy int, gang bool) [][]string {
	w := newWorld(t, 1)
	for i := range 100 {
		w.addWorker(fmt.Sprintf("w%02d", i), 16)
	}
	w.startLeader()
	names := []string{""}
	for i := range hosts - 1 {
		names = append(names, fmt.Sprintf("h%02d", i))
	}
	w.step(AdviceHostsChanged{Hosts: names})
	w.run(time.Second)
	for i := range 60 {
		w.sched.active[i].used.MilliCPU = 15000
	}
	for i := range busy {
		w.sched.advisers.hosts[i].enqueue(adviceStep{job: fmt.Sprint(i)}, time.Minute, w.now)
	}
	j := oneStep("a", &record.Step{Count: 20, Gang: gang, Request: &record.Resources{MilliCpu: 1000, MemoryMib: 100}})
	j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 20, TargetLatencyMs: 10000, Advice: &record.Advice{DecideMs: 140, EachMs: 2, ValidMs: 2000}}
	var calls [][]string
	w.seesAdvice = func(c Advise) { calls = append(calls, c.Workers) }
	w.submit(j)
	w.run(20 * time.Millisecond)
	return calls
}

// While most hosts have no call for advice, a long call is split over several of them, and answered
// sooner. Each worker is asked about once.
func TestLongCallIsSplitOverIdleHosts(t *testing.T) {
	for name, c := range map[string]struct{ hosts, busy, want int }{
		"idle":      {60, 0, 3}, // 80 workers, 160 ms
		"half idle": {60, 30, 1},
		"few hosts": {30, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			calls := adviceParts(t, c.hosts, c.busy, false)
			if len(calls) != c.want {
				t.Errorf("%d calls, want %d", len(calls), c.want)
			}
			named := make(map[string]bool)
			for _, call := range calls {
				for _, id := range call {
					if named[id] {
						t.Errorf("worker %s is named twice", id)
					}
					named[id] = true
				}
			}
		})
	}
}

// Guards against gangs that ask about the first workers with room for one member, where all others
// ask as well, although others are empty.
func TestGangAsksAboutEmptyWorkersFirst(t *testing.T) {
	calls := adviceParts(t, 60, 0, true)
	if len(calls) == 0 {
		t.Fatal("the gang did not ask")
	}
	for _, call := range calls {
		for _, id := range call {
			if id < "w60" {
				t.Errorf("worker %s with room for one member is named, and empty ones would do", id)
			}
		}
	}
}
