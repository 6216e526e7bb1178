package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

const (
	// maxProbeAge is the largest age of a worker's newest answered probe for which new
	// work is placed there: a wait and a round trip, with one lost answer.
	maxProbeAge = 1500 * time.Millisecond
	// unhealthyPause is how long a worker that refused a start because of its own state
	// gets no new work.
	unhealthyPause = 500 * time.Millisecond
)

// worker is the leader's state of one worker.
type worker struct {
	entry                     model.WorkerEntry // as newest listed; before the first entry only its ID is set
	incarnation               model.WorkerRef   // that calls are sent to; see callInherited
	listed                    bool
	rack                      *rack           // nil before its first entry
	inActive                  bool            // it is in Scheduler.active
	unread                    bool            // an earlier leader has used it, and this one has read no answer
	strays                    int             // runs in the answer to the newest probe that are not wanted there
	slot                      int             // index of the worker in adviceState.marks
	runs                      []*run          // runs that may be alive there
	used                      model.Resources // resources of runs
	freed                     freedSums       // of runs, in the present pass
	counts                    runCounts       // kinds of runs
	clockMs                   int64           // its clock as last read
	clockAt                   time.Duration   // time of that reading
	leaseMs                   int64           // end of the longest lease that may have been granted, on its clock
	inheritedUntil            time.Duration   // latest end of leases granted by an earlier leader
	fenced                    bool            // it has answered a probe with the present fencing token
	reachLogging, reachLogged bool            // a record that this leader has reached it is produced, committed
	probing                   bool            // a probe is in flight
	probeHeldAt               time.Duration   // since when the next probe waits for a commit; 0 if none does
	probeMissed               bool            // the newest probe got no answer
	lossyUntil                time.Duration   // lossyWait applies before this time
	probedAt                  time.Duration   // when the newest answered probe was sent
	unansweredAt              time.Duration   // when the newest probe was sent that failed, or that another incarnation answered
	deferredSince             time.Duration   // since when defersExpiry holds; 0 if it does not
	grants                    lateGrants
	fenceSteps                int64         // how often its fencing token was raised under this leader
	ackFence                  int64         // fencing token of the newest probe that acknowledged ends and may still be executed; 0 for none
	lostAckFence              int64         // that of the newest one without an answer
	ends                      *endLog       // ends of its incarnation
	endsListed                int           // ends in the answer to the newest probe
	idleRuns                  int           // how many of runs are idle
	pausedUntil               time.Duration // no new work before this time
	leavesAt                  time.Duration // from when on the draining worker may leave; 0 if that is not known
	pendingCalls              pendingCalls  // start and stop calls without an answer
	silent                    bool          // a call of checkPath got no answer, and none was answered since
	overdue                   bool          // one of them is overdue, as of the newest pass
	health                    health
	speed                     speed
	reserved                  *step           // gang that reserves room here
	promised                  model.Resources // what calls for advice in flight are expected to bring here
	softReserved              *step           // further gang that reserves room here against late work only
	wasReserved               *step           // reserved or softReserved in the previous pass
	keptFreeFor               *step           // step whose isolated tasks it is kept free for
	keptClosed                bool            // chosen by chooseClosed
	wasKeptFreeFor            *step           // the same in the previous pass
	claimed                   model.Resources // room for which steps request tickets in this pass
	claimedInVain             model.Resources // the same for gangs that have too few places to request any
	verification
	*contact
}

func (w *worker) ref() model.WorkerRef { return w.incarnation }

func (w *worker) free() model.Resources { return w.entry.Capacity.Sub(w.used) }

// clock estimates the worker's clock at a time, in milliseconds.
func (w *worker) clock(now time.Duration) int64 {
	return w.clockMs + (now - w.clockAt).Milliseconds()
}

// probeAge returns how long ago the newest answered probe of the worker was sent, or -1 ms if this
// leader has had no answer.
func (w *worker) probeAge(now time.Duration) time.Duration {
	if w.probedAt == 0 {
		return -time.Millisecond
	}
	return now - w.probedAt
}

// lapsesAt returns the time after which no run can be alive under a lease granted there.
func (w *worker) lapsesAt() time.Duration {
	if !w.fenced {
		return w.inheritedUntil
	}
	left := time.Duration(w.leaseMs-w.clockMs) * time.Millisecond
	return w.clockAt + time.Duration(float64(left)/(1-clockDrift)) + lapseMargin
}

// workerNamed returns the worker with the id, and creates it if it is unknown: runs of an
// earlier leader may be alive on a worker that is not listed.
func (s *Scheduler) workerNamed(id string) *worker {
	w, known := s.workers[id]
	if !known {
		w = &worker{entry: model.WorkerEntry{ID: id}, slot: s.slots.alloc(), pendingCalls: make(pendingCalls), fenceSteps: s.departed.fenceSteps(id), ends: &endLog{}, contact: s.departed.contact(id)}
		s.setIncarnation(w, model.WorkerRef{ID: id})
		s.workers[id] = w
		s.workerList = append(s.workerList, w)
		s.active, w.inActive = append(s.active, w), true
		if s.leading() {
			s.takeOver(w)
		}
	}
	return w
}

// takeOver sets the latest end of the leases that an earlier leader may have granted the
// worker, and sends the first probe.
func (s *Scheduler) takeOver(w *worker) {
	w.inheritedUntil = s.leadSince + leadershipProofTTL + s.maxLease() + lapseMargin
	s.callInherited(w)
	s.probe(w, 0)
}

// callInherited lets calls go to the newest incarnation of the worker that the log names for its
// runs, until an entry of the host list is read.
//
// The guard is against a worker that is never called although it works: its entry may have
// expired, or be read late. Without probes, nothing is stopped there, and no lease is renewed.
func (s *Scheduler) callInherited(w *worker) {
	if newest := w.newestRunRef(); newest.Address != "" {
		s.setIncarnation(w, newest)
	}
}

// setIncarnation sets the incarnation of the worker that calls are sent to.
func (s *Scheduler) setIncarnation(w *worker, ref model.WorkerRef) {
	if !slices.Contains(s.byAddress[ref.Address], w) {
		s.removeAddress(w)
		s.byAddress[ref.Address] = append(s.byAddress[ref.Address], w)
	}
	w.incarnation = ref
}

// removeAddress removes the worker from the index of addresses.
func (s *Scheduler) removeAddress(w *worker) {
	at := w.incarnation.Address
	left := slices.DeleteFunc(s.byAddress[at], func(o *worker) bool { return o == w })
	if len(left) == 0 {
		delete(s.byAddress, at)
		return
	}
	s.byAddress[at] = left
}

// newestRunRef returns the newest incarnation of the worker to which one of its runs was assigned.
// Only the ID is set if there is none.
func (w *worker) newestRunRef() model.WorkerRef {
	newest := model.WorkerRef{ID: w.entry.ID}
	for _, r := range w.runs {
		if r.ref.BornUnix > newest.BornUnix {
			newest = r.ref
		}
	}
	return newest
}

// maxLease returns the longest duration of a lease on the leader's clock.
func (s *Scheduler) maxLease() time.Duration {
	return time.Duration(float64(s.opts.MaxLease) / (1 - clockDrift))
}

func (s *Scheduler) workerListed(e model.WorkerEntry) {
	w := s.workerNamed(e.ID)
	if w.outdated(e) {
		s.explain("", "entry of an earlier life passed over", Field{"worker", e.ID}, Field{"born", e.BornUnix}, Field{"known", w.incarnation.BornUnix})
		return
	}
	if w.mustVerify(e) {
		w.unverified = &unverifiedEntry{entry: e, readAt: s.now}
		s.verify(w, 0)
		return
	}
	s.applyEntry(w, e)
}

// applyEntry applies an entry of the host list. Where the worker has work, it is of the known
// incarnation, or of another one that has replaced it (mustVerify).
func (s *Scheduler) applyEntry(w *worker, e model.WorkerEntry) {
	inUse := w.hasWork()
	if w.incarnation.BornUnix != e.BornUnix && w.incarnation.BornUnix != 0 {
		s.explain("", "worker has a new life", Field{"worker", e.ID}, Field{"runs_lost", len(w.runs)})
		s.endIncarnation(w)
	}
	w.unverified, w.replaced = nil, false
	if w.listed && e.Draining && !w.entry.Draining {
		s.explain("", "worker drains", Field{"worker", e.ID}, Field{"runs", len(w.runs)})
	}
	if !w.listed && s.inherited.done {
		s.explain("", "worker listed", Field{"worker", e.ID}, Field{"zone", e.Zone}, Field{"milli_cpu", e.Capacity.MilliCPU})
	}
	w.entry = e
	s.setIncarnation(w, refOf(e))
	w.listed = true
	s.noteDeparture(w)
	s.endEarlierRuns(w)
	s.joinRack(w, inUse)
	s.dirty = true
	s.askPredecessors(w)
	s.probe(w, 0)
}

// outdated reports whether an entry of the host list belongs to an earlier incarnation
// than the known one, which is known from a later entry or from a run assigned to it.
//
// The guard is against a worker's write that is executed after its next incarnation has
// written its own entry. If it were applied as a new incarnation, live runs would be ended
// and their tasks would run twice. If the worker's time of day was set back instead, a
// probe finds that the known incarnation has ended, or its leases expire, and the entry is
// accepted when it is read again.
func (w *worker) outdated(e model.WorkerEntry) bool {
	if e.BornUnix < w.incarnation.BornUnix && w.fenced && !w.probeMissed {
		return true
	}
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.ref.BornUnix > e.BornUnix })
}

// endRuns ends the runs on a worker, for which ended holds, of an incarnation that has ended.
func (s *Scheduler) endRuns(w *worker, ended func(*run) bool) {
	runs := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !ended(r) })
	shown := s.crashedRuns(w, runs)
	for _, r := range runs {
		s.abandon(r, "its worker has a new life")
	}
	s.crashesShown(shown)
}

// endEarlierRuns ends the runs of other incarnations of the worker, including those that
// an earlier leader assigned. Those of awaitLateStart have ended with theirs: what a late call
// starts belongs to the present one, which has not crashed.
func (s *Scheduler) endEarlierRuns(w *worker) {
	s.endRuns(w, func(r *run) bool { return r.ref.BornUnix != w.incarnation.BornUnix && r.phase != phaseLateStart })
}

// endIncarnation ends the runs of the worker's incarnation and resets its state, after
// another incarnation has begun, under the same id or at the same address. The log messages
// call an incarnation a life.
func (s *Scheduler) endIncarnation(w *worker) {
	s.endRuns(w, func(*run) bool { return true })
	w.clockMs, w.leaseMs, w.leavesAt = 0, 0, 0
	w.ends, w.endsListed = &endLog{}, 0
	w.silent = false
	w.endOutage()
	w.inheritedUntil = s.now + s.maxLease() + lapseMargin
	w.fenced = false
	s.raiseFence(w)
	w.health = health{}
	w.speed = speed{}
}

// fenceStepBits is the number of low bits of a fencing token that hold the worker's
// fenceSteps.
const fenceStepBits = 16

// maxFenceSteps is the largest count that fits there.
const maxFenceSteps = 1<<fenceStepBits - 1

// fenceOf returns the fencing token of calls to a worker. It rises with each leader, with
// each new incarnation of the worker under the same id, and with outdateAcks. Calls to an earlier
// incarnation end with its connections (package lifeconn). If the network delivers one to
// the new incarnation nevertheless, that refuses it once it has answered its first probe;
// mayStartLate covers starts that arrive before.
func (s *Scheduler) fenceOf(w *worker) int64 { return s.fence<<fenceStepBits | w.fenceSteps }

// raiseFence raises the worker's fencing token. A leader that has used up the tokens of a
// worker steps down: those of its successor are higher.
func (s *Scheduler) raiseFence(w *worker) {
	if w.fenceSteps >= maxFenceSteps {
		s.emit(StepDown{Worker: w.entry.ID})
		return
	}
	w.fenceSteps++
}

func (s *Scheduler) workerUnlisted(id string) {
	w, known := s.workers[id]
	if !known {
		return
	}
	w.unverified = nil
	if !w.listed {
		return
	}
	s.explain("", "worker unlisted", Field{"worker", id}, Field{"runs", len(w.runs)})
	s.unlist(w)
}

// unlist notes that a worker has no entry in the host list any more. One on standby, which no probe
// or tick looks at, is removed at once.
func (s *Scheduler) unlist(w *worker) {
	w.listed = false
	if !w.isActive() && !w.probing && w.hasLeft() {
		s.forget(w)
	}
}

// hasLeft reports whether nothing is to be done about a worker without an entry in the host list:
// it has no runs, and every end that it lists is acknowledged, unless it does not answer.
func (w *worker) hasLeft() bool {
	return !w.listed && w.unverified == nil && len(w.runs) == 0 && !(w.fenced && !w.probeMissed && w.ends.highest > w.ends.acked)
}

// forget removes a worker that has left.
func (s *Scheduler) forget(w *worker) {
	delete(s.workers, w.entry.ID)
	s.removeAddress(w)
	s.leaveRack(w)
	s.deactivateWorker(w)
	w.probeHeldAt = 0
	s.departed.add(w.entry.ID, min(w.fenceSteps+1, maxFenceSteps), w.departing(), s.now)
	s.slots.release(w.slot)
	for i, o := range s.workerList {
		if o == w {
			s.workerList = append(s.workerList[:i], s.workerList[i+1:]...)
			return
		}
	}
}

const (
	// congestedFor is how long after the leader's link was full answers may be late
	// because of it.
	congestedFor = time.Second
	// maxExpiryDelay bounds how long after the end of a lease its runs are not yet counted
	// as lost because the link was full.
	maxExpiryDelay = 3 * time.Second
)

// delayedByLink reports whether a worker's answers may be missing because the leader's own
// link is full.
//
// The guard is against a task that runs again after it was done: the worker has listed the
// end, but the answer is queued in the link behind the leader's other traffic until the
// lease has expired. The guard lasts for as long as answers usually wait there, and has no
// effect while the link is not full.
func (s *Scheduler) delayedByLink(w *worker) bool {
	return s.fullAt > 0 && s.now-s.fullAt < congestedFor && s.now < w.lapsesAt()+maxExpiryDelay
}

// expireRuns ends the runs on silent workers whose leases have expired even with the largest clock
// drift, and removes workers that have left.
func (s *Scheduler) expireRuns() {
	for i := len(s.active) - 1; i >= 0; i-- { // forget removes the worker
		w := s.active[i]
		switch {
		case len(w.runs) == 0 || s.delayedByLink(w):
		case s.now > w.lapsesAt():
			if !s.defersExpiry(w) {
				s.expireRunsOn(w)
			}
		case !w.fenced:
			s.expireLateStarts(w)
		}
		if w.hasLeft() && !w.probing {
			s.forget(w)
		}
	}
}

const leaseOver = "its lease is over"

func (s *Scheduler) expireRunsOn(w *worker) {
	s.noteSilent(w)
	for _, r := range w.sortedRuns() {
		if r.phase != phaseLateStart {
			s.abandon(r, leaseOver)
		}
	}
	s.expireLateStarts(w)
}

// expireLateStarts ends the runs of awaitLateStart on a worker that cannot be alive any more.
// That of an earlier leader may be so before this leader's own wait for the worker is over, if
// none in between has granted the worker a lease.
func (s *Scheduler) expireLateStarts(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.phase == phaseLateStart && s.lateStartEnded(r) {
			s.markLost(r, leaseOver)
		}
	}
}
