package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// call is one request from admission to its end.
type call struct {
	Admitted
	tries      int
	admittedAt time.Duration  // admission
	sentAt     time.Duration  // last dispatch
	worker     ident.WorkerID // of the dispatch in flight, if any
	avoid      ident.WorkerID // worker of the last failed try
	peer       ident.HostID   // of the forward in flight, if any
	refusedBy  []ident.HostID // peers that refused it
	waiting    bool
	holdsUnit  bool // holds a unit of the team's limit
	mayHaveRun bool // an earlier try was sent and got no answer
}

// teamQueue holds the waiting calls of one team in order of admission.
type teamQueue struct {
	team     ident.TeamID
	weight   int64
	inFlight int64
	calls    []*call // ended calls stay until they reach the head
	waiting  int
}

// head drops calls that no longer wait and returns the first that does.
func (q *teamQueue) head() *call {
	for len(q.calls) > 0 && !q.calls[0].waiting {
		q.calls[0] = nil
		q.calls = q.calls[1:]
	}
	if len(q.calls) == 0 {
		return nil
	}
	return q.calls[0]
}

// push appends c as waiting.
func (q *teamQueue) push(c *call) {
	c.waiting = true
	q.calls = append(q.calls, c)
	q.waiting++
}

// dequeue marks c as no longer waiting. It is removed when it reaches the head,
// so that a wave of cancellations costs one step each.
func (q *teamQueue) dequeue(c *call) {
	if !c.waiting {
		return
	}
	c.waiting = false
	q.waiting--
}

// usagePerWeight orders teams: the one with the least in flight for its weight goes
// first.
func (q *teamQueue) usagePerWeight() float64 {
	return float64(q.inFlight+1) / float64(max(q.weight, 1))
}
