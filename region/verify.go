package region

import (
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
)

// Entries of the host list are no proof that an incarnation has ended: other writers may write
// entries as well, with the id or the address of a worker that is up, and any birth time. If such an
// entry were believed, the runs there would be given up while they go on, and their tasks would
// run twice at once. Runs are given up only after a call:
//
//   - a call to the incarnation that has them is answered by another one or by another worker
//     (otherIncarnation), or
//   - a later incarnation of the worker, or a later worker at its address, answers as itself
//     (endPredecessors).
//
// Without such an answer, the runs end with their lease.

// verification is what is known of the entries of a worker and of its incarnation beyond them.
type verification struct {
	unverified *unverifiedEntry // the newest entry that mustVerify; nil for none
	verifying  bool             // a probe of verify is in flight
	replaced   bool             // another incarnation, or another worker, has answered in its place
	succeeds   bool             // its first answer is awaited, to show that an earlier incarnation has ended
}

// unverifiedEntry is an entry of the host list that names another incarnation of a worker than the
// one that has work, or another address.
type unverifiedEntry struct {
	entry  model.WorkerEntry
	readAt time.Duration
}

func refOf(e model.WorkerEntry) model.WorkerRef {
	return model.WorkerRef{ID: e.ID, Address: e.Address, BornUnix: e.BornUnix}
}

// mustVerify reports whether the incarnation that an entry names must answer before the entry is
// applied: calls would not reach the known incarnation any more, which has work and may be up. One
// that has been assigned runs has answered an earlier leader.
func (w *worker) mustVerify(e model.WorkerEntry) bool {
	newest := w.newestRunRef()
	assigned := e.BornUnix == newest.BornUnix && (newest.Address == "" || e.Address == newest.Address)
	return refOf(e) != w.incarnation && !assigned && !w.replaced && w.hasWork()
}

// startedUnverified reports whether the run may be one of the incarnation that the worker's
// unverified entry names.
//
// The guard is against a task that runs twice at once if an intermediary has passed the start on to
// the next incarnation, which answered it. The next probe shows whether the run is there.
func (r *run) startedUnverified() bool { return r.worker.unverified != nil && r.startedUnseen() }

// startedUnseen reports whether the next incarnation may have executed the run's start: it was
// answered, or sent by an earlier leader, and the incarnation that it names has not answered a
// probe since.
func (r *run) startedUnseen() bool {
	switch {
	case !r.begun || r.listed || r.task.step.rec.Speculative:
		return false
	case r.task.step.needsAdvice():
		return !r.ticketBound()
	}
	return r.startedAt > r.worker.probedAt
}

// awaitUnseen keeps the runs of a worker's incarnation, in whose place another one has answered, that
// the other may have. It may be the worker's next one, whose entry is still to be read.
func (s *Scheduler) awaitUnseen(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.startedUnseen() {
			s.awaitLateStart(r, "another life may have it")
		}
	}
}

// endUnseen ends the runs of awaitUnseen on a worker whose address has been taken by another one, which
// has answered a probe sent at sentAt: whatever was there before has ended.
func (s *Scheduler) endUnseen(w *worker, sentAt time.Duration) {
	for _, r := range w.sortedRuns() {
		if r.startedUnseen() && !r.calls.unsettled() && r.phase == phaseLateStart && r.settledBefore(sentAt) {
			s.markLost(r, "another worker has its address")
		}
	}
}

// verify probes the incarnation that the worker's unverified entry names. The probe renews and
// acknowledges nothing, so that any incarnation may execute it.
func (s *Scheduler) verify(w *worker, after time.Duration) {
	if w.verifying || !s.leading() {
		return
	}
	w.verifying = true
	s.emit(Probe{Request: model.ProbeRequest{Worker: refOf(w.unverified.entry), Fence: s.fenceOf(w)}, After: after, Verify: true})
}

// verifyAnswered applies or drops the unverified entry, or asks again. The known incarnation is
// probed meanwhile, and may show first what has become of it.
func (s *Scheduler) verifyAnswered(w *worker, ev ProbeAnswered) {
	w.verifying = false
	u := w.unverified
	if u == nil {
		return
	}
	switch {
	case ev.Request.Worker != refOf(u.entry):
		s.verify(w, 0)
	case ev.Err == CallOK || !w.mustVerify(u.entry):
		s.applyEntry(w, u.entry)
	case ev.Err == CallOtherIncarnation:
		s.refuteEntry(w)
	case ev.Err == CallFenced && ev.Request.Fence == s.fenceOf(w):
		s.emit(StepDown{Worker: w.entry.ID})
	default:
		s.verify(w, probeRetry)
	}
}

// refuteEntry drops the worker's unverified entry after an answer that shows that no such
// incarnation is there.
func (s *Scheduler) refuteEntry(w *worker) {
	s.noteRefuted(w.unverified.entry, w.incarnation.BornUnix)
	w.unverified = nil
}

// knownAnswered drops the worker's unverified entry if a probe that was sent after it was read has
// shown that another incarnation than the one it names is up.
func (s *Scheduler) knownAnswered(w *worker, sentAt time.Duration) {
	w.replaced = false
	if u := w.unverified; u != nil && u.entry.BornUnix != w.incarnation.BornUnix && sentAt >= u.readAt {
		s.refuteEntry(w)
	}
}

// noteRefuted reports an entry of the host list that names no worker. known is the birth of the
// worker's incarnation, if there is one.
func (s *Scheduler) noteRefuted(e model.WorkerEntry, known int64) {
	s.explain("", "entry of no worker passed over", Field{"worker", e.ID}, Field{"address", e.Address}, Field{"born", e.BornUnix}, Field{"known", known})
	s.emit(Count{Name: "host_list_entries_refuted"})
}

// incarnationReplaced ends the known incarnation of a worker after another one has answered in its
// place, and applies the entry that waited for that.
func (s *Scheduler) incarnationReplaced(w *worker) {
	s.endIncarnation(w)
	s.noteReplaced(w)
}

func (s *Scheduler) noteReplaced(w *worker) {
	if !w.replaced && w.listed && w.probedAt == 0 {
		s.noteRefuted(w.entry, 0)
	}
	w.replaced = true
	if u := w.unverified; u != nil {
		s.applyEntry(w, u.entry)
	}
}

// askPredecessors probes the earlier workers at the address of a worker that is listed, so that
// their answers, or its own, show whether they have ended. Its own is awaited also if it is on
// standby.
func (s *Scheduler) askPredecessors(w *worker) {
	ref := w.ref()
	w.succeeds = s.losses.hasBefore(ref)
	for _, o := range s.earlierAt(ref) {
		w.succeeds = w.succeeds || o.hasWork()
		s.probe(o, 0)
	}
	for _, o := range s.byAddress[""] {
		w.succeeds = w.succeeds || slices.ContainsFunc(o.runs, func(r *run) bool { return r.replacedBy(ref) })
	}
}

// earlierAt returns the earlier workers at the address of an incarnation.
func (s *Scheduler) earlierAt(ref model.WorkerRef) []*worker {
	at := s.byAddress[ref.Address]
	if len(at) < 2 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(at), func(o *worker) bool { return o.entry.ID == ref.ID || o.incarnation.BornUnix >= ref.BornUnix })
}

// replacedBy reports whether an incarnation that is up is a later worker at the address at which
// the run was assigned.
func (r *run) replacedBy(ref model.WorkerRef) bool {
	return r.ref.ID != ref.ID && r.ref.Address == ref.Address && r.ref.BornUnix < ref.BornUnix
}

// endPredecessors ends what the answer of a worker shows to have ended: the earlier workers at its
// address, whatever their ids, and its own earlier incarnations.
func (s *Scheduler) endPredecessors(w *worker, sentAt time.Duration) {
	w.succeeds = false
	ref := w.ref()
	for _, o := range slices.Clone(s.byAddress[""]) {
		s.endRuns(o, func(r *run) bool { return r.replacedBy(ref) })
	}
	for _, o := range s.earlierAt(ref) {
		s.unlist(o)
		if !o.replaced {
			s.incarnationReplaced(o)
		}
		s.endUnseen(o, sentAt)
	}
	s.showCrashesBefore(ref)
}
