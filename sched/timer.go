package sched

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
)

// timeOf is a moment on the process's own clock.
type timeOf = time.Duration

type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerBackoff
	timerWorker // the end of a quarantine or of a refusal's back-off
	timerHold
	timerService
	timerControl // a control that has not been followed by an end
	timerLimit   // the end of a refusal of limit units
	timerWake    // nothing but a look at the waiting work
)

// timer is something that is due at a time. It is checked when it fires, so
// that what it was set for may have gone meanwhile.
type timer struct {
	at      timeOf
	seq     uint64
	kind    timerKind
	index   int32
	worker  place.Ref
	life    uint32 // of the worker's position, against reuse
	job     *job
	hold    *hold
	service *service
	team    *team
	attempt *attempt
}

// timers is a heap of timers. Those of ended jobs stay until they are half of
// the heap, so that a wave of cancellations costs nothing here.
type timers struct {
	heap timerHeap
	seq  uint64
	dead int
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return t
}

func (s *Scheduler) after(t timer) {
	s.timers.seq++
	t.seq = s.timers.seq
	if t.job != nil {
		t.job.timers++
	}
	heap.Push(&s.timers.heap, t)
}

// wake sees to it that the waiting work is looked at again at a time, once for
// each value of slot. It is for decisions that are taken at most so often, so
// that none is put off until the next event.
func (s *Scheduler) wake(slot *timeOf, at timeOf) {
	if *slot == at {
		return
	}
	*slot = at
	s.after(timer{at: at, kind: timerWake})
}

// forgetTimers drops the timers of ended jobs once they are half of all.
func (s *Scheduler) forgetTimers(j *job) {
	s.timers.dead += j.timers
	h := s.timers.heap
	if 2*s.timers.dead <= len(h) {
		return
	}
	kept := h[:0]
	for _, t := range h {
		if t.job == nil || !t.job.over {
			kept = append(kept, t)
		}
	}
	clear(h[len(kept):])
	s.timers.heap = kept
	s.timers.dead = 0
	heap.Init(&s.timers.heap)
}

// expire acts on all timers that are due.
func (s *Scheduler) expire() {
	for len(s.timers.heap) > 0 && s.timers.heap[0].at <= s.now {
		t := heap.Pop(&s.timers.heap).(timer)
		if t.job != nil {
			if t.job.over {
				s.timers.dead--
				continue
			}
			t.job.timers--
		}
		s.fire(t)
	}
}

func (s *Scheduler) fire(t timer) {
	switch t.kind {
	case timerDeadline:
		s.deadlinePassed(t.job)
	case timerBackoff:
		s.backoffPassed(t.job, int(t.index))
	case timerWorker:
		s.workerReturns(t.worker, t.life)
	case timerHold:
		s.holdPassed(t.hold)
	case timerControl:
		s.repeatControl(t.attempt)
	case timerLimit:
		s.refusalPassed(t.team)
	case timerService, timerWake:
		s.dirty = true
	}
}
