package request

import (
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

// call is one request from its admission to its end.
type call struct {
	Admitted
	tries      int
	admittedAt time.Duration
	sentAt     time.Duration  // last dispatch or forward
	worker     ident.WorkerID // of the dispatch in flight, if any
	avoid      ident.WorkerID // worker of the previous try
	peer       ident.HostID   // of the forward in flight, if any
	refusedBy  []ident.HostID // peers that refused the call
	waiting    bool
	holdsUnit  bool // of the team's limit
	mayHaveRun bool // an earlier try was sent and got no answer
}

// teamQueue holds the waiting calls of one team in order of admission.
type teamQueue struct {
	team     ident.TeamID
	weight   int64
	inFlight int64
	calls    []*call // calls that no longer wait are removed at the head
	waiting  int
}

// head removes leading calls that no longer wait and returns the first waiting
// call, or nil.
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

// push appends c as a waiting call.
func (q *teamQueue) push(c *call) {
	c.waiting = true
	q.calls = append(q.calls, c)
	q.waiting++
}

// dequeue marks c as no longer waiting. The entry is removed when it reaches
// the head, which keeps the cost of each of many cancellations constant.
func (q *teamQueue) dequeue(c *call) {
	if !c.waiting {
		return
	}
	c.waiting = false
	q.waiting--
}

// usagePerWeight returns the calls in flight relative to the team's weight. The
// team with the lowest value is served first.
func (q *teamQueue) usagePerWeight() float64 {
	return float64(q.inFlight+1) / float64(max(q.weight, 1))
}
