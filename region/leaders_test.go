package region

import (
	"fmt"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// leaders lets several leaders of a world act at a time. One that is frozen stops, and on waking it
// handles all that has come in the meantime and sends the calls that it had ready, although
// another one may have claimed the leadership. It ends when the log has rejected an append of it.
type leaders struct {
	w            *world
	byGeneration map[int]*leader
	claimed      int           // generation of the leader that has claimed last, whichever acts
	logDelay     time.Duration // one way, in addition to testDelay
	slowLog      bool          // the log is slow whenever a leader is frozen or cut off
	isolating    bool          // a leader that claims is mostly cut off from many workers for long
	lagging      bool          // entries of the host list may reach a leader late
	traces       bool          // calls that workers execute are noted
	splits       bool          // the entries of an append may reach the log in two calls
	repeatTime   bool          // the answer to an append that is repeated counts from the repeat
	pending      []leaderAppend
	lastStart    map[model.TaskID]time.Duration // newest start of a task
	endedAt      map[endKey]time.Duration       // when ends were first listed
	bound        map[model.TaskID]int32         // run that has ended as done, with an end that binds
}

// leader is one leader of several.
type leader struct {
	sched      *Scheduler
	generation int
	fence      int64
	claimedAt  time.Duration
	loaded     bool
	frozen     bool
	queue      []queued
	logCut     time.Duration            // the log is not reached before this time
	cut        map[string]time.Duration // workers that are not reached before some time
	listedAt   time.Duration            // when the newest entry of the host list reaches it
	answeredAt time.Duration            // when the newest answer of the log reaches it
}

// queued is what a frozen leader does on waking.
type queued struct {
	sending bool
	do      func()
}

type leaderAppend struct {
	leader *leader
	append Append
	sent   time.Duration
}

type endKey struct {
	worker string
	born   int64
	number int64
}

func newLeaders(w *world) *leaders {
	return &leaders{
		w: w, byGeneration: make(map[int]*leader), lastStart: make(map[model.TaskID]time.Duration),
		endedAt: make(map[endKey]time.Duration), bound: make(map[model.TaskID]int32),
		repeatTime: *leadersRepeat, traces: *leadersTrace,
	}
}

// note adds a line to what the leaders have explained.
func (f *leaders) note(format string, args ...any) {
	f.w.explanations = append(f.w.explanations, fmt.Sprint((f.w.now-time.Hour).Milliseconds(), " ")+fmt.Sprintf(format, args...))
}

func (f *leaders) random(most time.Duration) time.Duration {
	return time.Duration(f.w.rng.Int64N(int64(most)))
}

// newest returns the leader that has claimed the leadership last, or nil if it has ended.
func (f *leaders) newest() *leader { return f.byGeneration[f.w.generation] }

// as lets a leader act.
func (f *leaders) as(l *leader, do func()) {
	w := f.w
	sched, generation := w.sched, w.generation
	w.sched, w.generation = l.sched, l.generation
	do()
	w.sched, w.generation = sched, generation
	if generation == l.generation && f.byGeneration[generation] == nil {
		w.sched = nil
	}
}

// when lets a leader act, on waking if it is frozen, and not if it has ended.
func (f *leaders) when(generation int, sending bool, do func()) {
	l := f.byGeneration[generation]
	switch {
	case l == nil:
	case l.frozen:
		l.queue = append(l.queue, queued{sending, do})
	default:
		f.as(l, do)
	}
}

// claim lets a further host claim the leadership. It loads for a while, and leads then.
func (f *leaders) claim() {
	w := f.w
	w.generation++
	w.fence++
	l := &leader{sched: New(w.options()), generation: w.generation, fence: w.fence, claimedAt: w.now, cut: make(map[string]time.Duration)}
	f.byGeneration[l.generation] = l
	f.claimed = l.generation
	w.sched = l.sched
	f.note("leader %d claims", l.generation)
	w.expireEntries()
	entries := slices.Clone(w.entries)
	loading := 5 * time.Millisecond
	if w.rng.IntN(4) == 0 {
		loading = f.random(2 * time.Second)
	}
	w.after(loading, func() { f.when(l.generation, false, func() { f.lead(l, entries) }) })
}

func (f *leaders) lead(l *leader, entries []*record.Entry) {
	w := f.w
	l.loaded = true
	f.note("leader %d leads", l.generation)
	w.step(Tick{UnixMs: (w.now + w.clockSkew).Milliseconds()})
	w.step(IntakeRead{Records: w.intake})
	w.step(EntriesRead{Entries: entries})
	w.step(Lead{Fence: l.fence, ProvenAt: l.claimedAt})
	w.step(ConfigRead{Config: w.config()})
	w.step(AdviceHostsChanged{Hosts: []string{"", "h2", "h3"}})
	for _, id := range w.names {
		fw := w.workers[id]
		switch {
		case fw.listed == nil:
			w.step(WorkerListed{Entry: fw.entry})
		case fw.listed.ID != "":
			w.step(WorkerListed{Entry: *fw.listed})
		}
	}
	f.tick(l.generation)
}

func (f *leaders) tick(generation int) {
	l := f.byGeneration[generation]
	switch {
	case l == nil || !l.loaded:
	case l.frozen: // a ticker drops ticks
		l.queue = append(l.queue, queued{false, func() { f.tick(generation) }})
	default:
		f.as(l, func() {
			f.w.step(Tick{UnixMs: (f.w.now + f.w.clockSkew).Milliseconds()})
			f.w.step(Schedule{})
		})
		f.w.after(20*time.Millisecond, func() { f.tick(generation) })
	}
}

func (f *leaders) answer(generation int, after time.Duration, ev func() Event) {
	f.w.after(after, func() {
		f.when(generation, false, func() {
			f.w.step(ev())
			f.w.step(Schedule{})
		})
	})
}

// deliver brings an event to all leaders, to each after its own time.
func (f *leaders) deliver(ev Event) {
	for generation := 1; generation <= f.w.generation; generation++ {
		l := f.byGeneration[generation]
		if l == nil || !l.loaded {
			continue
		}
		lag := time.Duration(0)
		if _, intake := ev.(IntakeRead); !intake && f.lagging && f.w.rng.IntN(6) == 0 {
			lag = f.random(2 * time.Second)
		}
		l.listedAt = max(l.listedAt, f.w.now+lag)
		f.answer(generation, l.listedAt-f.w.now, func() Event { return ev })
	}
}

// execute handles the commands that depend on which leader emits them.
func (f *leaders) execute(generation int, c Command) bool {
	l := f.byGeneration[generation]
	if l == nil {
		return true // it has ended in the meantime
	}
	switch c.(type) {
	case Publish:
		return generation != f.claimed
	case StepDown:
		f.end(l)
		return true
	}
	return false
}

// end ends a leader. If no other has claimed since, one does.
func (f *leaders) end(l *leader) {
	delete(f.byGeneration, l.generation)
	f.w.after(f.random(time.Second), func() {
		if f.newest() == nil {
			f.claim()
		}
	})
}

// freeze stops the newest leader for a while. Another host claims the leadership, mostly while it
// stands still.
func (f *leaders) freeze(d time.Duration) {
	l := f.newest()
	if l == nil || l.frozen {
		return
	}
	l.frozen = true
	if f.slowLog {
		f.slow()
	}
	f.w.after(d, func() { f.wake(l) })
	f.claimLater(l, func() bool { return l.frozen })
}

// claimLater lets another host claim the leadership after a while if the leader is still silent.
func (f *leaders) claimLater(l *leader, silent func() bool) {
	f.w.after(300*time.Millisecond+f.random(2500*time.Millisecond), func() {
		if f.w.generation == l.generation && silent() {
			f.claim()
			f.cutSome(f.newest())
		}
	})
}

func (f *leaders) wake(l *leader) {
	if !l.frozen || f.byGeneration[l.generation] == nil {
		return
	}
	l.frozen = false
	f.note("leader %d wakes, %d things to do", l.generation, len(l.queue))
	if f.w.generation != l.generation {
	}
	do := l.queue
	l.queue = nil
	if f.w.rng.IntN(2) == 0 { // the calls that were ready are sent first
		slices.SortStableFunc(do, func(a, b queued) int {
			switch {
			case a.sending == b.sending:
				return 0
			case a.sending:
				return -1
			}
			return 1
		})
	}
	for _, q := range do {
		if f.byGeneration[l.generation] == l {
			f.as(l, q.do)
		}
	}
}

// cutOffLog lets the newest leader go on without the log for a while.
func (f *leaders) cutOffLog(d time.Duration) {
	l := f.newest()
	if l == nil || l.logCut > f.w.now {
		return
	}
	l.logCut = f.w.now + d
	if f.slowLog {
		f.slow()
	}
	f.claimLater(l, func() bool { return l.logCut > f.w.now })
}

// cutSome cuts a leader off from some workers for a while each.
func (f *leaders) cutSome(l *leader) {
	if l == nil || !f.isolating && f.w.rng.IntN(2) == 0 {
		return
	}
	until := f.w.now + f.random(16*time.Second)
	if f.isolating {
		until = f.w.now + 9*time.Second + f.random(8*time.Second)
	}
	for _, id := range f.w.names {
		if f.w.rng.IntN(3) == 0 {
			l.cut[id] = until
		}
	}
}

// slow makes the log slow for a while.
func (f *leaders) slow() {
	f.logDelay = f.random(300 * time.Millisecond)
	f.w.after(f.random(12*time.Second), func() { f.logDelay = 0 })
}

func (f *leaders) append(generation int, c Append) {
	f.w.after(0, func() {
		f.when(generation, true, func() {
			l := f.byGeneration[generation]
			n := 0
			if f.splits {
				n = f.w.rng.IntN(len(c.Entries))
			}
			if n > 0 { // the writer takes what it finds: the rest comes with the next call
				f.pending = append(f.pending, leaderAppend{l, Append{Entries: c.Entries[:n]}, f.w.now})
				f.w.after(testDelay+f.logDelay, f.flush)
			}
			rest := leaderAppend{l, Append{Entries: c.Entries[n:], Seq: c.Seq}, f.w.now}
			if n > 0 {
				rest.sent += 2 * (testDelay + f.logDelay)
			}
			f.pending = append(f.pending, rest)
			f.w.after(rest.sent-f.w.now+testDelay+f.logDelay, f.flush)
		})
	})
}

// flush lets the log execute the appends that have reached it. It rejects those of leaders that
// were replaced.
func (f *leaders) flush() {
	w := f.w
	left := f.pending[:0:0]
	waits := make(map[*leader]bool) // appends of a leader keep their order
	for _, u := range f.pending {
		l := u.leader
		switch {
		case waits[l]:
			left = append(left, u)
		case f.byGeneration[l.generation] != l:
		case w.logDown || l.logCut > w.now || u.sent > w.now-testDelay-f.logDelay:
			left = append(left, u)
			waits[l] = true
		case l.generation != w.generation:
			f.note("an append of leader %d is rejected", l.generation)
			f.w.after(testDelay+f.logDelay, func() { f.when(l.generation, false, func() { delete(f.byGeneration, l.generation) }) })
		default:
			w.entries = append(w.entries, u.append.Entries...)
			for range u.append.Entries {
				w.entryTimes = append(w.entryTimes, w.now)
			}
			if u.append.Seq > 0 {
				f.committed(l, u)
			}
		}
	}
	f.pending = left
	if len(left) > 0 {
		w.after(50*time.Millisecond, f.flush)
	}
}

// committed brings the answer of the log to a leader, at times late: the first one was lost.
func (f *leaders) committed(l *leader, u leaderAppend) {
	w := f.w
	after := testDelay + f.logDelay
	sent := u.sent
	if w.rng.IntN(60) == 0 {
		after += f.random(1500 * time.Millisecond)
	}
	l.answeredAt = max(l.answeredAt, w.now+after)
	f.answer(l.generation, l.answeredAt-w.now, func() Event {
		if f.repeatTime && w.now-sent > time.Second {
			sent = w.now - 2*testDelay
		}
		return Committed{Seq: u.append.Seq, SentAt: sent}
	})
}

// call makes a call to a worker. A call in time reaches only the incarnation that it names; a late
// one is executed seconds after it has timed out, by that incarnation or not at all.
func (f *leaders) call(generation int, name string, after time.Duration, ref model.WorkerRef,
	run func(fw *fakeWorker, same func() bool, reply func(CallError)), event func(CallError) Event,
) {
	w := f.w
	// The calls of one moment are sent one after the other: a freeze may come in between.
	w.after(after+f.random(300*time.Microsecond), func() {
		f.when(generation, true, func() { f.send(generation, name, ref, run, event) })
	})
}

func (f *leaders) send(generation int, name string, ref model.WorkerRef,
	run func(fw *fakeWorker, same func() bool, reply func(CallError)), event func(CallError) Event,
) {
	w, fw, l, sent := f.w, f.w.workers[ref.ID], f.byGeneration[generation], f.w.now
	reply := func(after time.Duration, e CallError) {
		f.answer(generation, after, func() Event {
			if waited := w.now - sent; waited > 2*callTimeout && e != CallNotSent && w.rng.IntN(2) == 0 {
				return event(CallNoAnswer) // the time-out is found first on waking
			}
			return event(e)
		})
	}
	cut := l.cut[ref.ID] > w.now
	switch {
	case ref.Address != fw.entry.Address:
		reply(testDelay, CallNotSent)
		return
	case fw.unreachable || cut && w.rng.IntN(4) > 0:
		reply(callTimeout, CallNoAnswer)
		return
	case fw.replaced:
		reply(2*testDelay, CallOtherIncarnation)
		return
	case fw.down:
		reply(testDelay, CallNotSent)
		return
	case fw.entry.BornUnix != ref.BornUnix:
		reply(2*testDelay, CallOtherIncarnation)
		return
	}
	late := w.callDelay(name)
	if cut {
		late = max(late, l.cut[ref.ID]-w.now)
	}
	lost := late > 0 || w.losesAnswer(name)
	if lost {
		reply(callTimeout, CallNoAnswer)
	}
	if late > maxCallDelay {
		return
	}
	w.after(testDelay+late, func() {
		same := func() bool { return !fw.down && !fw.replaced && fw.entry.BornUnix == ref.BornUnix }
		if !same() || fw.unreachable {
			if !lost {
				reply(callTimeout, CallNoAnswer)
			}
			return
		}
		w.lateCall = late > 0 || w.now-sent > testDelay
		run(fw, same, func(e CallError) {
			if !lost && !fw.unreachable {
				reply(testDelay, e)
			} else if !lost {
				reply(callTimeout, CallNoAnswer)
			}
		})
		w.lateCall = false
	})
}

// probe executes a probe on arrival, and answers it when an end is listed or its wait is over.
func (f *leaders) probe(generation int, c Probe) {
	w := f.w
	var (
		sent time.Duration
		got  model.ProbeResponse
	)
	f.call(generation, "hold", c.After, c.Request.Worker, func(fw *fakeWorker, same func() bool, reply func(CallError)) {
		if c.Request.Fence < fw.fence {
			reply(CallFenced)
			return
		}
		fw.fence = c.Request.Fence
		w.expireLease(fw)
		if c.Request.UntilMs > fw.until && f.traces {
			f.note("%s: leader %d renews the lease to %d, clock %d", fw.entry.ID, generation, c.Request.UntilMs, fw.clock(w.now))
		}
		if c.Request.UntilMs > 0 {
			fw.until = max(fw.until, min(c.Request.UntilMs, fw.clock(w.now)+w.longestLease().Milliseconds()))
		}
		for len(fw.ends) > 0 && fw.ends[0].Number <= c.Request.AckedUpTo {
			if fw.voidEnds == 0 {
				f.noteAck(fw, fw.ends[0])
			}
			fw.ends = fw.ends[1:]
			fw.voidEnds = max(0, fw.voidEnds-1)
		}
		until := w.now + c.Request.Wait
		var list func()
		list = func() {
			if !same() {
				reply(CallNoAnswer)
				return
			}
			w.expireLease(fw)
			if len(fw.ends) == 0 && w.now < until {
				w.after(5*time.Millisecond, list)
				return
			}
			got = w.listing(fw)
			reply(CallOK)
		}
		list()
	}, func(e CallError) Event {
		if e != CallOK {
			got = model.ProbeResponse{}
		}
		return ProbeAnswered{Request: c.Request, SentAt: sent, Response: got, Err: e, Failure: w.failureOf(c.Request.Worker.ID, e)}
	})
	w.after(c.After, func() { f.when(generation, true, func() { sent = w.now }) })
}

// listing returns what a worker answers to a probe.
func (w *world) listing(fw *fakeWorker) model.ProbeResponse {
	got := model.ProbeResponse{ClockMs: fw.clock(w.now), BornUnix: fw.entry.BornUnix, Ended: slices.Clone(fw.ends)}
	for id, r := range fw.runs {
		percent := fw.percent(w.now, r)
		if r.done {
			percent = 100
		}
		got.Running = append(got.Running, model.Running{RunID: model.RunID{Task: id, Run: r.number}, Checkpoint: w.save(id, r), Percent: percent})
	}
	slices.SortFunc(got.Running, func(a, b model.Running) int { return compareTasks(a.Task, b.Task) })
	return got
}

// advise answers a call for advice, at times seconds late. Tickets hold on their worker's clock.
func (f *leaders) advise(generation int, c Advise) {
	w := f.w
	w.adviceCalls++
	service := c.Expected + testDelay
	var tickets []model.Ticket
	w.after(service, func() {
		for _, id := range c.Workers {
			step := c.Job + string(rune('0'+c.Step))
			if fw := w.workers[id]; fw != nil && !fw.down && w.issuesTicket(step, id) {
				ticket := step + " " + id + " " + w.now.String()
				fw.tickets[ticket] = w.now + time.Duration(float64(2*time.Second)/(1-fw.drift))
				tickets = append(tickets, model.Ticket{Worker: id, Ticket: ticket})
			}
		}
	})
	after := service + testDelay
	if w.rng.IntN(20) == 0 {
		after += f.random(3 * time.Second)
	}
	f.answer(generation, after, func() Event { return AdviceAnswered{Request: c, Tickets: tickets, At: w.now} })
}

// gangDone ends the members of a gang that is done, in some histories one after the other.
func (f *leaders) gangDone(id model.TaskID, number int32, members map[model.TaskID]*fakeWorker) bool {
	w := f.w
	if len(id.Job)%2 == 0 && id.Job[len(id.Job)-1]%2 == 0 {
		return false // one end is listed for all
	}
	var ids []model.TaskID
	for m := range members {
		ids = append(ids, m)
	}
	slices.SortFunc(ids, compareTasks)
	for _, m := range ids {
		fw, r := members[m], members[m].runs[m]
		r.done = true
		w.recordDone(m, number)
		after := time.Duration(0)
		if m != id {
			after = f.random(60 * time.Millisecond)
		}
		w.after(after, func() {
			w.expireLease(fw)
			if fw.runs[m] == r {
				w.end(fw, m, record.Outcome_OUTCOME_DONE)
			}
		})
	}
	return true
}

func compareTasks(a, b model.TaskID) int {
	switch {
	case a.Job != b.Job:
		return compareStrings(a.Job, b.Job)
	case a.Step != b.Step:
		return int(a.Step - b.Step)
	}
	return int(a.Index - b.Index)
}

func compareStrings(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// tasksOf returns the tasks for which an end of the task as done counts.
func (f *leaders) tasksOf(id model.TaskID) []model.TaskID {
	step := f.w.job(id.Job).Steps[id.Step]
	if !step.Gang {
		return []model.TaskID{id}
	}
	var out []model.TaskID
	for i := range step.Count {
		out = append(out, model.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i})
	}
	return out
}

// noteEnd notes when an end is listed. A member of a gang whose lease lapses before its end is
// listed has not ended as done.
func (f *leaders) noteEnd(fw *fakeWorker, e model.End) {
	if f == nil {
		return
	}
	if f.traces {
		f.note("%s: end %d of %v run %d, outcome %v", fw.entry.ID, e.Number, e.Task, e.Run, e.Outcome)
	}
	f.endedAt[endKey{fw.entry.ID, fw.entry.BornUnix, e.Number}] = f.w.now
	if e.Outcome == record.Outcome_OUTCOME_LOST && f.w.doneRuns[e.Task] == e.Run {
		delete(f.w.doneRuns, e.Task)
	}
}

// noteAck checks an end that is taken note of, and whose worker's lease has not lapsed since: if it
// is done, its task must not have been started after it.
func (f *leaders) noteAck(fw *fakeWorker, e model.End) {
	if e.Outcome != record.Outcome_OUTCOME_DONE {
		return
	}
	at := f.endedAt[endKey{fw.entry.ID, fw.entry.BornUnix, e.Number}]
	for _, id := range f.tasksOf(e.Task) {
		f.bound[id] = max(f.bound[id], e.Run)
		if f.lastStart[id] > at {
			f.w.fatal("%v was started again at %v, after run %d of %v had ended as done on %s at %v, and that end is acknowledged now",
				id, f.lastStart[id]-time.Hour, e.Run, e.Task, fw.entry.ID, at-time.Hour)
		}
	}
}

// checkStart checks that no end of a run as done binds that was acknowledged before.
func (f *leaders) checkStart(o model.StartRequest) {
	if f == nil {
		return
	}
	if f.traces {
		f.note("%s: start of %v run %d, fence %d", o.Worker.ID, o.Task, o.Run, o.Fence>>fenceStepBits)
	}
	f.lastStart[o.Task] = f.w.now
	if run := f.bound[o.Task]; run > 0 {
		f.w.fatal("%v run %d started after the end of run %d as done was acknowledged", o.Task, o.Run, run)
	}
}
