package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// fault is a disturbance that is injected into the fleet, some for a limited time.
type fault struct {
	name string
	// inject causes it; what it returns, if anything, ends it.
	inject func(f *fleet, host, worker int) func()
}

// faults may start at any moment, several at once and on the same host.
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
	{"graceful stop", func(f *fleet, h, _ int) func() {
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
		f.writeConfig()
		return nil
	}},
	{"log unreachable", setProxyMode(func(f *fleet, h, _ int) *proxy { return f.hosts[h].logProxy }, holdAll)},
	{"log responses held", setProxyMode(func(f *fleet, h, _ int) *proxy { return f.hosts[h].logProxy }, holdResponses)},
	{"log delayed", setProxyMode(func(f *fleet, h, _ int) *proxy { return f.hosts[h].logProxy }, delayAll)},
	{"log connections reset", func(f *fleet, h, _ int) func() {
		f.hosts[h].logProxy.reset()
		return nil
	}},
	{"log refuses", func(f *fleet, h, _ int) func() {
		f.hosts[h].endpoint.Refuse(true)
		return func() { f.hosts[h].endpoint.Refuse(false) }
	}},
	{"log responses lost", func(f *fleet, h, _ int) func() {
		f.hosts[h].endpoint.DropResponses(5)
		return nil
	}},
	{"log partition down", func(f *fleet, h, _ int) func() {
		topic := []string{"intake", "entries"}[h%2]
		f.store.Break(topic, h%3, true)
		return func() { f.store.Break(topic, h%3, false) }
	}},
	{"worker unreachable", setProxyMode(func(f *fleet, _, w int) *proxy { return f.workerProxy(w) }, holdAll)},
	{"worker responses held", setProxyMode(func(f *fleet, _, w int) *proxy { return f.workerProxy(w) }, holdResponses)},
	{"worker connections reset", func(f *fleet, _, w int) func() {
		f.workerProxy(w).reset()
		return nil
	}},
	{"worker replaced", func(f *fleet, _, w int) func() {
		f.replaceWorker(w)
		return nil
	}},
	{"callers delayed", setProxyMode(func(f *fleet, h, _ int) *proxy { return f.hosts[h].frontProxy }, delayAll)},
	{"caller connections reset", func(f *fleet, h, _ int) func() {
		f.hosts[h].frontProxy.reset()
		return nil
	}},
}

// workerRestart crashes a worker, which is back at once under the same id and address. It is
// not in faults because the fault sequence of a seed depends on the list.
var workerRestart = fault{"worker restart", func(f *fleet, _, w int) func() {
	f.restartWorker(w)
	return nil
}}

// entryExpires removes a worker's entry from the host list for a while. The worker works on.
var entryExpires = fault{"entry expires", func(f *fleet, _, w int) func() {
	worker := f.worker(w)
	worker.Unlist()
	return worker.Relist
}}

// workerLeaves lets a worker drain and leave at the time that its entry names, and adds another one.
var workerLeaves = fault{"worker leaves", func(f *fleet, h, w int) func() {
	worker := f.worker(w)
	remaining := time.Duration(1500+500*(h%4)) * time.Millisecond
	worker.Drain(remaining)
	<-time.After(remaining)
	f.replace(worker)
	return nil
}}

// lateExecution makes a worker leave calls unanswered and execute them 2 to 5 s later,
// after newer ones.
var lateExecution = fault{"worker executes late", func(f *fleet, h, w int) func() {
	worker := f.worker(w)
	worker.DelayCalls(time.Duration(2+h%4) * time.Second)
	return func() { worker.DelayCalls(0) }
}}

// lateExecutionAcrossRestarts is the same with calls that are executed even if the
// incarnation that they were sent to has ended.
var lateExecutionAcrossRestarts = fault{"worker executes late, across restarts", func(f *fleet, h, w int) func() {
	f.worker(w).DeliverDelayedCalls()
	return lateExecution.inject(f, h, w)
}}

func setProxyMode(of func(*fleet, int, int) *proxy, m mode) func(*fleet, int, int) func() {
	return func(f *fleet, h, w int) func() {
		p := of(f, h, w)
		p.setMode(m)
		return func() { p.setMode(forwardAll) }
	}
}

// injectFaults injects random faults of a list until ctx ends, then ends all of them. It
// returns one line per fault.
func injectFaults(ctx context.Context, f *fleet, faults []fault, rng *rand.Rand) []string {
	var (
		group   sync.WaitGroup
		history []string
		start   = time.Now()
	)
	for ctx.Err() == nil {
		chosen := faults[rng.IntN(len(faults))]
		h, w := rng.IntN(*hosts), rng.IntN(*workers)
		duration := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		history = append(history, fmt.Sprintf("%v %s host %d worker %d for %v", time.Since(start).Round(time.Millisecond), chosen.name, h, w, duration))
		group.Go(func() {
			stop := chosen.inject(f, h, w)
			if stop == nil {
				return
			}
			select {
			case <-time.After(duration):
			case <-ctx.Done():
			}
			stop()
		})
		select {
		case <-time.After(time.Duration(100+rng.IntN(1200)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	group.Wait()
	return history
}
