package processes_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/standin"
)

const shortJob = `{"kind":"batch","need":{"milli_cpu":1000},"tasks":2,"run":"50ms","non_idempotent":true}`

// A zone is cut off from the other zones and from the platform, then the ways
// between all zones turn slow. Callers everywhere must still be answered, in
// the cut zone by its own workers and units, and jobs must run once it is over.
func TestCutAndSlowZones(t *testing.T) {
	c := start(t)
	l := startLoad(t, c)
	cut := c.hosts[3]
	c.fault(t, "zone/"+cut.zone, standin.RelayFaults{Hang: true})
	for _, h := range c.hosts {
		c.untilServes(t, h)
	}
	l.untilMore(t, 100)
	c.fault(t, "zone/"+cut.zone, standin.RelayFaults{Cut: true})
	for _, h := range c.hosts {
		c.untilServes(t, h)
	}
	c.fault(t, "zone/"+cut.zone, standin.RelayFaults{})
	slow := standin.RelayFaults{Delay: 100 * time.Millisecond, ByteRate: 64 << 10}
	for _, h := range c.hosts[2:] {
		c.fault(t, "zone/"+h.zone, slow)
	}
	for _, h := range c.hosts {
		c.untilServes(t, h)
	}
	l.untilMore(t, 100)
	var jobs []string
	for _, h := range c.hosts {
		jobs = append(jobs, c.submit(t, h, shortJob))
	}
	c.awaitRan(t, c.hosts[0], jobs...)
	for _, h := range c.hosts[2:] {
		c.fault(t, "zone/"+h.zone, standin.RelayFaults{})
	}
	l.check(t, allowed{unsure: true})
	c.check(t)
}

// The platform's log is down. Requests go on and jobs are refused as not run.
// A process that starts meanwhile has no disk and nobody to read from but its
// peers; it must come to serve. Nothing of the fault may remain when the log
// is back.
func TestLogDown(t *testing.T) {
	fresh := region + "-1-h2"
	c := start(t, fresh)
	l := startLoad(t, c)
	c.scheduler(t, region+"-1")
	c.fault(t, "log", standin.LogFaults{Down: true})
	l.untilMore(t, 100)
	status, data := callJobs(c.hosts[0], c.keys[teams[0]], http.MethodPost, "/v1/jobs", shortJob)
	if status == http.StatusAccepted {
		t.Errorf("a job was accepted while the log is down: %s", data)
	}
	h := c.hosts[1]
	c.startHost(t, h)
	until(t, h.id+" is ready", func() bool { return isReady(h) })
	c.untilServes(t, h)
	l.untilMore(t, 100)
	c.fault(t, "log", standin.LogFaults{})
	c.awaitRan(t, h, c.submit(t, h, shortJob), c.submit(t, c.hosts[0], shortJob))
	l.check(t, allowed{})
	c.check(t)
}

// The log is slow, and then loses the answers to appends that have taken
// effect. Jobs must be accepted once and run once, and an operator's change
// must come into force once, although nobody was told so.
func TestLogSlowAndAnswersLost(t *testing.T) {
	c := start(t)
	l := startLoad(t, c)
	c.fault(t, "log", standin.LogFaults{Slow: 300 * time.Millisecond})
	jobs := []string{c.submit(t, c.hosts[0], shortJob), c.submit(t, c.hosts[2], shortJob)}
	c.awaitRan(t, c.hosts[3], jobs...)
	c.fault(t, "log", standin.LogFaults{LoseAnswers: 20})
	jobs = nil
	for _, h := range c.hosts {
		jobs = append(jobs, c.submit(t, h, shortJob))
	}
	c.awaitRan(t, c.hosts[3], jobs...)
	c.fault(t, "log", standin.LogFaults{LoseAnswers: 3})
	key, _ := c.change(t, "plan", "--json", "--give-key", teams[0])
	c.fault(t, "log", standin.LogFaults{})
	for _, h := range c.hosts {
		until(t, h.id+" knows the new key", func() bool { return ask(h, key, []byte("new key")).kind == answered })
		c.asides++
	}
	l.check(t, allowed{})
	c.check(t)
}
