package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/place"
	"github.com/fireflyfold/fireflyfold/resource"
)

// planner estimates when workers will have room for a job. It reuses its slices
// between plans.
type planner struct {
	ends    endHeap
	free    []resource.Vector // by place.Ref
	refs    []place.Ref
	fitting []int64 // by place.Ref: tasks of the planned job that fit
}

// plannedEnd is the expected end of a running attempt.
type plannedEnd struct {
	at   monotonicTime
	ref  place.Ref
	need resource.Vector
}

// endHeap is a min-heap of expected ends. Usually a task fits after a few ends,
// so sorting all of them would be wasted.
type endHeap []plannedEnd

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(plannedEnd)) }
func (h *endHeap) Pop() any          { *h = (*h)[:len(*h)-1]; return nil }

// A plan samples minPlanWorkers workers, or planWorkersPerTask for each task if
// that is more.
const (
	minPlanWorkers     = 1024
	planWorkersPerTask = 4
)

// stopTime is the time that a task is expected to take to checkpoint and stop.
const stopTime = 2 * time.Second

// minTimeLeft is the minimum expected remaining time of a running task.
const minTimeLeft = time.Second

// expectedEnd returns when an attempt is expected to end. The remaining time is
// at least a quarter of its run time so far, which covers attempts that run
// longer than expected.
func (s *Scheduler) expectedEnd(a *attempt) monotonicTime {
	if a.stopping != "" && s.now < a.stopAt+maxDisplacementHold {
		return s.now + stopTime
	}
	ran := s.now - a.since
	return s.now + max(a.expected-ran, ran/4, minTimeLeft)
}

// earliest returns the earliest time at which a job is expected to fit, and the
// workers on which it will fit. It reports false if the sampled workers have no
// room even after all their running tasks have ended; replicas do not end.
//
// Workers with bars other than ignore are left out.
func (p *planner) earliest(s *Scheduler, j *job, ignore place.Bars) (monotonicTime, []place.Ref, bool) {
	missing := p.tasksToFit(j)
	p.sample(s, max(minPlanWorkers, planWorkersPerTask*int(missing)), ignore)
	at, ok := p.simulate(s, j, p.refs, missing)
	if !ok {
		return 0, nil, false
	}
	return at, p.choose(s, j, missing), true
}

// sample collects at most `most` workers that accept new tasks. The first index
// moves with each job that arrives. The limit bounds the cost of a plan in a
// large zone.
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
func (s *Scheduler) planOn(j *job, refs []place.Ref) (monotonicTime, bool) {
	return s.planner.simulate(s, j, refs, s.planner.tasksToFit(j))
}

func (p *planner) tasksToFit(j *job) int64 {
	if j.gang() {
		return int64(j.spec.Tasks)
	}
	return 1
}

// simulate ends the running attempts on the workers, in order of expected end,
// until `missing` tasks of the job fit. It returns the time of the last end, and
// whether the tasks fit.
func (p *planner) simulate(s *Scheduler, j *job, refs []place.Ref, missing int64) (monotonicTime, bool) {
	p.load(s, j, refs)
	fits := int64(0)
	for _, ref := range refs {
		p.fitting[ref] = place.Count(j.need, p.free[ref], missing)
		fits += p.fitting[ref]
	}
	at := s.now
	for len(p.ends) > 0 && (fits < missing || p.ends[0].at <= at) {
		end := p.ends[0]
		heap.Pop(&p.ends)
		at = max(at, end.at)
		p.free[end.ref] = p.free[end.ref].Add(end.need)
		room := place.Count(j.need, p.free[end.ref], missing)
		fits += room - p.fitting[end.ref]
		p.fitting[end.ref] = room
	}
	return at, fits >= missing
}

// load copies the free resources of the workers and collects the expected ends
// of their attempts.
func (p *planner) load(s *Scheduler, j *job, refs []place.Ref) {
	for len(p.free) < s.cell.Refs() {
		p.free = append(p.free, resource.Vector{})
		p.fitting = append(p.fitting, 0)
	}
	p.ends = p.ends[:0]
	for _, ref := range refs {
		p.free[ref] = s.cell.Worker(ref).Free
		if !j.need.Fits(s.cell.Worker(ref).Size) {
			continue
		}
		for _, a := range s.workerState(ref).attempts {
			if a.service == nil || a.stopping != "" {
				p.ends = append(p.ends, plannedEnd{at: s.expectedEnd(a), ref: ref, need: a.need})
			}
		}
	}
	heap.Init(&p.ends)
}

// choose returns sampled workers that have room for the job at the planned
// time. It prefers workers with the most room for the job now, where a hold
// keeps fewer resources idle.
func (p *planner) choose(s *Scheduler, j *job, missing int64) []place.Ref {
	slices.SortFunc(p.refs, func(a, b place.Ref) int {
		now := cmp.Compare(
			place.Count(j.need, s.cell.Worker(b).Free, missing),
			place.Count(j.need, s.cell.Worker(a).Free, missing),
		)
		if now != 0 {
			return now
		}
		if then := cmp.Compare(p.fitting[b], p.fitting[a]); then != 0 {
			return then
		}
		return cmp.Compare(a, b)
	})
	var chosen []place.Ref
	for _, ref := range p.refs {
		if missing <= 0 {
			break
		}
		if p.fitting[ref] > 0 {
			chosen = append(chosen, ref)
			missing -= p.fitting[ref]
		}
	}
	return chosen
}

// largest returns a worker with the most CPU, or nil if there is no worker.
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
