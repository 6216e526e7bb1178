package region

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/record"
)

// adviceService works on the calls of each host in turn, also on those that were given up.
type adviceService struct {
	w      *world
	hosts  []string
	freeAt map[string]time.Duration
	most   time.Duration // the longest that it ever had to work for one host
	failed []time.Duration
	flaps  bool // a host whose call fails is off the list for a while
}

func (w *world) newAdviceService(hosts ...string) *adviceService {
	a := &adviceService{w: w, hosts: hosts, freeAt: make(map[string]time.Duration)}
	w.advice = a
	w.step(HostsSeen{Hosts: hosts})
	return a
}

// advise takes a call in and returns how long its answer takes, or false if it runs out of
// its time before.
func (a *adviceService) advise(c Advise) (time.Duration, bool) {
	free := max(a.freeAt[c.Host], a.w.now) + c.Expected
	a.freeAt[c.Host] = free
	a.most = max(a.most, free-a.w.now)
	if took := free - a.w.now + 2*testDelay; took <= c.Timeout {
		return took, true
	}
	a.failed = append(a.failed, a.w.now+c.Timeout)
	if a.flaps {
		a.w.after(c.Timeout+time.Millisecond, func() {
			a.w.deliver(HostsSeen{Hosts: slices.DeleteFunc(slices.Clone(a.hosts), func(h string) bool { return h == c.Host })})
		})
		a.w.after(c.Timeout+300*time.Millisecond, func() { a.w.deliver(HostsSeen{Hosts: a.hosts}) })
	}
	return c.Timeout, false
}

// longAdvice is a queue whose calls for advice take as long as any.
const longAdvice = 1300 * time.Millisecond

// submitGangs hands in jobs of wide gangs that need long advice.
func (w *world) submitGangs(n int) []string {
	var ids []string
	for i := range n {
		j := oneStep(fmt.Sprintf("gang%02d", i), &record.Step{Count: 8, Gang: true})
		j.Policy = queueWithAdvice("long", float64(longAdvice.Milliseconds())).Policy
		w.submitTo(j, "long")
		ids = append(ids, j.Id)
	}
	return ids
}

// Guards against advice that stays clogged after a takeover: the service still works on what
// an earlier leader asked for, which nobody counts, and each call that runs out of its time is
// followed by one that waits behind it. Gangs that could run never do.
func TestAdviceDrainsAfterATakeover(t *testing.T) {
	for name, flaps := range map[string]bool{"hosts stay listed": false, "hosts leave the list and are back": true} {
		t.Run(name, func(t *testing.T) {
			const inherited = 8 * time.Second
			w := newWorld(t, 1)
			for i := range 16 {
				w.addWorker(fmt.Sprintf("w%02d", i), 64)
			}
			w.startLeader()
			a := w.newAdviceService("", "h1", "h2", "h3", "h4", "h5")
			a.flaps = flaps
			for _, h := range a.hosts {
				a.freeAt[h] = w.now + inherited
			}
			ids := w.submitGangs(60)
			w.run(time.Minute)
			w.mustComplete(ids...)
			if most := inherited + 3*longAdvice; a.most > most {
				t.Errorf("the service had to work for %v for one host, want at most %v", a.most, most)
			}
		})
	}
}

// Guards against calls that run out of their time behind others of the same host that the
// scheduler itself has sent.
func TestAdviceHasTimeForWhatIsAhead(t *testing.T) {
	var a advisers
	a.set([]string{"h1"}, 0)
	for i, cost := range []time.Duration{longAdvice / 5, longAdvice, longAdvice} {
		h := a.pick(lanes{}, "q", cost, 0)
		if h == nil {
			t.Fatalf("call %d is not taken", i)
		}
		if timeout := h.ask(adviceStep{job: fmt.Sprint(i)}, cost, 0); timeout < h.backlog(0) {
			t.Errorf("call %d has %v, and the service works %v", i, timeout, h.backlog(0))
		}
	}
}

// Guards against a queue that is forgotten while its host is not listed.
func TestAdviserIsRememberedWhileAway(t *testing.T) {
	var a advisers
	a.set([]string{"h1"}, 0)
	a.hosts[0].ask(adviceStep{job: "a"}, 3*time.Second, 0)
	a.set(nil, time.Second)
	a.set([]string{"h1"}, 2*time.Second)
	if got := a.hosts[0].backlog(2 * time.Second); got != 3*time.Second {
		t.Errorf("backlog %v, want 3 s", got)
	}
	a.answered("h1", adviceStep{job: "a"}, 2*time.Second)
	a.set(nil, 3*time.Second)
	a.set(nil, 4*time.Second)
	if len(a.away) != 0 {
		t.Errorf("%d hosts are remembered that have nothing to do", len(a.away))
	}
}

// Guards against a host that is asked too soon again: the service may only begin with the
// call that ran out of its time, and with those behind it.
func TestUnansweredAdviceCounts(t *testing.T) {
	var a advisers
	a.set([]string{"h1"}, 0)
	h := a.hosts[0]
	for i := range 3 {
		h.ask(adviceStep{job: fmt.Sprint(i)}, time.Second, 0)
	}
	a.unanswered("h1", adviceStep{job: "0"}, 5*time.Second)
	if got := h.backlog(5 * time.Second); got != 3*time.Second {
		t.Errorf("backlog %v, want 3 s", got)
	}
	if h.takes(time.Second, 5*time.Second+adviserPause/2) {
		t.Error("the host is not paused")
	}
	a.answered("h1", adviceStep{job: "2"}, 6*time.Second)
	if h.backlog(6*time.Second) != 0 || len(h.calls) != 0 {
		t.Errorf("%+v: the answer to the last call shows that the service is through", h)
	}
}

// Guards against a backlog that counts a call which never reached the service.
func TestAdviceThatWasNotSent(t *testing.T) {
	var a advisers
	a.set([]string{"h1"}, 0)
	h := a.hosts[0]
	h.ask(adviceStep{job: "a"}, 3*time.Second, 0)
	a.notAsked("h1", adviceStep{job: "a"}, 0)
	if got := h.backlog(0); got != 0 {
		t.Errorf("backlog %v, want none", got)
	}
	if h.takes(time.Second, adviserPause/2) || !h.takes(time.Second, adviserPause) {
		t.Error("the host is not paused for a while")
	}
}

// Guards against a list of calls that grows for ever: the service never answers a host.
func TestCallsGivenUpAreForgotten(t *testing.T) {
	var a advisers
	a.set([]string{"h1"}, 0)
	h := a.hosts[0]
	for i := range 100 {
		now := time.Duration(i) * time.Minute
		step := adviceStep{job: fmt.Sprint(i)}
		h.ask(step, time.Second, now)
		a.unanswered("h1", step, now+3*time.Second)
	}
	if len(h.calls) != 1 {
		t.Errorf("%d calls, want the newest", len(h.calls))
	}
}

// Guards against a host that is asked for more than its share while the service is slow: a
// call that is not answered yet is not done, however long it has been out.
func TestAdviceUnderWayCounts(t *testing.T) {
	var a advisers
	a.set([]string{"h1"}, 0)
	h := a.hosts[0]
	h.ask(adviceStep{job: "a"}, time.Second, 0)
	h.ask(adviceStep{job: "b"}, time.Second, 0)
	if h.takes(time.Second, 2*time.Second) {
		t.Error("a third call is taken while two are under way")
	}
	a.answered("h1", adviceStep{job: "a"}, 2*time.Second)
	if !h.takes(time.Second, 2*time.Second) {
		t.Error("no call is taken though one was answered")
	}
}
