package region

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// strict is the additional state of a world with the platform's worst permitted faults:
// calls of every kind are executed 2 to 12 s late, after they have timed out at the caller;
// a worker restarts after a delay, with a new clock, new numbers of ends and possibly
// another capacity, and the host list shows the new incarnation even later.
type strict struct {
	foreignEntries     *rand.Rand                       // other writers write entries at random; nil for none
	lateCallsReachNext bool                             // late calls may reach a later incarnation than the one they were sent to
	unseen             bool                             // calls in time reach it too, and late ones also if it is cut off; its answers are lost
	doneTasks          map[model.TaskID]bool            // has ended as done, recorded or not
	cancelled          map[string]bool                  // jobs whose cancellation a scheduler has received
	checkpoints        map[model.TaskID]map[string]bool // checkpoints that a task has saved
}

func newStrict() *strict {
	return &strict{
		doneTasks: make(map[model.TaskID]bool), cancelled: make(map[string]bool),
		checkpoints: make(map[model.TaskID]map[string]bool),
	}
}

const (
	// strictCap is the workspace's cap in milli-CPU: two thirds of the workers'
	// capacity.
	strictCap = 40_000
	// strictCapTolerance is the factor by which usage may exceed the cap, in addition to
	// one task.
	strictCapTolerance = 1.1
	// checkpointInterval is the interval between checkpoints of a task.
	checkpointInterval = 500 * time.Millisecond
	// callTimeout is how long a caller waits for a worker's answer.
	callTimeout = 400 * time.Millisecond
	// reportInterval is the interval at which a worker writes its host list entry.
	reportInterval = 1500 * time.Millisecond
	// callsPerConnection is the average number of calls per new connection.
	callsPerConnection = 8
)

func (w *world) config() *model.Config {
	c := testConfig()
	if w.strict != nil {
		c.Workspaces["ws"] = model.Workspace{Name: "ws", Cap: model.Resources{MilliCPU: strictCap}}
	}
	return c
}

// checkNotCancelled fails the test if the scheduler sends a start after it has received the
// job's cancellation.
func (w *world) checkNotCancelled(o model.StartRequest) {
	if w.strict != nil && w.strict.cancelled[o.Task.Job] {
		w.fatal("started after its job was cancelled: %v run %d", o.Task, o.Run)
	}
}

// checkStrictStart checks the invariants of a start beyond those of recordStart: the step's
// dependencies and anti-affinity, the workspace's cap, and the checkpoint.
func (w *world) checkStrictStart(fw *fakeWorker, o model.StartRequest, j *record.Job) {
	if w.strict == nil {
		return
	}
	step := j.Steps[o.Task.Step]
	for _, dependency := range step.DependsOn {
		for i := range j.Steps[dependency].Count {
			if !w.strict.doneTasks[model.TaskID{Job: o.Task.Job, Step: dependency, Index: i}] {
				w.fatal("started before step %d, on which it depends, was done: %v run %d", dependency, o.Task, o.Run)
			}
		}
	}
	sameStep := int32(1)
	for other := range fw.runs {
		if other != o.Task && other.Job == o.Task.Job && other.Step == o.Task.Step {
			sameStep++
		}
	}
	if step.AntiAffinity > 0 && sameStep > step.AntiAffinity {
		w.fatal("%d tasks of a step on one worker, want at most %d: %v run %d", sameStep, step.AntiAffinity, o.Task, o.Run)
	}
	if running := w.running(); float64(running) > strictCap*strictCapTolerance {
		w.fatal("%d milli-CPU in use when another task starts, the cap is %d: %v", running, strictCap, o.Task)
	}
	if o.Checkpoint != "" && !w.strict.checkpoints[o.Task][o.Checkpoint] {
		w.fatal("started from a checkpoint that the task has not saved: %v run %d, %s", o.Task, o.Run, o.Checkpoint)
	}
}

// running returns the milli-CPU in use on all workers.
func (w *world) running() int64 {
	var sum int64
	for _, name := range w.names {
		fw := w.workers[name]
		w.expireLease(fw)
		for _, r := range fw.runs {
			if !r.done {
				sum += r.request.MilliCPU
			}
		}
	}
	return sum
}

// recordDone records that a run has ended as done.
func (w *world) recordDone(id model.TaskID, number int32) {
	w.doneRuns[id] = number
	if w.strict != nil {
		w.strict.doneTasks[id] = true
	}
}

// save returns the newest checkpoint of a run. A gang's is the same for all members.
func (w *world) save(id model.TaskID, r *fakeRun) string {
	if w.checkpointOf != nil {
		return w.checkpointOf(id, r)
	}
	j := w.job(id.Job)
	if w.restoreTime > 0 && j.Steps[id.Step].Checkpointing {
		return r.saveProgress(w.now)
	}
	if w.strict == nil || !j.Steps[id.Step].Checkpointing {
		return ""
	}
	if n := (w.now - r.startedAt) / checkpointInterval; n > 0 && !j.Steps[id.Step].Gang {
		r.checkpoint = fmt.Sprintf("%s.%d.%d run %d save %d", id.Job, id.Step, id.Index, r.number, n)
		if w.strict.checkpoints[id] == nil {
			w.strict.checkpoints[id] = make(map[string]bool)
		}
		w.strict.checkpoints[id][r.checkpoint] = true
	}
	return r.checkpoint
}

// strictCall makes a call to a worker. A call in time reaches only the incarnation that it
// names: it uses a connection over which that incarnation has answered. A late call is not
// answered in time and is executed long afterwards: by the same incarnation or not at
// all if it ends with its connection, otherwise by the incarnation that exists then.
func (w *world) strictCall(generation int, name string, after time.Duration, ref model.WorkerRef, run func(*fakeWorker) CallError, event func(CallError) Event) {
	reply := func(after time.Duration, e CallError) { w.answer(generation, after, func() Event { return event(e) }) }
	w.after(after, func() {
		fw := w.workers[ref.ID]
		if fw == nil {
			w.callForeign(generation, name, 0, ref, event)
			return
		}
		switch {
		case ref.Address != fw.entry.Address && w.answersAt(ref.Address):
			reply(2*testDelay, CallOtherIncarnation)
			return
		case ref.Address != fw.entry.Address:
			reply(testDelay, CallNotSent)
			return
		case fw.unreachable:
			reply(callTimeout, CallNoAnswer)
			return
		case fw.replaced:
			reply(2*testDelay, CallOtherIncarnation)
			return
		case fw.down && fw.dark:
			reply(callTimeout, CallNoAnswer)
			return
		case fw.down:
			reply(testDelay, CallNotSent)
			return
		case fw.entry.BornUnix != ref.BornUnix && !w.strict.unseen:
			reply(2*testDelay, CallOtherIncarnation)
			return
		case w.rng.IntN(callsPerConnection) == 0 && w.callDelay("proof") > 0:
			reply(callTimeout, CallNotSent)
			return
		}
		late := w.callDelay(name)
		lost := late > 0 || w.losesAnswer(name) || fw.entry.BornUnix != ref.BornUnix
		if lost {
			reply(callTimeout, CallNoAnswer)
		}
		w.after(testDelay+late, func() {
			cutOff := fw.unreachable && (late == 0 || !w.strict.unseen)
			if cutOff || fw.down || fw.entry.BornUnix != ref.BornUnix && !w.strict.unseen && (late == 0 || !w.strict.lateCallsReachNext) {
				if !lost {
					reply(callTimeout, CallNoAnswer)
				}
				return
			}
			w.lateCall = late > 0
			err := run(fw)
			w.lateCall = false
			if !lost {
				reply(testDelay, err)
			}
		})
	})
}

// crashWithDowntime ends a worker's incarnation. The next one starts after a delay under the same
// ID and address, and the host list shows it later.
func crashWithDowntime(w *world, fw *fakeWorker) {
	if fw.down {
		return
	}
	fw.clearState(w)
	fw.down = true
	if fw.listed == nil {
		earlier := fw.entry
		fw.listed = &earlier
	}
	downtime := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	listingDelay := time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond)))
	if w.rng.IntN(4) == 0 { // long enough for its entry to expire
		downtime += 5 * time.Second
		w.after(4500*time.Millisecond, func() {
			fw.listed = &model.WorkerEntry{}
			w.deliver(WorkerUnlisted{ID: fw.entry.ID})
		})
	}
	w.after(downtime, func() {
		fw.down = false
		fw.bornAt = w.now
		fw.drift = float64(w.rng.IntN(20)) / 1000
		fw.entry.BornUnix = w.now.Milliseconds()
		fw.entry.Capacity.MilliCPU = 6000 + w.rng.Int64N(3)*1000
		entry := fw.entry
		w.after(listingDelay, func() { w.list(fw, entry) })
	})
}

// list writes a worker's entry into the host list. A delayed entry of an earlier
// incarnation is replaced by the next report of the present one.
func (w *world) list(fw *fakeWorker, entry model.WorkerEntry) {
	fw.listed = &entry
	w.listCapacity(fw, entry)
	if entry.BornUnix != fw.entry.BornUnix {
		w.after(reportInterval, func() { w.list(fw, fw.entry) })
	}
}

// Random histories with the platform's worst permitted faults. They check all invariants
// of TestRandomHistories, and also dependencies, anti-affinity, caps, cancellations and
// checkpoints.
func TestStrictHistories(t *testing.T) {
	const histories = 24
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { strictHistory(t, seed, newStrict()) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { strictHistory(t, *firstSeed+i, newStrict()) })
	}
}

// Guards against the late start of TestLateOrderReachesNextLife where, in addition, calls are
// up to 12 s late, a worker's clock restarts and the host list shows an incarnation late.
func TestStrictLateCallReachesNextLife(t *testing.T) {
	for _, seed := range lateCallSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { strictHistory(t, seed, newStrictLateCalls()) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { strictHistory(t, *firstSeed+i, newStrictLateCalls()) })
	}
}

func newStrictLateCalls() *strict {
	s := newStrict()
	s.lateCallsReachNext = true
	return s
}

// lateCallSeeds are seeds that have failed at some time.
var lateCallSeeds = []uint64{
	60023, 60071, 60080, 60085, 60093, 60106, 60131, 60173, 60258, 60262, 60286, 60302, 60315, 60339,
	60379, 60383, 60406, 60407, 60416, 60427, 60428, 60455, 60467, 60476, 60546, 60585, 60591, 60619,
	60654, 60673, 60686, 60709, 60757,
	60035, 60139, 60229, 60601, 60660, 60713, 90073, 90174, 90207, 90236, 90342, 90402, 90475, 90564, 90571, 90738,
	90774, 90901, 90996, 90998,
	60090, 60292, 60525, // with a late acknowledgement, on code that sends no second start or defers ends
}

func strictHistory(t *testing.T, seed uint64, s *strict) {
	t.Parallel()
	playStrictHistory(newWorld(t, seed), s)
}

// playStrictHistory plays a strict history in a world without workers.
func playStrictHistory(w *world, s *strict) {
	w.strict = s
	for i := range 8 {
		fw := w.addWorker(fmt.Sprintf("w%d", i), 8)
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.callDelay = func(string) time.Duration {
		if faultFree || w.rng.IntN(30) != 0 {
			return 0
		}
		return 2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	w.startLeader()
	w.watchWaits()
	var jobs []string
	for i := range 400 {
		w.run(50 * time.Millisecond)
		if i%3 == 0 {
			j := strictJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
		}
		if len(jobs) > 10 && w.rng.IntN(20) == 0 {
			w.cancelStrict(jobs[len(jobs)-1-w.rng.IntN(10)])
		}
		injectFault(w, 40, crashWithDowntime)
		w.writeForeignEntry()
	}
	faultFree = true
	w.mustEnd(jobs)
	checkAddresses(w.t, w.sched)
	for name, fw := range w.workers {
		for id := range fw.runs {
			w.fatal("%v still runs on %s after all jobs have ended", id, name)
		}
	}
}

func strictJob(w *world, id string) *record.Job {
	j := randomJob(w, id)
	for _, s := range j.Steps {
		s.Checkpointing = w.rng.IntN(2) == 0
		if w.rng.IntN(3) == 0 {
			s.AntiAffinity = 1 + int32(w.rng.IntN(2))
		}
	}
	return j
}

// cancelStrict cancels a job. A scheduler that has received this may not start its tasks.
func (w *world) cancelStrict(id string) {
	w.cancel(id)
	if w.sched != nil {
		w.strict.cancelled[id] = true
	}
}

// noteCancellations records the cancellations that a new scheduler reads from the intake.
func (s *strict) noteCancellations(intake []*record.Intake) {
	for _, r := range intake {
		if id := r.GetCancelled(); id != "" {
			s.cancelled[id] = true
		}
	}
}
