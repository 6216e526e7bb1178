package region

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// world is a small model of what surrounds a scheduler: a log, workers that
// keep the orders' contract, and an advice service, in virtual time. It checks
// the promises that hold at every step.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	order   int64
	sched   *Scheduler
	life    int // which scheduler is in charge; answers to earlier ones are dropped
	fence   int64
	logDown bool
	lasting bool // an end as done does not bind: the tasks of this test last
	adviceN int  // calls for advice

	intake  []*record.Intake
	entries []*record.Entry
	unsent  []unsentAppend
	workers map[string]*fakeWorker
	names   []string
	states  map[string]State

	runTime  func(id model.TaskID) time.Duration
	fails    func(id model.TaskID, run int32) bool
	good     func(step, worker string) bool
	lost     func(call string) bool // the answer to a call is lost, though it is carried out
	late     func(call string) time.Duration
	starts   map[model.TaskID]int
	doneRuns map[model.TaskID]int32
	failures map[model.TaskID]int
	log      []string
}

// fakeWorker keeps the contract of a worker.
type fakeWorker struct {
	entry   model.WorkerEntry
	fence   int64
	runs    map[model.TaskID]*fakeRun
	highest map[model.TaskID]int32 // highest run stopped or ended
	ends    []model.End
	nextEnd int64
	until   int64
	bound   int // ends at the front of the list that a lapse has made void
	cut     bool
	hangs   bool           // tasks begin and never move
	alone   []model.TaskID // gang members that waited in vain
	tickets map[string]time.Duration
}

type fakeRun struct {
	number int32
	room   model.Resources
	began  time.Duration
}

type timedEvent struct {
	at    time.Duration
	order int64
	do    func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
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
		MaxLease: testLease, Lease: testLease, LogRetention: 300 * time.Second, StatusKept: 120 * time.Second,
	}
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), workers: make(map[string]*fakeWorker), states: make(map[string]State),
		starts: make(map[model.TaskID]int), doneRuns: make(map[model.TaskID]int32), failures: make(map[model.TaskID]int),
		now: time.Hour,
	}
	w.runTime = func(model.TaskID) time.Duration { return 500 * time.Millisecond }
	w.fails = func(model.TaskID, int32) bool { return false }
	w.good = func(string, string) bool { return true }
	w.lost = func(string) bool { return false }
	w.late = func(string) time.Duration { return 0 }
	return w
}

func testConfig() *model.Config {
	return &model.Config{
		Version:    1,
		Services:   map[string]model.Service{"svc": {Name: "svc"}},
		Workspaces: map[string]model.Workspace{"ws": {Name: "ws"}},
	}
}

func (w *world) at(after time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, timedEvent{w.now + after, w.order, do})
}

// addWorker adds a worker with some cores.
func (w *world) addWorker(id string, cores int64) *fakeWorker {
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
	w.tell(WorkerListed{Entry: fw.entry})
	return fw
}

// lead puts a new scheduler in charge, which reads what is in the log.
func (w *world) lead() {
	w.life++
	w.fence++
	w.sched = New(testOptions())
	w.step(Tick{UnixMs: w.now.Milliseconds()})
	w.step(IntakeRead{Records: w.intake})
	w.step(EntriesRead{Entries: w.entries})
	w.step(Lead{Fence: w.fence})
	w.step(ConfigRead{Config: testConfig()})
	w.step(HostsSeen{Hosts: []string{"", "h2", "h3"}})
	for _, id := range w.names {
		w.step(WorkerListed{Entry: w.workers[id].entry})
	}
	w.tick(w.life)
}

// stopLeading leaves the region without a scheduler.
func (w *world) stopLeading() { w.life++; w.sched = nil }

func (w *world) tick(life int) {
	if life != w.life || w.sched == nil {
		return
	}
	w.step(Tick{UnixMs: w.now.Milliseconds()})
	w.step(Schedule{})
	w.at(20*time.Millisecond, func() { w.tick(life) })
}

func (w *world) tell(ev Event) {
	if w.sched != nil {
		w.step(ev)
	}
}

// submit keeps a job in the log and tells the scheduler.
func (w *world) submit(j *record.Job) { w.submitTo(j, "q") }

func (w *world) submitTo(j *record.Job, queue string) {
	if j.Policy == nil {
		j.Policy = &record.Policy{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000}
	}
	j.Workspace, j.Queue, j.AcceptedUnixMs = "ws", queue, w.now.Milliseconds()
	r := &record.Intake{Kind: &record.Intake_Submitted{Submitted: j}}
	w.intake = append(w.intake, r)
	w.tell(IntakeRead{Records: []*record.Intake{r}})
}

func (w *world) cancel(id string) {
	r := &record.Intake{Kind: &record.Intake_Cancelled{Cancelled: id}}
	w.intake = append(w.intake, r)
	w.tell(IntakeRead{Records: []*record.Intake{r}})
}

func (w *world) step(ev Event) {
	life := w.life
	for _, c := range append([]Command(nil), w.sched.Step(w.now, ev)...) {
		w.do(life, c)
	}
}

// answer brings an event to the scheduler that asked, if it is still there.
func (w *world) answer(life int, after time.Duration, ev func() Event) {
	w.at(after, func() {
		if life == w.life && w.sched != nil {
			w.step(ev())
			w.step(Schedule{})
		}
	})
}

func (w *world) do(life int, c Command) {
	switch c := c.(type) {
	case Append:
		w.append(life, c)
	case Publish:
		w.states[c.Job] = c.State
	case Start:
		w.call(life, "start", c.After, c.Order.Worker, func(fw *fakeWorker) CallError { return w.start(fw, c.Order) },
			func(e CallError) Event { return StartAnswered{Order: c.Order, Err: e} })
	case Stop:
		w.call(life, "stop", c.After, c.Order.Worker, func(fw *fakeWorker) CallError { return w.stop(fw, c.Order) },
			func(e CallError) Event { return StopAnswered{Order: c.Order, Err: e} })
	case Hold:
		w.hold(life, c)
	case Advise:
		w.advise(life, c)
	case Explain:
		w.log = append(w.log, fmt.Sprint((w.now-time.Hour).Milliseconds(), " ", c.Job, " ", c.What, " ", c.Fields))
	}
}

func (w *world) append(life int, c Append) {
	w.unsent = append(w.unsent, unsentAppend{life, c, w.now})
	w.at(testDelay, w.flushLog)
}

// unsentAppend is on its way to the log; appends keep their order.
type unsentAppend struct {
	life   int
	append Append
	sent   time.Duration
}

func (w *world) flushLog() {
	if w.logDown {
		w.at(50*time.Millisecond, w.flushLog)
		return
	}
	for _, u := range w.unsent {
		if u.life != w.life {
			continue // the log has fenced this scheduler off
		}
		w.entries = append(w.entries, u.append.Entries...)
		w.answer(u.life, testDelay, func() Event { return Logged{Seq: u.append.Seq, SentAt: u.sent} })
	}
	w.unsent = nil
}

// call carries out an order at a worker, also if its answer is lost.
func (w *world) call(life int, name string, after time.Duration, ref model.WorkerRef, run func(*fakeWorker) CallError, event func(CallError) Event) {
	fw := w.workers[ref.ID]
	const timeout = 400 * time.Millisecond
	if fw == nil || fw.cut || fw.entry.Address != ref.Address {
		w.answer(life, after+timeout, func() Event { return event(CallNoAnswer) })
		return
	}
	late := w.late(name)
	w.at(after+testDelay+late, func() {
		// An order names its worker by id alone: a late one may reach the next life.
		if fw.cut {
			w.answer(life, timeout, func() Event { return event(CallNoAnswer) })
			return
		}
		err := run(fw)
		if late == 0 && !w.lost(name) {
			w.answer(life, testDelay, func() Event { return event(err) })
			return
		}
		w.answer(life, timeout, func() Event { return event(CallNoAnswer) })
	})
}

// percent moves with time, unless the worker's tasks hang.
func (fw *fakeWorker) percent(now time.Duration, r *fakeRun) int {
	if fw.hangs {
		return 0
	}
	return int((now - r.began) / (100 * time.Millisecond))
}

func (fw *fakeWorker) clock(now time.Duration) int64 { return now.Milliseconds() - 1000 }

func (w *world) start(fw *fakeWorker, o model.StartOrder) CallError {
	if o.Fence < fw.fence {
		return CallFenced
	}
	fw.fence = o.Fence
	w.lapse(fw)
	if o.UntilMs < fw.clock(w.now) {
		return CallLate
	}
	fw.until = max(fw.until, min(o.UntilMs, fw.clock(w.now)+testLease.Milliseconds()))
	if r, ok := fw.runs[o.Task]; ok && r.number == o.Run {
		return CallOK
	}
	if o.Run <= fw.highest[o.Task] {
		return CallOldRun
	}
	if until, ok := fw.tickets[o.Ticket]; o.Ticket != "" && (!ok || w.now > until) {
		return CallNoTicket
	}
	w.started(fw, o)
	return CallOK
}

// started notes a start and checks the promises that a start can break.
func (w *world) started(fw *fakeWorker, o model.StartOrder) {
	j := w.job(o.Task.Job)
	if j == nil {
		w.t.Fatalf("a task started that nobody submitted: %v", o.Task)
	}
	for _, name := range w.names {
		w.lapse(w.workers[name])
	}
	if w.doneRuns[o.Task] > 0 && !w.lasting {
		w.fatal("started again after it was done: %v run %d", o.Task, o.Run)
	}
	for id, other := range w.workers {
		if _, alive := other.runs[o.Task]; alive && other.until >= other.clock(w.now) {
			w.fatal("two runs at once: %v run %d on %s while on %s", o.Task, o.Run, fw.entry.ID, id)
		}
	}
	if n := w.failures[o.Task]; n >= int(j.Policy.MaxAttempts) && !j.Steps[o.Task.Step].LongRunning {
		w.fatal("started after %d failures: %v", n, o.Task)
	}
	step := j.Steps[o.Task.Step]
	r := &fakeRun{number: o.Run, room: model.ResourcesOf(step.Request), began: w.now}
	fw.runs[o.Task] = r
	w.starts[o.Task]++
	var used model.Resources
	for _, x := range fw.runs {
		used = used.Add(x.room)
	}
	if !used.Fits(fw.entry.Capacity) {
		w.fatal("worker %s over capacity: %v of %v", fw.entry.ID, used, fw.entry.Capacity)
	}
	if step.Gang {
		w.joinGang(fw, o.Task, r, step)
		return
	}
	w.at(w.runTime(o.Task), func() {
		w.lapse(fw)
		if fw.runs[o.Task] == r && !fw.hangs {
			w.finish(fw, o.Task)
		}
	})
}

// finish ends a run by itself.
func (w *world) finish(fw *fakeWorker, id model.TaskID) {
	number := fw.runs[id].number
	if w.fails(id, number) {
		w.failures[id]++
		w.end(fw, id, record.Outcome_OUTCOME_FAILED)
		return
	}
	w.doneRuns[id] = number
	w.end(fw, id, record.Outcome_OUTCOME_DONE)
}

// forgetEnd forgets an end that was not taken note of; the end of a gang's
// member stands for all of them.
func (w *world) forgetEnd(e model.End) {
	id := e.RunID
	if e.Outcome == record.Outcome_OUTCOME_FAILED {
		w.failures[id.Task]--
	}
	if e.Outcome != record.Outcome_OUTCOME_DONE {
		return
	}
	gang := w.job(id.Task.Job).Steps[id.Task.Step].Gang
	for m, number := range w.doneRuns {
		same := m == id.Task || gang && m.Job == id.Task.Job && m.Occurrence == id.Task.Occurrence && m.Step == id.Task.Step
		if same && number == id.Run {
			delete(w.doneRuns, m)
		}
	}
}

const testGangWait = 3 * time.Second

// joinGang lets a gang work from the moment when all members of a run are
// there. A member that waits too long ends alone. Members end together: one
// lists the end for all, or, if it fails, the others are broken.
func (w *world) joinGang(fw *fakeWorker, id model.TaskID, r *fakeRun, step *record.Step) {
	w.at(testGangWait, func() {
		if fw.runs[id] == r && len(w.members(id, r.number)) < int(step.Count) {
			fw.alone = append(fw.alone, id)
			w.end(fw, id, record.Outcome_OUTCOME_LOST)
		}
	})
	if len(w.members(id, r.number)) < int(step.Count) {
		return
	}
	w.at(w.runTime(id), func() {
		members := w.members(id, r.number)
		if len(members) < int(step.Count) {
			w.breakRest(id, r.number)
			return
		}
		if w.fails(id, r.number) {
			w.failures[id]++
			w.end(members[id], id, record.Outcome_OUTCOME_FAILED)
			w.breakRest(id, r.number)
			return
		}
		for m, on := range members {
			w.doneRuns[m] = r.number
			if m == id {
				w.end(on, m, record.Outcome_OUTCOME_DONE)
				continue
			}
			on.highest[m] = max(on.highest[m], r.number)
			delete(on.runs, m)
		}
	})
}

// members returns where the members of a gang's run are alive.
func (w *world) members(id model.TaskID, number int32) map[model.TaskID]*fakeWorker {
	out := make(map[model.TaskID]*fakeWorker)
	for _, name := range w.names {
		fw := w.workers[name]
		w.lapse(fw)
		for m, r := range fw.runs {
			if m.Job == id.Job && m.Occurrence == id.Occurrence && m.Step == id.Step && r.number == number {
				out[m] = fw
			}
		}
	}
	return out
}

func (w *world) breakRest(id model.TaskID, number int32) {
	for m, fw := range w.members(id, number) {
		w.end(fw, m, record.Outcome_OUTCOME_LOST)
	}
}

func (w *world) job(id string) *record.Job {
	for _, r := range w.intake {
		if j := r.GetSubmitted(); j != nil && j.Id == id {
			return j
		}
	}
	return nil
}

func (w *world) fatal(format string, args ...any) {
	w.t.Helper()
	for _, line := range w.log[max(0, len(w.log)-40):] {
		w.t.Log(line)
	}
	w.t.Fatalf("at %v: "+format, append([]any{w.now - time.Hour}, args...)...)
}

func (w *world) stop(fw *fakeWorker, o model.StopOrder) CallError {
	if o.Fence < fw.fence {
		return CallFenced
	}
	fw.fence = o.Fence
	fw.highest[o.Task] = max(fw.highest[o.Task], o.Run)
	if r, ok := fw.runs[o.Task]; ok && r.number == o.Run {
		w.end(fw, o.Task, record.Outcome_OUTCOME_STOPPED)
	}
	return CallOK
}

func (w *world) end(fw *fakeWorker, id model.TaskID, outcome record.Outcome) {
	r := fw.runs[id]
	delete(fw.runs, id)
	fw.highest[id] = max(fw.highest[id], r.number)
	fw.nextEnd++
	fw.ends = append(fw.ends, model.End{Number: fw.nextEnd, RunID: model.RunID{Task: id, Run: r.number}, Outcome: outcome})
}

// lapse ends what runs on a worker whose lease is over.
func (w *world) lapse(fw *fakeWorker) {
	if fw.until >= fw.clock(w.now) {
		return
	}
	// An end that was not taken note of before the lease was over does not
	// bind for good.
	for ; fw.bound < len(fw.ends); fw.bound++ {
		w.forgetEnd(fw.ends[fw.bound])
	}
	ids := make([]model.TaskID, 0, len(fw.runs))
	for id := range fw.runs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return fmt.Sprint(ids[i]) < fmt.Sprint(ids[j]) })
	for _, id := range ids {
		w.end(fw, id, record.Outcome_OUTCOME_LOST)
	}
}

func (w *world) hold(life int, c Hold) {
	sent := w.now + c.After
	var got model.Hold
	w.call(life, "hold", c.After, c.Order.Worker, func(fw *fakeWorker) CallError {
		if c.Order.Fence < fw.fence {
			return CallFenced
		}
		fw.fence = c.Order.Fence
		w.lapse(fw)
		if c.Order.UntilMs > 0 {
			fw.until = max(fw.until, min(c.Order.UntilMs, fw.clock(w.now)+testLease.Milliseconds()))
		}
		for len(fw.ends) > 0 && fw.ends[0].Number <= c.Order.AckedUpTo {
			fw.ends = fw.ends[1:]
			fw.bound = max(0, fw.bound-1)
		}
		got = model.Hold{ClockMs: fw.clock(w.now), BornUnix: fw.entry.BornUnix, Ended: append([]model.End(nil), fw.ends...)}
		for id, r := range fw.runs {
			got.Running = append(got.Running, model.Running{RunID: model.RunID{Task: id, Run: r.number}, Percent: fw.percent(w.now, r)})
		}
		sort.Slice(got.Running, func(i, j int) bool { return fmt.Sprint(got.Running[i].Task) < fmt.Sprint(got.Running[j].Task) })
		return CallOK
	}, func(e CallError) Event { return Held{Order: c.Order, SentAt: sent, Hold: got, Err: e} })
}

func (w *world) advise(life int, c Advise) {
	w.adviceN++
	w.answer(life, c.Expected+2*testDelay, func() Event {
		ev := Advised{Order: c, At: w.now}
		for _, id := range c.Workers {
			step := fmt.Sprint(c.Job, c.Occurrence, c.Step)
			if fw := w.workers[id]; fw != nil && w.good(step, id) {
				ticket := fmt.Sprint(step, id, w.now)
				fw.tickets[ticket] = w.now + 2*time.Second
				ev.Tickets = append(ev.Tickets, model.Ticket{Worker: id, Ticket: ticket})
			}
		}
		return ev
	})
}

// run passes time.
func (w *world) run(d time.Duration) {
	until := w.now + d
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(timedEvent)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = until
}

// mustComplete fails unless all jobs are completed.
func (w *world) mustComplete(ids ...string) {
	w.t.Helper()
	for _, id := range ids {
		if w.states[id] != StateCompleted {
			w.fatal("job %s is %v, not completed", id, w.states[id])
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
