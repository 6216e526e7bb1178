package sched

import (
	"container/heap"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
)

// monotonicTime is a point in time on the process's own monotonic clock.
type monotonicTime = time.Duration

type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerBackoff
	timerWorker // end of a quarantine or of the backoff after a refused start
	timerHold
	timerService
	timerControl // repeat of a control to an attempt that has not ended
	timerLimit   // end of a refusal of limit units
	timerWake    // another scheduling decision
)

// timer is an action at a point in time. The action checks its condition again
// when it fires, because the job, hold or attempt may have ended by then.
type timer struct {
	at         monotonicTime
	seq        uint64
	kind       timerKind
	index      int32
	worker     place.Ref
	generation uint32 // of the worker's place.Ref, which may have been reused
	job        *job
	hold       *hold
	service    *service
	team       *team
	attempt    *attempt
}

// timers is a heap of timers. Timers of ended jobs are removed only when they
// are more than half of the heap, which keeps mass cancellations cheap.
type timers struct {
	heap        timerHeap
	seq         uint64
	ofEndedJobs int // timers of ended jobs
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

func (s *Scheduler) setTimer(t timer) {
	s.timers.seq++
	t.seq = s.timers.seq
	if t.job != nil {
		t.job.timers++
	}
	heap.Push(&s.timers.heap, t)
}

// wake sets a timer for another scheduling decision, unless the last one set for
// the slot has the same time. Rate-limited decisions use it; without the timer a
// deferred decision would wait for the next event.
func (s *Scheduler) wake(slot *monotonicTime, at monotonicTime) {
	if *slot == at {
		return
	}
	*slot = at
	s.setTimer(timer{at: at, kind: timerWake})
}

// pruneTimers counts the timers of an ended job, and removes the timers of all
// ended jobs once they are more than half of the heap.
func (s *Scheduler) pruneTimers(j *job) {
	s.timers.ofEndedJobs += j.timers
	h := s.timers.heap
	if 2*s.timers.ofEndedJobs <= len(h) {
		return
	}
	kept := h[:0]
	for _, t := range h {
		if t.job == nil || !t.job.ended {
			kept = append(kept, t)
		}
	}
	clear(h[len(kept):])
	s.timers.heap = kept
	s.timers.ofEndedJobs = 0
	heap.Init(&s.timers.heap)
}

// fireDueTimers fires all timers that are due.
func (s *Scheduler) fireDueTimers() {
	for len(s.timers.heap) > 0 && s.timers.heap[0].at <= s.now {
		t := heap.Pop(&s.timers.heap).(timer)
		if t.job != nil {
			if t.job.ended {
				s.timers.ofEndedJobs--
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
		s.unbarExpired(t.worker, t.generation)
	case timerHold:
		s.holdPassed(t.hold)
	case timerControl:
		s.repeatControl(t.attempt)
	case timerLimit:
		s.retryRefused(t.team)
	case timerService, timerWake:
		s.dirty = true
	}
}
