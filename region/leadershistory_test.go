package region

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

var (
	leadersRepeat = flag.Bool("region.repeat", false, "the answer to an append counts from its last sending")
	leadersTrace  = flag.Bool("region.trace", false, "what workers execute is in the trace of a history with several leaders")
)

// Random histories on queues with advice, in which a leader that was replaced goes on: it was
// frozen, or cut off from the log or from workers. Workers leave, and others come to their
// addresses.
func TestReplacedLeaderGoesOn(t *testing.T) {
	const histories = 8
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { leadersHistory(t, seed) })
	}
	for _, seed := range goesOnSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { leadersHistory(t, seed) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { leadersHistory(t, *firstSeed+i) })
	}
}

// goesOnSeeds are seeds that have failed at some time: the log had the record that one member of a
// gang is done, and not those of the others; a run was lost in the tick that looked at its step (the
// last one).
var goesOnSeeds = []uint64{4045, 4048, 4063, 91251}

func leadersHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	playLeaders(w)
}

func playLeaders(w *world) {
	w.strict = newStrict()
	w.leaders = newLeaders(w)
	w.leaders.lagging, w.leaders.splits = true, true
	for i := range 8 {
		fw := w.newWorker(fmt.Sprintf("w%d", i), 8)
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
		fw.drift = float64(w.rng.IntN(21)) / 1000
	}
	if w.rng.IntN(3) == 0 {
		w.logRetention = 50 * time.Second // snapshots are written
	}
	faultFree := false
	w.randomizeTasks(&faultFree)
	w.issuesTicket = func(step, worker string) bool {
		machine := w.workers[worker].entry.Address
		return (len(step)+int(machine[len(machine)-1]))%3 != 0
	}
	if w.rng.IntN(2) == 0 {
		w.leaders.isolating = true
		w.runTime = func(model.TaskID) time.Duration { return 500*time.Millisecond + w.leaders.random(18*time.Second) }
	}
	w.leaders.slowLog = w.rng.IntN(3) == 0
	w.callDelay = func(call string) time.Duration {
		if faultFree || w.rng.IntN(40) != 0 {
			return 0
		}
		return time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))
	}
	w.startLeader()
	w.watchWaits()
	every := 5
	if w.leaders.isolating {
		every = 20
	}
	var jobs []string
	for i := range 900 {
		w.run(50 * time.Millisecond)
		if i%every == 0 {
			j := leadersJob(w, fmt.Sprintf("j%03d", i))
			w.submit(j)
			jobs = append(jobs, j.Id)
			if w.rng.IntN(6) == 0 {
				w.submitAgain(j)
			}
		}
		if len(jobs) > 10 && w.rng.IntN(30) == 0 {
			w.cancel(jobs[len(jobs)-1-w.rng.IntN(10)])
		}
		injectLeadersFault(w)
	}
	faultFree = true
	w.endLeadersFaults()
	w.run(100 * time.Second)
	w.mustEnd(jobs)
}

// Guards against a leader that was replaced and still reaches workers which its successors do not
// reach: it was frozen or cut off from the log, some while it loaded. If it renewed leases for too
// long, a task would run twice.
func TestReplacedLeaderKeepsWorkers(t *testing.T) {
	const histories = 16
	for seed := uint64(1); seed <= histories; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { keptWorkersHistory(t, seed) })
	}
	for _, seed := range keptWorkersSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { keptWorkersHistory(t, seed) })
	}
	for i := range *seedCount {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) { keptWorkersHistory(t, *firstSeed+i) })
	}
}

// keptWorkersSeeds are seeds that have failed at some time: a leader was frozen while it loaded, and
// another one led before it woke.
var keptWorkersSeeds = []uint64{1045, 5333}

func keptWorkersHistory(t *testing.T, seed uint64) {
	t.Parallel()
	w := newWorld(t, seed)
	w.strict = newStrict()
	w.leaders = newLeaders(w)
	f := w.leaders
	for i := range 6 {
		fw := w.newWorker(fmt.Sprintf("w%d", i), 8)
		fw.bornAt = w.now - time.Duration(w.rng.Int64N(int64(time.Minute)))
		fw.drift = float64(w.rng.IntN(21)) / 1000
	}
	w.runTime = func(model.TaskID) time.Duration { return time.Second + f.random(24*time.Second) }
	w.startLeader()
	w.watchWaits()
	var jobs []string
	for i := range 12 {
		w.run(100 * time.Millisecond)
		j := leadersJob(w, fmt.Sprintf("j%03d", i))
		w.submit(j)
		jobs = append(jobs, j.Id)
	}
	w.run(f.random(2 * time.Second))
	replaced := 1 + w.rng.IntN(2)
	for range replaced {
		if w.rng.IntN(2) == 0 {
			f.logDelay = f.random(300 * time.Millisecond)
		}
		l := f.newest()
		stands := w.rng.IntN(3) > 0
		if stands {
			l.frozen = true
			f.note("leader %d freezes, loaded %v", l.generation, l.loaded)
			w.after(500*time.Millisecond+f.random(10*time.Second), func() { f.wake(l) })
		}
		if !stands || w.rng.IntN(2) == 0 {
			l.logCut = w.now + f.random(20*time.Second)
			f.note("leader %d is cut off from the log until %d", l.generation, (l.logCut - time.Hour).Milliseconds())
		}
		w.run(300*time.Millisecond + f.random(3*time.Second))
		f.claim()
		next := f.newest()
		until := w.now + 6*time.Second + f.random(14*time.Second)
		for _, id := range w.names {
			if w.rng.IntN(2) == 0 {
				next.cut[id] = until
				f.note("leader %d is cut off from %s until %d", next.generation, id, (until - time.Hour).Milliseconds())
			}
		}
		if w.rng.IntN(2) == 0 {
			w.run(f.random(time.Second))
		}
	}
	w.run(25 * time.Second)
	w.endLeadersFaults()
	w.mustEnd(jobs)
}

// submitAgain lets a second record of a submission follow seconds later.
func (w *world) submitAgain(j *record.Job) {
	w.after(time.Duration(w.rng.Int64N(int64(6*time.Second))), func() {
		again := proto.Clone(j).(*record.Job)
		again.AcceptedUnixMs = w.now.Milliseconds()
		w.appendIntake(&record.Intake{Kind: &record.Intake_Submitted{Submitted: again}})
	})
}

func leadersJob(w *world, id string) *record.Job {
	j := strictJob(w, id)
	for _, s := range j.Steps {
		if s.Gang {
			s.AntiAffinity = 0
		}
		if w.rng.IntN(3) == 0 {
			s.EstimateMs = 4000 // not latency-sensitive: long leases
		}
	}
	j.Policy.Advice = &record.Advice{DecideMs: 20, EachMs: 2, ValidMs: 2000}
	return j
}

func (w *world) endLeadersFaults() {
	f := w.leaders
	f.logDelay, f.lagging = 0, false
	for generation := 1; generation <= w.generation; generation++ {
		if l := f.byGeneration[generation]; l != nil {
			l.logCut = 0
			clear(l.cut)
			f.wake(l)
		}
	}
	w.run(5 * time.Second)
	for _, id := range w.names {
		fw := w.workers[id]
		if !fw.down && fw.listed != nil {
			w.list(fw, fw.entry)
		}
	}
}

// injectLeadersFault injects a random fault, each kind on average every few seconds.
func injectLeadersFault(w *world) {
	f := w.leaders
	fw := w.workers[w.names[w.rng.IntN(len(w.names))]]
	calls := 150
	if f.isolating {
		calls = 700 // a leader waits for ten seconds until the runs on a worker have ended that it does not reach
	}
	switch w.rng.IntN(calls) {
	case 0, 1, 2:
		f.freeze(500*time.Millisecond + f.random(7500*time.Millisecond))
	case 3, 4:
		f.cutOffLog(time.Second + f.random(15*time.Second))
	case 5:
		f.cutSome(f.newest())
	case 6, 7:
		w.stopLeader()
		w.after(f.random(2*time.Second), func() {
			if f.newest() == nil {
				w.startLeader()
			}
		})
	case 8, 9:
		fw.unreachable = true
		w.after(f.random(12*time.Second), func() { fw.unreachable = false })
	case 10, 11:
		w.crashAmongLeaders(fw)
	case 12, 13:
		w.replace(fw)
	case 14:
		w.logDown = true
		w.after(f.random(4*time.Second), func() { w.logDown = false })
	case 15:
		f.slow()
	case 16:
		if fw.listed == nil && !fw.down {
			fw.listed = &model.WorkerEntry{}
			w.deliver(WorkerUnlisted{ID: fw.entry.ID})
			w.after(f.random(5*time.Second), func() {
				if !fw.down && fw.listed.ID == "" {
					w.list(fw, fw.entry)
				}
			})
		}
	}
}

// crashAmongLeaders is crashWithDowntime for members of gangs that are done.
func (w *world) crashAmongLeaders(fw *fakeWorker) {
	if fw.down || fw.replaced {
		return
	}
	for id, r := range fw.runs {
		if r.done {
			delete(w.doneRuns, id)
		}
	}
	crashWithDowntime(w, fw)
}

// replace lets a worker drain and leave, and another one come to its address. Its entry is removed
// before that or after it.
func (w *world) replace(fw *fakeWorker) {
	if fw.down || fw.replaced || fw.entry.Draining {
		return
	}
	f := w.leaders
	born := fw.entry.BornUnix
	fw.entry.Draining = true
	w.list(fw, fw.entry)
	w.after(500*time.Millisecond+f.random(4*time.Second), func() {
		if fw.down || fw.entry.BornUnix != born {
			fw.entry.Draining = false
			return
		}
		for id, r := range fw.runs {
			if r.done {
				delete(w.doneRuns, id)
			}
		}
		fw.clearState(w)
		fw.down = true
		w.after(f.random(3*time.Second), func() {
			fw.listed = &model.WorkerEntry{}
			w.deliver(WorkerUnlisted{ID: fw.entry.ID})
		})
		w.after(f.random(3*time.Second), func() {
			fw.replaced = true
			w.lastWorker++
			next := w.newWorker(fmt.Sprintf("x%d", w.lastWorker), 0)
			id := next.entry.ID
			next.entry = fw.entry
			next.entry.ID, next.entry.Draining, next.entry.BornUnix = id, false, w.now.Milliseconds()
			next.bornAt, next.drift = w.now, float64(w.rng.IntN(21))/1000
			next.listed = &model.WorkerEntry{}
			w.after(f.random(1500*time.Millisecond), func() { w.list(next, next.entry) })
		})
	})
}
