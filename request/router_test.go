package request

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/work"
)

// fixedLimits holds a fixed number of units for every team.
type fixedLimits struct {
	limit int64
	used  map[ident.TeamID]int64
}

func newLimits(limit int64) *fixedLimits {
	return &fixedLimits{limit: limit, used: map[ident.TeamID]int64{}}
}

func (l *fixedLimits) TryUse(team ident.TeamID, units int64) bool {
	if l.used[team]+units > l.limit {
		return false
	}
	l.used[team] += units
	return true
}

func (l *fixedLimits) Done(team ident.TeamID, units int64) { l.used[team] -= units }

const testService ident.ServiceID = "grants"

func newRouter(limits Limits, workers int, opts Options) *Router {
	opts.Limits = limits
	opts.Zone = "a"
	opts.Rand = rand.New(rand.NewPCG(1, 2))
	r := New(opts)
	for i := range workers {
		r.Step(0, WorkerReady{Worker: workerID(i), Services: []ident.ServiceID{testService}, Slots: 2, Connections: 8})
	}
	return r
}

func workerID(i int) ident.WorkerID { return ident.WorkerID(fmt.Sprintf("w%02d", i)) }

func taskID(n int) ident.TaskID {
	return ident.TaskID{Zone: "a", Host: "h", Incarnation: 1, Seq: uint64(n)}
}

func admitted(n int, team ident.TeamID, nonIdempotent bool) Admitted {
	return Admitted{ID: taskID(n), Team: team, Service: testService, Deadline: time.Minute, NonIdempotent: nonIdempotent}
}

// onlyCommand returns the single command of type C, or fails the test.
func onlyCommand[C Command](t *testing.T, cmds []Command) C {
	t.Helper()
	var found []C
	for _, cmd := range cmds {
		if c, ok := cmd.(C); ok {
			found = append(found, c)
		}
	}
	if len(found) != 1 {
		t.Fatalf("commands %+v: want one of the type", cmds)
	}
	return found[0]
}

// A non-idempotent request is sent to a worker and the connection breaks before
// an answer. It may have taken effect, so it must not be sent to another
// worker, and its caller must not get "not run" and repeat it.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	r := newRouter(newLimits(10), 4, Options{})
	onlyCommand[Dispatch](t, r.Step(0, admitted(1, "t", true)))
	cmds := r.Step(time.Second, Finished{ID: taskID(1), Result: ResultUncertain})
	if reject := onlyCommand[Reject](t, cmds); reject.Cause.Outcome() != work.OutcomeUnknown {
		t.Errorf("outcome %v, want unknown", reject.Cause.Outcome())
	}
}

// A forward of a non-idempotent request is duplicated on the network. The first
// copy runs to its end; the second arrives later, when no call with its ID is
// in flight, and must not run.
func TestDuplicateForwardRunsOnce(t *testing.T) {
	r := newRouter(newLimits(10), 4, Options{})
	ev := admitted(1, "t", true)
	ev.Hops = 1
	onlyCommand[Dispatch](t, r.Step(0, ev))
	onlyCommand[Complete](t, r.Step(time.Second, Finished{ID: ev.ID, Result: ResultAnswered}))
	reject := onlyCommand[Reject](t, r.Step(2*time.Second, ev))
	if reject.Cause.Outcome() != work.OutcomeUnknown {
		t.Errorf("outcome %v, want unknown", reject.Cause.Outcome())
	}
}

// A peer was cut off after its last report and does not answer. The request must
// go to another peer, and no other request to the silent one before it is seen again.
func TestSilentPeerGetsNoRequests(t *testing.T) {
	r := newRouter(newLimits(10), 0, Options{})
	near := PeerSeen{Host: "near", Zone: "a", Free: 8, Services: []ident.ServiceID{testService}}
	far := PeerSeen{Host: "far", Zone: "b", Free: 8, Services: []ident.ServiceID{testService}}
	r.Step(0, near)
	r.Step(0, far)
	goesTo := func(cmds []Command, want ident.HostID) {
		t.Helper()
		if got := onlyCommand[Forward](t, cmds).Peer; got != want {
			t.Errorf("sent to %s, want %s", got, want)
		}
	}
	goesTo(r.Step(0, admitted(1, "t", true)), "near")
	goesTo(r.Step(time.Second, Finished{ID: taskID(1), Result: ResultNotRun, PeerSilent: true}), "far")
	goesTo(r.Step(time.Second, admitted(2, "t", true)), "far")
	r.Step(time.Second, near)
	goesTo(r.Step(time.Second, admitted(3, "t", true)), "near")
}

// A forwarded request is refused as "not run" because its deadline passed in
// the queue, and its sender tries another host. A second copy of the forward
// that arrives late must not run, and is again refused as "not run".
func TestRefusedForwardStaysRefused(t *testing.T) {
	r := newRouter(newLimits(10), 0, Options{})
	ev := admitted(1, "t", true)
	ev.Hops = 2
	ev.Deadline = time.Second
	r.Step(0, ev)
	onlyCommand[Reject](t, r.Step(2*time.Second, Tick{}))
	r.Step(2*time.Second, WorkerReady{Worker: workerID(0), Services: []ident.ServiceID{testService}, Slots: 2, Connections: 8})
	ev.Deadline = time.Minute
	reject := onlyCommand[Reject](t, r.Step(3*time.Second, ev))
	if reject.Cause.Outcome() != work.OutcomeNotRun {
		t.Errorf("outcome %v, want not run", reject.Cause.Outcome())
	}
}

// An idempotent request gets no answer from its first worker, is retried, and
// finds the queue full. It is refused for overload, but the outcome must not be
// "not run": the first try may have run.
func TestRefusalAfterLostTryIsUnknown(t *testing.T) {
	r := newRouter(newLimits(100), 1, Options{MaxWaiting: 1})
	onlyCommand[Dispatch](t, r.Step(0, admitted(1, "t", false)))
	onlyCommand[Dispatch](t, r.Step(0, admitted(2, "t", false)))
	r.Step(0, admitted(3, "t", false)) // waits, and fills the queue
	r.Step(0, WorkerLeaving{Worker: workerID(0), Leaving: true})
	cmds := r.Step(time.Second, Finished{ID: taskID(1), Result: ResultUncertain})
	reject := onlyCommand[Reject](t, cmds)
	if reject.Cause.Cause != CauseOverload || reject.Cause.Outcome() != work.OutcomeUnknown {
		t.Errorf("rejected as %s, %v; want overload with outcome unknown", reject.Cause.Cause, reject.Cause.Outcome())
	}
}

// A worker fails every call at once. It is always idle, so selection by load
// alone would send it most requests. After a few failures it must get only
// trial calls, and leave quarantine when one succeeds.
func TestQuarantineOfFailingWorker(t *testing.T) {
	r := newRouter(newLimits(100), 2, Options{MaxTries: 1})
	now := time.Duration(0)
	sent := map[ident.WorkerID]int{}
	run := func(n int, failing bool) {
		now += 10 * time.Millisecond
		d := onlyCommand[Dispatch](t, r.Step(now, admitted(n, "t", false)))
		sent[d.Worker]++
		now += time.Millisecond
		r.Step(now, Finished{ID: d.ID, Result: ResultAnswered, ServerFail: failing && d.Worker == workerID(0)})
	}
	const calls = 100
	for n := range calls {
		run(n, true)
	}
	if sent[workerID(0)] > calls/5 {
		t.Errorf("%d of %d requests went to the failing worker", sent[workerID(0)], calls)
	}
	if len(r.Quarantined()) != 1 {
		t.Fatalf("quarantined %v, want the failing worker", r.Quarantined())
	}
	now += quarantineMax
	for n := range calls {
		run(calls+n, false)
	}
	if len(r.Quarantined()) != 0 {
		t.Errorf("still quarantined after successes: %v", r.Quarantined())
	}
}

// One team floods a host while another sends a few requests. The flood is
// refused at its own share of the queue, and every request of the other team is
// accepted.
func TestFloodLeavesQueueShareOfOtherTeams(t *testing.T) {
	r := newRouter(newLimits(100), 1, Options{MaxWaiting: 20})
	refused := map[ident.TeamID]int{}
	id := 0
	admit := func(team ident.TeamID) {
		id++
		for _, cmd := range r.Step(0, admitted(id, team, false)) {
			if _, ok := cmd.(Reject); ok {
				refused[team]++
			}
		}
	}
	for range 50 {
		admit("flood")
	}
	for range 5 {
		admit("quiet")
	}
	if refused["flood"] == 0 || refused["quiet"] != 0 {
		t.Errorf("refused %v, want some of team flood and none of team quiet", refused)
	}
}

// Every upstream is down and every request fails. Retrying each of them would
// triple the load; the budget must limit retries to a fraction of the
// successes.
func TestRetryBudgetBoundsAmplification(t *testing.T) {
	const workers = 400 // too many for any one to fail often enough for a quarantine
	r := newRouter(newLimits(1000), workers, Options{MaxTries: 3})
	dispatched := 0
	const calls = 200
	for n := range calls {
		cmds := r.Step(0, admitted(n, "t", false))
		for len(cmds) > 0 {
			d, ok := cmds[0].(Dispatch)
			if !ok {
				break
			}
			dispatched++
			cmds = r.Step(0, Finished{ID: d.ID, Result: ResultUncertain})
		}
	}
	if dispatched > calls+calls/10 {
		t.Errorf("%d sends for %d failing requests", dispatched, calls)
	}
}

// Events in random order with random results. Each request ends exactly once, a
// non-idempotent one is not sent again after a try that may have run, no worker
// has more calls than slots, and all units are returned.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := newLimits(int64(rapid.IntRange(1, 6).Draw(t, "limit")))
		m := &model{
			t:          t,
			r:          newRouter(limits, 3, Options{MaxWaiting: 6}),
			calls:      map[ident.TaskID]*modelCall{},
			inFlightOn: map[ident.WorkerID]int{},
		}
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for range steps {
			m.step()
		}
		m.finishAll()
		for team, used := range limits.used {
			if used != 0 {
				t.Fatalf("team %s still uses %d units", team, used)
			}
		}
	})
}

// model tracks the requests of a router and checks its commands.
type model struct {
	t          *rapid.T
	r          *Router
	now        time.Duration
	next       int
	calls      map[ident.TaskID]*modelCall
	order      []ident.TaskID
	inFlightOn map[ident.WorkerID]int
}

type modelCall struct {
	nonIdempotent bool
	maybeRan      bool
	worker        ident.WorkerID // of the dispatch in flight, if any
	inFlight      bool           // on a worker or at a peer
	ended         bool
}

func (m *model) step() {
	m.now += time.Duration(rapid.IntRange(0, 500).Draw(m.t, "ms")) * time.Millisecond
	switch rapid.IntRange(0, 6).Draw(m.t, "event") {
	case 0, 1:
		m.admit()
	case 2, 3:
		m.finishOne()
	case 4:
		m.apply(m.r.Step(m.now, Tick{}))
	case 5:
		free := int64(rapid.IntRange(0, 2).Draw(m.t, "free"))
		m.apply(m.r.Step(m.now, PeerSeen{Host: "p", Zone: "b", Free: free, Services: []ident.ServiceID{testService}}))
	case 6:
		id := workerID(rapid.IntRange(0, 2).Draw(m.t, "worker"))
		m.apply(m.r.Step(m.now, WorkerLeaving{Worker: id, Leaving: rapid.Bool().Draw(m.t, "leaving")}))
	}
}

func (m *model) admit() {
	m.next++
	team := ident.TeamID(rapid.SampledFrom([]string{"x", "y"}).Draw(m.t, "team"))
	ev := admitted(m.next, team, rapid.Bool().Draw(m.t, "once"))
	ev.Deadline = m.now + time.Duration(rapid.IntRange(1, 2000).Draw(m.t, "deadline"))*time.Millisecond
	m.calls[ev.ID] = &modelCall{nonIdempotent: ev.NonIdempotent}
	m.order = append(m.order, ev.ID)
	m.apply(m.r.Step(m.now, ev))
}

// finishOne ends the oldest call in flight with a random result.
func (m *model) finishOne() {
	for _, id := range m.order {
		if c := m.calls[id]; c.inFlight {
			result := Result(rapid.IntRange(int(ResultAnswered), int(ResultCallerGone)).Draw(m.t, "result"))
			m.finish(id, c, result)
			return
		}
	}
}

func (m *model) finish(id ident.TaskID, c *modelCall, result Result) {
	if c.worker != "" {
		m.inFlightOn[c.worker]--
	}
	c.inFlight = false
	c.worker = ""
	c.maybeRan = c.maybeRan || result != ResultNotRun
	m.apply(m.r.Step(m.now, Finished{ID: id, Result: result}))
}

func (m *model) apply(cmds []Command) {
	for _, cmd := range append([]Command(nil), cmds...) {
		switch cmd := cmd.(type) {
		case Dispatch:
			m.send(cmd.ID, cmd.Worker)
		case Forward:
			m.send(cmd.ID, "")
		case Complete:
			m.end(cmd.ID)
		case Reject:
			c := m.calls[cmd.ID]
			if c.maybeRan && cmd.Cause.Outcome() == work.OutcomeNotRun {
				m.t.Fatalf("%v may have run but was rejected as not run", cmd.ID)
			}
			m.end(cmd.ID)
		}
	}
}

func (m *model) send(id ident.TaskID, worker ident.WorkerID) {
	c := m.calls[id]
	if c.ended || c.inFlight {
		m.t.Fatalf("%v sent while in flight or after it ended", id)
	}
	if c.nonIdempotent && c.maybeRan {
		m.t.Fatalf("%v is non-idempotent, may have run and was sent again", id)
	}
	c.inFlight = true
	c.worker = worker
	if worker == "" {
		return
	}
	m.inFlightOn[worker]++
	if m.inFlightOn[worker] > 2 {
		m.t.Fatalf("worker %s has %d calls on 2 slots", worker, m.inFlightOn[worker])
	}
}

func (m *model) end(id ident.TaskID) {
	c := m.calls[id]
	if c.ended || c.inFlight {
		m.t.Fatalf("%v ended twice or while in flight", id)
	}
	c.ended = true
}

// finishAll ends every call and checks that none is left.
func (m *model) finishAll() {
	for range 10 * len(m.order) {
		m.now += time.Minute
		m.apply(m.r.Step(m.now, Tick{}))
		m.finishOne()
	}
	for id, c := range m.calls {
		if !c.ended {
			m.t.Fatalf("%v never ended: %+v", id, c)
		}
	}
}
