package region

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// world simulates the environment of a scheduler in virtual time: the log, workers
// that follow the call protocol, and the advice service. It checks the scheduler's
// safety invariants at every step.
type world struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Duration
	events           eventHeap
	lastSeq          int64
	sched            *Scheduler
	generation       int // number of the current scheduler; answers to earlier ones are dropped
	fence            int64
	logDown          bool
	lateCall         bool           // the call that is being executed has timed out at its caller
	linkLoad         float64        // share of the leader's link in use
	stalledUntil     time.Duration  // the leader handles nothing before this time
	readDelay        time.Duration  // how long after a stall the answers are read that came meanwhile
	longRunning      bool           // the tasks are long-running: one that is done may be started again
	repeatedListings int            // answers to probes that list no end which earlier ones did not
	adviceCalls      int            // number of Advise calls
	drains           *drainWorld    // zones that operators drain; nil without drains and their checks
	strict           *strict        // state of a strict history; nil without the strict faults and checks
	crashers         *crashers      // tasks that crash their workers; nil for none
	lastWorker       int            // number of the newest worker that replaced a crashed one
	advice           *adviceService // nil: each call is answered within its expected duration
	leaders          *leaders       // several leaders at a time; nil if a leader ends when it is replaced
	readEnds         readEnds       // ends as done that were read
	waits            *waitNet       // checks how long tasks wait; nil for no check

	intake        []*record.Intake
	intakeTimes   []time.Duration        // when each of intake was appended
	submitted     map[string]*record.Job // first submission of each job, also if it has expired
	intakeExpires bool                   // records of the intake expire after logRetention, as entries do
	// membersFailTogether lets every member of a gang that fails end as failed, not the last one to
	// start alone.
	membersFailTogether bool
	recordBytes         int           // size of the largest entry that the log accepts; 0 for no limit
	clockSkew           time.Duration // by which the leader's time of day is ahead
	entries             []*record.Entry
	entryTimes          []time.Duration // when each of entries was appended
	maxLease            time.Duration   // the longest lease of workers; 0 for testLease
	restoreTime         time.Duration   // how long a run restores that resumes; 0: tasks begin anew
	resumedRuns         int             // runs that resumed, with a restoreTime
	logRetention        time.Duration   // after which entries expire; 0 for the usual option, without expiry
	statusRetention     time.Duration   // 0 for the usual option
	minActive           int             // least number of active workers; 0 for the usual one
	probes              map[string]int  // answered probes by worker
	pendingAppends      []pendingAppend
	workers             map[string]*fakeWorker
	names               []string
	states              map[string]State
	pending             map[string]bool
	acceptedAt          map[string]time.Duration // when jobs were submitted
	completedAt         map[string]time.Duration // when they were first shown as completed

	runTime      func(id model.TaskID) time.Duration
	fails        func(id model.TaskID, run int32) bool
	issuesTicket func(step, worker string) bool           // the advice service issues a ticket
	losesAnswer  func(call string) bool                   // the call is executed, but its answer is lost
	seesAdvice   func(c Advise)                           // is shown each call for advice
	callDelay    func(call string) time.Duration          // extra delay until the call is executed
	checkpointOf func(id model.TaskID, r *fakeRun) string // newest checkpoint of a run; nil for the usual one
	starts       map[model.TaskID]int
	doneRuns     map[model.TaskID]int32
	failures     map[model.TaskID]int
	explanations []string
	counts       map[string]int64    // counters
	hungProbes   bool                // calls of probes do not come back
	foreign      []model.WorkerEntry // entries of the host list that other writers wrote, under ids of no worker
	foreignCalls map[string]int      // calls to workers of such entries, by kind
}

// fakeWorker simulates a worker that follows the call protocol.
type fakeWorker struct {
	entry        model.WorkerEntry
	fence        int64
	runs         map[model.TaskID]*fakeRun
	highest      map[model.TaskID]int32 // highest run that was stopped or has ended
	ends         []model.End
	nextEnd      int64
	until        int64
	listedEnds   int64 // highest number of an end in an answer to a probe
	voidEnds     int   // how many ends at the front of ends a lease expiry has made void
	unreachable  bool
	failsWith    model.CallFailure  // why calls get no answer; 0 for model.CallTimedOut
	answersLost  bool               // calls are executed, and their answers are lost
	handshakes   bool               // it answers handshakes, and executes no probe
	answerDelay  time.Duration      // how long the leader waits for an answer beyond the usual time
	hangs        bool               // tasks start but make no progress
	slowdown     time.Duration      // factor by which tasks take longer; 0 for 1
	bornAt       time.Duration      // when its clock started
	drift        float64            // fraction by which its clock is slower than the scheduler's
	down         bool               // between two incarnations
	dark         bool               // while down, it does not answer; otherwise it refuses connections
	replaced     bool               // a worker with another ID has its address
	listed       *model.WorkerEntry // its entry in the host list, empty if expired; nil if entry is listed
	gangTimeouts []model.TaskID     // gang members that timed out waiting for the others
	tickets      map[string]time.Duration
	room         room             // what starts may use for a while after its capacity has shrunk
	known        *model.Resources // capacity that the host list shows since it was changed; nil before
}

type fakeRun struct {
	number     int32
	request    model.Resources
	startedAt  time.Duration
	runTime    time.Duration // run time; 0 for a gang member
	checkpoint string        // newest checkpoint
	done       bool          // of a gang that is done, and its end is not listed yet
	from       int           // percent of the checkpoint that it resumes from
	restores   time.Duration // how long it restores that before it works
}

type timedEvent struct {
	at  time.Duration
	seq int64
	do  func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	testDelay = 2 * time.Millisecond // one way, to workers and the log
	testLease = 6 * time.Second
)

func testOptions() Options {
	return Options{
		MaxLease: testLease, Lease: testLease, LogRetention: 300 * time.Second, StatusRetention: 120 * time.Second,
	}
}

func (w *world) options() Options {
	o := testOptions()
	o.MaxLease, o.Lease = w.longestLease(), w.longestLease()
	o.MinActive = w.minActive
	if w.logRetention > 0 {
		o.LogRetention = w.logRetention
	}
	o.StatusRetention = cmp.Or(w.statusRetention, o.StatusRetention)
	o.RecordBytes = w.recordBytes
	if w.drains != nil {
		o.ZoneDrain = testZoneDrain
	}
	return o
}

// longestLease returns to what workers shorten longer leases.
func (w *world) longestLease() time.Duration { return cmp.Or(w.maxLease, testLease) }

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), workers: make(map[string]*fakeWorker), states: make(map[string]State),
		starts: make(map[model.TaskID]int), doneRuns: make(map[model.TaskID]int32), failures: make(map[model.TaskID]int),
		now: time.Hour, submitted: make(map[string]*record.Job), foreignCalls: make(map[string]int),
		acceptedAt: make(map[string]time.Duration), completedAt: make(map[string]time.Duration), probes: make(map[string]int), pending: make(map[string]bool), counts: make(map[string]int64),
	}
	w.runTime = func(model.TaskID) time.Duration { return 500 * time.Millisecond }
	w.fails = func(model.TaskID, int32) bool { return false }
	w.issuesTicket = func(string, string) bool { return true }
	w.losesAnswer = func(string) bool { return false }
	w.callDelay = func(string) time.Duration { return 0 }
	w.seesAdvice = func(Advise) {}
	return w
}

func testConfig() *model.Config {
	return &model.Config{
		Version:    1,
		Services:   map[string]model.Service{"svc": {Name: "svc"}},
		Workspaces: map[string]model.Workspace{"ws": {Name: "ws"}},
	}
}

func (w *world) after(after time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.events, timedEvent{w.now + after, w.lastSeq, do})
}

// addWorker adds a worker with the given number of cores.
func (w *world) addWorker(id string, cores int64) *fakeWorker {
	fw := w.newWorker(id, cores)
	w.deliver(WorkerListed{Entry: fw.entry})
	return fw
}

// newWorker returns a worker that is not on the host list yet.
func (w *world) newWorker(id string, cores int64) *fakeWorker {
	fw := &fakeWorker{
		entry: model.WorkerEntry{
			ID: id, Service: "svc", Address: "10.0.0.1:" + id, Zone: "z",
			Capacity: model.Resources{MilliCPU: cores * 1000, MemoryMiB: 64 << 10}, BornUnix: 1,
		},
		runs: make(map[model.TaskID]*fakeRun), highest: make(map[model.TaskID]int32), tickets: make(map[string]time.Duration),
	}
	w.workers[id] = fw
	w.names = append(w.names, id)
	sort.Strings(w.names)
	return fw
}

// startLeader replaces the scheduler by a new one, which replays the log and leads.
func (w *world) startLeader() {
	if w.leaders != nil {
		w.leaders.claim()
		return
	}
	w.generation++
	w.fence++
	w.sched = New(w.options())
	if w.strict != nil {
		w.strict.noteCancellations(w.intake)
	}
	w.step(Tick{UnixMs: (w.now + w.clockSkew).Milliseconds(), LinkLoad: w.linkLoad})
	w.expireEntries()
	w.step(IntakeRead{Records: w.intake})
	w.step(EntriesRead{Entries: w.entries})
	w.step(Lead{Fence: w.fence, ProvenAt: w.now})
	w.step(ConfigRead{Config: w.config()})
	w.readDrains(w.generation)
	w.step(AdviceHostsChanged{Hosts: []string{"", "h2", "h3"}})
	for _, id := range w.names {
		w.deliverListing(w.workers[id])
	}
	for _, e := range w.foreign {
		w.step(WorkerListed{Entry: e})
	}
	w.tick(w.generation)
}

// deliverListing delivers a worker's host list entry to a new scheduler.
func (w *world) deliverListing(fw *fakeWorker) {
	switch {
	case fw.listed == nil:
		w.listCapacity(fw, fw.entry)
	case fw.listed.ID != "":
		w.listCapacity(fw, *fw.listed)
	}
}

// stopLeader removes the scheduler; the region has no leader until startLeader is called.
func (w *world) stopLeader() {
	if w.leaders != nil {
		delete(w.leaders.byGeneration, w.generation)
	}
	w.generation++
	w.sched = nil
}

func (w *world) tick(generation int) {
	if w.leaders != nil {
		w.leaders.tick(generation)
		return
	}
	if generation != w.generation || w.sched == nil || w.afterStall(0, func() { w.tick(generation) }) {
		return
	}
	w.step(Tick{UnixMs: (w.now + w.clockSkew).Milliseconds(), LinkLoad: w.linkLoad})
	w.step(Schedule{})
	w.checkJobMemory()
	if w.minActive > 0 && w.sched != nil {
		w.checkStandby()
	}
	w.after(20*time.Millisecond, func() { w.tick(generation) })
}

func (w *world) deliver(ev Event) {
	if w.leaders != nil {
		w.leaders.deliver(ev)
		return
	}
	if w.sched != nil {
		w.step(ev)
	}
}

func (w *world) step(ev Event) {
	generation := w.generation
	w.noteReadEnds(ev)
	for _, c := range append([]Command(nil), w.sched.Handle(w.now, ev)...) {
		w.checkReadEnds(c)
		w.execute(generation, c)
	}
}

// answer delivers an event to the scheduler that made the call, unless it was replaced.
func (w *world) answer(generation int, after time.Duration, ev func() Event) {
	if w.leaders != nil {
		w.leaders.answer(generation, after, ev)
		return
	}
	var deliver func()
	deliver = func() {
		if generation == w.generation && w.sched != nil && !w.afterStall(w.readDelay, deliver) {
			w.step(ev())
			w.step(Schedule{})
		}
	}
	w.after(after, deliver)
}

// stall lets the leader handle nothing for a while. It then handles a tick first, and after
// readDelay the answers that came meanwhile.
func (w *world) stall(length, readDelay time.Duration) {
	w.stalledUntil, w.readDelay = w.now+length, readDelay
}

// afterStall reports whether the leader stands still, and if so calls do once that is over.
func (w *world) afterStall(delay time.Duration, do func()) bool {
	if w.now >= w.stalledUntil {
		return false
	}
	w.after(w.stalledUntil-w.now+delay, do)
	return true
}

func (w *world) execute(generation int, c Command) {
	if w.leaders != nil && w.leaders.execute(generation, c) {
		return
	}
	switch c := c.(type) {
	case Append:
		w.append(generation, c)
	case Publish:
		if !w.sched.leading() {
			break // states are not shown while loading
		}
		w.checkFinalState(c)
		if c.State == StateCompleted && w.states[c.Job] != c.State {
			w.completedAt[c.Job] = w.now
		}
		w.states[c.Job], w.pending[c.Job] = c.State, c.Pending
	case Start:
		w.waits.started(c.Request.Task, w.isGang(c.Request.Task))
		w.checkNotCancelled(c.Request)
		w.checkDrainKnown(c.Request)
		w.checkWorkerStays(c.Request)
		w.checkRoomKnown(c.Request)
		w.call(generation, "start", c.After, c.Request.Worker, func(fw *fakeWorker) CallError { return w.start(fw, c.Request) },
			func(e CallError) Event { return StartAnswered{Request: c.Request, Err: e} })
	case Stop:
		w.call(generation, "stop", c.After, c.Request.Worker, func(fw *fakeWorker) CallError { return w.stop(fw, c.Request) },
			func(e CallError) Event { return StopAnswered{Request: c.Request, Err: e} })
	case Probe:
		if !w.hungProbes {
			w.probe(generation, c)
		}
	case Count:
		w.counts[c.Name] += max(c.N, 1)
	case Advise:
		w.seesAdvice(c)
		w.advise(generation, c)
	case Explain:
		w.explanations = append(w.explanations, fmt.Sprint((w.now-time.Hour).Milliseconds(), " ", c.Job, " ", c.Message, " ", c.Fields))
	}
}

// checkFinalState checks that the state of a job that has ended does not change.
func (w *world) checkFinalState(p Publish) {
	before := w.states[p.Job]
	ended := before == StateCompleted || before == StateFailed || before == StateCancelled
	if ended && p.State != before && p.State != StateUnknown {
		w.fatal("job %s was shown as %v, and is now shown as %v", p.Job, before, p.State)
	}
}

// checkWorkerStays checks that no start is sent to a worker that is known to drain.
func (w *world) checkWorkerStays(o model.StartRequest) {
	if known := w.sched.workers[o.Worker.ID]; known != nil && known.entry.Draining {
		w.fatal("start sent to worker %s, which is known to drain: %v run %d", o.Worker.ID, o.Task, o.Run)
	}
}

func (w *world) append(generation int, c Append) {
	if w.leaders != nil {
		w.leaders.append(generation, c)
		return
	}
	w.pendingAppends = append(w.pendingAppends, pendingAppend{generation, c, w.now})
	w.after(testDelay, w.flushLog)
}

// pendingAppend is an append that has not reached the log yet. Appends keep their order.
type pendingAppend struct {
	generation int
	append     Append
	sent       time.Duration
}

func (w *world) flushLog() {
	if w.logDown {
		w.after(50*time.Millisecond, w.flushLog)
		return
	}
	for _, u := range w.pendingAppends {
		if u.generation != w.generation {
			continue // the log rejects appends of a replaced scheduler
		}
		w.checkRecordSizes(u.append.Entries)
		w.entries = append(w.entries, u.append.Entries...)
		for range u.append.Entries {
			w.entryTimes = append(w.entryTimes, w.now)
		}
		w.answer(u.generation, testDelay, func() Event { return Committed{Seq: u.append.Seq, SentAt: u.sent} })
	}
	w.pendingAppends = nil
}

// call carries out a call at a worker, even if its answer is lost.
func (w *world) call(generation int, name string, after time.Duration, ref model.WorkerRef, run func(*fakeWorker) CallError, event func(CallError) Event) {
	if w.leaders != nil {
		w.leaders.call(generation, name, after, ref, func(fw *fakeWorker, _ func() bool, reply func(CallError)) { reply(run(fw)) }, event)
		return
	}
	if w.strict != nil {
		w.strictCall(generation, name, after, ref, run, event)
		return
	}
	fw := w.workers[ref.ID]
	if fw == nil {
		w.callForeign(generation, name, after, ref, event)
		return
	}
	const timeout = 400 * time.Millisecond
	if err, failed := fw.connectionError(); failed {
		delay := 2 * testDelay
		if err == CallNoAnswer {
			delay = timeout
		}
		w.answer(generation, after+delay, func() Event { return event(err) })
		return
	}
	if fw.unreachable || fw.entry.Address != ref.Address {
		w.answer(generation, after+timeout, func() Event { return event(CallNoAnswer) })
		return
	}
	late := w.callDelay(name)
	w.after(after+testDelay+late, func() {
		// A call addresses its worker by ID alone: a late one may reach the next incarnation.
		if fw.unreachable || fw.down {
			w.answer(generation, timeout, func() Event { return event(CallNoAnswer) })
			return
		}
		err := run(fw)
		if late == 0 && !fw.answersLost && !w.losesAnswer(name) {
			w.answer(generation, testDelay+fw.answerDelay, func() Event { return event(err) })
			return
		}
		w.answer(generation, timeout, func() Event { return event(CallNoAnswer) })
	})
}

// connectionError returns how a call fails to a worker that crashed and is not back, or whose
// address another worker has.
func (fw *fakeWorker) connectionError() (err CallError, failed bool) {
	switch {
	case fw.replaced:
		return CallOtherIncarnation, true
	case fw.down && fw.dark:
		return CallNoAnswer, true
	case fw.down:
		return CallNotSent, true
	}
	return CallOK, false
}

// job returns the job that was submitted with the id, or nil if there is none.
func (w *world) job(id string) *record.Job { return w.submitted[id] }

func (w *world) fatal(format string, args ...any) {
	w.t.Helper()
	lines := 40
	if *leadersTrace {
		lines = len(w.explanations)
	}
	for _, line := range w.explanations[max(0, len(w.explanations)-lines):] {
		w.t.Log(line)
	}
	w.t.Fatalf("at %v: "+format, append([]any{w.now - time.Hour}, args...)...)
}

func (w *world) advise(generation int, c Advise) {
	if w.leaders != nil {
		w.leaders.advise(generation, c)
		return
	}
	w.adviceCalls++
	took, answered := c.Expected+2*testDelay, true
	if w.advice != nil {
		took, answered = w.advice.advise(c)
	}
	w.answer(generation, took, func() Event {
		ev := AdviceAnswered{Request: c, At: w.now, Failed: !answered}
		if ev.Failed {
			return ev
		}
		for _, id := range c.Workers {
			step := fmt.Sprint(c.Job, c.Occurrence, c.Step)
			if fw := w.workers[id]; fw != nil && w.issuesTicket(step, id) {
				ticket := fmt.Sprint(step, id, w.now)
				fw.tickets[ticket] = w.now + 2*time.Second
				ev.Tickets = append(ev.Tickets, model.Ticket{Worker: id, Ticket: ticket})
			}
		}
		return ev
	})
}

// run advances the virtual time by d and executes the events that are due.
func (w *world) run(d time.Duration) {
	until := w.now + d
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(timedEvent)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = until
}

// mustComplete fails the test unless all jobs are completed.
func (w *world) mustComplete(ids ...string) {
	w.t.Helper()
	for _, id := range ids {
		if w.states[id] != StateCompleted {
			w.fatal("job %s is %v, want completed", id, w.states[id])
		}
	}
}

func oneStep(id string, s *record.Step) *record.Job {
	if s.Request == nil {
		s.Request = &record.Resources{MilliCpu: 1000, MemoryMib: 100}
	}
	if s.EstimateMs == 0 {
		s.EstimateMs = 500
	}
	return &record.Job{Id: id, Steps: []*record.Step{s}}
}
