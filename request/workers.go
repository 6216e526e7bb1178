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

func (r *Router) workerFreed(ev WorkerFreed) {
	if w, ok := r.byID[ev.Worker]; ok {
		w.occupied = ev.Occupied
	}
}

func (r *Router) workerLeaving(ev WorkerLeaving) {
	if w, ok := r.byID[ev.Worker]; ok {
		w.leaving = ev.Leaving
	}
}

// workerGone forgets the worker. Calls in flight to it end by their own
// Finished event: a lost lease does not cut them off.
func (r *Router) workerGone(id ident.WorkerID) {
	if _, ok := r.byID[id]; !ok {
		return
	}
	delete(r.byID, id)
	at := sort.Search(len(r.workers), func(i int) bool { return r.workers[i].id >= id })
	r.workers = append(r.workers[:at], r.workers[at+1:]...)
}

// maxCandidates bounds the open workers that are compared for one call.
const maxCandidates = 16

// pickWorker chooses a worker for c: the least loaded of all that are open, or of the
// first pickMost after a random start. No other host sends calls to them, so
// their loads are known and hosts cannot all choose the same one. The worker on
// which c failed last is taken only if no other is open.
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

// lessLoaded returns the less loaded of two workers, the first if they are
// equal or the second if there is no first.
func lessLoaded(a, b *worker) *worker {
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}
