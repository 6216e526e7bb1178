package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/problem"
	"github.com/fireflyfold/fireflyfold/standin"
)

// A host is stopped as planned while a caller waits for a long job and others
// have requests in flight. Each must get a whole answer, and one who comes
// during the stop is told that nothing ran and that the host is stopping.
func TestPlannedStopAnswersEverybody(t *testing.T) {
	layout := oneHost()
	layout.ServiceTime = 500 * time.Millisecond
	f := startFleet(t, localfleet.Options{Layout: layout})
	c := callerOf(f, team)
	c.untilServed(t)
	job := jobOf(t, c.settled(t, http.MethodPost, "/v1/jobs", `{"kind":"batch","need":{"milli_cpu":1000},"run":"1m"}`))
	type end struct {
		what  string
		reply reply
		err   error
	}
	const requests = 6
	ends := make(chan end, requests+1)
	call := func(what, method, path string) {
		r, err := c.try(method, path, strings.NewReader(""))
		ends <- end{what, r, err}
	}
	host := f.Hosts()[0].Host
	questions := host.Questions()
	go call("wait", http.MethodGet, "/v1/jobs/"+job+"?wait=25s")
	until(t, "a caller waits", func() bool { return host.AwaitsJobEnd(questions) })
	before := f.Platform.Audit.Counts().Calls
	for range requests {
		go call("request", http.MethodPost, "/v1/services/grants/x")
	}
	until(t, "the requests run", func() bool { return f.Platform.Audit.Counts().Calls == before+requests })
	f.Hosts()[0].Host.Drain()
	until(t, "the stop has begun", func() bool {
		return c.do(t, http.MethodGet, "/readyz", "").status == http.StatusServiceUnavailable
	})
	late := c.do(t, http.MethodPost, "/v1/services/grants/x", "late")
	late.refused(t, problem.TypeStopping)
	for range requests + 1 {
		e := <-ends
		if e.err != nil || e.reply.status != http.StatusOK {
			t.Errorf("%s: %v, status %d: %s", e.what, e.err, e.reply.status, e.reply.body)
		}
	}
	<-f.Hosts()[0].Done()
}

// A host is stopped while it passes on a question about a job of another zone,
// to which the way is slow. The engine has nothing to do with such a question,
// so its part of the stop is over before the answer is there; the caller must
// get the answer all the same.
func TestPlannedStopAwaitsPassedCalls(t *testing.T) {
	layout := oneHost()
	layout.Zones = append(layout.Zones, standin.ZoneLayout{Zone: "b", Workers: 2, Hosts: 1})
	f := startFleet(t, localfleet.Options{Layout: layout})
	c := callerOf(f, team)
	far := c
	far.base = "http://" + f.Hosts()[1].Host.APIAddr()
	job := jobOf(t, far.settled(t, http.MethodPost, "/v1/jobs", goodJob))
	until(t, "the job is known from the other zone", func() bool {
		return c.do(t, http.MethodGet, "/v1/jobs/"+job, "").status == http.StatusOK
	})
	f.Platform.Network.SetBetween("a", "b", standin.RelayFaults{Delay: 1200 * time.Millisecond})
	conn := c.dial(t)
	send(t, conn, "GET /v1/jobs/%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n\r\n", job, c.key)
	f.Hosts()[0].Host.Drain()
	if r := receive(t, conn); r.status != http.StatusOK {
		r.problem(t)
	}
}
