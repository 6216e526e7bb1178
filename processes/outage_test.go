package processes_test

import (
	"fmt"
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
	until(t, cut.id+" cannot be reached from another zone", func() bool {
		return c.statuses(t)[cut.id].State == "silent"
	})
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

// The platform's log is down. Requests go on; a job is refused as not run, or
// as unknown if its record was on its way when the log went down, and repeated
// later it runs once. A process that starts meanwhile has no disk and nobody to
// read from but its peers; it must come to serve.
func TestLogDown(t *testing.T) {
	fresh := region + "-1-h2"
	c := start(t, fresh)
	l := startLoad(t, c)
	c.scheduler(t, region+"-1")
	c.fault(t, "log", standin.LogFaults{Down: true})
	l.untilMore(t, 100)
	refusals := c.submitEverywhere(c.hosts[0])
	h := c.hosts[1]
	c.startHost(t, h)
	until(t, h.id+" is ready", func() bool { return isReady(h) })
	c.untilServes(t, h)
	l.untilMore(t, 100)
	refused := 0
	for range submissions {
		a := <-refusals
		if a.kind == notRun {
			refused++
		} else if a.kind != unsure {
			t.Errorf("a job while the log is down: %s: %s", a.kind, a.detail)
		}
	}
	if refused == 0 {
		t.Error("no job was refused as not run")
	}
	c.fault(t, "log", standin.LogFaults{})
	var jobs []string
	for n := range submissions {
		jobs = append(jobs, c.submit(t, h, shortJob, submissionKey(n)))
	}
	c.awaitRan(t, h, jobs...)
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

// submissions is how many jobs submitEverywhere hands in.
const submissions = 8

// submissionKey is the idempotency key of one of them.
func submissionKey(n int) header {
	return header{"Idempotency-Key", fmt.Sprint("while the log is down ", n)}
}

// submitEverywhere hands in jobs under idempotency keys, whose home zones
// differ, through one host. The ends come when they are known.
func (c *cluster) submitEverywhere(h *host) <-chan answer {
	ends := make(chan answer, submissions)
	for n := range submissions {
		go func() {
			status, data := callJobs(h, c.keys[teams[0]], http.MethodPost, "/v1/jobs", shortJob, submissionKey(n))
			if status == 0 || status == http.StatusAccepted {
				ends <- answer{kind: wrong, detail: string(data)}
				return
			}
			ends <- judgeProblem(status, data)
		}()
	}
	return ends
}
