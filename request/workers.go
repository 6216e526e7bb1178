package request

import (
	"sort"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
)

func (r *Router) workerReady(ev WorkerReady) {
	w, ok := r.byID[ev.Worker]
	if !ok {
		w = &worker{id: ev.Worker}
		r.byID[ev.Worker] = w
		at := sort.Search(len(r.workers), func(i int) bool { return r.workers[i].id >= ev.Worker })
		r.workers = append(r.workers, nil)
		copy(r.workers[at+1:], r.workers[at:])
		r.workers[at] = w
	}
	w.rack = ev.Rack
	w.services = ev.Services
	w.slots = min(ev.Slots, ev.Connections)
	w.occupied = ev.Occupied
}

func (r *Router) workerOccupancy(ev WorkerOccupancy) {
	if w, ok := r.byID[ev.Worker]; ok {
		w.occupied = ev.Occupied
	}
}

func (r *Router) workerLeaving(ev WorkerLeaving) {
	if w, ok := r.byID[ev.Worker]; ok {
		w.leaving = ev.Leaving
	}
}

// workerGone removes the worker. Calls in flight on it end with their own
// Finished event: the loss of the lease does not interrupt them.
func (r *Router) workerGone(id ident.WorkerID) {
	if _, ok := r.byID[id]; !ok {
		return
	}
	delete(r.byID, id)
	at := sort.Search(len(r.workers), func(i int) bool { return r.workers[i].id >= id })
	r.workers = append(r.workers[:at], r.workers[at+1:]...)
}

// maxCandidates limits the eligible workers that are compared for one call.
const maxCandidates = 16

// pickWorker returns the least loaded eligible worker for c, or nil if there is
// none. It compares at most maxCandidates workers from a random start. No other
// host sends calls to them, so their loads are known, and hosts cannot all
// choose the same worker. The worker of the previous try is used only if no
// other is eligible.
func (r *Router) pickWorker(now time.Duration, c *call) *worker {
	n := len(r.workers)
	if n == 0 {
		return nil
	}
	start := r.opts.Rand.IntN(n)
	compared := 0
	var best, fallback *worker
	for i := 0; i < n && compared < maxCandidates; i++ {
		w := r.workers[(start+i)%n]
		switch {
		case !w.eligible(now, c.Service):
		case w.id == c.avoid:
			fallback = w
		default:
			compared++
			best = lessLoaded(best, w)
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// lessLoaded returns the less loaded of two workers: a if they are equal, b if
// a is nil.
func lessLoaded(a, b *worker) *worker {
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}
