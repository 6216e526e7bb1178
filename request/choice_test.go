package request

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Parameters of the replay: a few workers, as many as one entry host holds. A
// call takes longer the more slots of its worker are in use, and one worker is
// slow.
const (
	choiceWorkers         = 4
	choiceSlots           = 8
	choiceCalls           = 40_000
	choiceMean            = 40 * time.Millisecond // of a call that is alone on its worker
	choiceDeadline        = 30 * time.Second
	choiceSlowdownPerCall = 0.08 // relative, for each other call on the worker
	choiceSlowFactor      = 2    // of the first worker
)

type callEnd struct {
	at time.Duration
	id ident.TaskID
}

type callEnds []callEnd

func (e callEnds) Len() int           { return len(e) }
func (e callEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e callEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *callEnds) Push(x any)        { *e = append(*e, x.(callEnd)) }
func (e *callEnds) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// choiceReplay feeds Poisson arrivals to a router.
type choiceReplay struct {
	router   *Router
	rand     *rand.Rand
	ends     callEnds
	arrived  map[ident.TaskID]time.Duration
	inFlight map[ident.WorkerID]int
	workerOf map[ident.TaskID]ident.WorkerID
	waits    []time.Duration // from arrival to dispatch
	totals   []time.Duration // from arrival to answer
	rejected int
}

func workerName(i int) ident.WorkerID { return ident.WorkerID(fmt.Sprintf("w%d", i)) }

func newChoiceReplay(seed uint64) *choiceReplay {
	c := &choiceReplay{
		router:   New(Options{Zone: "a", Limits: unlimited{}, Rand: rand.New(rand.NewPCG(seed, 1))}),
		rand:     rand.New(rand.NewPCG(seed, 2)),
		arrived:  map[ident.TaskID]time.Duration{},
		inFlight: map[ident.WorkerID]int{},
		workerOf: map[ident.TaskID]ident.WorkerID{},
	}
	for i := range choiceWorkers {
		c.step(0, WorkerReady{Worker: workerName(i), Services: []ident.ServiceID{"s"}, Slots: choiceSlots, Connections: choiceSlots})
	}
	return c
}

// unlimited grants every unit.
type unlimited struct{}

func (unlimited) TryUse(ident.TeamID, int64) bool { return true }
func (unlimited) Done(ident.TeamID, int64)        {}

func (c *choiceReplay) step(now time.Duration, ev Event) {
	for _, cmd := range c.router.Step(now, ev) {
		switch cmd := cmd.(type) {
		case Dispatch:
			c.waits = append(c.waits, now-c.arrived[cmd.ID])
			took := c.rand.ExpFloat64() * choiceMean.Seconds() * (1 + choiceSlowdownPerCall*float64(c.inFlight[cmd.Worker]))
			if cmd.Worker == workerName(0) {
				took *= choiceSlowFactor
			}
			c.inFlight[cmd.Worker]++
			c.workerOf[cmd.ID] = cmd.Worker
			heap.Push(&c.ends, callEnd{at: now + time.Duration(took*float64(time.Second)), id: cmd.ID})
		case Reject:
			c.rejected++
		}
	}
}

// endUntil answers the calls that end by the given time.
func (c *choiceReplay) endUntil(at time.Duration) {
	for len(c.ends) > 0 && c.ends[0].at <= at {
		end := heap.Pop(&c.ends).(callEnd)
		c.totals = append(c.totals, end.at-c.arrived[end.id])
		c.inFlight[c.workerOf[end.id]]--
		c.step(end.at, Finished{ID: end.id, Result: ResultAnswered})
	}
}

// run replays arrivals at a fraction of the rate that the slots could serve if
// every worker were full.
func (c *choiceReplay) run(load float64) {
	crowded := choiceMean.Seconds() * (1 + choiceSlowdownPerCall*(choiceSlots-1))
	rate := load * choiceSlots * (choiceWorkers - 1 + 1.0/choiceSlowFactor) / crowded
	now := time.Duration(0)
	for i := range choiceCalls {
		now += time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))
		c.endUntil(now)
		id := ident.TaskID{Seq: uint64(i)}
		c.arrived[id] = now
		c.step(now, Admitted{ID: id, Team: "t", Service: "s", Deadline: now + choiceDeadline})
	}
	c.endUntil(now + time.Hour)
}

func percentile(list []time.Duration, hundredths int) float64 {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[(len(list)-1)*hundredths/100].Seconds() * 1000
}

// Each worker gets one call before any gets a second.
func TestCallsGoToLeastLoadedWorker(t *testing.T) {
	c := newChoiceReplay(7)
	for i := range choiceWorkers {
		c.step(0, Admitted{ID: ident.TaskID{Seq: uint64(i)}, Team: "t", Service: "s", Deadline: choiceDeadline})
	}
	for i := range choiceWorkers {
		if n := c.inFlight[workerName(i)]; n != 1 {
			t.Errorf("worker %d has %d calls", i, n)
		}
	}
}

// BenchmarkChoice reports the waits for a slot and the total times of calls, in
// milliseconds. They are the same in every run; only the time per router call
// varies.
func BenchmarkChoice(b *testing.B) {
	for _, percent := range []int{70, 90} {
		b.Run(fmt.Sprintf("load=%d", percent), func(b *testing.B) {
			for b.Loop() {
				c := newChoiceReplay(7)
				c.run(float64(percent) / 100)
				b.ReportMetric(percentile(c.waits, 99), "wait-p99-ms")
				b.ReportMetric(percentile(c.totals, 50), "total-p50-ms")
				b.ReportMetric(percentile(c.totals, 99), "total-p99-ms")
				b.ReportMetric(float64(c.rejected), "rejected")
			}
		})
	}
}
