package region

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// queueWithAdvice returns a queue whose advice calls, also those about 100 workers,
// take ms.
func queueWithAdvice(name string, ms float64) model.Queue {
	return model.Queue{Name: name, Policy: &record.Policy{
		Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000,
		Advice: &record.Advice{DecideMs: ms, ValidMs: 2000},
	}}
}

// A queue with advice calls of a quarter of a second shares the region with one whose
// calls take more than a second and which has many waiting steps. If every host always
// has a long call in flight, a shorter call finds no free host, and its jobs wait for
// minutes while workers are idle.
func TestLongAdviceCallsLeaveHostsToShortOnes(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 8 {
		w.addWorker(fmt.Sprintf("w%d", i), 64)
	}
	w.startLeader()
	c := testConfig()
	c.Queues = []model.Queue{queueWithAdvice("short", 10), queueWithAdvice("middle", 240), queueWithAdvice("long", 1300)}
	w.step(ConfigRead{Config: c})
	w.step(AdviceHostsChanged{Hosts: []string{"", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}})
	submit := func(id string, queue int) {
		j := oneStep(id, &record.Step{Count: 1, Request: &record.Resources{MilliCpu: 1000, MemoryMib: 100}})
		j.Policy = c.Queues[queue].Policy
		w.submitTo(j, c.Queues[queue].Name)
	}
	for i := range 60 {
		submit(fmt.Sprintf("long%02d", i), 2)
	}
	w.run(time.Second)
	submit("middle", 1)
	w.run(2 * time.Second)
	w.mustComplete("middle")
}

// Queues with calls of similar length share a tier, so that no host is kept idle for
// shorter calls that do not exist.
func TestAdviceTiers(t *testing.T) {
	for name, tc := range map[string]struct {
		ms    []float64
		first []int // of 8 hosts
	}{
		"one queue":   {[]float64{500}, []int{0}},
		"alike":       {[]float64{100, 200, 500}, []int{0, 0, 0}},
		"two lengths": {[]float64{10, 240}, []int{0, 2}},
		"three":       {[]float64{10, 240, 1300}, []int{0, 2, 4}},
		"four":        {[]float64{1, 10, 100, 1000}, []int{0, 2, 4, 4}},
	} {
		c := &model.Config{}
		for i, ms := range tc.ms {
			c.Queues = append(c.Queues, queueWithAdvice(fmt.Sprint(i), ms))
		}
		l := adviceTiersOf(c)
		for i, want := range tc.first {
			if got := l.firstHost(fmt.Sprint(i), 8); got != want {
				t.Errorf("%s: queue %d uses hosts from %d on, want %d", name, i, got, want)
			}
		}
		if got := l.firstHost("0", 1); got != 0 {
			t.Errorf("%s: the only host is not used", name)
		}
	}
}
