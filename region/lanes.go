package region

import (
	"cmp"
	"slices"

	"github.com/fireflyfold/fireflyfold/model"
)

// laneGap times as long is too long to wait behind: queues whose calls for advice
// differ by more get lanes of their own.
const laneGap = 3

// lanes part the calls for advice by length. The service answers the calls of one
// host one after the other, so that a call behind one that is many times as long
// waits many times its own length, and work that is quick to advise on starts too
// late. Each lane but the first leaves some hosts to the shorter calls. The lanes
// follow from the queues that are configured: a region whose calls are all alike
// has one lane and uses every host for it.
type lanes struct {
	byQueue map[string]int
	n       int
}

// lanesOf works out the lanes of a configuration.
func lanesOf(c *model.Config) lanes {
	l := lanes{byQueue: make(map[string]int)}
	type queueCost struct {
		name string
		ms   float64
	}
	var costs []queueCost
	for i := range c.Queues {
		if a := c.Queues[i].Policy.GetAdvice(); a != nil {
			costs = append(costs, queueCost{c.Queues[i].Name, a.GetDecideMs() + a.GetEachMs()*maxAdviceWorkers})
		}
	}
	slices.SortFunc(costs, func(a, b queueCost) int {
		return cmp.Or(cmp.Compare(a.ms, b.ms), cmp.Compare(a.name, b.name))
	})
	for i, q := range costs {
		if i == 0 || q.ms > laneGap*costs[i-1].ms {
			l.n++
		}
		l.byQueue[q.name] = l.n - 1
	}
	return l
}

// first returns the first of the hosts that a call of the queue may use: all are
// open to the shortest calls, three quarters to the next ones, half to the rest.
func (l lanes) first(queue string, hosts int) int {
	lane, known := l.byQueue[queue]
	if !known {
		lane = l.n - 1 // its queue is configured no more: nobody is to wait behind it
	}
	var from int
	switch {
	case lane <= 0:
		return 0
	case lane == 1:
		from = (hosts + 3) / 4
	default:
		from = (hosts + 1) / 2
	}
	return min(from, max(hosts-1, 0))
}
