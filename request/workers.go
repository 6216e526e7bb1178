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

// pick chooses a worker for c: the less loaded of two drawn at random, or the
// first open one after a random start if the draws are not open.
func (r *Router) pick(now time.Duration, c *call) *worker {
	n := len(r.workers)
	if n == 0 {
		return nil
	}
	a := r.workers[r.opts.Rand.IntN(n)]
	b := r.workers[r.opts.Rand.IntN(n)]
	if best := better(now, c, a, b); best != nil {
		return best
	}
	start := r.opts.Rand.IntN(n)
	var fallback *worker
	for i := range n {
		w := r.workers[(start+i)%n]
		if !w.open(now, c.Service) {
			continue
		}
		if w.id != c.avoid {
			return w
		}
		fallback = w
	}
	return fallback
}

// better returns the less loaded of two workers that are open and not avoided,
// or nil if neither is.
func better(now time.Duration, c *call, a, b *worker) *worker {
	okA := a.id != c.avoid && a.open(now, c.Service)
	okB := b.id != c.avoid && b.open(now, c.Service)
	switch {
	case okA && okB && b.load() < a.load():
		return b
	case okA:
		return a
	case okB:
		return b
	}
	return nil
}
