package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// fault is something that is done to the fleet from outside for a while.
type fault struct {
	name string
	// do causes it; what it returns, if anything, ends it.
	do func(f *fleet, host, worker int) func()
}

// faults may come at any moment, several at once and on the same host.
var faults = []fault{
	{"kill", func(f *fleet, h, _ int) func() {
		f.hosts[h].restart(f.t, syscall.SIGKILL, 0)
		return nil
	}},
	{"kill all", func(f *fleet, _, _ int) func() {
		var group sync.WaitGroup
		for _, h := range f.hosts {
			group.Go(func() { h.restart(f.t, syscall.SIGKILL, 300*time.Millisecond) })
		}
		group.Wait()
		return nil
	}},
	{"stop as planned", func(f *fleet, h, _ int) func() {
		f.hosts[h].restart(f.t, syscall.SIGTERM, 0)
		return nil
	}},
	{"pause", func(f *fleet, h, _ int) func() {
		f.hosts[h].signal(syscall.SIGSTOP)
		return func() { f.hosts[h].signal(syscall.SIGCONT) }
	}},
	{"reload", func(f *fleet, h, _ int) func() {
		f.hosts[h].signal(syscall.SIGHUP)
		return nil
	}},
	{"configuration", func(f *fleet, _, _ int) func() {
		f.configure()
		return nil
	}},
	{"log silent", withProxy(func(f *fleet, h, _ int) *proxy { return f.hosts[h].log }, silent)},
	{"log one way", withProxy(func(f *fleet, h, _ int) *proxy { return f.hosts[h].log }, oneWay)},
	{"log slow", withProxy(func(f *fleet, h, _ int) *proxy { return f.hosts[h].log }, slow)},
	{"log reset", func(f *fleet, h, _ int) func() {
		f.hosts[h].log.reset()
		return nil
	}},
	{"log refuses", func(f *fleet, h, _ int) func() {
		f.hosts[h].door.Refuse(true)
		return func() { f.hosts[h].door.Refuse(false) }
	}},
	{"log loses answers", func(f *fleet, h, _ int) func() {
		f.hosts[h].door.LoseAnswers(5)
		return nil
	}},
	{"partition down", func(f *fleet, h, _ int) func() {
		topic := []string{"intake", "entries"}[h%2]
		f.store.Break(topic, h%3, true)
		return func() { f.store.Break(topic, h%3, false) }
	}},
	{"worker silent", withProxy(func(f *fleet, _, w int) *proxy { return f.way(w) }, silent)},
	{"worker one way", withProxy(func(f *fleet, _, w int) *proxy { return f.way(w) }, oneWay)},
	{"worker reset", func(f *fleet, _, w int) func() {
		f.way(w).reset()
		return nil
	}},
	{"worker gone", func(f *fleet, _, w int) func() {
		f.replaceWorker(w)
		return nil
	}},
	{"callers slow", withProxy(func(f *fleet, h, _ int) *proxy { return f.hosts[h].front }, slow)},
	{"callers reset", func(f *fleet, h, _ int) func() {
		f.hosts[h].front.reset()
		return nil
	}},
}

// rebirth is a worker that crashes and is back at once under its id and address. It
// comes in a list of its own, as the order of faults that belongs to a seed follows
// from the list.
var rebirth = fault{"worker born again", func(f *fleet, _, w int) func() {
	f.rebirth(w)
	return nil
}}

// lateOrders is a worker that leaves calls unanswered and carries them out 2 to 5 s
// later, after newer ones.
var lateOrders = fault{"worker late", func(f *fleet, h, w int) func() {
	late := f.worker(w)
	late.DelayCalls(time.Duration(2+h%4) * time.Second)
	return func() { late.DelayCalls(0) }
}}

// outlivingOrders is the same with calls that outlive the life that they are for.
var outlivingOrders = fault{"worker late, in any life", func(f *fleet, h, w int) func() {
	f.worker(w).KeepDelayedCalls()
	return lateOrders.do(f, h, w)
}}

func withProxy(of func(*fleet, int, int) *proxy, m mode) func(*fleet, int, int) func() {
	return func(f *fleet, h, w int) func() {
		p := of(f, h, w)
		p.set(m)
		return func() { p.set(passing) }
	}
}

// trouble causes random faults of a list until ctx ends, and ends them all. It returns
// what it did.
func trouble(ctx context.Context, f *fleet, faults []fault, rng *rand.Rand) []string {
	var (
		group sync.WaitGroup
		did   []string
		began = time.Now()
	)
	for ctx.Err() == nil {
		one := faults[rng.IntN(len(faults))]
		h, w := rng.IntN(*hosts), rng.IntN(*workers)
		lasts := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		did = append(did, fmt.Sprintf("%v %s host %d worker %d for %v", time.Since(began).Round(time.Millisecond), one.name, h, w, lasts))
		group.Go(func() {
			end := one.do(f, h, w)
			if end == nil {
				return
			}
			select {
			case <-time.After(lasts):
			case <-ctx.Done():
			}
			end()
		})
		select {
		case <-time.After(time.Duration(100+rng.IntN(1200)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	group.Wait()
	return did
}
