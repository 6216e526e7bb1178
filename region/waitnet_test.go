package region

import (
	"fmt"
	"strings"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// waitNetInterval is how often the waits of a history are looked at.
	waitNetInterval = 250 * time.Millisecond
	// maxCalmWait is how long a task may wait that could run: jobs are judged 14 s after the traffic, and
	// wait for 2 s until they are asked for. It covers a ticket that is valid for 2 s, the longest lease,
	// which a new leader waits for after the proof of its predecessor, margins, and the next call for advice.
	maxCalmWait = 12 * time.Second
	// doubtMargin is for the drift of clocks, a worker's margin, and the time between two looks.
	doubtMargin = 2 * time.Second
	// longestTimeout is when a leader learns at the latest, in histories that are not strict, that a call got no
	// answer: after it was carried out, up to 5 s late.
	longestTimeout = 5400 * time.Millisecond
)

// maxDoubt returns how long a task may wait in addition to maxCalmWait whose start needs no ticket and got no
// answer: until the start cannot be carried out any more, and the lease that it grants is over. While its worker
// answers, probes renew that lease, and the newest may be carried out late.
func (w *world) maxDoubt(r *run) time.Duration {
	answered := min(max(0, r.worker.probedAt-r.assigned), lateCallWindow)
	switch {
	case r.calls.inherited > 0 || r.phase == phaseInherited:
		return inheritedWindow + testLease + doubtMargin
	case w.strict != nil:
		return answered + callTimeout + lateCallWindow + testLease + doubtMargin
	}
	return answered + longestTimeout + lateCallWindow + testLease + doubtMargin
}

// waitNet checks the waits of a history: no task waits for longer than these bounds while half of the
// service is free on workers that can be reached, it fits there twice over, and its workspace uses less than
// half of its cap. Only such time counts, and only since the task last ran, its last start was sent, and
// the leader leads.
type waitNet struct {
	generation int
	waits      map[model.TaskID]*calmWait
	explained  int
}

type calmWait struct{ waits, doubt time.Duration }

// watchWaits checks the waits of the history from now on.
func (w *world) watchWaits() {
	w.waits = &waitNet{waits: make(map[model.TaskID]*calmWait)}
	var look func()
	look = func() {
		w.checkQueues()
		w.checkWaits()
		w.after(waitNetInterval, look)
	}
	w.after(waitNetInterval, look)
}

// started notes that a start of a task is sent, which all members of a gang wait for.
func (n *waitNet) started(id model.TaskID, gang bool) {
	if n == nil {
		return
	}
	delete(n.waits, id)
	for m := range n.waits {
		if gang && m.Job == id.Job && m.Occurrence == id.Occurrence && m.Step == id.Step {
			delete(n.waits, m)
		}
	}
}

func (w *world) isGang(id model.TaskID) bool {
	j := w.job(id.Job)
	return j != nil && j.Steps[id.Step].Gang
}

// leaderActs reports whether a leader acts that reaches the log and all workers that can be reached.
func (w *world) leaderActs() bool {
	if w.sched == nil || !w.sched.leading() || w.logDown || w.now < w.stalledUntil {
		return false
	}
	if w.leaders == nil {
		return true
	}
	l := w.leaders.newest()
	if l == nil || !l.loaded || l.frozen || w.now < l.logCut || w.leaders.logDelay > 0 {
		return false
	}
	for _, until := range l.cut {
		if w.now < until {
			return false
		}
	}
	return true
}

// checkQueues checks that each waiting task is on the ready list, and that its step is looked at by reportWaits.
func (w *world) checkQueues() {
	if w.sched == nil || !w.sched.leading() {
		return
	}
	for _, j := range w.sched.jobs {
		if j.ended() {
			continue
		}
		for _, occ := range j.occs {
			for _, st := range occ.steps {
				w.checkQueued(st)
			}
		}
	}
	for ; w.waits.explained < len(w.explanations); w.waits.explained++ {
		if line := w.explanations[w.waits.explained]; strings.Contains(line, "{held_by "+string(waitsUnqueued)+"}") {
			w.fatal("a step was in no queue: %s", line)
		}
	}
}

func (w *world) checkQueued(st *step) {
	if !st.ready {
		return
	}
	for _, t := range st.tasks {
		if t.waiting() && !st.queued {
			w.fatal("%v waits in no queue: %s", t.id(), describeTasks(st.job))
		}
		if t.waitingFor(w.now) > 0 && !st.watched {
			w.fatal("%v waits and no line would tell of it: %s", t.id(), describeTasks(st.job))
		}
	}
}

// checkWaits adds to the waits of the tasks that could run, and checks them.
func (w *world) checkWaits() {
	n := w.waits
	if !w.leaderActs() {
		return
	}
	if n.generation != w.generation {
		n.generation = w.generation
		clear(n.waits)
	}
	alive := w.aliveTasks()
	calm := w.halfFree()
	for _, j := range w.sched.jobs {
		for _, occ := range j.occs {
			for _, st := range occ.steps {
				if st.ready && !j.ended() {
					w.checkStepWaits(st, alive, calm)
				}
			}
		}
	}
}

func (w *world) checkStepWaits(st *step, alive map[model.TaskID]bool, calm bool) {
	for _, t := range st.tasks {
		id := t.id()
		if t.knownDone() || alive[id] || st.rec.Gang && w.anyAlive(st, alive) {
			delete(w.waits.waits, id)
			continue
		}
		if !calm || !w.fitsTwice(st) {
			continue
		}
		c := w.waits.waits[id]
		if c == nil {
			c = &calmWait{}
			w.waits.waits[id] = c
		}
		tooLong := false
		if inDoubt := w.sched.memberAwaited(t).run; st.defersEnds() && inDoubt != nil && inDoubt.phase >= phaseStopping {
			c.doubt += waitNetInterval
			tooLong = c.doubt > w.maxDoubt(inDoubt)
		} else {
			c.waits += waitNetInterval
			tooLong = c.waits > maxCalmWait
		}
		if tooLong {
			m, why, until := w.sched.causeOfWait(t)
			w.fatal("%v has waited for %v and for %v in doubt, with half of the room free. held_by %q, task %d, for %v at most:%s",
				id, c.waits, c.doubt, why, m.index, until-w.now, describeTasks(st.job))
		}
	}
}

func (w *world) anyAlive(st *step, alive map[model.TaskID]bool) bool {
	for _, t := range st.tasks {
		if alive[t.id()] {
			return true
		}
	}
	return false
}

// aliveTasks returns the tasks that run, and those with an end as done that binds.
func (w *world) aliveTasks() map[model.TaskID]bool {
	alive := make(map[model.TaskID]bool)
	for id := range w.doneRuns {
		alive[id] = true
	}
	for _, fw := range w.workers {
		over := fw.until < fw.clock(w.now)
		for _, e := range fw.ends[fw.voidEnds:] {
			if over && w.doneRuns[e.Task] == e.Run {
				delete(alive, e.Task) // the end is void
			}
		}
	}
	for _, fw := range w.workers {
		for id := range fw.runs {
			if fw.until >= fw.clock(w.now) {
				alive[id] = true
			}
		}
	}
	return alive
}

// takesWork reports whether a worker is listed and can be reached.
func (fw *fakeWorker) takesWork() bool {
	listed := fw.listed == nil || fw.listed.ID != "" && fw.listed.BornUnix == fw.entry.BornUnix
	return listed && !fw.unreachable && !fw.down && !fw.replaced && !fw.answersLost && !fw.entry.Draining
}

// usedOn returns what runs on a worker, and what may begin there: a start that is on its way, and one without a
// ticket that may still be carried out, have their room, as LIMIT and QUOTA count it.
func (w *world) usedOn(fw *fakeWorker) (used model.Resources) {
	over := fw.until < fw.clock(w.now)
	for _, r := range fw.runs {
		if !over && !r.done {
			used = used.Add(r.request)
		}
	}
	lw, known := w.sched.workers[fw.entry.ID]
	if !known {
		return used
	}
	for _, r := range lw.runs {
		begins := r.phase == phaseLogging || r.phase == phaseSending || r.phase >= phaseStopping && r.task.step.defersEnds()
		if _, runs := fw.runs[r.task.id()]; (!runs || over) && begins && !r.idle {
			used = used.Add(r.demand)
		}
	}
	return used
}

// halfFree reports whether half of the room of the workers that take work is free, and half of all room on them.
func (w *world) halfFree() bool {
	var used, has, all model.Resources
	tenant := int64(0)
	for _, fw := range w.workers {
		tenant += w.usedOn(fw).MilliCPU
		if !fw.replaced {
			all = all.Add(fw.entry.Capacity)
		}
		if fw.takesWork() {
			used, has = used.Add(w.usedOn(fw)), has.Add(fw.entry.Capacity)
		}
	}
	free := has.Sub(used)
	return used.Times(2).Fits(has) && 2*free.MilliCPU >= all.MilliCPU && (w.strict == nil || 2*tenant < strictCap)
}

// fitsTwice reports whether the workers that take work have room for twice the tasks of a step that start
// together.
func (w *world) fitsTwice(st *step) bool {
	places := 0
	key := fmt.Sprint(st.job.rec.Id, st.occ.k, st.index)
	for name, fw := range w.workers {
		if !fw.takesWork() || st.needsAdvice() && !w.issuesTicket(key, name) {
			continue
		}
		n := timesIn(st.demand(), fw.entry.Capacity.Sub(w.usedOn(fw)))
		if most := int(st.rec.AntiAffinity); most > 0 {
			n = min(n, most)
		}
		places += n
	}
	return places >= 2*st.tasksTogether()
}
