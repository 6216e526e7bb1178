// Package region is the scheduler of all workers of a region: one host leads
// and runs it, every other host can take over. It is a state machine without
// I/O, clock or goroutines: Step takes the time and an event and returns
// commands.
//
// What it rests on:
//
//   - Every assignment is in the log before its start is sent. A successor
//     therefore knows of everything that may run, and where.
//   - Every end is in the log before the worker is told to forget it.
//   - The log refuses appends of a leader that was replaced, and a worker
//     refuses orders below the highest fencing token it has seen.
//   - A run that may be alive is started nowhere else until its worker lists
//     its end, has a new life, or its lease is over for certain.
//   - Where a worker has a new life, or a run of an earlier leader is not found,
//     a start that got no answer may still come: its task waits for that.
package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflyfold/fireflyfold/model"
	"github.com/fireflyfold/fireflyfold/record"
)

// Options are the platform's bounds and this product's settings.
type Options struct {
	MaxLease     time.Duration // workers shorten a longer lease
	Lease        time.Duration // what we ask for
	LogRetention time.Duration // records of the log expire after this
	StatusKept   time.Duration // a finished job's state is answered so long
	StartsPerS   float64       // what the driver's link carries besides all else; 0 for no bound
}

const (
	// logProofLife is how long a successful append proves that no other host
	// leads. Longer outages of the log than this let leases lapse; a successor
	// waits for it before it takes a run on an unreachable worker for dead.
	// 4 s spans the usual outages of 3 to 5 s together with a lease of 6 s.
	logProofLife = 4 * time.Second
	// clockDrift is how much slower than ours a worker's clock may run.
	clockDrift = 0.02
	// lapseMargin is added to the computed end of a lease: a worker needs a
	// moment to end what ran under it.
	lapseMargin = 300 * time.Millisecond
	// logStall is how long the log may keep nothing before no more is assigned:
	// some ten times its usual answer, and less than a ticket lasts. It is
	// logStallFactor times the newest append if that took longer.
	logStall       = 250 * time.Millisecond
	logStallFactor = 1.5
	// heartbeatEvery is the longest pause between appends of a leader: others take
	// a leader for gone after two to three of them. A leader with work appends more
	// often anyway.
	heartbeatEvery = 100 * time.Millisecond
)

// Scheduler is the state machine. It is not safe for concurrent use.
type Scheduler struct {
	opts   Options
	now    time.Duration
	unixMs int64 // time of day at the last tick
	fence  int64 // 0 before leadership

	config *model.Config
	jobs   map[string]*job
	// cancelledEarly holds cancellations of jobs that have not been read yet.
	cancelledEarly map[string]time.Duration
	workers        map[string]*worker
	departed       departed
	order          []*worker // workers in a stable order
	slots          slots
	usableNow      []*worker // those that can take work, in this pass
	scratch        []*worker // of fitting
	ready          readyList // steps with tasks that wait, most urgent first
	used           map[string]model.Resources
	advisers       advisers
	lanes          lanes
	timed          []*job // jobs with further occurrences
	written        []*job // jobs by when their newest whole record was written
	finished       []*job // in the order they ended
	doubts         []*run // of which a start may still be carried out
	estimates      estimates
	shares         shares

	entries   []*record.Entry // produced by this Step
	seq       int64           // number of the last entry produced
	logged    int64           // number of the last entry kept
	logTook   time.Duration   // of the newest append
	provenAt  time.Duration   // when the last append that succeeded was sent
	appendAt  time.Duration   // when an entry was last produced
	unkeptAt  time.Duration   // since when the oldest entry on its way has waited, at the latest
	whenKept  []afterLog      // what waits for the log, by entry number
	leadSince time.Duration
	// usualAnswer is how long a worker takes to answer an order, a running mean.
	usualAnswer time.Duration
	behind      time.Duration // how long events wait for us, a running mean
	linkLoad    float64       // share of the driver's link in use
	fullAt      time.Duration // when that was last full
	dirty       bool          // something changed that may let a task start
	lastPass    time.Duration
	roomiest    roomiest
	pacer       startPacer
	turns       [classes]int // where the close look at the tail of each class goes on

	out []Command
}

// afterLog runs once the entry with number seq is kept.
type afterLog struct {
	seq int64
	do  func()
}

// New returns a scheduler that has read nothing yet.
func New(opts Options) *Scheduler {
	return &Scheduler{
		opts:           opts,
		jobs:           make(map[string]*job),
		cancelledEarly: make(map[string]time.Duration),
		workers:        make(map[string]*worker),
		used:           make(map[string]model.Resources),
	}
}

// Step applies one event at a time that never goes back, and returns what is
// to be done. The result is valid until the next call.
func (s *Scheduler) Step(now time.Duration, ev Event) []Command {
	s.now = now
	s.out = s.out[:0]
	s.apply(ev)
	s.flush()
	return s.out
}

func (s *Scheduler) apply(ev Event) {
	switch ev := ev.(type) {
	case IntakeRead:
		s.intake(ev.Records)
	case EntriesRead:
		s.replay(ev.Entries)
	case Lead:
		s.lead(ev.Fence)
	case ConfigRead:
		s.config = ev.Config
		if ev.Config != nil {
			s.lanes = lanesOf(ev.Config)
		}
		s.dirty = true
	case WorkerListed:
		s.workerListed(ev.Entry)
	case WorkerUnlisted:
		s.workerUnlisted(ev.ID)
	case Logged:
		s.onLogged(ev)
	case Held:
		s.probeAnswered(ev)
	case StartAnswered:
		s.startAnswered(ev)
	case StopAnswered:
		s.stopAnswered(ev)
	case Advised:
		s.adviceAnswered(ev)
	case HostsSeen:
		s.advisers.set(ev.Hosts, s.now)
	case Tick:
		s.tick(ev)
	case Schedule:
		s.schedule()
	}
}

func (s *Scheduler) emit(c Command) { s.out = append(s.out, c) }

func (s *Scheduler) explain(job, what string, fields ...Field) {
	s.emit(Explain{Job: job, What: what, Fields: fields})
}

// leading reports whether this scheduler may order workers.
func (s *Scheduler) leading() bool { return s.fence > 0 }

// proven reports whether the log has shown lately that nobody else leads.
//
// The guard is against a leader that was cut off from the log or frozen: it
// would go on renewing leases of workers that its successor cannot reach, and
// the successor would start their tasks again elsewhere. It shows as one task
// running twice. The successor waits for logProofLife and a lease from its
// claim on, which is after the last append of its predecessor.
func (s *Scheduler) proven() bool { return s.now-s.provenAt < logProofLife }

// logStalled reports whether the log has kept nothing for a while although
// entries wait. More assignments would only queue behind them, in the order of
// now, and take room from what is more urgent when the log is back.
func (s *Scheduler) logStalled() bool {
	stall := max(logStall, time.Duration(logStallFactor*float64(s.logTook)))
	return s.seq > s.logged && s.now-s.unkeptAt > stall
}

// append adds an entry and returns its number.
func (s *Scheduler) append(e *record.Entry) int64 {
	if s.seq == s.logged {
		s.unkeptAt = s.now
	}
	s.seq++
	e.Fence, e.Seq = s.fence, s.seq
	s.entries = append(s.entries, e)
	s.appendAt = s.now
	return s.seq
}

// afterKept runs do once the entry with the number is kept.
func (s *Scheduler) afterKept(seq int64, do func()) {
	if seq <= s.logged {
		do()
		return
	}
	s.whenKept = append(s.whenKept, afterLog{seq: seq, do: do})
}

func (s *Scheduler) flush() {
	if len(s.entries) == 0 {
		return
	}
	s.emit(Append{Entries: s.entries, Seq: s.seq})
	s.entries = nil
}

func (s *Scheduler) onLogged(ev Logged) {
	s.logged = ev.Seq
	s.logTook = s.now - ev.SentAt
	s.unkeptAt = s.now
	s.provenAt = max(s.provenAt, ev.SentAt)
	n := 0
	for n < len(s.whenKept) && s.whenKept[n].seq <= ev.Seq {
		n++
	}
	due := s.whenKept[:n]
	s.whenKept = s.whenKept[n:]
	for _, a := range due {
		a.do()
	}
}

// lead begins leadership. Runs of earlier leaders are taken over as their
// workers answer.
func (s *Scheduler) lead(fence int64) {
	s.fence = fence
	s.leadSince = s.now
	s.provenAt = s.now
	s.appendAt = s.now
	for _, w := range s.order {
		s.takeOver(w)
	}
	slices.SortStableFunc(s.written, func(a, b *job) int { return cmp.Compare(a.writtenAt, b.writtenAt) })
	for _, j := range s.jobs {
		s.publish(j)
	}
	s.dirty = true
}

func (s *Scheduler) tick(ev Tick) {
	s.unixMs = ev.UnixMs
	s.behind += (ev.Behind - s.behind) / delaySamples
	s.linkLoad = ev.LinkLoad
	if s.linkLoad > fullLink {
		s.fullAt = s.now
	}
	if !s.leading() {
		return
	}
	s.startOccurrences()
	s.expireRuns()
	s.resolveLateStarts()
	s.departed.expire(s.now)
	s.retireJobs()
	s.rewriteOld()
	s.dirty = true
	if s.now-s.appendAt >= heartbeatEvery {
		s.append(&record.Entry{Kind: &record.Entry_AliveUnixMs{AliveUnixMs: ev.UnixMs}})
	}
}
