package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// reachable is how old the newest answered look of a worker may be for new
	// work to go there: a wait and a round trip, with one lost answer.
	reachable = 1500 * time.Millisecond
	// unhealthyPause is how long a worker that refused an order for its own
	// state gets no further ones.
	unhealthyPause = 500 * time.Millisecond
)

// worker is what is believed of one worker.
type worker struct {
	entry       model.WorkerEntry
	listed      bool
	slot        int             // index of the worker in the marks of steps
	runs        []*run          // what may be alive there
	used        model.Resources // of all that may be alive there
	counts      runCounts       // of the same
	clockMs     int64           // its clock as last read
	clockAt     time.Duration   // when that was
	leaseMs     int64           // end of the longest lease we may have granted, on its clock
	inherited   time.Duration   // until when leases of a predecessor may last
	fenced      bool            // it has answered under our fencing token
	looking     bool            // a look is under way
	missed      bool            // the newest look got no answer
	lossyTo     time.Duration   // it has missed a look not long before this
	lookedAt    time.Duration   // when the newest answered look was sent
	lives       int64           // how many lives we have seen end
	lastEnd     int64           // highest end processed
	acked       int64           // highest end whose record is kept
	pausedTo    time.Duration   // no new work before
	orders      ordersOut       // without an answer yet
	overdue     bool            // one of them is out for too long, as of the newest pass
	health      health
	speed       speed
	reserved    *step           // a gang that collects room here
	kept        *step           // a further gang that collects room here, before late work
	wasReserved *step           // either, in the pass before
	claimed     model.Resources // room that steps ask tickets for, in this pass
}

func (w *worker) ref() model.WorkerRef {
	return model.WorkerRef{ID: w.entry.ID, Address: w.entry.Address, BornUnix: w.entry.BornUnix}
}

func (w *worker) free() model.Resources { return w.entry.Capacity.Sub(w.used) }

// clock estimates the worker's clock.
func (w *worker) clock(now time.Duration) int64 {
	return w.clockMs + (now - w.clockAt).Milliseconds()
}

// lapsesAt returns when nothing that was leased there can be alive any more.
func (w *worker) lapsesAt() time.Duration {
	if !w.fenced {
		return w.inherited
	}
	left := time.Duration(w.leaseMs-w.clockMs) * time.Millisecond
	return w.clockAt + time.Duration(float64(left)/(1-clockDrift)) + lapseMargin
}

// workerNamed returns the worker with that id, also one that is not listed:
// a run of a predecessor may be alive there.
func (s *Scheduler) workerNamed(id string) *worker {
	w, known := s.workers[id]
	if !known {
		w = &worker{entry: model.WorkerEntry{ID: id}, slot: s.slots.alloc(), orders: make(ordersOut), lives: s.departed.lives(id)}
		s.workers[id] = w
		s.workerList = append(s.workerList, w)
		if s.leading() {
			s.takeOver(w)
		}
	}
	return w
}

// takeOver bounds the leases that a predecessor may have granted.
func (s *Scheduler) takeOver(w *worker) {
	w.inherited = s.leadSince + leadershipProofTTL + s.maxLease() + lapseMargin
	s.look(w, 0)
}

// maxLease is the longest that a lease may last by our clock.
func (s *Scheduler) maxLease() time.Duration {
	return time.Duration(float64(s.opts.MaxLease) / (1 - clockDrift))
}

func (s *Scheduler) workerListed(e model.WorkerEntry) {
	s.endPredecessorAt(e)
	w := s.workerNamed(e.ID)
	if w.outdated(e) {
		s.explain("", "entry of an earlier life passed over", Field{"worker", e.ID}, Field{"born", e.BornUnix}, Field{"known", w.entry.BornUnix})
		return
	}
	if w.entry.BornUnix != e.BornUnix && w.entry.BornUnix != 0 {
		s.explain("", "worker has a new life", Field{"worker", e.ID}, Field{"runs_lost", len(w.runs)})
		s.newLife(w)
	}
	if w.listed && e.Draining && !w.entry.Draining {
		s.explain("", "worker drains", Field{"worker", e.ID}, Field{"runs", len(w.runs)})
	}
	if !w.listed {
		s.explain("", "worker listed", Field{"worker", e.ID}, Field{"zone", e.Zone}, Field{"milli_cpu", e.Capacity.MilliCPU})
	}
	w.entry = e
	w.listed = true
	s.loseEarlierRuns(w)
	s.dirty = true
	s.look(w, 0)
}

// outdated reports whether an entry of the host list is of an earlier life than the
// one that is known, from a later entry or from a run that was assigned to it.
//
// The guard is against a worker's write that is carried out after its next life has
// written its own. Taken for a new life, it would end runs that are alive, and their
// tasks would run twice. Should the worker's time of day have gone back instead, a
// look finds the known life gone, or its leases end, and the entry counts when it
// comes again.
func (w *worker) outdated(e model.WorkerEntry) bool {
	if e.BornUnix < w.entry.BornUnix && w.fenced && !w.missed {
		return true
	}
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.ref.BornUnix > e.BornUnix })
}

// endPredecessorAt ends the runs of a worker that had the address before: a
// new life holds nothing of the old one, under whatever id.
func (s *Scheduler) endPredecessorAt(e model.WorkerEntry) {
	for _, w := range s.workerList {
		if w.entry.Address != e.Address || w.entry.ID == e.ID || w.entry.BornUnix >= e.BornUnix {
			continue
		}
		for _, r := range w.runs {
			r.calls.settle() // what names the earlier id is refused there
		}
		s.newLife(w)
		w.listed = false
	}
}

// loseEarlierRuns ends the runs that belong to earlier lives of the worker, also those
// that a predecessor assigned.
func (s *Scheduler) loseEarlierRuns(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.ref.BornUnix != w.entry.BornUnix {
			s.abandon(r, "its worker has a new life")
		}
	}
}

// newLife ends all that is known of a worker's life: another one has begun, here or
// at its address.
func (s *Scheduler) newLife(w *worker) {
	for _, r := range w.sortedRuns() {
		s.abandon(r, "its worker has a new life")
	}
	w.clockMs, w.leaseMs, w.lastEnd, w.acked = 0, 0, 0, 0
	w.inherited = s.now + s.maxLease() + lapseMargin
	w.fenced = false
	w.lives++
	w.health = health{}
	w.speed = speed{}
}

// livesBits is how many bits of a fencing token count a worker's lives.
const livesBits = 16

// fenceOf returns the fencing token of orders to a worker. It rises with each
// leader, and with each new life of the worker under the same id. Orders to the
// earlier life end with its connections (package lifeconn); should something on the way
// deliver one to the new life all the same, that refuses it from its first answered look
// on. What comes before that look is the matter of inDoubt.
func (s *Scheduler) fenceOf(w *worker) int64 { return s.fence<<livesBits | w.lives }

func (s *Scheduler) workerUnlisted(id string) {
	w, known := s.workers[id]
	if !known || !w.listed {
		return
	}
	w.listed = false
	s.explain("", "worker unlisted", Field{"worker", id}, Field{"runs", len(w.runs)})
}

// forget drops a worker that left and holds nothing.
func (s *Scheduler) forget(w *worker) {
	delete(s.workers, w.entry.ID)
	s.departed.add(w.entry.ID, w.lives+1, s.now)
	s.slots.release(w.slot)
	for i, o := range s.workerList {
		if o == w {
			s.workerList = append(s.workerList[:i], s.workerList[i+1:]...)
			return
		}
	}
}

const (
	// congestedFor is how long after the link was full answers may be late because of it.
	congestedFor = time.Second
	// congestedPatience bounds how long the end of a lease is not acted upon for it.
	congestedPatience = 3 * time.Second
)

// delayedByLink reports whether a worker may be silent because our own link is full.
//
// The guard is against a task that runs again when it is done: the worker has listed the
// end, and the answer that tells of it waits in the link behind our other calls, until the
// lease is over. It holds for as long as answers usually wait there, and costs nothing
// where the link is not full.
func (s *Scheduler) delayedByLink(w *worker) bool {
	return s.fullAt > 0 && s.now-s.fullAt < congestedFor && s.now < w.lapsesAt()+congestedPatience
}

// expireRuns ends the runs on workers whose leases are over for certain.
func (s *Scheduler) expireRuns() {
	for i := len(s.workerList) - 1; i >= 0; i-- {
		w := s.workerList[i]
		if len(w.runs) > 0 && s.now > w.lapsesAt() && !s.delayedByLink(w) {
			for _, r := range w.sortedRuns() {
				if r.phase != phaseInDoubt {
					s.lose(r, "its lease is over")
				}
			}
		}
		if !w.listed && len(w.runs) == 0 && !w.looking {
			s.forget(w)
		}
	}
}
