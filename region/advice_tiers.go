package region

import (
	"cmp"
	"slices"

	"github.com/fireflyfold/fireflyfold/model"
)

// tierRatio is the ratio between the lengths of advice calls of two queues above which
// the queues get separate tiers.
const tierRatio = 3

// adviceTiers groups the queues by the length of their advice calls. The advice service
// answers the calls of one host in sequence, so that a call sent after a much longer
// one waits many times its own length, and work whose advice is quick starts too late.
// Each tier but the first leaves some hosts to shorter calls. Tiers follow from the
// configured queues: if all calls are of similar length there is one tier, which uses
// every host.
type adviceTiers struct {
	byQueue map[string]int
	count   int
}

// adviceTiersOf computes the tiers of a configuration.
func adviceTiersOf(c *model.Config) adviceTiers {
	l := adviceTiers{byQueue: make(map[string]int)}
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
		if i == 0 || q.ms > tierRatio*costs[i-1].ms {
			l.count++
		}
		l.byQueue[q.name] = l.count - 1
	}
	return l
}

// firstHost returns the index of the first host that a call of the queue may use: calls
// of the first tier may use all hosts, those of the second three quarters, the rest
// half.
func (l adviceTiers) firstHost(queue string, hosts int) int {
	tier, known := l.byQueue[queue]
	if !known {
		tier = l.count - 1 // the queue is no longer configured: its calls are not to delay others
	}
	var from int
	switch {
	case tier <= 0:
		return 0
	case tier == 1:
		from = (hosts + 3) / 4
	default:
		from = (hosts + 1) / 2
	}
	return min(from, max(hosts-1, 0))
}
