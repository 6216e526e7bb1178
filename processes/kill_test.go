package processes_test

import (
	"fmt"
	"syscall"
	"testing"
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
