// Package agenda is a queue of actions in virtual time, for tests that run
// several state machines against one another.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda holds what is going to happen. The zero value is empty, at time zero.
type Agenda struct {
	now   time.Duration
	seq   int
	queue queue
}

// Now returns the virtual time.
func (a *Agenda) Now() time.Duration { return a.now }

// After lets do happen in d, after everything that was put there before.
func (a *Agenda) After(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, action{at: a.now + max(d, 0), seq: a.seq, do: do})
}

// RunUntil carries out what happens up to the end. after is called after each
// action; it may be nil.
func (a *Agenda) RunUntil(end time.Duration, after func()) {
	for len(a.queue) > 0 && a.queue[0].at <= end {
		next := heap.Pop(&a.queue).(action)
		a.now = next.at
		next.do()
		if after != nil {
			after()
		}
	}
	a.now = end
}

// action is something that happens at a given time.
type action struct {
	at  time.Duration
	seq int
	do  func()
}

// queue orders actions by time, then by when they were put in.
type queue []action

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(action)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = action{}
	*q = old[:len(old)-1]
	return last
}
