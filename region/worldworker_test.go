package region

import (
	"fmt"
	"sort"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// percent returns the progress of a run: 0 on a worker whose tasks hang. A gang member's
// grows by 1 per 100 ms, since a gang's run time starts only when all members are present.
func (fw *fakeWorker) percent(now time.Duration, r *fakeRun) int {
	switch {
	case fw.hangs:
		return 0
	case r.runTime == 0:
		return int((now - r.startedAt) / (100 * time.Millisecond))
	}
	return r.progress(now)
}

// clock returns the worker's monotonic clock in ms. It restarts with each incarnation.
func (fw *fakeWorker) clock(now time.Duration) int64 {
	if fw.bornAt == 0 {
		return now.Milliseconds() - 1000
	}
	return int64(float64((now - fw.bornAt).Milliseconds()) * (1 - fw.drift))
}

func (w *world) start(fw *fakeWorker, o model.StartRequest) CallError {
	if o.Fence < fw.fence {
		return CallFenced
	}
	fw.fence = o.Fence
	w.expireLease(fw)
	if o.UntilMs < fw.clock(w.now) {
		return CallLeaseExpired
	}
	r, running := fw.runs[o.Task]
	running = running && r.number == o.Run
	until, issued := fw.tickets[o.Ticket]
	if old := o.Run <= fw.highest[o.Task]; !running && !old && o.Ticket != "" && (!issued || w.now > until) {
		return CallNoTicket // the lease is not taken from it, as it is from one that is old
	}
	fw.until = max(fw.until, min(o.UntilMs, fw.clock(w.now)+w.longestLease().Milliseconds()))
	if running {
		return CallOK
	}
	if o.Run <= fw.highest[o.Task] {
		return CallOldRun
	}
	w.recordStart(fw, o)
	return CallOK
}

// recordStart records a start and checks the invariants that a start can violate.
func (w *world) recordStart(fw *fakeWorker, o model.StartRequest) {
	j := w.job(o.Task.Job)
	if j == nil {
		w.t.Fatalf("started a task that was never submitted: %v", o.Task)
	}
	for _, name := range w.names {
		w.expireLease(w.workers[name])
	}
	if w.doneRuns[o.Task] > 0 && !w.longRunning {
		w.fatal("started again after it was done: %v run %d", o.Task, o.Run)
	}
	for id, other := range w.workers {
		if _, alive := other.runs[o.Task]; alive && other.until >= other.clock(w.now) {
			w.fatal("two concurrent runs of a task: %v run %d on %s, another on %s", o.Task, o.Run, fw.entry.ID, id)
		}
	}
	if n := w.failures[o.Task]; n >= int(j.Policy.MaxAttempts) && !j.Steps[o.Task.Step].LongRunning {
		w.fatal("started after %d failed attempts: %v", n, o.Task)
	}
	step := j.Steps[o.Task.Step]
	w.checkStrictStart(fw, o, j)
	w.checkDrainedStart(fw, o)
	w.leaders.checkStart(o)
	r := &fakeRun{number: o.Run, request: model.ResourcesOf(step.Request), startedAt: w.now, checkpoint: o.Checkpoint}
	fw.runs[o.Task] = r
	w.starts[o.Task]++
	var used model.Resources
	for _, x := range fw.runs {
		if !x.done {
			used = used.Add(x.request)
		}
	}
	if has := fw.capacity(w.now, w.lateCall); !used.Fits(has) {
		w.fatal("worker %s over capacity: uses %v of %v", fw.entry.ID, used, has)
	}
	w.crashers.started(w, fw, o.Task)
	if step.Gang {
		w.joinGang(fw, o.Task, r, step)
		return
	}
	r.runTime = w.runTime(o.Task) * max(1, fw.slowdown)
	w.resume(r)
	w.after(r.timeLeft(), func() {
		w.expireLease(fw)
		if fw.runs[o.Task] == r && !fw.hangs {
			w.finish(fw, o.Task)
		}
	})
}

// finish ends a run, as done or failed, at the end of its run time.
func (w *world) finish(fw *fakeWorker, id model.TaskID) {
	number := fw.runs[id].number
	if w.fails(id, number) {
		w.failures[id]++
		w.end(fw, id, record.Outcome_OUTCOME_FAILED)
		return
	}
	w.recordDone(id, number)
	w.end(fw, id, record.Outcome_OUTCOME_DONE)
}

// discardEnd discards an end that the scheduler has not recorded. The end of one gang
// member stands for the whole gang.
func (w *world) discardEnd(e model.End) {
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

// joinGang starts a gang's run time once all members of a run are present. A
// member that waits longer than testGangWait ends alone. Members end together: one
// lists the end for all, or, if it fails, the others end as lost.
func (w *world) joinGang(fw *fakeWorker, id model.TaskID, r *fakeRun, step *record.Step) {
	w.after(testGangWait, func() {
		w.expireLease(fw) // a member whose lease has expired has ended already
		if fw.runs[id] == r && len(w.members(id, r.number)) < int(step.Count) {
			fw.gangTimeouts = append(fw.gangTimeouts, id)
			w.end(fw, id, record.Outcome_OUTCOME_LOST)
		}
	})
	if len(w.members(id, r.number)) < int(step.Count) {
		return
	}
	w.after(w.runTime(id), func() {
		members := w.members(id, r.number)
		if len(members) < int(step.Count) {
			w.endRemainingMembers(id, r.number)
			return
		}
		if w.membersFailTogether && w.failMembers(members, r.number) {
			w.endRemainingMembers(id, r.number)
			return
		}
		if w.fails(id, r.number) {
			w.failures[id]++
			w.end(members[id], id, record.Outcome_OUTCOME_FAILED)
			w.endRemainingMembers(id, r.number)
			return
		}
		if w.leaders != nil && w.leaders.gangDone(id, r.number, members) {
			return
		}
		for m, on := range members {
			w.recordDone(m, r.number)
			if m == id {
				w.end(on, m, record.Outcome_OUTCOME_DONE)
				continue
			}
			on.highest[m] = max(on.highest[m], r.number)
			delete(on.runs, m)
		}
	})
}

// failMembers ends each member as failed that fails in this run, and reports whether there are some.
func (w *world) failMembers(members map[model.TaskID]*fakeWorker, number int32) (some bool) {
	for m, on := range members {
		if w.fails(m, number) {
			some = true
			w.failures[m]++
			w.end(on, m, record.Outcome_OUTCOME_FAILED)
		}
	}
	return some
}

// members returns the live members of a gang's run with their workers.
func (w *world) members(id model.TaskID, number int32) map[model.TaskID]*fakeWorker {
	out := make(map[model.TaskID]*fakeWorker)
	for _, name := range w.names {
		fw := w.workers[name]
		w.expireLease(fw)
		for m, r := range fw.runs {
			if m.Job == id.Job && m.Occurrence == id.Occurrence && m.Step == id.Step && r.number == number {
				out[m] = fw
			}
		}
	}
	return out
}

func (w *world) endRemainingMembers(id model.TaskID, number int32) {
	for m, fw := range w.members(id, number) {
		w.end(fw, m, record.Outcome_OUTCOME_LOST)
	}
}

func (w *world) stop(fw *fakeWorker, o model.StopRequest) CallError {
	if o.Fence < fw.fence {
		return CallFenced
	}
	fw.fence = o.Fence
	fw.highest[o.Task] = max(fw.highest[o.Task], o.Run)
	if r, ok := fw.runs[o.Task]; ok && r.number == o.Run {
		outcome := record.Outcome_OUTCOME_STOPPED
		if r.done {
			outcome = record.Outcome_OUTCOME_DONE
		}
		w.end(fw, o.Task, outcome)
	}
	return CallOK
}

func (w *world) end(fw *fakeWorker, id model.TaskID, outcome record.Outcome) {
	r := fw.runs[id]
	delete(fw.runs, id)
	fw.highest[id] = max(fw.highest[id], r.number)
	fw.nextEnd++
	fw.ends = append(fw.ends, model.End{Number: fw.nextEnd, RunID: model.RunID{Task: id, Run: r.number}, Outcome: outcome, Checkpoint: w.save(id, r)})
	w.leaders.noteEnd(fw, fw.ends[len(fw.ends)-1])
}

// expireLease ends all runs on a worker whose lease has expired.
func (w *world) expireLease(fw *fakeWorker) {
	if fw.until >= fw.clock(w.now) {
		return
	}
	// An end that the scheduler has not recorded when the lease expires is not
	// final: the scheduler may count the run as lost and start the task again.
	for ; fw.voidEnds < len(fw.ends); fw.voidEnds++ {
		w.discardEnd(fw.ends[fw.voidEnds])
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

func (w *world) probe(generation int, c Probe) {
	if w.leaders != nil {
		w.leaders.probe(generation, c)
		return
	}
	sent := w.now + c.After
	var (
		got       model.ProbeResponse
		handshake bool // got is what the handshake listed
	)
	w.call(generation, "hold", c.After, c.Request.Worker, func(fw *fakeWorker) CallError {
		if c.Request.Fence < fw.fence {
			return CallFenced
		}
		if fw.handshakes {
			got, handshake = model.ProbeResponse{Ended: append([]model.End(nil), fw.ends...)}, true
			return CallNoAnswer
		}
		fw.fence = c.Request.Fence
		w.probes[fw.entry.ID]++
		w.expireLease(fw)
		if c.Request.UntilMs > 0 {
			fw.until = max(fw.until, min(c.Request.UntilMs, fw.clock(w.now)+w.longestLease().Milliseconds()))
		}
		for len(fw.ends) > 0 && fw.ends[0].Number <= c.Request.AckedUpTo {
			fw.ends = fw.ends[1:]
			fw.voidEnds = max(0, fw.voidEnds-1)
		}
		got = model.ProbeResponse{ClockMs: fw.clock(w.now), BornUnix: fw.entry.BornUnix, Ended: append([]model.End(nil), fw.ends...)}
		for id, r := range fw.runs {
			got.Running = append(got.Running, model.Running{
				RunID: model.RunID{Task: id, Run: r.number}, Checkpoint: w.save(id, r), Percent: fw.percent(w.now, r),
			})
		}
		if len(fw.ends) > 0 {
			newest := fw.ends[len(fw.ends)-1].Number
			if newest <= fw.listedEnds {
				w.repeatedListings++
			}
			fw.listedEnds = newest
		}
		if fw.entry.BornUnix != c.Request.Worker.BornUnix {
			return CallOtherIncarnation
		}
		sort.Slice(got.Running, func(i, j int) bool { return fmt.Sprint(got.Running[i].Task) < fmt.Sprint(got.Running[j].Task) })
		return CallOK
	}, func(e CallError) Event {
		if e != CallOK && !handshake {
			got = model.ProbeResponse{}
		}
		return ProbeAnswered{Request: c.Request, Verify: c.Verify, SentAt: sent, Response: got, Err: e, Failure: w.failureOf(c.Request.Worker.ID, e)}
	})
}
