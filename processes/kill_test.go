package processes_test

import (
	"fmt"
	"syscall"
	"testing"

	"github.com/fireflyfold/fireflyfold/standin"
)

// A month-end batch runs and citizens' requests flow when the process that
// schedules a zone is killed with kill -9. Each job must end once, and no
// caller may get another's answer or be told "not run" of what ran. The danger
// is a successor that starts again what still runs on the workers.
func TestKilledScheduler(t *testing.T) {
	c := start(t)
	leader, peer := c.scheduler(t, region+"-1")
	l := startLoad(t, c)
	var jobs []string
	for n := range 6 {
		spec := fmt.Sprintf(`{"kind":"batch","name":"n%d","need":{"milli_cpu":2000},"tasks":4,"run":"3s","non_idempotent":%t}`, n, n%2 == 0)
		jobs = append(jobs, c.submit(t, leader, spec))
	}
	c.untilState(t, leader, jobs[0], "running")
	leader.proc.kill(t)
	c.awaitRan(t, peer, jobs...)
	l.untilMore(t, 50)
	c.startHost(t, leader)
	c.untilServes(t, leader)
	c.awaitRan(t, leader, jobs...)
	l.check(t, allowed{unsure: true, cut: []*host{leader}})
	c.check(t)
}

// Workers die and come back empty while they run requests. What they had begun
// has run for all that anybody knows: a caller who is told "not run" may send an
// approval a second time. The audit counts what was begun.
func TestKilledWorkers(t *testing.T) {
	c := start(t)
	l := startLoad(t, c)
	const rounds, workers = 12, 12
	round := func() {
		for n := range workers {
			path := fmt.Sprintf("worker/%s-2-w%02d", region, n+1)
			c.fault(t, path, standin.WorkerFaults{Killed: true})
			c.fault(t, path, standin.WorkerFaults{})
		}
		l.untilMore(t, 30)
	}
	for range rounds {
		round()
	}
	until(t, "a request was lost with its worker", func() bool {
		if l.count(unsure) == 0 {
			round()
		}
		return l.count(unsure) > 0
	})
	c.untilServes(t, c.hosts[2])
	l.check(t, allowed{unsure: true})
	c.check(t)
}

// The process that schedules a zone is stopped by SIGSTOP for longer than its
// leases last, and its peer takes over. When it wakes it still believes that
// the workers are its own. It must start nothing, and serve again once it has
// learnt what has changed.
func TestStoppedHost(t *testing.T) {
	c := start(t)
	leader, peer := c.scheduler(t, region+"-1")
	l := startLoad(t, c)
	spec := `{"kind":"batch","need":{"milli_cpu":2000},"tasks":4,"run":"1s","non_idempotent":true}`
	jobs := []string{c.submit(t, leader, spec), c.submit(t, leader, spec)}
	leader.proc.signal(t, syscall.SIGSTOP)
	until(t, peer.id+" schedules the zone", func() bool { return c.statuses(t)[peer.id].Scheduler })
	jobs = append(jobs, c.submit(t, peer, spec))
	c.awaitRan(t, peer, jobs...)
	leader.proc.signal(t, syscall.SIGCONT)
	c.untilServes(t, leader)
	jobs = append(jobs, c.submit(t, leader, spec))
	c.awaitRan(t, leader, jobs...)
	l.untilMore(t, 50)
	l.check(t, allowed{unsure: true, cut: []*host{leader}})
	c.check(t)
}
