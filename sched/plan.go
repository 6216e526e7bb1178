package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/resource"
)

// planner works out when room is expected to come free. Its slices are kept
// between plans.
type planner struct {
	ends endHeap
	free []resource.Vector // by place.Ref
	refs []place.Ref
	room []int64 // by place.Ref: tasks of the planned job
}

// plannedEnd is the expected end of a running attempt.
type plannedEnd struct {
	at   timeOf
	ref  place.Ref
	need resource.Vector
}

// endHeap is a heap of expected ends, the earliest first. Few of them have to
// come out before a task fits, so that sorting all would be wasted.
type endHeap []plannedEnd

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(plannedEnd)) }
func (h *endHeap) Pop() any          { *h = (*h)[:len(*h)-1]; return nil }

// A plan looks at so many workers, or at so many for each task if that is more.
const (
	planWorkers = 1024
	planFactor  = 4
)

// stopTime is how long a task is expected to take to checkpoint and stop.
const stopTime = 2 * time.Second

// leastLeft is the least time that a running task is expected to go on.
const leastLeft = time.Second

// expectedEnd returns when an attempt is expected to end. One that ran over
// its expected time is given a quarter of what it ran so far.
func (s *Scheduler) expectedEnd(a *attempt) timeOf {
	if a.stopping != "" && s.now < a.stopAt+maxDisplacementHold {
		return s.now + stopTime
	}
	ran := s.now - a.since
	return s.now + max(a.expected-ran, ran/4, leastLeft)
}

// earliest returns the earliest time at which a job is expected to fit, and
// the workers on which it will. It reports false if it will not without a
// change of the workers.
//
// Workers with bars count only if they have no others than ignore.
func (p *planner) earliest(s *Scheduler, j *job, ignore place.Bars) (timeOf, []place.Ref, bool) {
	missing := p.wanted(j)
	p.sample(s, max(planWorkers, planFactor*int(missing)), ignore)
	at, ok := p.run(s, j, p.refs, missing)
	if !ok {
		return 0, nil, false
	}
	return at, p.choose(s, j, missing), true
}

// sample takes workers that take new tasks, at most so many, each time from
// another place on, so that a plan has a bounded cost in a zone of any size.
func (p *planner) sample(s *Scheduler, most int, ignore place.Bars) {
	p.refs = p.refs[:0]
	n := s.cell.Refs()
	for i := 0; i < n && len(p.refs) < most; i++ {
		ref := place.Ref((i + int(s.seq)) % n)
		if s.cell.Known(ref) && s.cell.Worker(ref).Bars&^ignore == 0 {
			p.refs = append(p.refs, ref)
		}
	}
}

// planOn returns when a job is expected to fit on the given workers alone.
func (s *Scheduler) planOn(j *job, refs []place.Ref) (timeOf, bool) {
	return s.planner.run(s, j, refs, s.planner.wanted(j))
}

func (p *planner) wanted(j *job) int64 {
	if j.gang() {
		return int64(j.spec.Tasks)
	}
	return 1
}

// run lets the running attempts on the workers end one after the other until
// `missing` tasks of the job fit.
func (p *planner) run(s *Scheduler, j *job, refs []place.Ref, missing int64) (timeOf, bool) {
	p.load(s, j, refs)
	fits := int64(0)
	for _, ref := range refs {
		p.room[ref] = place.Count(j.need, p.free[ref], missing)
		fits += p.room[ref]
	}
	at := s.now
	for len(p.ends) > 0 && (fits < missing || p.ends[0].at <= at) {
		end := p.ends[0]
		heap.Pop(&p.ends)
		at = max(at, end.at)
		p.free[end.ref] = p.free[end.ref].Add(end.need)
		room := place.Count(j.need, p.free[end.ref], missing)
		fits += room - p.room[end.ref]
		p.room[end.ref] = room
	}
	return at, fits >= missing
}

// load copies the free room of the workers and collects the expected ends.
func (p *planner) load(s *Scheduler, j *job, refs []place.Ref) {
	for len(p.free) < s.cell.Refs() {
		p.free = append(p.free, resource.Vector{})
		p.room = append(p.room, 0)
	}
	p.ends = p.ends[:0]
	for _, ref := range refs {
		p.free[ref] = s.cell.Worker(ref).Free
		if !j.need.Fits(s.cell.Worker(ref).Size) {
			continue
		}
		for _, a := range s.host(ref).attempts {
			if a.service == nil || a.stopping != "" {
				p.ends = append(p.ends, plannedEnd{at: s.expectedEnd(a), ref: ref, need: a.need})
			}
		}
	}
	heap.Init(&p.ends)
}

// choose returns the fewest workers that will hold the job, those with most
// room for it now first, because less of it is kept idle there.
func (p *planner) choose(s *Scheduler, j *job, missing int64) []place.Ref {
	slices.SortFunc(p.refs, func(a, b place.Ref) int {
		now := cmp.Compare(
			place.Count(j.need, s.cell.Worker(b).Free, missing),
			place.Count(j.need, s.cell.Worker(a).Free, missing),
		)
		if now != 0 {
			return now
		}
		if then := cmp.Compare(p.room[b], p.room[a]); then != 0 {
			return then
		}
		return cmp.Compare(a, b)
	})
	var chosen []place.Ref
	for _, ref := range p.refs {
		if missing <= 0 {
			break
		}
		if p.room[ref] > 0 {
			chosen = append(chosen, ref)
			missing -= p.room[ref]
		}
	}
	return chosen
}

// largest returns a worker with the most processors, or nil.
func (s *Scheduler) largest() *place.Worker {
	var most *place.Worker
	for ref := place.Ref(0); int(ref) < s.cell.Refs(); ref++ {
		w := s.cell.Worker(ref)
		if s.cell.Known(ref) && (most == nil || w.Size.MilliCPU > most.Size.MilliCPU) {
			most = w
		}
	}
	return most
}
