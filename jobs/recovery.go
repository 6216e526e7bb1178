package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
)

// Recovery finds out what became of the attempts that earlier owners left open.
// It is not safe for concurrent use.
type Recovery struct {
	cfg     RecoveryConfig
	started time.Duration
	begun   bool
	workers map[ident.WorkerID]*openWorker
	hosts   map[ident.HostID]*zoneHost
	over    bool
	seq     uint64

	now time.Duration
	out []RecoveryCommand
}

// openWorker is a worker on which attempts are open.
type openWorker struct {
	attempts []OpenAttempt
	promises map[ident.HostID]*promise
	held     bool          // this process keeps off it as well
	heldAt   time.Duration // since when
}

// zoneHost is a host that might hold the lease of a worker.
type zoneHost struct {
	listed  bool
	silence time.Duration // since when nothing was heard, while it is not listed
}

// promise is a peer's word not to touch a worker's compute lease.
type promise struct {
	by    ident.Holder
	since time.Duration // when it was first received from this incarnation
	held  time.Duration // up to when it is known to have been kept

	asked   uint64        // newest request
	askedAt time.Duration // when it was sent
}

// NewRecovery starts with the open attempts that were assigned in another epoch
// than the given one.
func NewRecovery(cfg RecoveryConfig, epoch Epoch, open []OpenAttempt) *Recovery {
	r := &Recovery{
		cfg:     cfg,
		workers: map[ident.WorkerID]*openWorker{},
		hosts:   map[ident.HostID]*zoneHost{},
	}
	for _, a := range open {
		if a.Epoch == epoch {
			continue
		}
		w := r.workers[a.Worker]
		if w == nil {
			w = &openWorker{promises: map[ident.HostID]*promise{}}
			r.workers[a.Worker] = w
		}
		w.attempts = append(w.attempts, a)
	}
	return r
}

// Workers lists the workers on which attempts are still open, in order.
func (r *Recovery) Workers() []ident.WorkerID { return slices.Sorted(maps.Keys(r.workers)) }

// Step handles one event at the given time of the process's own clock.
func (r *Recovery) Step(now time.Duration, ev RecoveryEvent) []RecoveryCommand {
	r.now = now
	r.out = nil
	if !r.begun {
		r.begun = true
		r.started = now
	}
	switch ev := ev.(type) {
	case WorkerReport:
		r.report(ev)
	case ZoneHosts:
		r.list(ev.Hosts)
	case HostHeard:
		r.heard(ev.Host)
	case PeerPromise:
		r.promised(ev)
	}
	r.advance()
	return r.out
}

func (r *Recovery) emit(c RecoveryCommand) { r.out = append(r.out, c) }

// report decides by what a worker lists.
//
// It guards against a job that runs twice: a start of the earlier owner may be
// on its way when the successor looks. Under a lease of a higher epoch it will
// be refused, so what is not listed then never started. A lower epoch means
// that the worker lost its memory: the task may have run and is gone.
func (r *Recovery) report(ev WorkerReport) {
	w := r.workers[ev.Worker]
	if w == nil {
		return
	}
	listed := map[string]ports.TaskReport{}
	for _, t := range ev.Tasks {
		listed[t.ID] = t
	}
	var left []OpenAttempt
	for _, a := range w.attempts {
		t, found := listed[a.Attempt.String()]
		switch {
		case found && !t.Ended:
			r.emit(Adopt{Attempt: a, Report: t})
		case found:
			r.emit(Resolve{Attempt: a, Result: resultOf(t), Reason: t.Reason})
		case ev.Boot != a.Boot:
			r.emit(Resolve{Attempt: a, Result: ResultLost, Reason: "the worker restarted and lost its memory"})
		case ev.Epoch > a.Lease:
			r.emit(Resolve{Attempt: a, Result: ResultNeverStarted, Reason: "the worker never saw it"})
		case ev.Epoch < a.Lease:
			r.emit(Resolve{Attempt: a, Result: ResultLost, Reason: "the worker lost its memory"})
		default:
			left = append(left, a)
		}
	}
	w.attempts = left
	if len(left) > 0 {
		r.emit(Reacquire{Worker: ev.Worker})
		return
	}
	r.close(ev.Worker)
}

// resultOf translates a worker's word on an ended task.
func resultOf(t ports.TaskReport) Result {
	switch {
	case t.Stopped:
		return ResultStopped
	case t.Failed:
		return ResultFailed
	}
	return ResultSucceeded
}

// close frees everybody from their promises for a worker.
func (r *Recovery) close(id ident.WorkerID) {
	w := r.workers[id]
	delete(r.workers, id)
	if w.held {
		r.emit(Resume{Worker: id})
	}
	for _, host := range slices.Sorted(maps.Keys(w.promises)) {
		r.emit(ReleasePromise{Host: host, Worker: id})
	}
}

// list takes the host list. A host that it drops starts to be silent.
func (r *Recovery) list(hosts []ident.HostID) {
	for _, id := range hosts {
		if r.hosts[id] == nil {
			r.hosts[id] = &zoneHost{}
		}
		r.hosts[id].listed = true
	}
	for id, h := range r.hosts {
		if h.listed && !slices.Contains(hosts, id) {
			h.listed = false
			h.silence = r.now
		}
	}
}

// heard ends the silence of a host that is not listed.
func (r *Recovery) heard(id ident.HostID) {
	if r.hosts[id] == nil {
		r.hosts[id] = &zoneHost{}
	}
	r.hosts[id].silence = r.now
}

// promised takes a peer's word. Another incarnation knows nothing of the word of
// the one before, which may have been broken in between.
func (r *Recovery) promised(ev PeerPromise) {
	w := r.workers[ev.Worker]
	if w == nil {
		return
	}
	p := w.promises[ev.From.Host]
	if p == nil || ev.Seq != p.asked {
		return
	}
	if p.by != ev.From {
		p.by = ev.From
		p.since = r.now
	}
	p.held = p.askedAt
}

// advance asks for promises, and resolves the attempts on workers for which the
// wait is over.
func (r *Recovery) advance() {
	for _, id := range r.Workers() {
		w := r.workers[id]
		r.ask(id, w)
		r.wait(id, w)
	}
	if len(r.workers) == 0 && !r.over {
		r.over = true
		r.emit(Recovered{})
	}
}

// ask asks every listed host for its promise, again and again.
func (r *Recovery) ask(id ident.WorkerID, w *openWorker) {
	for _, host := range slices.Sorted(maps.Keys(r.hosts)) {
		p := w.promises[host]
		if !r.hosts[host].listed || p != nil && r.now < p.askedAt+r.cfg.AskEvery {
			continue
		}
		if p == nil {
			p = &promise{}
			w.promises[host] = p
		}
		r.seq++
		p.asked = r.seq
		p.askedAt = r.now
		r.emit(AskPromise{Host: host, Worker: id, Seq: r.seq})
	}
}

// wait waits until the tasks on a worker that cannot be reached must have been
// stopped by the worker itself.
//
// It guards against an attempt assigned again while the first one runs: the
// tasks live for the task TTL after the last renewal, so the wait begins when
// nobody renews any more, this process included, and is as long as the TTL on a
// slow clock plus the time that a renewal may be on its way. Every listed host
// must have kept its promise throughout, up to the end.
func (r *Recovery) wait(id ident.WorkerID, w *openWorker) {
	quiet, ok := r.quietSince(w)
	if !ok || r.now < quiet {
		return
	}
	if !w.held {
		w.held = true
		w.heldAt = r.now
		r.emit(HoldOff{Worker: id})
	}
	end := max(quiet, w.heldAt) + r.cfg.TaskTTL + r.cfg.Drift + r.cfg.InFlight
	if r.now >= end && r.keptUntil(w, end) {
		r.giveUp(id, w)
	}
}

// quietSince returns since when no other host can renew the lease of a worker,
// if all listed ones have promised. A host that is not listed counts as cut off
// from workers once it was silent for the task TTL; so does every host that this
// process never heard of.
func (r *Recovery) quietSince(w *openWorker) (time.Duration, bool) {
	quiet := r.started + r.cfg.TaskTTL
	for id, h := range r.hosts {
		p := w.promises[id]
		switch {
		case h.listed && (p == nil || p.by.IsZero()):
			return 0, false
		case h.listed:
			quiet = max(quiet, p.since)
		default:
			quiet = max(quiet, h.silence+r.cfg.TaskTTL)
		}
	}
	return quiet, true
}

// keptUntil reports whether every listed host is known to have kept its promise
// up to the given time.
func (r *Recovery) keptUntil(w *openWorker, end time.Duration) bool {
	for id, h := range r.hosts {
		if h.listed && w.promises[id].held < end {
			return false
		}
	}
	return true
}

// giveUp resolves the attempts on a worker that cannot be reached.
func (r *Recovery) giveUp(id ident.WorkerID, w *openWorker) {
	for _, a := range w.attempts {
		r.emit(Resolve{Attempt: a, Result: ResultLost, Reason: "the worker could not be reached until its tasks had to be over"})
	}
	r.close(id)
}
