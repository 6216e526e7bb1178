package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

const (
	// A crash that is shown counts crashWeight against each task that ran on the worker,
	// aloneWeight if no other job did, and nothing if it was a witness or the crash was part of
	// an outage. A task is given up at giveUpWeight: after three crashes alone, or five beside
	// others. At least minBegun of the runs are known to have begun, unless there are
	// certainCrashes.
	crashWeight    = 1
	aloneWeight    = 2
	giveUpWeight   = 5
	minBegun       = 2
	certainCrashes = 5
)

// loss is a run whose worker stopped answering, or has crashed.
type loss struct {
	task  *task
	run   int32
	ref   model.WorkerRef
	begun bool // the worker is known to have started it
	alone bool // no run of another job was on the worker
	// witness is set if the run had been seen running for minProbation, and another job's run on
	// the worker had not.
	witness bool
	ran     time.Duration // how long the run was seen running
	at      time.Duration // when it was lost, or replayed
	lostAt  time.Duration // when it was lost
	shownAt time.Duration // when the crash was shown, or replayed
	judgeAt time.Duration // when judgeCrashes decides on outage; 0 if that is decided, or if the crash is not shown
	outage  bool          // other workers of the rack failed at the same time
}

func (s *Scheduler) recordOf(l *loss) *record.Loss {
	return &record.Loss{
		Run: l.run, Worker: l.ref.ID, BornUnixMs: l.ref.BornUnix, Address: l.ref.Address, Alone: l.alone, RanMs: l.ran.Milliseconds(), Begun: l.begun,
		Witness: l.witness, Outage: l.outage, LostUnixMs: s.unixMs - (s.now - l.lostAt).Milliseconds(),
	}
}

func (s *Scheduler) lossOf(t *task, r *record.Loss) *loss {
	return &loss{
		task: t, run: r.Run, begun: r.Begun, alone: r.Alone, witness: r.Witness, ran: time.Duration(r.RanMs) * time.Millisecond, at: s.now,
		lostAt: s.now - max(0, time.Duration(s.unixMs-r.LostUnixMs)*time.Millisecond), outage: r.Outage,
		ref: model.WorkerRef{ID: r.Worker, Address: r.Address, BornUnix: r.BornUnixMs},
	}
}

func (s *Scheduler) recordsOf(losses []*loss) []*record.Loss {
	out := make([]*record.Loss, len(losses))
	for i, l := range losses {
		out[i] = s.recordOf(l)
	}
	return out
}

// suspicion is what speaks for a task crashing the workers that start it.
type suspicion struct {
	crashes []*loss // shown crashes
	open    []*loss // lost runs whose workers may have crashed
}

// counted returns the crashes that were not part of an outage.
func (c *suspicion) counted() []*loss {
	return slices.DeleteFunc(slices.Clone(c.crashes), func(l *loss) bool { return l.outage })
}

func weightOf(crashes []*loss) int {
	sum := 0
	for _, l := range crashes {
		switch {
		case l.outage:
		case l.alone:
			sum += aloneWeight
		case !l.witness:
			sum += crashWeight
		}
	}
	return sum
}

// conclusive reports whether the crashes show that the task crashes the workers that start it.
func conclusive(crashes []*loss) bool {
	begun := 0
	for _, l := range crashes {
		if l.begun {
			begun++
		}
	}
	return weightOf(crashes) >= giveUpWeight && (begun >= minBegun || len(crashes) >= certainCrashes)
}

// longestRun returns the longest time for which a lost run was seen running.
func (c *suspicion) longestRun() time.Duration {
	var longest time.Duration
	for _, l := range slices.Concat(c.crashes, c.open) {
		longest = max(longest, l.ran)
	}
	return longest
}

// hasRun reports whether a crash or a loss of the run is known.
func (c *suspicion) hasRun(ref model.WorkerRef, run int32) bool {
	is := (&loss{run: run, ref: ref}).sameAs
	return slices.ContainsFunc(c.crashes, is) || slices.ContainsFunc(c.open, is)
}

// sameAs reports whether two losses of a task are of the same run in the same incarnation.
func (l *loss) sameAs(o *loss) bool {
	return l.run == o.run && l.ref.ID == o.ref.ID && l.ref.BornUnix == o.ref.BornUnix
}

// lossTable finds the open losses of a worker by its id and by its address.
type lossTable struct {
	byWorker  map[string][]*loss
	byAddress map[string][]*loss
}

func (b *lossTable) add(l *loss) {
	if b.byWorker == nil {
		b.byWorker, b.byAddress = make(map[string][]*loss), make(map[string][]*loss)
	}
	b.byWorker[l.ref.ID] = append(b.byWorker[l.ref.ID], l)
	if l.ref.Address != "" {
		b.byAddress[l.ref.Address] = append(b.byAddress[l.ref.Address], l)
	}
}

// hasBefore reports whether there are losses on earlier incarnations of the worker, or on earlier
// workers at its address.
func (b *lossTable) hasBefore(ref model.WorkerRef) bool {
	earlier := func(l *loss) bool { return l.ref.BornUnix < ref.BornUnix }
	return slices.ContainsFunc(b.byWorker[ref.ID], earlier) || slices.ContainsFunc(b.byAddress[ref.Address], earlier)
}

func (b *lossTable) remove(l *loss) {
	removeLoss(b.byWorker, l.ref.ID, l)
	removeLoss(b.byAddress, l.ref.Address, l)
}

func removeLoss(from map[string][]*loss, key string, l *loss) {
	left := slices.DeleteFunc(from[key], func(o *loss) bool { return o == l })
	if len(left) == 0 {
		delete(from, key)
		return
	}
	from[key] = left
}
